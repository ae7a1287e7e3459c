//! Test deployments of separate processes on loopback, with stand-ins for the outside
//! systems.
#![allow(dead_code)]

pub mod client;
pub mod site;

use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader, Write as _};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use larkspring_core::declared::key_hash;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use tempfile::TempDir;

use self::client::{get_json, post_json};

pub const CALLER_KEY: &str = "key-of-agency";
pub const OTHER_CALLER_KEY: &str = "key-of-delta";
/// Limits the wait for a state. Generous, since no check measures time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Sizes and settings of a deployment.
pub struct ClusterSpec {
    pub engines: usize,
    pub entries: usize,
    pub slots: usize,
    /// Initial faults of each engine.
    pub engine_faults: Value,
    /// Initial faults of the weight store.
    pub weight_store_faults: Value,
    /// Further settings of each entry and agent, as indented lines.
    pub entry_settings: &'static str,
    pub agent_settings: &'static str,
    pub platform_settings: &'static str,
    /// Addresses at which the entries serve operators; empty for none.
    pub operators: Vec<String>,
}

impl Default for ClusterSpec {
    fn default() -> Self {
        Self {
            engines: 1,
            entries: 1,
            slots: 4,
            engine_faults: json!({ "step_us": 1000 }),
            weight_store_faults: json!({ "rate": 1000.0, "concurrency": 100, "load_ms": 5 }),
            entry_settings: "",
            agent_settings: "",
            platform_settings: "",
            operators: Vec::new(),
        }
    }
}

/// A running deployment. Its processes are killed when it is dropped.
pub struct Cluster {
    pub objects: ClusterProcess,
    pub weights: ClusterProcess,
    pub vms: ClusterProcess,
    pub service: ClusterProcess,
    pub engines: Vec<ClusterProcess>,
    pub agents: Vec<ClusterProcess>,
    pub service_agent: ClusterProcess,
    pub entries: Vec<ClusterProcess>,
    pub dir: TempDir,
    /// Control addresses of the entries, for each other.
    control_addrs: Vec<String>,
    plan: ClusterSpec,
}

/// A process and the address that it printed.
pub struct ClusterProcess {
    child: Child,
    args: Vec<String>,
    pub addr: String,
}

