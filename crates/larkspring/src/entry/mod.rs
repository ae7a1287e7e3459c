//! The entry: the process that callers reach.
//!
//! All entries are alike. Each checks a request, chooses an endpoint by its replicated
//! state and by the load reports of agents, and relays the answer. The endpoint's agent
//! decides whether the request runs.

mod answer;
mod at_most_once;
mod dispatch;
mod error_response;
mod inbound;
pub(crate) mod keys;
mod limits;
mod loads;
mod operator;

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use http_types::{Body, Method, Request, Response};
use hyper::body::Incoming;
use larkspring_core::budget::BudgetLimits;
use larkspring_core::declared::Caller;
use larkspring_core::outcome::{Refusal, Step};
use larkspring_core::retry::RetryBudget;
use larkspring_core::route::Router;
use larkspring_proto::config::config_server::ConfigServer;
use larkspring_proto::keys::keys_server::KeysServer;
use larkspring_proto::loads::loads_server::LoadsServer;
use parking_lot::Mutex;
use serde_json::json;
use smol::net::TcpListener;
use smol::Task;
use tower_service::Service;
use tracing::Instrument;

use self::at_most_once::{Claim, ClaimResult};
use self::inbound::Inbound;
use self::keys::Keys;
use self::limits::{CallerLimits, Permit};
use self::loads::LoadGranter;
use crate::agent::StartError;
use crate::exec;
use crate::follow::{self, Follower};
use crate::http::bearer;
use crate::http::head::HeadError;
use crate::http::server::{serve, Handler, Limits};
use crate::in_force::InForce;
use crate::platform::objects::HttpObjects;
use crate::rpc::{self, channel::Pool};
use crate::settings::{EntryCfg, Settings};
use crate::telemetry::{Metrics, TraceParent};

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// The address on which callers are served.
    pub addr: SocketAddr,
    /// The address on which operators are served, if the settings name an address.
    pub operator_addr: Option<SocketAddr>,
    inner: Arc<EntryState>,
    _stopper: rpc::serve::Stopper,
    _tasks: Vec<Task<()>>,
}

/// Routes calls of other processes to the services of an entry, by path.
#[derive(Clone)]
struct ControlService {
    config: ConfigServer<follow::Service>,
    keys: KeysServer<keys::Service>,
    loads: LoadsServer<loads::Service>,
}

impl Service<http::Request<Incoming>> for ControlService {
    type Response = http::Response<tonic::body::Body>;
    type Error = Infallible;
    type Future =
        Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: http::Request<Incoming>) -> Self::Future {
        match req.uri().path() {
            path if path.starts_with(LOADS_PATH) => self.loads.call(req),
            path if path.starts_with(CONFIG_PATH) => self.config.call(req),
            _ => self.keys.call(req),
        }
    }
}

const CONFIG_PATH: &str = "/larkspring.config.";
const LOADS_PATH: &str = "/larkspring.loads.";
/// Load budget used when the settings set no limit.
const UNLIMITED: BudgetLimits = BudgetLimits { rate: 1e6, concurrency: 1_000_000 };

/// State shared by all requests of an entry.
#[derive(Debug)]
pub(crate) struct EntryState {
    cfg: EntryCfg,
    in_force: Arc<InForce>,
    router: Router,
    pool: Pool,
    budget: Mutex<RetryBudget>,
    limits: CallerLimits,
    keys: Arc<Keys>,
    metrics: Metrics,
    process_id: String,
    next_attempt: AtomicU64,
    stopping: AtomicBool,
}

