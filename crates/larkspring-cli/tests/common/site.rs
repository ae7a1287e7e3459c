//! Test deployments of separate processes on loopback, with stand-ins for the users'
//! platform.

use std::fs::File;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

pub use larkspring_platform::settings::SETTINGS_FILE_VARIABLE as SETTINGS;
use larkspring_platform_standin::client::{get, Call};
use larkspring_platform_standin::settings::{
    routing_config, NodeSettings, CALLER_PORT, FIRST_NODE_PORT, READINESS_PORT,
    ROUTE_HOST,
};
use larkspring_platform_standin::store::Store;
use larkspring_platform_standin::worker::Worker;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use tempfile::TempDir;

use super::{unique_addr, wait_until};

/// Time-out of the routes, in milliseconds. Long, so that no test depends on it.
pub const TIMEOUT_MS: u64 = 30_000;
/// Number of adapter slots of each engine.
pub const ADAPTER_SLOTS: usize = 3;
/// Environment variable that makes all test deployments follow agents by use.
const FOLLOW_BY_USE: &str = "LARKSPRING_TEST_BY_USE";
/// Port of the engine beside an agent.
const ENGINE_PORT: u16 = 7200;

/// A running deployment. Its processes are killed when it is dropped.
pub struct PlatformCluster {
    pub store: Store,
    /// Workers without a model engine.
    pub plain_workers: Vec<Worker>,
    /// Model engines.
    pub engines: Vec<Worker>,
    pub agents: Vec<PlatformProcess>,
    pub entries: Vec<PlatformProcess>,
    pub dir: TempDir,
    ways: StoreAddrs,
    shape: PlatformClusterSpec,
}

/// Addresses at which processes reach the store, for example through a proxy.
#[derive(Debug, Clone, Copy)]
pub struct StoreAddrs {
    pub agents: SocketAddr,
    pub entries: SocketAddr,
}

/// Sizes and settings of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct PlatformClusterSpec {
    pub entries: usize,
    pub plain_workers: usize,
    pub engines: usize,
    /// Software versions of the engines; empty if all run the default one.
    pub builds: &'static [&'static str],
    pub grace_s: u32,
    /// Memory of each VM, in megabytes.
    pub memory_mb: u32,
    pub timeout_ms: u64,
    /// Time within which a revoked key is refused everywhere, in milliseconds.
    pub revoke_ms: Option<u64>,
    /// Time within which an evacuated zone gets no more requests, in milliseconds.
    pub evacuate_ms: Option<u64>,
    /// Whether entries connect only to the agents that they use, as in a large fleet.
    pub follows_by_use: bool,
    /// Minimum level of the log lines that are written.
    pub log_level: &'static str,
}

impl Default for PlatformClusterSpec {
    fn default() -> Self {
        Self {
            entries: 1,
            plain_workers: 1,
            engines: 1,
            builds: &[],
            grace_s: 8,
            memory_mb: 260,
            timeout_ms: TIMEOUT_MS,
            revoke_ms: None,
            evacuate_ms: None,
            follows_by_use: std::env::var_os(FOLLOW_BY_USE).is_some(),
            log_level: "info",
        }
    }
}

/// A process with its own IP address.
pub struct PlatformProcess {
    child: Child,
    args: Vec<&'static str>,
    /// Base name of its settings and log files.
    pub name: String,
    pub ip: String,
    dir: std::path::PathBuf,
    run_count: usize,
}

impl PlatformCluster {
    /// Starts a deployment and waits until it serves.
    pub fn start(shape: PlatformClusterSpec) -> Self {
        Self::start_with_store_addrs(shape, |store| StoreAddrs {
            agents: store,
            entries: store,
        })
    }

    /// Starts a deployment whose processes reach the store at the addresses that `ways`
    /// returns for the store's address, and waits until it serves.
    pub fn start_with_store_addrs(
        shape: PlatformClusterSpec,
        ways: impl FnOnce(SocketAddr) -> StoreAddrs,
    ) -> Self {
        let site = Self::start_unconfigured_with_store_addrs(shape, ways);
        site.store.put(
            "config",
            "main",
            routing_config(1, shape.timeout_ms, ADAPTER_SLOTS),
        );
        site.list_workers_as_ready();
        for n in 0..shape.entries {
            wait_until("an entry is ready", || site.readiness_status(n) == 200);
        }
        if shape.engines > 0 {
            site.wait_for_agents();
        }
        site
    }