impl Cluster {
    pub fn start(plan: ClusterSpec) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let objects = ClusterProcess::start(&["standin", "objects"]);
        let weights = ClusterProcess::start(&["standin", "weights"]);
        post_json(&weights.addr, "/faults", &plan.weight_store_faults);
        let vms = ClusterProcess::start(&["standin", "vms"]);
        let service = ClusterProcess::start(&["standin", "service"]);
        let mut engines = Vec::new();
        let mut agents = Vec::new();
        for n in 0..plan.engines {
            let engine =
                ClusterProcess::start(&["standin", "engine", "--weights", &weights.addr]);
            let mut faults = plan.engine_faults.clone();
            faults["slots"] = json!(plan.slots);
            post_json(&engine.addr, "/faults", &faults);
            let name = format!("engine-{n}");
            agents.push(start_agent(&dir, &plan, &name, &engine.addr, &objects.addr));
            engines.push(engine);
        }
        let name = "service-0";
        let service_agent = start_agent(&dir, &plan, name, &service.addr, &objects.addr);
        let entries = Vec::new();
        let mut cluster = Self {
            objects,
            weights,
            vms,
            service,
            engines,
            agents,
            service_agent,
            entries,
            dir,
            control_addrs: Vec::new(),
            plan,
        };
        cluster.declare(&cluster.declaration(""));
        for _ in 0..cluster.plan.entries {
            cluster.add_entry();
        }
        cluster.wait_until_ready();
        cluster
    }

    pub fn entry(&self) -> &str {
        &self.entries[0].addr
    }

    /// Starts a further entry.
    pub fn add_entry(&mut self) {
        let n = self.entries.len();
        let file = self.dir.path().join(format!("entry-{n}.yaml"));
        let control = unique_addr();
        let peers = self.control_addrs.join(", ");
        let text = format!(
            "hall: h\nvm: vm-entry-{n}\nplatform:\n  objects: {}\n  vms: {}\n  \
             timeout_ms: 500\n  peers: [{peers}]\n{}telemetry:\n  spans: true\n\
             entry:\n  listen: 127.0.0.1:0\n  control: {control}\n{}",
            self.objects.addr,
            self.vms.addr,
            self.plan.platform_settings,
            self.plan.entry_settings
        );
        let operator =
            self.plan.operators.get(n).map(|addr| format!("  operator: {addr}\n"));
        let text = text + operator.as_deref().unwrap_or_default();
        self.control_addrs.push(control);
        std::fs::write(&file, text).unwrap();
        let entry =
            ClusterProcess::start(&["entry", "--settings", file.to_str().unwrap()]);
        self.entries.push(entry);
    }

    /// Returns the declarations, with `engine_lines` added to each engine's endpoint.
    pub fn declaration(&self, engine_lines: &str) -> String {
        let mut text = String::from("adapters:\n");
        for n in 0..20 {
            let _ = write!(
                text,
                "- name: a{n}\n  base: base\n  default_version: v1\n  versions:\n  \
                 - name: v1\n    weights: a{n}/v1\n  - name: v2\n    weights: a{n}/v2\n"
            );
        }
        text.push_str(
            "- name: once\n  base: base\n  default_version: v1\n  not_repeatable: true\n  \
             versions:\n  - name: v1\n    weights: once/v1\n\
             - name: secret\n  base: base\n  default_version: v1\n  groups: [agency]\n  \
             versions:\n  - name: v1\n    weights: secret/v1\n",
        );
        let _ = write!(
            text,
            "callers:\n- name: agency\n  key_sha256: {}\n  groups: [agency]\n\
             - name: delta\n  key_sha256: {}\n\
             services:\n- name: loggers\n  not_repeatable: ['POST /config']\nendpoints:\n",
            key_hash(CALLER_KEY),
            key_hash(OTHER_CALLER_KEY)
        );
        for (n, agent) in self.agents.iter().enumerate() {
            let _ = write!(
                text,
                "- name: engine-{n}\n  hall: h\n  vm: vm-engine-{n}\n  agent: {}\n  \
                 base: base\n  checks_fences: true\n{engine_lines}",
                agent.addr
            );
        }
        let _ = write!(
            text,
            "- name: service-0\n  hall: h\n  vm: vm-s\n  agent: {}\n  service: loggers\n",
            self.service_agent.addr
        );
        text
    }

    /// Publishes declarations as the declared state.
    pub fn declare(&self, text: &str) {
        let dir = self.dir.path().join("declarations");
        std::fs::create_dir_all(&dir).unwrap();
        std::fs::write(dir.join("all.yaml"), text).unwrap();
        let dir = dir.to_str().unwrap();
        let out = run_command(&["apply", dir, "--objects", &self.objects.addr]);
        assert!(out.status.success(), "{out:?}");
    }

    /// Kills the agent of an engine and starts it again at the same address.
    pub fn restart_agent(&mut self, n: usize) {
        self.agents[n].restart();
    }

    /// Kills an entry and starts it again with the same control address.
    pub fn restart_entry(&mut self, n: usize) {
        self.entries[n].restart();
    }

    /// Waits until the entries together hold all 64 partitions of the idempotency keys.
    pub fn wait_for_key_partitions(&self) {
        wait_until("all partitions are held", || {
            let held = self.entries.iter().map(|entry| entry.key_partitions());
            held.sum::<u64>() == 64
        });
    }

    /// Returns the statistics of an engine.
    pub fn engine_stats(&self, n: usize) -> Value {
        get_json(&self.engines[n].addr, "/stats")
    }

    /// Sets faults of an engine, in addition to its initial ones.
    pub fn set_engine_faults(&self, n: usize, more: Value) {
        let mut faults = self.plan.engine_faults.clone();
        faults["slots"] = json!(self.plan.slots);
        for (key, value) in more.as_object().unwrap() {
            faults[key] = value.clone();
        }
        post_json(&self.engines[n].addr, "/faults", &faults);
    }

    /// Returns the number of times that engines ran a prompt.
    pub fn run_count(&self, prompt: &str) -> usize {
        let ends = format!(" {prompt}");
        let stats = (0..self.engines.len()).map(|n| self.engine_stats(n));
        stats
            .map(|stats| {
                let runs = stats["runs"].as_array().unwrap().clone();
                runs.iter().filter(|r| r.as_str().unwrap().ends_with(&ends)).count()
            })
            .sum()
    }

    fn wait_until_ready(&self) {
        for entry in &self.entries {
            wait_until("an entry is ready", || {
                client::get_status(&entry.addr, "/health") == 200
            });
        }
        for n in 0..self.engines.len() {
            wait_until("an engine's agent is ready", || {
                let body = json!({ "model": format!("a{n}"), "prompt": "warm-up",
                    "max_tokens": 1 });
                client::send_completion(self.entry(), CALLER_KEY, &body, &[]).status
                    == 200
            });
        }
        wait_until("the service's agent is ready", || {
            let warm_up = client::call(self.entry(), "GET", "/services/loggers/warm-up");
            warm_up.status == 200
        });
    }
}

