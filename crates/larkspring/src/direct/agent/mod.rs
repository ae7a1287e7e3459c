//! The agent beside a model engine: loads adapters for the entries and keeps them
//! resident.
//!
//! 1. [`serve`]: accepts entries, each on one connection.
//! 2. [`controller`]: decides with `core::engine_scheduler` which adapters are loaded;
//!    one task owns the state.
//! 3. [`orders`]: applies the engine's reports and issues the orders that follow.
//! 4. [`publish`]: publishes the engine's state to the entries.
//! 5. [`driver`]: requests the engine's reports and sends it orders, one at a time.
//! 6. [`state_cache`]: reads the declared state once for all entries of the hall.
//! 7. [`routing_keeper`]: keeps the newest routing for entries that start.
//! 8. [`quarantine_sync`]: keeps quarantined request fingerprints in the platform's
//!    store.
//! 9. [`stream_ends`]: whether the engine breaks off its streams.

mod controller;
mod driver;
mod orders;
mod publish;
mod quarantine_sync;
mod routing_keeper;
mod serve;
mod state_cache;
mod stream_ends;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use smol::net::TcpListener;
use smol::{channel, Task};

use self::controller::Controller;
use self::state_cache::StateCache;
use super::cfg::AgentCfg;
use super::entry::StartError;
use super::platform_api::{Protocol, QuarantineStore, StateStore};
use super::quarantine::CrashReports;
use super::stats::Stats;
use super::{logs, status_server};
use crate::exec;
use crate::rpc::serve::ShutdownHandle;

/// A running agent.
pub struct Agent {
    /// The address at which entries connect.
    pub addr: SocketAddr,
    stopper: ShutdownHandle,
    _tasks: Vec<Task<()>>,
}

/// Time allowed for entries' connections to close; entries continue without the agent.
const STOP_GRACE: Duration = Duration::from_millis(200);

impl Agent {
    /// Starts an agent in the background.
    pub async fn start(
        cfg: AgentCfg,
        protocol: Arc<dyn Protocol>,
        directory: Arc<dyn StateStore>,
        quarantine: Arc<dyn QuarantineStore>,
    ) -> Result<Self, StartError> {
        let listener = TcpListener::bind(cfg.listen).await;
        let listener =
            listener.map_err(|e| StartError::Listen("entries", cfg.listen, e))?;
        let addr = listener.local_addr().unwrap_or(cfg.listen);
        let stats = Arc::new(Stats::new());
        let (tx, rx) = channel::unbounded();
        let commands = driver::start(cfg.engine, protocol, stats.clone(), tx.clone());
        let metrics = cfg.process.metrics;
        let crash_reports = Arc::new(CrashReports::new(stats.clone()));
        let state = StateCache::new(directory, stats.clone(), &cfg.process);
        let (metrics_stats, metrics_findings, metrics_state) =
            (stats.clone(), crash_reports.clone(), state.clone());
        let handler = move |_: &str| {
            metrics_findings.write_metrics();
            metrics_state.write_metrics();
            (StatusCode::OK, metrics_stats.encode())
        };
        let served = status_server::serve(metrics, Arc::new(handler)).await;
        let served = served.map_err(|e| StartError::Listen("metrics", metrics, e))?;
        tracing::info!(
            event = "start",
            process = "agent",
            hall = %cfg.process.hall,
            addr = %addr,
            engine = %cfg.engine,
        );
        let (followed, is_followed) = channel::bounded(1);
        let controller =
            Controller::new(&cfg, commands, stats, crash_reports.clone(), followed);
        let tasks = vec![
            served,
            exec::spawn(controller.run(rx)),
            exec::spawn(quarantine_sync::run(
                quarantine,
                crash_reports,
                tx.clone(),
                is_followed,
            )),
            exec::spawn(logs::log_dropped_lines()),
        ];
        let stopper = serve::start(listener, tx, state);
        Ok(Self { addr, stopper, _tasks: tasks })
    }

    /// Stops the agent. The engine keeps the adapters that it holds.
    pub async fn stop(self) {
        tracing::info!(event = "stop", process = "agent");
        self.stopper.stop(STOP_GRACE).await;
        tracing::info!(event = "stopped", process = "agent");
    }
}
