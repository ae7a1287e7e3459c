//! Logs as JSON lines, trace spans of each hop, and metrics.

use std::fmt::Display;
use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::{
    BufferedUdpMetricSink, Counted, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::FmtSpan;
use tracing_subscriber::fmt::MakeWriter;

use crate::settings::TelemetryCfg;

/// Prefix of every metric.
const METRIC_PREFIX: &str = "larkspring";

/// Output of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogTo {
    /// Standard output, for the processes of a deployment.
    Stdout,
    /// Standard error, for commands whose standard output is read by a person.
    Stderr,
}

/// Keeps the log writer running, and writes the buffered lines when dropped.
#[must_use]
#[derive(Debug)]
pub struct LogGuard(#[allow(dead_code)] WorkerGuard);

/// Lines buffered for a slow reader; further lines are dropped, as a request never waits
/// for the log.
const MAX_BUFFERED_LINES: usize = 4096;

/// Starts the log of a process on VM `vm`; later calls have no effect.
pub fn start_log(vm: &str, level: tracing::Level, spans: bool, to: LogTo) -> LogGuard {
    let spans = if spans { FmtSpan::CLOSE } else { FmtSpan::NONE };
    let lines = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true);
    let (writer, guard) = match to {
        LogTo::Stdout => lines.finish(io::stdout()),
        LogTo::Stderr => lines.finish(io::stderr()),
    };
    let log = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_max_level(level)
        .with_span_events(spans)
        .with_writer(VmPrefixWriter::new(writer, vm));
    // In a process with several roles the first role starts the log.
    let _ = log.try_init();
    LogGuard(guard)
}

/// Writes lines that begin with the name of the VM, so that lines of several processes
/// can be distinguished after merging.
#[derive(Clone)]
struct VmPrefixWriter {
    inner: NonBlocking,
    /// Replaces the opening brace of a line.
    prefix: Arc<str>,
}

impl VmPrefixWriter {
    fn new(inner: NonBlocking, vm: &str) -> Self {
        let vm = serde_json::Value::from(vm);
        Self { inner, prefix: format!("{{\"vm\":{vm},").into() }
    }
}

impl io::Write for VmPrefixWriter {
    /// Writes one line; the formatter passes whole lines.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match line.split_first() {
            Some((b'{', rest)) => {
                let named = [self.prefix.as_bytes(), rest].concat();
                self.inner.write_all(&named)?;
            }
            _ => self.inner.write_all(line)?,
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}

impl MakeWriter<'_> for VmPrefixWriter {
    type Writer = Self;

    fn make_writer(&self) -> Self {
        self.clone()
    }
}

/// Sends metrics to a statsd address, if the settings name one.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a client for the address in the settings, or one that drops all metrics.
    pub fn new(cfg: &TelemetryCfg) -> Self {
        let client = match udp_sink(&cfg.statsd) {
            Some(sink) => StatsdClient::from_sink(METRIC_PREFIX, sink),
            None => StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink),
        };
        Self { client: Arc::new(client) }
    }

    /// Counts an event with one tag.
    pub fn count(&self, name: &str, tag: &str, value: &str) {
        self.client.count_with_tags(name, 1).with_tag(tag, value).send();
    }

    /// Records a duration in milliseconds.
    pub fn time(&self, name: &str, took: Duration) {
        let _ = self.client.time(name, took.as_millis() as u64);
    }
}

fn udp_sink(addr: &str) -> Option<QueuingMetricSink> {
    if addr.is_empty() {
        return None;
    }
    let sock = UdpSocket::bind("0.0.0.0:0").ok()?;
    sock.set_nonblocking(true).ok()?;
    let sink = BufferedUdpMetricSink::from(addr, sock).ok()?;
    Some(QueuingMetricSink::from(sink))
}

/// Position of a request in a distributed trace, by W3C Trace Context.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceParent {
    /// Trace id in hex digits.
    pub trace: String,
    /// Id of this hop's span in hex digits.
    pub span: String,
}

const TRACE_LEN: usize = 32;
const SPAN_LEN: usize = 16;

impl TraceParent {
    /// Starts the span of this hop, in the trace of `header` if that is valid.
    pub fn next(header: Option<&str>) -> Self {
        let trace = header.and_then(parse_trace_id);
        let new = || format!("{:032x}", fastrand::u128(1..));
        Self {
            trace: trace.unwrap_or_else(new),
            span: format!("{:016x}", fastrand::u64(1..)),
        }
    }
}

impl Display for TraceParent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "00-{}-{}-01", self.trace, self.span)
    }
}

fn parse_trace_id(header: &str) -> Option<String> {
    let mut parts = header.split('-');
    let (_, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
    let hex = |s: &str| s.bytes().all(|b| b.is_ascii_hexdigit());
    let valid = trace.len() == TRACE_LEN && span.len() == SPAN_LEN;
    (valid && hex(trace) && hex(span)).then(|| trace.to_ascii_lowercase())
}
