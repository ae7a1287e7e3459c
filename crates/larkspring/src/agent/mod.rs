//! The agent: the process beside an endpoint through which all of its requests go.
//!
//! The agent decides whether a request runs at its endpoint. Just before it sends a
//! request it checks the adapter, the run of the engine, the deadline and whether the
//! endpoint still takes requests.

mod backend;
mod endpoint;
pub mod fence;
mod job;
mod load_permits;
mod poll;

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::Stream;
use larkspring_core::slots::{Limits, LoadOrder};
use larkspring_proto::agent::agent_server::{Agent as AgentRpc, AgentServer};
use larkspring_proto::agent::{DispatchDown, DispatchUp};
use quick_error::quick_error;
use smol::channel;
use smol::net::TcpListener;
use tonic::{Request, Response, Status, Streaming};

use self::endpoint::Endpoint;
use self::fence::Fence;
use self::load_permits::LoadPermits;
use crate::exec;
use crate::follow::Follower;
use crate::in_force::InForce;
use crate::platform::objects::HttpObjects;
use crate::rpc::serve::serve;
use crate::settings::{AgentCfg, Settings};
use crate::telemetry::Metrics;

quick_error! {
    /// Error that keeps a process from starting.
    #[derive(Debug)]
    pub enum StartError {
        /// The settings have no section for the process.
        Settings(part: &'static str) { display("settings: `{part}` is missing") }
        /// Listening on the address failed.
        Listen(addr: SocketAddr, cause: std::io::Error) {
            display("listen on {addr}: {cause}")
        }
    }
}

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    /// The address on which entries are served.
    pub addr: SocketAddr,
    endpoint: Arc<Endpoint>,
    stopper: crate::rpc::serve::Stopper,
    grace: Duration,
    _tasks: Vec<smol::Task<()>>,
}

impl Agent {
    /// Starts an agent in the background.
    pub async fn start(settings: &Settings) -> Result<Self, StartError> {
        let cfg = settings.agent.clone().ok_or(StartError::Settings("agent"))?;
        let listener = TcpListener::bind(cfg.listen)
            .await
            .map_err(|e| StartError::Listen(cfg.listen, e))?;
        let addr = listener.local_addr().unwrap_or(cfg.listen);
        let objects =
            HttpObjects::new(&settings.platform.objects, settings.platform.timeout);
        let fence = Fence::new(&cfg.endpoint, Box::new(objects));
        let in_force = Arc::new(InForce::default());
        let metrics = Metrics::new(&settings.telemetry);
        let grace = cfg.stop_grace;
        let load_permits = LoadPermits::new(&settings.platform);
        let endpoint = Arc::new(Endpoint::new(
            cfg,
            &settings.vm,
            in_force.clone(),
            metrics,
            fence,
            load_permits,
        ));
        let follower = Follower::new(in_force, &settings.platform, String::new());
        let follow = exec::spawn(async move { follower.run(|| false).await });
        let polls = exec::spawn(poll::run(endpoint.clone()));
        let service = AgentServer::new(Service { endpoint: endpoint.clone() });
        let stopper = serve(listener, service);
        tracing::info!(%addr, endpoint = endpoint.name(), "agent started");
        Ok(Self { addr, endpoint, stopper, grace, _tasks: vec![follow, polls] })
    }

    /// Shuts down gracefully: refuses waiting requests and lets running ones end within
    /// the grace period.
    pub async fn stop(self) {
        self.endpoint.stop();
        tracing::info!(endpoint = self.endpoint.name(), "agent is stopping");
        self.endpoint.wait_idle(self.grace).await;
        self.stopper.stop(self.grace).await;
    }
}

/// Serves calls of entries.
struct Service {
    endpoint: Arc<Endpoint>,
}

/// Messages to an entry that may be queued before the connection takes them.
const MAX_QUEUED_MESSAGES: usize = 4;
/// Limit on the time until the first message of a call.
const START_TIMEOUT: Duration = Duration::from_secs(5);

#[tonic::async_trait]
impl AgentRpc for Service {
    type DispatchStream =
        Pin<Box<dyn Stream<Item = Result<DispatchDown, Status>> + Send>>;

    async fn dispatch(
        &self,
        req: Request<Streaming<DispatchUp>>,
    ) -> Result<Response<Self::DispatchStream>, Status> {
        let (tx, rx) = channel::bounded(MAX_QUEUED_MESSAGES);
        let job = job::run(self.endpoint.clone(), req.into_inner(), tx);
        exec::spawn(job).detach();
        Ok(Response::new(Box::pin(rx)))
    }
}

/// Returns the scheduler's limits from the settings.
fn limits(cfg: &AgentCfg) -> Limits {
    Limits {
        slots: cfg.slots,
        max_running: cfg.max_running,
        max_waiting: cfg.max_waiting,
        max_loading: MAX_CONCURRENT_LOADS,
        paced: false,
        patience: EVICTION_DELAY,
        settle: REPORT_SETTLE_TIME,
        eviction: cfg.eviction,
        order: LoadOrder::Urgency,
    }
}

/// Maximum number of concurrent loads in one engine.
const MAX_CONCURRENT_LOADS: usize = 2;
/// Time that a request waits before an adapter in use is evicted for the request's
/// adapter.
const EVICTION_DELAY: Duration = Duration::from_secs(2);
/// Time after the start in which the engine's reports may still lack requests.
const REPORT_SETTLE_TIME: Duration = Duration::from_secs(3);
