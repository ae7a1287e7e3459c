//! Settings of a process: parsed from YAML, validated, with defaults filled in.

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
    /// Errors in settings, one line for each.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsError {
        /// The file can't be read.
        Read(file: String, cause: String) { display("{file}: {cause}") }
        /// The file is not valid YAML or has an unknown key.
        Syntax(file: String, line: usize, cause: String) {
            display("{file}:{line}: {cause}")
        }
        /// Invalid values, one line each.
        Values(lines: String) { display("{lines}") }
    }
}

/// Checked settings of a process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Hall (failure domain) of the process.
    pub hall: String,
    /// VM of the process.
    pub vm: String,
    /// Number of threads; 0 means one.
    pub threads: u32,
    /// Settings of the entry, if the process runs one.
    pub entry: Option<EntryCfg>,
    /// Settings of the agent, if the process runs one.
    pub agent: Option<AgentCfg>,
    /// Addresses and limits of the platform.
    pub platform: PlatformCfg,
    /// Logs, spans and metrics.
    pub telemetry: TelemetryCfg,
}

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntryCfg {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Deadline of a request that sets none.
    pub default_deadline: Duration,
    /// The longest deadline that a request may set.
    pub max_deadline: Duration,
    /// Maximum number of concurrent requests.
    pub max_streams: usize,
    /// Maximum number of concurrent requests of one caller.
    pub max_streams_per_caller: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Limit on the time until a request has arrived completely.
    pub head_timeout: Duration,
    /// Longest time that a caller may read nothing of its answer.
    pub stall_timeout: Duration,
    /// Time for requests in progress to end at a graceful shutdown.
    pub stop_grace: Duration,
    /// Maximum number of connections to agents.
    pub max_agent_connections: usize,
    /// Retries for each hundred requests.
    pub retry_percent: u32,
    /// Policy for choosing an endpoint.
    pub routing: Policy,
    /// Address for other entries; by default the IP address for callers, with any port.
    pub control: SocketAddr,
    /// Durations on which the at-most-once guarantee depends.
    pub terms: Terms,
    /// Maximum number of key partitions that the entry takes.
    pub max_key_partitions: usize,
    /// Size of the answers kept for retries, in bytes.
    pub kept_answer_bytes: usize,
    /// Address for operators, if the operator API is served.
    pub operator: Option<SocketAddr>,
    /// SHA-256 of the operators' key, in hex.
    pub operator_key_sha256: String,
}

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentCfg {
    /// Address for entries.
    pub listen: SocketAddr,
    /// Name of the agent's endpoint.
    pub endpoint: String,
    /// Address of the engine or service.
    pub backend: String,
    /// Adapter slots of the engine.
    pub slots: usize,
    /// Maximum number of requests running at the endpoint.
    pub max_running: usize,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Time for requests in progress to end at a graceful shutdown.
    pub stop_grace: Duration,
    /// Limit on the time that a load takes.
    pub load_timeout: Duration,
    /// Interval between polls of the engine's state.
    pub poll: Duration,
    /// Policy for choosing the adapter to unload.
    pub eviction: Eviction,
}

/// Addresses and limits of the platform.
#[derive(Debug, Clone)]
pub struct PlatformCfg {
    /// Address of the object API.
    pub objects: String,
    /// Address of the VM list.
    pub vms: String,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Other entries, to be followed while the object API is unavailable.
    pub peers: Vec<String>,
    /// Load budget of the weight store; `None` for no limit.
    pub loads: Option<BudgetLimits>,
}

/// Logs, spans and metrics.
#[derive(Debug, Clone)]
pub struct TelemetryCfg {
    /// UDP address of the statsd server; empty for none.
    pub statsd: String,
    /// Whether spans are written to the log.
    pub spans: bool,
    /// Lowest level of the log lines.
    pub level: tracing::Level,
}

/// Reads and validates a settings file.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| SettingsError::Read(file.clone(), e.to_string()))?;
    parse(&file, &text)
}

/// Parses and validates the text of settings; errors name `file`.
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let raw: wire::Settings = serde_yaml_ng::from_str(text).map_err(|e| {
        let line = e.location().map_or(1, |l| l.line());
        SettingsError::Syntax(file.into(), line, e.to_string())
    })?;
    let mut check = Validator { file, text, errors: String::new() };
    let settings = check.settings(&raw);
    match check.errors.is_empty() {
        true => Ok(settings),
        false => Err(SettingsError::Values(check.errors.trim_end().into())),
    }
}

const SHA256_DIGITS: usize = 64;
/// Minimum ratio of the key lease to the clock skew.
const MIN_LEASE_PER_SKEW: u32 = 10;
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Collects the errors of one file.
struct Validator<'a> {
    file: &'a str,
    text: &'a str,
    errors: String,
}

impl Validator<'_> {
    fn settings(&mut self, raw: &wire::Settings) -> Settings {
        self.require_name("hall", &raw.hall);
        self.require_name("vm", &raw.vm);
        if raw.entry.is_none() && raw.agent.is_none() {
            self.error("entry", "at least one of `entry` and `agent` is required");
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
            let text = "must be one of predicted, random, least, hash";
            self.error("entry.routing", text);
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
            let text = "must be the SHA-256 of a key in hex if entry.operator is set";
            self.error("entry.operator_key_sha256", text);
        }
        if cfg.terms.lease < cfg.terms.skew * MIN_LEASE_PER_SKEW {
            let text = "must be at least ten times entry.clock_skew_ms";
            self.error("entry.key_lease_ms", text);
        }
        if cfg.terms.retention < cfg.max_deadline {
            let text = "must be at least entry.max_deadline_ms";
            self.error("entry.key_retention_ms", text);
        }
        if cfg.default_deadline > cfg.max_deadline {
            let text = "must not exceed entry.max_deadline_ms";
            self.error("entry.default_deadline_ms", text);
        }
        if cfg.max_streams_per_caller > cfg.max_streams {
            let text = "the limit is over entry.max_streams";
            self.error("entry.max_streams_per_caller", text);
        }
        if cfg.retry_percent > 100 {
            self.error("entry.retry_percent", "must not exceed 100");
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
        self.require_name("agent.endpoint", &raw.endpoint);
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
                self.error("agent.eviction", "must be one of heat, lru");
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
            let text = "load_rate and load_concurrency must be set together";
            self.error("platform.load_rate", text);
        }
        (rate > 0.0).then_some(BudgetLimits { rate, concurrency })
    }

    fn telemetry(&mut self, raw: &wire::Telemetry) -> TelemetryCfg {
        if !raw.statsd.is_empty() {
            self.address("telemetry.statsd", &raw.statsd);
        }
        let level = if raw.level.is_empty() { "info" } else { &raw.level };
        let level = level.parse().unwrap_or_else(|_| {
            let text = "must be one of error, warn, info, debug, trace";
            self.error("telemetry.level", text);
            tracing::Level::INFO
        });
        TelemetryCfg { statsd: raw.statsd.clone(), spans: raw.spans, level }
    }

    fn require_name(&mut self, key: &str, value: &str) {
        if value.is_empty() {
            self.error(key, "a name is needed");
        }
    }

    fn address(&mut self, key: &str, value: &str) -> SocketAddr {
        value.parse().unwrap_or_else(|_| {
            self.error(key, &format!("`{value}` is no address like 10.0.0.1:8080"));
            ANY_PORT
        })
    }

    fn error(&mut self, key: &str, what: &str) {
        let line = line_of(self.text, key);
        let _ = writeln!(self.errors, "{}:{line}: {key}: {what}", self.file);
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

/// Finds the line of a dotted key; for a missing key, the line of its nearest parent.
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