    /// Starts a deployment with an empty store.
    pub fn start_unconfigured(shape: PlatformClusterSpec) -> Self {
        Self::start_unconfigured_with_store_addrs(shape, |store| StoreAddrs {
            agents: store,
            entries: store,
        })
    }

    /// Starts a deployment with an empty store, which processes reach at the addresses
    /// that `ways` returns for the store's address.
    pub fn start_unconfigured_with_store_addrs(
        shape: PlatformClusterSpec,
        ways: impl FnOnce(SocketAddr) -> StoreAddrs,
    ) -> Self {
        let store = Store::start("127.0.0.1:0");
        let ways = ways(store.addr);
        let app = |n| Worker::start("127.0.0.1:0", &format!("app-{n}"));
        let mut site = Self {
            store,
            plain_workers: (0..shape.plain_workers).map(app).collect(),
            engines: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            dir: tempfile::tempdir().unwrap(),
            ways,
            shape,
        };
        for n in 0..shape.engines {
            let ip = unique_ip();
            let addr = format!("{ip}:{ENGINE_PORT}");
            let engine = Worker::start(&addr, &format!("llm-{n}"))
                .into_engine("m0", ADAPTER_SLOTS);
            if let Some(build) = shape.builds.get(n) {
                engine.run_build(build);
            }
            site.engines.push(engine);
            let agent =
                site.process("platform-agent", &format!("agent-{n}"), ip, Some(addr));
            site.agents.push(agent);
        }
        for n in 0..shape.entries {
            let entry =
                site.process("platform-entry", &format!("entry-{n}"), unique_ip(), None);
            site.entries.push(entry);
        }
        site
    }

    /// Writes all workers to the platform's server list as ready.
    pub fn list_workers_as_ready(&self) {
        for (n, app) in self.plain_workers.iter().enumerate() {
            self.store.put(
                "servers",
                &format!("app-{n}"),
                app.store_object("app", "hall-a", "ready"),
            );
        }
        for (n, engine) in self.engines.iter().enumerate() {
            let listed = engine.store_object("llm", "hall-a", "ready");
            self.store.put("servers", &format!("llm-{n}"), listed);
        }
    }

    /// Restarts the workers that have ended, as new runs with new ids, and lists them in
    /// place of the former runs. `runs` counts them, for the ids.
    pub fn restart_ended_workers(&self, runs: &mut usize) {
        for (kind, service, workers) in
            [("app", "app", &self.plain_workers), ("llm", "llm", &self.engines)]
        {
            for (n, worker) in workers.iter().enumerate().filter(|(_, w)| w.has_crashed())
            {
                *runs += 1;
                let former = worker.id();
                let id = format!("{kind}-{n}-run-{runs}");
                worker.restart_process(&id);
                self.store.remove("servers", &former);
                self.store.put(
                    "servers",
                    &id,
                    worker.store_object(service, "hall-a", "ready"),
                );
            }
        }
    }

    /// Waits until every entry has served a request with an adapter and, if its log level
    /// shows that, has logged a connection to every agent.
    pub fn wait_for_agents(&self) {
        let logs_connections = !matches!(self.shape.log_level, "error" | "off")
            && !self.shape.follows_by_use;
        for n in 0..self.entries.len() {
            let agents = if logs_connections { self.agents.len() } else { 0 };
            for agent in 0..agents {
                let name = format!("agent {}", self.agent_addr(agent));
                wait_until("an entry connects to an agent", || {
                    let log = self.entries[n].read_log();
                    let is_connection =
                        |line: &Value| line["event"] == "dependency regained";
                    log.iter()
                        .any(|line| is_connection(line) && line["name"] == name.as_str())
                });
            }
            wait_until("an adapter is served", || {
                let call =
                    Call::post(ROUTE_HOST, "/stream/x", "warm-up", "warm").model("m0/w");
                call.send(&self.caller_addr(n)).status == 200
            });
        }
    }

    /// Waits until every entry knows all workers. An entry reads the list of workers at
    /// intervals, and may have read it while workers were still being listed.
    pub fn wait_for_endpoints(&self) {
        let count = self.plain_workers.len() + self.engines.len();
        let known = format!("larkspring_state{{of=\"endpoints\"}} {count}\n");
        for entry in &self.entries {
            wait_until("an entry knows all workers", || {
                self.metrics(&entry.ip).contains(&known)
            });
        }
    }

    /// Returns the address of an entry for clients.
    pub fn caller_addr(&self, n: usize) -> String {
        format!("{}:{CALLER_PORT}", self.entries[n].ip)
    }

