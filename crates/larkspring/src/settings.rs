//! Settings of a process: read from YAML, checked as a whole, with defaults filled in.

use std::fmt::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use larkspring_core::budget::BudgetLimits;
use larkspring_core::route::Policy;
use larkspring_core::slots::Eviction;
use larkspring_core::tenure::{Terms, PARTITIONS};
use larkspring_proto::settings as wire;
use quick_error::quick_error;

quick_error! {
    /// Why settings are refused: one line for each fault.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsError {
        /// The file can't be read.
        Read(file: String, cause: String) { display("{file}: {cause}") }
        /// The file is no valid YAML or has a key that isn't known.
        Syntax(file: String, line: usize, cause: String) {
            display("{file}:{line}: {cause}")
        }
        /// Values that can't be used, a line each.
        Values(lines: String) { display("{lines}") }
    }
}

/// Checked settings of a process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Hall (failure domain) of the process.
    pub hall: String,
    /// VM that it runs on.
    pub vm: String,
    /// Threads; 0 for one.
    pub threads: u32,
    /// Settings of an entry, if it is one.
    pub entry: Option<EntryCfg>,
    /// Settings of an agent, if it is one.
    pub agent: Option<AgentCfg>,
    /// Where the platform is.
    pub platform: PlatformCfg,
    /// Logs, spans and metrics.
    pub telemetry: TelemetryCfg,
}

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntryCfg {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
    /// The longest deadline that a request may ask for.
    pub max_deadline: Duration,
    /// Requests at a time.
    pub max_streams: usize,
    /// Requests at a time for each caller.
    pub max_streams_per_caller: usize,
    /// Bytes of a body.
    pub max_body: usize,
    /// Time for a request to come whole.
    pub head_timeout: Duration,
    /// Time that a caller may take nothing of its answer.
    pub stall_timeout: Duration,
    /// Time for requests in progress to end at a planned stop.
    pub stop_grace: Duration,
    /// Connections to agents.
    pub max_agent_connections: usize,
    /// Retries for each hundred requests.
    pub retry_percent: u32,
    /// How an endpoint is chosen.
    pub routing: Policy,
    /// Address for other entries; the one for callers with any port by default.
    pub control: SocketAddr,
    /// Lengths of time that at-most-once depends on.
    pub terms: Terms,
    /// Partitions of the keys that the entry takes.
    pub max_key_partitions: usize,
    /// Bytes of answers kept for resends.
    pub kept_answer_bytes: usize,
    /// Address for operators, if they are served.
    pub operator: Option<SocketAddr>,
    /// SHA-256 of the operators' key, in hex.
    pub operator_key_sha256: String,
}

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentCfg {
    /// Address for entries.
    pub listen: SocketAddr,
    /// Name of its endpoint.
    pub endpoint: String,
    /// Address of the engine or service.
    pub backend: String,
    /// Adapter slots of the engine.
    pub slots: usize,
    /// Requests in the endpoint at a time.
    pub max_running: usize,
    /// Requests that may wait.
    pub max_waiting: usize,
    /// Time for requests in progress to end at a planned stop.
    pub stop_grace: Duration,
    /// Time for a load to end.
    pub load_timeout: Duration,
    /// How often the engine is asked for its state.
    pub poll: Duration,
    /// Which adapter is unloaded first.
    pub eviction: Eviction,
}

/// Where the platform is.
#[derive(Debug, Clone)]
pub struct PlatformCfg {
    /// Address of the object API.
    pub objects: String,
    /// Address of the VM list.
    pub vms: String,
    /// Time for a call to end.
    pub timeout: Duration,
    /// Other entries, to be followed while the object API can't be asked.
    pub peers: Vec<String>,
    /// What the weight store gives in all; `None` for no limit.
    pub loads: Option<BudgetLimits>,
}

/// Logs, spans and metrics.
#[derive(Debug, Clone)]
pub struct TelemetryCfg {
    /// Address that takes statsd metrics over UDP; empty for none.
    pub statsd: String,
    /// Whether spans are written to the log.
    pub spans: bool,
    /// Lowest level of the log lines.
    pub level: tracing::Level,
}

/// Reads and checks a file of settings.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| SettingsError::Read(file.clone(), e.to_string()))?;
    parse(&file, &text)
}