/// Limit on the time that opening a connection to an agent takes.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle caller connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Connections allowed beyond the stream limit, for callers that are idle between
/// requests.
const SPARE_CONNECTIONS: usize = 1000;
/// Retry delay sent by an entry that is stopping. Short, as another entry can take the
/// request at once.
const STOPPING_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Entry {
    /// Starts an entry in the background.
    pub async fn start(settings: &Settings) -> Result<Self, StartError> {
        let cfg = settings.entry.clone().ok_or(StartError::Settings("entry"))?;
        let listener = TcpListener::bind(cfg.listen)
            .await
            .map_err(|e| StartError::Listen(cfg.listen, e))?;
        let addr = listener.local_addr().unwrap_or(cfg.listen);
        let control = TcpListener::bind(cfg.control)
            .await
            .map_err(|e| StartError::Listen(cfg.control, e))?;
        let control_addr = control.local_addr().unwrap_or(cfg.control);
        let keys = Arc::new(Keys::new(&cfg, settings, control_addr));
        let loads = settings.platform.loads.unwrap_or(UNLIMITED);
        let loads = Arc::new(LoadGranter::new(loads));
        let granting = exec::spawn(loads.clone().run());
        let in_force = Arc::new(InForce::default());
        let relay = control_addr.to_string();
        let follower =
            Arc::new(Follower::new(in_force.clone(), &settings.platform, relay));
        let service = ControlService {
            config: ConfigServer::new(follow::Service { follower: follower.clone() }),
            keys: KeysServer::new(keys::Service { keys: keys.clone() }),
            loads: LoadsServer::new(loads::Service { loads, keys: keys.clone() }),
        };
        let stopper = rpc::serve::serve(control, service);
        let maintain = exec::spawn(keys.clone().maintain());
        let follow = {
            let keys = keys.clone();
            exec::spawn(async move { follower.run(|| keys.held() > 0).await })
        };
        let inner = Arc::new(EntryState::new(cfg, settings, keys, in_force));
        let operators = match inner.cfg.operator {
            Some(addr) => Some(serve_operators(addr, &inner, settings).await?),
            None => None,
        };
        let operator_addr = operators.as_ref().map(|(addr, _)| *addr);
        let http = serve(listener, inner.http_limits(), inner.clone());
        let mut tasks = vec![follow, maintain, granting, exec::spawn(http)];
        tasks.extend(operators.map(|(_, task)| task));
        tracing::info!(%addr, "entry started");
        Ok(Self { addr, operator_addr, inner, _stopper: stopper, _tasks: tasks })
    }

    /// Shuts down gracefully: refuses new requests, hands over the key partitions and
    /// waits up to `stop_grace` for the requests in progress.
    pub async fn stop(self) {
        tracing::info!(addr = %self.addr, "entry is stopping");
        self.inner.stopping.store(true, Ordering::Release);
        self.inner.keys.hand_over().await;
        exec::within(self.inner.cfg.stop_grace, self.inner.limits.wait_idle()).await;
    }
}

/// Starts serving the operator API in the background.
async fn serve_operators(
    addr: SocketAddr,
    entry: &Arc<EntryState>,
    settings: &Settings,
) -> Result<(SocketAddr, Task<()>), StartError> {
    let listener =
        TcpListener::bind(addr).await.map_err(|e| StartError::Listen(addr, e))?;
    let addr = listener.local_addr().unwrap_or(addr);
    let platform = &settings.platform;
    let operator = operator::Operator {
        entry: entry.clone(),
        api: HttpObjects::new(&platform.objects, platform.timeout),
        key_sha256: entry.cfg.operator_key_sha256.clone(),
    };
    let task = exec::spawn(serve(listener, operator::limits(), Arc::new(operator)));
    Ok((addr, task))
}

impl EntryState {
    fn new(
        cfg: EntryCfg,
        settings: &Settings,
        keys: Arc<Keys>,
        in_force: Arc<InForce>,
    ) -> Self {
        Self {
            in_force,
            router: Router::new(cfg.routing),
            pool: Pool::new(cfg.max_agent_connections, CONNECT_TIMEOUT),
            budget: Mutex::new(RetryBudget::new(cfg.retry_percent)),
            limits: CallerLimits::new(cfg.max_streams, cfg.max_streams_per_caller),
            keys,
            metrics: Metrics::new(&settings.telemetry),
            process_id: format!("{:016x}", fastrand::u64(..)),
            next_attempt: AtomicU64::new(1),
            stopping: AtomicBool::new(false),
            cfg,
        }
    }

    fn http_limits(&self) -> Limits {
        Limits {
            max_body: self.cfg.max_body,
            read_timeout: self.cfg.head_timeout,
            idle_timeout: IDLE_TIMEOUT,
            stall_timeout: self.cfg.stall_timeout,
            max_connections: self.cfg.max_streams + SPARE_CONNECTIONS,
        }
    }

    /// Returns a unique attempt id.
    fn attempt_id(&self) -> String {
        format!(
            "{}-{}",
            self.process_id,
            self.next_attempt.fetch_add(1, Ordering::Relaxed)
        )
    }

    async fn answer(self: &Arc<Self>, req: Request) -> Result<Response, Refusal> {
        if req.method() == Method::Get && req.url().path() == "/health" {
            return Ok(self.health());
        }
        if self.stopping.load(Ordering::Acquire) {
            let refusal = Refusal::not_run(Step::Choose, "this entry is stopping");
            return Err(refusal.retry_after(STOPPING_RETRY_DELAY));
        }
        let caller = self.caller(&req)?;
        if req.method() == Method::Get && req.url().path() == "/v1/models" {
            return Ok(self.models(&caller));
        }
        let received = Instant::now();
        let inbound = Inbound::read(self, req, caller, received).await?;
        let trace = inbound.trace.clone();
        let span = tracing::info_span!(
            "entry",
            trace = trace.trace,
            span = trace.span,
            caller = &*inbound.caller.name,
            target = inbound.target_name()
        );
        self.serve(inbound).instrument(span).await
    }