fn start_agent(
    dir: &TempDir,
    plan: &ClusterSpec,
    name: &str,
    backend: &str,
    objects: &str,
) -> ClusterProcess {
    let file = dir.path().join(format!("{name}.yaml"));
    let text = format!(
        "hall: h\nvm: vm-{name}\nplatform:\n  objects: {objects}\n  timeout_ms: 500\n{}\
         telemetry:\n  spans: true\nagent:\n  listen: {}\n  endpoint: {name}\n  \
         backend: {backend}\n  slots: {}\n  poll_ms: 50\n{}",
        plan.platform_settings,
        unique_addr(),
        plan.slots,
        plan.agent_settings
    );
    std::fs::write(&file, text).unwrap();
    ClusterProcess::start(&["agent", "--settings", file.to_str().unwrap()])
}

impl ClusterProcess {
    /// Starts the program and waits for its address. Its log is kept beside its settings.
    pub fn start(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_larkspring"))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        let mut log = open_log(args);
        loop {
            line.clear();
            let len = out.read_line(&mut line).unwrap();
            assert!(len > 0, "{args:?} printed no address");
            // Log lines may precede the address.
            if !line.starts_with('{') {
                break;
            }
            if let Some(log) = &mut log {
                log.write_all(line.as_bytes()).unwrap();
            }
        }
        std::thread::spawn(move || match log {
            Some(mut log) => std::io::copy(&mut out, &mut log),
            None => std::io::copy(&mut out, &mut std::io::sink()),
        });
        let addr = line.trim().to_owned();
        Self { child, args: args.iter().map(|a| a.to_string()).collect(), addr }
    }

    /// Kills the process and starts it again.
    pub fn restart(&mut self) {
        self.kill();
        let args: Vec<_> = self.args.iter().map(String::as_str).collect();
        *self = Self::start(&args);
    }

    /// Kills the process without a graceful shutdown.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the number of partitions of the idempotency keys that an entry holds.
    pub fn key_partitions(&self) -> u64 {
        get_json(&self.addr, "/health")["key_partitions"].as_u64().unwrap()
    }

    /// Requests a graceful shutdown.
    pub fn request_stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Pauses the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a paused process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until the process has ended.
    pub fn wait_for_exit(&mut self) {
        wait_until("a process ends", || self.child.try_wait().unwrap().is_some());
    }

    /// Returns whether the process has ended.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Returns the resident memory in KB.
    pub fn resident_kb(&self) -> u64 {
        resident_kb(self.child.id())
    }

    /// Returns the CPU time that the process has used.
    pub fn cpu_time(&self) -> Duration {
        cpu_time(self.child.id())
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }
}

impl Drop for ClusterProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Opens a log file beside the settings of a process, if it has settings.
fn open_log(args: &[&str]) -> Option<File> {
    let settings = args.iter().skip_while(|a| **a != "--settings").nth(1)?;
    let file = Path::new(settings).with_extension("log");
    let log = File::options().create(true).append(true).open(file);
    Some(log.unwrap())
}

/// Returns a loopback address that no other process uses. Each test process has its own
/// range of IP addresses, so that a process can be restarted at the same address.
pub fn unique_addr() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let (pid, count) = (std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    let (high, low) = (1 + pid % 200, pid / 200 % 250);
    assert!(count < 250, "a test process has no more addresses");
    format!("127.{high}.{low}.{count}:{OWN_PORT}")
}

const OWN_PORT: u16 = 7000;

/// Returns the resident memory of a process, in KB.
pub fn resident_kb(pid: u32) -> u64 {
    memory_kb(pid, "VmRSS:")
}

/// Returns the most resident memory that a process has had, in KB.
pub fn peak_kb(pid: u32) -> u64 {
    memory_kb(pid, "VmHWM:")
}

fn memory_kb(pid: u32, field: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = text.lines().find(|l| l.starts_with(field)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Returns the CPU time that a process has used, in the kernel's resolution of 10 ms.
pub fn cpu_time(pid: u32) -> Duration {
    const TICK: Duration = Duration::from_millis(10);
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks = |at: usize| fields[at].parse::<u32>().unwrap();
    TICK * (ticks(11) + ticks(12))
}

/// Runs a command of the program to its end.
pub fn run_command(args: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_larkspring")).args(args).output().unwrap()
}

/// Polls until `seen` returns true. Panics after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut seen: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !seen() {
        assert!(Instant::now() < end, "not seen: {what}");
        std::thread::park_timeout(POLL_INTERVAL);
    }
}