    /// Returns the HTTP status of an entry's readiness; 0 if it refuses connections.
    pub fn readiness_status(&self, n: usize) -> u16 {
        let addr = format!("{}:{READINESS_PORT}", self.entries[n].ip);
        match std::net::TcpStream::connect(&addr) {
            Ok(_) => get(&addr, "/-/readyz").status,
            Err(_) => 0,
        }
    }

    /// Returns the metrics of a process as text.
    pub fn metrics(&self, ip: &str) -> String {
        get(&format!("{ip}:9464"), "/metrics").text()
    }

    /// Returns the address of an agent for entries.
    pub fn agent_addr(&self, n: usize) -> SocketAddr {
        format!("{}:{FIRST_NODE_PORT}", self.agents[n].ip).parse().unwrap()
    }

    fn process(
        &self,
        role: &'static str,
        name: &str,
        ip: String,
        worker: Option<String>,
    ) -> PlatformProcess {
        let store = match role {
            "platform-agent" => self.ways.agents,
            _ => self.ways.entries,
        };
        let node = NodeSettings {
            name: "node",
            ip: ip.clone(),
            zone: "hall-a",
            store: store.to_string(),
            worker,
            grace_s: self.shape.grace_s,
            memory_mb: self.shape.memory_mb,
            revoke_ms: self.shape.revoke_ms,
            evacuate_ms: self.shape.evacuate_ms,
        };
        let dir = self.dir.path().to_owned();
        std::fs::write(dir.join(format!("{name}.yaml")), node.yaml()).unwrap();
        let mut args = vec![role, "--log-level", self.shape.log_level];
        if self.shape.follows_by_use && role == "platform-entry" {
            args.extend(["--max-followed-agents", "0"]);
        }
        let child = spawn(&args, &dir, name, 0);
        PlatformProcess { child, args, name: name.into(), ip, dir, run_count: 1 }
    }
}

impl PlatformProcess {
    /// Kills the process and starts it again at the same address.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.args, &self.dir, &self.name, self.run_count);
        self.run_count += 1;
    }

    /// Kills the process without a graceful shutdown.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process without waiting for its end, so that several end at once.
    pub fn request_kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Requests a graceful shutdown.
    pub fn request_stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Requests a reload of the settings.
    pub fn request_reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Returns the CPU time that the process has used.
    pub fn cpu_time(&self) -> Duration {
        super::cpu_time(self.child.id())
    }

    /// Returns the resident memory in KB.
    pub fn resident_kb(&self) -> u64 {
        super::resident_kb(self.child.id())
    }

    /// Returns the most resident memory that the process has had, in KB.
    pub fn peak_kb(&self) -> u64 {
        super::peak_kb(self.child.id())
    }

    /// Pauses the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a paused process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until the process has ended and returns whether it succeeded.
    pub fn wait_for_exit(&mut self) -> bool {
        let mut success = false;
        wait_until("a process ends", || match self.child.try_wait().unwrap() {
            Some(status) => {
                success = status.success();
                true
            }
            None => false,
        });
        success
    }

    /// Returns the log lines of all its runs.
    pub fn read_log(&self) -> Vec<Value> {
        let mut lines = Vec::new();
        for run in 0..self.run_count {
            let file = self.dir.join(format!("{}.{run}.log", self.name));
            let text = std::fs::read_to_string(file).unwrap_or_default();
            lines.extend(text.lines().filter_map(|l| serde_json::from_str(l).ok()));
        }
        lines
    }

    /// Returns the log lines that name a request.
    pub fn log_of_request(&self, request: &str) -> Vec<Value> {
        let about = |line: &Value| line["request"] == request;
        self.read_log().into_iter().filter(about).collect()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }
}

impl Drop for PlatformProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(args: &[&str], dir: &std::path::Path, name: &str, run: usize) -> Child {
    let log = File::create(dir.join(format!("{name}.{run}.log"))).unwrap();
    Command::new(env!("CARGO_BIN_EXE_larkspring"))
        .args(args)
        .env(SETTINGS, dir.join(format!("{name}.yaml")))
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

/// Returns an IP address that no other process uses.
pub fn unique_ip() -> String {
    unique_addr().rsplit_once(':').unwrap().0.to_owned()
}

/// Time to wait in checks that a state doesn't change.
pub const NO_EVENT_WAIT: Duration = Duration::from_millis(300);