    async fn serve(self: &Arc<Self>, inbound: Inbound) -> Result<Response, Refusal> {
        let permit = self.limits.acquire(&inbound.caller)?;
        let attempt = self.attempt_id();
        let trace = inbound.trace.to_string();
        let mut res = match at_most_once::claim(&self.keys, &inbound, &attempt).await? {
            ClaimResult::Free => {
                answer::respond(dispatch::run(self, inbound).await?, permit, None)
            }
            ClaimResult::Granted(claim) => {
                self.serve_once(inbound, permit, claim).await?
            }
            ClaimResult::Replay(answer) => at_most_once::replay(answer),
        };
        res.insert_header("larkspring-attempt", attempt);
        res.insert_header("traceparent", trace);
        Ok(res)
    }

    /// Serves a request whose key was granted. The request continues if its caller hangs
    /// up.
    async fn serve_once(
        self: &Arc<Self>,
        inbound: Inbound,
        permit: Permit,
        mut claim: Claim,
    ) -> Result<Response, Refusal> {
        let entry = self.clone();
        let work = async move {
            match dispatch::run(&entry, inbound).await {
                Ok(begun) => {
                    claim.record_head(begun.begin.status, &begun.begin.content_type);
                    Ok(answer::respond(begun, permit, Some(claim)))
                }
                Err(refusal) => {
                    claim.settle_refused(&refusal).await;
                    Err(refusal)
                }
            }
        };
        let work = exec::spawn(work.in_current_span());
        DetachOnDrop(Some(work)).await
    }

    fn caller(&self, req: &Request) -> Result<Arc<Caller>, Refusal> {
        let header = req.header("authorization").map(|v| v.as_str());
        let key = header.and_then(|v| bearer(v.as_bytes()));
        let key = key.and_then(|key| std::str::from_utf8(key).ok());
        let refused = || Refusal::not_run(Step::Authenticate, "a valid key is needed");
        let state = self.in_force.state();
        if state.revision == 0 {
            let text = "no declared state is in force yet";
            let refusal = Refusal::not_run(Step::Resolve, text);
            return Err(refusal.retry_after(Duration::from_secs(1)));
        }
        key.and_then(|key| state.caller(key)).ok_or_else(refused)
    }

    fn models(&self, caller: &Caller) -> Response {
        let names = self.in_force.state().models(caller);
        let list: Vec<_> =
            names.iter().map(|n| json!({ "id": n, "object": "model" })).collect();
        json_answer(200, &json!({ "object": "list", "data": list }))
    }

    fn health(&self) -> Response {
        let stopping = self.stopping.load(Ordering::Acquire);
        let revision = self.in_force.state().revision;
        let status = if stopping || revision == 0 { 503 } else { 200 };
        json_answer(
            status,
            &json!({
                "revision": revision,
                "stopping": stopping,
                "key_partitions": self.keys.held(),
            }),
        )
    }
}

impl Handler for EntryState {
    async fn handle(self: Arc<Self>, req: Request, _: SocketAddr) -> Response {
        let started = Instant::now();
        let parent = req.header("traceparent").map(|v| v.as_str().to_owned());
        let res = match self.answer(req).await {
            Ok(res) => {
                self.metrics.count("answers", "outcome", "ok");
                res
            }
            Err(refusal) => {
                self.metrics.count("answers", "outcome", refusal.outcome.name());
                tracing::info!(%refusal, "refused");
                let trace = TraceParent::next(parent.as_deref());
                let mut res = error_response::response(&refusal);
                res.insert_header("traceparent", trace.to_string());
                res
            }
        };
        self.metrics.time("first_byte", started.elapsed());
        res
    }

    fn refuse(&self, error: &HeadError) -> Response {
        self.metrics.count("answers", "outcome", "unreadable");
        error_response::unreadable(error)
    }

    fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

/// Waits for a task, and detaches the task instead of cancelling it when dropped.
struct DetachOnDrop<T>(Option<Task<T>>);

impl<T> Future for DetachOnDrop<T> {
    type Output = T;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<T> {
        match &mut self.0 {
            Some(task) => Pin::new(task).poll(cx),
            None => Poll::Pending,
        }
    }
}

impl<T> Drop for DetachOnDrop<T> {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.detach();
        }
    }
}

/// Builds a response with a JSON body.
fn json_answer(status: u16, value: &serde_json::Value) -> Response {
    let mut res = Response::new(status);
    res.set_body(Body::from_string(value.to_string()));
    res.insert_header("content-type", "application/json");
    res
}