/// Checks the text of settings; `file` is named in errors.
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let raw: wire::Settings = serde_yaml_ng::from_str(text).map_err(|e| {
        let line = e.location().map_or(1, |l| l.line());
        SettingsError::Syntax(file.into(), line, e.to_string())
    })?;
    let mut check = Check { file, text, faults: String::new() };
    let settings = check.settings(&raw);
    match check.faults.is_empty() {
        true => Ok(settings),
        false => Err(SettingsError::Values(check.faults.trim_end().into())),
    }
}

const SHA256_DIGITS: usize = 64;
/// A lease is at least this many times the skew of clocks.
const LEAST_LEASE: u32 = 10;
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Collects the faults of one file.
struct Check<'a> {
    file: &'a str,
    text: &'a str,
    faults: String,
}

impl Check<'_> {
    fn settings(&mut self, raw: &wire::Settings) -> Settings {
        self.named("hall", &raw.hall);
        self.named("vm", &raw.vm);
        if raw.entry.is_none() && raw.agent.is_none() {
            self.fault("entry", "one of `entry` and `agent` is needed");
        }
        Settings {
            hall: raw.hall.clone(),
            vm: raw.vm.clone(),
            threads: raw.threads,
            entry: raw.entry.as_ref().map(|e| self.entry(e)),
            agent: raw.agent.as_ref().map(|a| self.agent(a)),
            platform: self.platform(&raw.platform.clone().unwrap_or_default()),
            telemetry: self.telemetry(&raw.telemetry.clone().unwrap_or_default()),
        }
    }

    fn entry(&mut self, raw: &wire::Entry) -> EntryCfg {
        let routing = Policy::parse(&raw.routing).unwrap_or_else(|| {
            let text = "one of predicted, random, least, hash is needed";
            self.fault("entry.routing", text);
            Policy::Predicted
        });
        let cfg = EntryCfg {
            listen: self.address("entry.listen", &raw.listen),
            default_deadline: millis(raw.default_deadline_ms, 60_000),
            max_deadline: millis(raw.max_deadline_ms, 600_000),
            max_streams: count(raw.max_streams, 2000),
            max_streams_per_caller: count(raw.max_streams_per_caller, 500),
            max_body: count(raw.max_body_bytes, 1024 * 1024),
            head_timeout: millis(raw.head_timeout_ms, 10_000),
            stall_timeout: millis(raw.stall_timeout_ms, 30_000),
            stop_grace: millis(raw.stop_grace_ms, 120_000),
            max_agent_connections: count(raw.max_agent_connections, 256),
            retry_percent: if raw.retry_percent == 0 { 20 } else { raw.retry_percent },
            routing,
            control: self.control(raw),
            terms: Terms {
                lease: millis(raw.key_lease_ms, 600_000),
                retention: millis(raw.key_retention_ms, 600_000),
                skew: millis(raw.clock_skew_ms, 1000),
            },
            operator: match raw.operator.as_str() {
                "" => None,
                addr => Some(self.address("entry.operator", addr)),
            },
            operator_key_sha256: raw.operator_key_sha256.to_ascii_lowercase(),
            max_key_partitions: count(raw.max_key_partitions, PARTITIONS),
            kept_answer_bytes: bytes(raw.kept_answer_bytes, 8 * 1024 * 1024),
        };
        if cfg.operator.is_some() && cfg.operator_key_sha256.len() != SHA256_DIGITS {
            let text = "the SHA-256 of a key in hex is needed with entry.operator";
            self.fault("entry.operator_key_sha256", text);
        }
        if cfg.terms.lease < cfg.terms.skew * LEAST_LEASE {
            let text = "the lease is under ten times entry.clock_skew_ms";
            self.fault("entry.key_lease_ms", text);
        }
        if cfg.terms.retention < cfg.max_deadline {
            let text = "keys must be kept for entry.max_deadline_ms at least";
            self.fault("entry.key_retention_ms", text);
        }
        if cfg.default_deadline > cfg.max_deadline {
            let text = "the default is over entry.max_deadline_ms";
            self.fault("entry.default_deadline_ms", text);
        }
        if cfg.max_streams_per_caller > cfg.max_streams {
            let text = "the limit is over entry.max_streams";
            self.fault("entry.max_streams_per_caller", text);
        }
        if cfg.retry_percent > 100 {
            self.fault("entry.retry_percent", "at most 100 retries a hundred requests");
        }
        cfg
    }

    fn control(&mut self, raw: &wire::Entry) -> SocketAddr {
        match raw.control.as_str() {
            "" => {
                let listen = raw.listen.parse::<SocketAddr>();
                listen.map_or(ANY_PORT, |addr| SocketAddr::new(addr.ip(), 0))
            }
            control => self.address("entry.control", control),
        }
    }

    fn agent(&mut self, raw: &wire::Agent) -> AgentCfg {
        self.named("agent.endpoint", &raw.endpoint);
        self.address("agent.backend", &raw.backend);
        AgentCfg {
            listen: self.address("agent.listen", &raw.listen),
            endpoint: raw.endpoint.clone(),
            backend: raw.backend.clone(),
            slots: count(raw.slots, 8),
            max_running: count(raw.max_running, 64),
            max_waiting: count(raw.max_waiting, 256),
            stop_grace: millis(raw.stop_grace_ms, 120_000),
            load_timeout: millis(raw.load_timeout_ms, 30_000),
            poll: millis(raw.poll_ms, 500),
            eviction: Eviction::parse(&raw.eviction).unwrap_or_else(|| {
                self.fault("agent.eviction", "one of heat, lru is needed");
                Eviction::Heat
            }),
        }
    }

    fn platform(&mut self, raw: &wire::Platform) -> PlatformCfg {
        self.address("platform.objects", &raw.objects);
        if !raw.vms.is_empty() {
            self.address("platform.vms", &raw.vms);
        }
        for peer in &raw.peers {
            self.address("platform.peers", peer);
        }
        PlatformCfg {
            objects: raw.objects.clone(),
            vms: raw.vms.clone(),
            timeout: millis(raw.timeout_ms, 2000),
            peers: raw.peers.clone(),
            loads: self.loads(raw),
        }
    }

    fn loads(&mut self, raw: &wire::Platform) -> Option<BudgetLimits> {
        let (rate, concurrency) = (raw.load_rate, raw.load_concurrency as usize);
        if rate < 0.0 || (rate > 0.0) != (concurrency > 0) {
            let text = "load_rate and load_concurrency are needed together";
            self.fault("platform.load_rate", text);
        }
        (rate > 0.0).then_some(BudgetLimits { rate, concurrency })
    }

    fn telemetry(&mut self, raw: &wire::Telemetry) -> TelemetryCfg {
        if !raw.statsd.is_empty() {
            self.address("telemetry.statsd", &raw.statsd);
        }
        let level = if raw.level.is_empty() { "info" } else { &raw.level };
        let level = level.parse().unwrap_or_else(|_| {
            let text = "one of error, warn, info, debug, trace is needed";
            self.fault("telemetry.level", text);
            tracing::Level::INFO
        });
        TelemetryCfg { statsd: raw.statsd.clone(), spans: raw.spans, level }
    }

    fn named(&mut self, key: &str, value: &str) {
        if value.is_empty() {
            self.fault(key, "a name is needed");
        }
    }

    fn address(&mut self, key: &str, value: &str) -> SocketAddr {
        value.parse().unwrap_or_else(|_| {
            self.fault(key, &format!("`{value}` is no address like 10.0.0.1:8080"));
            ANY_PORT
        })
    }

    fn fault(&mut self, key: &str, what: &str) {
        let line = line_of(self.text, key);
        let _ = writeln!(self.faults, "{}:{line}: {key}: {what}", self.file);
    }
}

fn millis(value: u64, default: u64) -> Duration {
    Duration::from_millis(if value == 0 { default } else { value })
}

fn count(value: u32, default: usize) -> usize {
    if value == 0 {
        default
    } else {
        value as usize
    }
}

fn bytes(value: u64, default: usize) -> usize {
    if value == 0 {
        default
    } else {
        value as usize
    }
}

/// Finds the line of a dotted key; a key that isn't written stands at its parent's line.
fn line_of(text: &str, key: &str) -> usize {
    let mut found = 1;
    let mut lines = text.lines().enumerate();
    for part in key.split('.') {
        let mut ahead = lines.clone();
        let at = ahead.find(|(_, l)| {
            l.trim_start().strip_prefix(part).is_some_and(|rest| rest.starts_with(':'))
        });
        let Some((at, _)) = at else { return found };
        found = at + 1;
        lines = ahead;
    }
    found
}
