//! Dispatch of a request: choosing an endpoint, sending, and retrying at another
//! endpoint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use larkspring_core::declared::Endpoint;
use larkspring_core::ids::EndpointId;
use larkspring_core::outcome::{Outcome, Refusal, Step};
use larkspring_core::retry::backoff;
use larkspring_core::route::Policy;
use larkspring_proto::agent::agent_client::AgentClient;
use larkspring_proto::agent::{
    dispatch_down, dispatch_up, Begin, Credit, DispatchDown, DispatchUp, Hint,
    ModelTarget, ServiceTarget, Start,
};
use smol::channel::{self, Sender};
use smol::Timer;
use tonic::{Status, Streaming};

use super::inbound::{Destination, Inbound};
use super::EntryState;
use crate::rpc::channel::nothing_sent;
use crate::rpc::credit::INITIAL_UNITS;
use crate::wire::{load_report_from_wire, refusal_from_wire};

/// An answer whose head has arrived.
pub struct StartedAnswer {
    /// The head of the answer.
    pub begin: Begin,
    /// The call that carries the body.
    pub call: AgentCall,
    /// The request's deadline.
    pub deadline: Instant,
}

/// One call to an agent; dropping it cancels the call.
pub struct AgentCall {
    entry: Arc<EntryState>,
    endpoint: Arc<Endpoint>,
    up: Sender<DispatchUp>,
    down: Option<Streaming<DispatchDown>>,
}

/// Maximum number of attempts at a request, each at another endpoint.
const MAX_ATTEMPTS: usize = 4;
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(250);
/// Time after the deadline in which the agent may still report that the deadline passed.
const AGENT_GRACE: Duration = Duration::from_millis(500);
/// Retry delay sent when no endpoint could be chosen or reached.
const NO_ENDPOINT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Dispatches a request, with retries, until an answer begins or no attempt is left.
pub async fn run(
    entry: &Arc<EntryState>,
    req: Inbound,
) -> Result<StartedAnswer, Refusal> {
    entry.budget.lock().earn();
    let mut tried: Vec<EndpointId> = Vec::new();
    // Outcome of the latest earlier attempt that an endpoint may have run.
    let mut earlier = None;
    let mut rng = fastrand::Rng::new();
    let mut next = choose_endpoint(entry, &req, &tried, &mut rng);
    loop {
        let endpoint = next.map_err(|refusal| refusal.after(earlier))?;
        tried.push(endpoint.name.clone());
        let last = match attempt(entry, &req, endpoint).await {
            Ok(begun) => return Ok(begun),
            Err(refusal) => refusal.after(earlier),
        };
        let wait = backoff(INITIAL_BACKOFF, MAX_BACKOFF, tried.len() as u32, &mut rng);
        let in_time = Instant::now() + wait < req.deadline;
        if !may_retry(&req, &last) || tried.len() >= MAX_ATTEMPTS || !in_time {
            return Err(last);
        }
        next = choose_endpoint(entry, &req, &tried, &mut rng);
        if next.is_err() {
            return Err(last);
        }
        if !entry.budget.lock().spend() {
            entry.metrics.count("retries", "outcome", "no_budget");
            return Err(last);
        }
        if last.outcome != Outcome::NotRun {
            earlier = Some(last.outcome);
        }
        entry.metrics.count("retries", "outcome", "sent");
        tracing::info!(refusal = %last, "retrying at another endpoint");
        Timer::after(wait).await;
    }
}

/// Whether a retry cannot run the request more often than the caller allows.
fn may_retry(req: &Inbound, last: &Refusal) -> bool {
    match last.outcome {
        Outcome::NotRun => last.elsewhere,
        Outcome::Unknown => req.repeatable,
        Outcome::Failed => req.repeatable && last.elsewhere,
    }
}

fn choose_endpoint(
    entry: &EntryState,
    req: &Inbound,
    tried: &[EndpointId],
    rng: &mut fastrand::Rng,
) -> Result<Arc<Endpoint>, Refusal> {
    let state = entry.in_force.state();
    let (mut endpoints, target) = match &req.destination {
        Destination::Model { target, base, .. } => {
            let target = target.hash();
            let near = match entry.cfg.routing {
                Policy::Predicted | Policy::Hash => state.engines_near(base, target),
                Policy::Random | Policy::Least => state.engines(base).iter().collect(),
            };
            (near, Some(target))
        }
        Destination::Service { service, .. } => {
            (state.service_endpoints(service).iter().collect(), None)
        }
    };
    endpoints.retain(|e| !entry.in_force.is_vm_leaving(&e.vm));
    let chosen = entry.router.choose(Instant::now(), &endpoints, target, tried, rng);
    chosen.ok_or_else(|| {
        let refusal = Refusal::not_run(Step::Choose, "no endpoint takes the request now");
        refusal.retry_after(NO_ENDPOINT_RETRY_DELAY)
    })
}

/// Makes one attempt at one endpoint and waits for the head of the answer.
async fn attempt(
    entry: &Arc<EntryState>,
    req: &Inbound,
    endpoint: Arc<Endpoint>,
) -> Result<StartedAnswer, Refusal> {
    let work = start_attempt(entry, req, endpoint.clone());
    let late = async {
        Timer::at(req.deadline + AGENT_GRACE).await;
        let text = "the deadline passed and the agent did not answer";
        Err(Refusal::unknown(Step::Begin, text).peer(&*endpoint.name))
    };
    work.or(late).await
}

