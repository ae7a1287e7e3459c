//! Caller connections.
//!
//! hyper reads heads and frames bodies. The time-outs are implemented in this module,
//! since they are part of the declared routing, change while connections are open, and
//! differ for idle connections and slow heads.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::{future, AsyncRead, AsyncWrite, AsyncWriteExt};
use http::{Request, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1::{Builder, Connection};
use hyper::service::{service_fn, HttpService};
use larkspring_core::fleet::routes::RequestLimits;
use parking_lot::Mutex;
use rustix::net::sockopt::set_socket_linger;
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use smol_hyper::rt::FuturesIo;

use super::answer::AnswerBody;
use super::framing::Framing;
use super::serving;
use super::shutdown::Delivery;
use super::unread_answers::Backlog;
use super::EntryState;
use crate::direct::logs::{self, LineKind};
use crate::exec;

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER: usize = 8 * 1024;
/// Time-out for sending the response to a slow head.
const SLOW_HEAD_TIMEOUT: Duration = Duration::from_millis(500);
const SLOW_HEAD_RESPONSE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Accepts connections until shutdown reaches the closing stage, and then those that were
/// opened before.
pub(super) async fn accept(listener: TcpListener, entry: Arc<EntryState>) {
    let closing = async {
        entry.shutdown.wait_closing().await;
        None
    };
    let mut closing = std::pin::pin!(closing);
    loop {
        let accepted = async { Some(listener.accept().await) };
        match future::or(accepted, &mut closing).await {
            None => return,
            Some(Ok((sock, _))) => {
                let open = entry.shutdown.connections.load(Ordering::Acquire);
                if open >= entry.cfg().max_connections {
                    if logs::is_allowed(LineKind::Caller) {
                        tracing::warn!(event = "connection refused", open);
                    }
                    continue;
                }
                exec::spawn(serve(sock, entry.clone())).detach();
            }
            Some(Err(e)) => {
                tracing::warn!(event = "accept failed", cause = %e);
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// The phase of a connection, set by its socket and its requests.
pub(super) struct Phase {
    stage: AtomicU8,
    since: Mutex<Instant>,
    backlog: Arc<Backlog>,
    /// Whether the end of the connection is the end of the current answer.
    ends_answer: AtomicBool,
}

const IDLE: u8 = 0;
const HEAD: u8 = 1;
const SERVING: u8 = 2;

/// The reason why a connection is ended.
enum ConnectionEnd {
    Idle,
    SlowHead,
    SlowReader,
    Closing,
}

async fn serve(sock: TcpStream, entry: Arc<EntryState>) {
    let _counted = ConnectionCount::new(&entry);
    let _ = sock.set_nodelay(true);
    let backlog = entry.unread_answers.open();
    let phase = Arc::new(Phase::new(backlog.0.clone()));
    let io =
        FuturesIo::new(TimedSocket { sock, phase: phase.clone(), resets_on_drop: false });
    let (served, request_phase) = (entry.clone(), phase.clone());
    let service = service_fn(move |req| {
        request_phase.set(SERVING);
        let done = ExchangeGuard::new(request_phase.clone(), &req);
        let entry = served.clone();
        async move { Ok::<_, Infallible>(serving::serve(entry, req, done).await) }
    });
    let bounds = bounds(&entry);
    let conn = Builder::new()
        .max_buf_size(bounds.max_head.max(MIN_BUFFER))
        .auto_date_header(false)
        .serve_connection(io, service);
    let mut conn = conn;
    let ended = {
        let run = async {
            let end = Pin::new(&mut conn).await;
            Err(end)
        };
        let watch = async { Ok(watch(&entry, &phase).await) };
        future::or(run, watch).await
    };
    match ended {
        Err(Ok(())) => {}
        Err(Err(e)) => {
            if logs::is_allowed(LineKind::Caller) {
                tracing::info!(event = "connection broke", cause = %e);
            }
        }
        Ok(ConnectionEnd::SlowHead) => answer_slow_head(conn).await,
        Ok(ConnectionEnd::Idle | ConnectionEnd::SlowReader) => {}
        Ok(ConnectionEnd::Closing) => {
            Pin::new(&mut conn).graceful_shutdown();
            // Running requests are bounded by their deadlines.
            let _ = conn.await;
        }
    }
}

/// Answers 408 to a caller whose head did not arrive in time.
async fn answer_slow_head<S>(conn: Connection<FuturesIo<TimedSocket>, S>)
where
    S: HttpService<Incoming, ResBody = AnswerBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut io = conn.into_parts().io.into_inner();
    let _ = exec::with_timeout(SLOW_HEAD_TIMEOUT, io.sock.write_all(SLOW_HEAD_RESPONSE))
        .await;
    if logs::is_allowed(LineKind::Caller) {
        tracing::info!(event = "head too slow");
    }
}

/// Waits until a time-out or shutdown ends the connection.
async fn watch(entry: &EntryState, phase: &Phase) -> ConnectionEnd {
    let closing = async {
        entry.shutdown.wait_closing().await;
        ConnectionEnd::Closing
    };
    let bounded = async {
        loop {
            let bounds = bounds(entry);
            let (stage, since) = phase.get();
            let (limit, bound) = match stage {
                IDLE => (bounds.idle_timeout, ConnectionEnd::Idle),
                HEAD => (bounds.head_timeout, ConnectionEnd::SlowHead),
                _ => {
                    Timer::after(bounds.idle_timeout.min(bounds.head_timeout)).await;
                    continue;
                }
            };
            if since.elapsed() >= limit {
                return bound;
            }
            // A head may begin while the connection is idle, so the phase is checked
            // again before the head's time-out.
            let left = limit.saturating_sub(since.elapsed());
            Timer::after(left.min(bounds.head_timeout)).await;
        }
    };
    let slow = async {
        phase.backlog.wait_closed().await;
        ConnectionEnd::SlowReader
    };
    future::or(slow, future::or(closing, bounded)).await
}

fn bounds(entry: &EntryState) -> RequestLimits {
    entry.replicated_state.routing().map(|r| r.bounds).unwrap_or_default()
}

impl Phase {
    fn new(backlog: Arc<Backlog>) -> Self {
        let since = Mutex::new(Instant::now());
        let ends_answer = AtomicBool::new(false);
        Self { stage: AtomicU8::new(IDLE), since, backlog, ends_answer }
    }

    fn set(&self, stage: u8) {
        *self.since.lock() = Instant::now();
        self.stage.store(stage, Ordering::Release);
    }

    fn get(&self) -> (u8, Instant) {
        (self.stage.load(Ordering::Acquire), *self.since.lock())
    }
}

/// Marks the connection as idle when dropped.
pub(super) struct ExchangeGuard {
    phase: Arc<Phase>,
    caller_version: Version,
    delivery: Option<Delivery>,
}

impl ExchangeGuard {
    fn new<B>(phase: Arc<Phase>, req: &Request<B>) -> Self {
        Self { phase, caller_version: req.version(), delivery: None }
    }

    /// Keeps the delivery of an endpoint's answer open for as long as the exchange.
    pub fn begin_delivery(&mut self, delivery: Delivery) {
        self.delivery = Some(delivery);
    }

    /// Records that the body of an answer with this framing begins. A caller of HTTP/1.0
    /// gets no chunks.
    pub fn begin_body(&self, framing: Framing) {
        let ends_answer = match framing {
            Framing::Length => false,
            Framing::Chunked => self.caller_version == Version::HTTP_10,
            Framing::UntilClose => true,
        };
        self.phase.ends_answer.store(ends_answer, Ordering::Release);
    }

    /// Records bytes that are held until the caller reads them.
    pub fn record_held(&self, len: usize) {
        self.phase.backlog.record_held(len);
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.phase.set(IDLE);
    }
}

/// Counts a connection while it is open.
struct ConnectionCount(Arc<EntryState>);

impl ConnectionCount {
    fn new(entry: &Arc<EntryState>) -> Self {
        entry.shutdown.connections.fetch_add(1, Ordering::AcqRel);
        Self(entry.clone())
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.shutdown.connection_closed();
    }
}

/// A socket that records when a head begins.
///
/// While the end of the connection is the end of an answer, anything but an orderly close
/// resets the connection, also the end of the process. Otherwise the caller would take
/// the part that was sent for the whole answer.
struct TimedSocket {
    sock: TcpStream,
    phase: Arc<Phase>,
    resets_on_drop: bool,
}

impl TimedSocket {
    fn set_resets_on_drop(&mut self, resets: bool) -> io::Result<()> {
        if self.resets_on_drop != resets {
            set_socket_linger(&self.sock, resets.then_some(Duration::ZERO))?;
            self.resets_on_drop = resets;
        }
        Ok(())
    }
}

impl AsyncRead for TimedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.sock).poll_read(cx, buf);
        if let Poll::Ready(Ok(1..)) = read {
            if self.phase.stage.load(Ordering::Acquire) == IDLE {
                self.phase.set(HEAD);
            }
        }
        read
    }
}

impl AsyncWrite for TimedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let ends_answer = self.phase.ends_answer.load(Ordering::Acquire);
        self.set_resets_on_drop(ends_answer)?;
        let written = Pin::new(&mut self.sock).poll_write(cx, buf);
        if let Poll::Ready(Ok(len)) = written {
            self.phase.backlog.record_written(len);
        }
        written
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.sock).poll_flush(cx)
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        self.set_resets_on_drop(false)?;
        Pin::new(&mut self.sock).poll_close(cx)
    }
}