async fn start_attempt(
    entry: &Arc<EntryState>,
    req: &Inbound,
    endpoint: Arc<Endpoint>,
) -> Result<StartedAnswer, Refusal> {
    let peer = endpoint.name.clone();
    let mut call = open_call(entry, req, endpoint).await?;
    match call.next().await {
        Some(Ok(dispatch_down::Kind::Begin(begin))) => {
            call.record_report(begin.hint.clone());
            Ok(StartedAnswer { begin, call, deadline: req.deadline })
        }
        Some(Ok(dispatch_down::Kind::Refusal(mut refusal))) => {
            call.record_report(refusal.hint.take());
            Err(refusal_from_wire(refusal, &peer))
        }
        Some(Ok(_)) | None => {
            let text = "the agent ended the call without an answer";
            Err(Refusal::unknown(Step::Begin, text).peer(&*peer))
        }
        Some(Err(status)) => {
            Err(Refusal::unknown(Step::Begin, status.to_string()).peer(&*peer))
        }
    }
}

/// Opens a call to the endpoint's agent and sends the request.
async fn open_call(
    entry: &Arc<EntryState>,
    req: &Inbound,
    endpoint: Arc<Endpoint>,
) -> Result<AgentCall, Refusal> {
    let peer = endpoint.name.clone();
    let not_sent = |cause: String| {
        entry.router.unreachable(Instant::now(), &peer);
        let refusal = Refusal::not_run(Step::Connect, cause).elsewhere();
        refusal.peer(&*peer).retry_after(NO_ENDPOINT_RETRY_DELAY)
    };
    let channel = entry.pool.get(&endpoint.agent).await;
    let channel = channel.map_err(|e| not_sent(e.to_string()))?;
    let origin = channel.origin();
    let (up, messages) = channel::unbounded();
    let start = start_message(entry, req);
    let _ = up.try_send(DispatchUp { kind: Some(dispatch_up::Kind::Start(start)) });
    entry.router.sent(&endpoint.name);
    let mut call = AgentCall { entry: entry.clone(), endpoint, up, down: None };
    let mut client = AgentClient::with_origin(channel, origin);
    match client.dispatch(messages).await {
        Ok(res) => call.down = Some(res.into_inner()),
        Err(status) if nothing_sent(&status) => {
            return Err(not_sent(status.message().into()))
        }
        Err(status) => {
            let refusal = Refusal::unknown(Step::Send, status.to_string());
            return Err(refusal.peer(&*peer).elsewhere());
        }
    }
    Ok(call)
}

fn start_message(entry: &EntryState, req: &Inbound) -> Start {
    let left = req.deadline.saturating_duration_since(Instant::now());
    let mut start = Start {
        attempt: entry.attempt_id(),
        caller: req.caller.name.to_string(),
        deadline_ms: left.as_millis() as u64,
        priority: req.priority,
        body: req.body.clone(),
        content_type: req.content_type.clone(),
        traceparent: req.trace.to_string(),
        revision: entry.in_force.state().revision,
        credit: INITIAL_UNITS,
        repeatable: req.repeatable,
        max_tokens: req.max_tokens,
        ..Start::default()
    };
    match &req.destination {
        Destination::Model { target, path, .. } => {
            start.model = Some(ModelTarget {
                adapter: target.adapter.to_string(),
                version: target.version.to_string(),
                path: (*path).into(),
            });
        }
        Destination::Service { service, method, path } => {
            start.service = Some(ServiceTarget {
                service: service.clone(),
                method: method.to_string(),
                path: path.clone(),
            });
        }
    }
    start
}

impl AgentCall {
    /// Waits for the next message; `None` if the agent ended the call.
    pub async fn next(&mut self) -> Option<Result<dispatch_down::Kind, Status>> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Polls for the next message.
    pub fn poll_next(
        &mut self,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<dispatch_down::Kind, Status>>> {
        use futures_lite::Stream;
        let Some(down) = &mut self.down else { return std::task::Poll::Ready(None) };
        std::pin::Pin::new(down).poll_next(cx).map(|next| match next? {
            Ok(DispatchDown { kind: Some(kind) }) => Some(Ok(kind)),
            Ok(_) => Some(Err(Status::internal("an empty message"))),
            Err(status) => Some(Err(status)),
        })
    }

    /// Returns the name of the endpoint.
    pub fn peer(&self) -> &str {
        &self.endpoint.name
    }

    /// Grants the agent `units` more units of credit.
    pub fn grant(&self, units: u32) {
        let credit = dispatch_up::Kind::Credit(Credit { units });
        // The send fails only if the call has ended, and then no credit is needed.
        let _ = self.up.try_send(DispatchUp { kind: Some(credit) });
    }

    /// Records the agent's load report of its endpoint.
    pub fn record_report(&self, hint: Option<Hint>) {
        if let Some(hint) = hint {
            let name = &self.endpoint.name;
            self.entry.router.learn(Instant::now(), name, load_report_from_wire(hint));
        }
    }
}

impl Drop for AgentCall {
    fn drop(&mut self) {
        self.entry.router.done(&self.endpoint.name);
    }
}
