//! A request that is being served, and what bounds its attempts.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderMap, Method, Uri};
use larkspring_core::fleet::attempt::{
    next_step, AttemptHistory, AttemptStatus, NextStep,
};
use larkspring_core::fleet::idle::Reuse;
use larkspring_core::fleet::mechanisms::Mechanism;
use larkspring_core::fleet::routes::{Route, Service};
use larkspring_core::fleet::stream_origins::StreamStart;
use larkspring_core::ids::Incarnation;
use larkspring_core::workspaces::Workspace;

use super::admission::Charge;
use super::body::RequestBody;
use super::features::RequestFeatures;
use super::peer::Peer;
use super::selection_inputs::SelectionInputs;
use super::EntryState;
use crate::direct::conn::{ConnId, SendBody};
use crate::direct::platform_api::CallerRequest;
use crate::direct::replicated_state::RoutingView;

/// A request that is being served.
pub(super) struct RequestHandler {
    pub entry: Arc<EntryState>,
    /// The routing by which the request is served.
    pub view: RoutingView,
    pub route: Arc<Route>,
    pub service: Arc<Service>,
    pub caller: CallerRequest,
    /// The workspace to which the caller's API key belongs.
    pub workspace: Option<Arc<Workspace>>,
    /// The units that the request takes from the workspace's limit.
    pub charge: Option<Charge>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: RequestBody,
    pub received: Instant,
    /// When the request was last sent to an endpoint.
    pub sent_at: Instant,
    /// When the request times out, by the caller's deadline or the route's time-out.
    pub deadline: Instant,
    pub history: AttemptHistory,
    /// Endpoints that the request was sent to or that could not be reached.
    pub tried: Vec<Incarnation>,
    /// Connections on which the request was sent.
    pub connections: Vec<ConnId>,
    /// Whether an attempt that the endpoint may be executing is in progress, or an earlier
    /// attempt may have run.
    pub in_flight: Arc<AtomicBool>,
    /// What the request may have in common with others that crash endpoints.
    pub features: Arc<RequestFeatures>,
    /// Whether the request is the retry of a recently refused request.
    pub is_retry: bool,
    /// Id of the last event of a stream that the caller has received.
    pub resume_after: Option<String>,
    /// Where the stream began.
    pub start: StreamStart,
    /// Time spent waiting for the adapter so far.
    pub waited: Duration,
    /// The inputs of the last endpoint selection.
    pub inputs: Option<SelectionInputs>,
}

/// Time-out of a request without a deadline on a route without a time-out.
pub(super) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// Fraction of the latency objective within which a refusal still leaves the caller time
/// to retry.
const EARLY_FRACTION: f64 = 0.25;
/// Time reserved for the answer when a request waits for an endpoint.
const ANSWER_RESERVE: Duration = Duration::from_millis(500);

impl RequestHandler {
    /// Returns how long the request may still wait for an endpoint before it is refused.
    ///
    /// A caller that is refused early still has time to retry. A request that is a retry
    /// itself, that has waited past the early part of its objective, or that may have run
    /// and so can't be refused, waits for as long as an answer in time is possible.
    pub fn max_wait(&self) -> Duration {
        if !self.entry.cfg().disabled_mechanisms.is_enabled(Mechanism::EndpointWait) {
            return Duration::ZERO;
        }
        let early = self.route.first_byte_objective.mul_f64(EARLY_FRACTION);
        let can_be_refused = !self.is_retry && !self.history.may_have_run;
        match early.checked_sub(self.received.elapsed()) {
            Some(left) if can_be_refused => left.min(self.time_left()),
            _ => self.time_left().saturating_sub(ANSWER_RESERVE),
        }
    }

    /// Records the outcome of an attempt and decides how to proceed.
    pub fn record_attempt(&mut self, end: AttemptStatus, peer: &Arc<Peer>) -> NextStep {
        self.in_flight
            .store(self.history.may_have_run || end.may_have_run(), Ordering::Release);
        self.history.attempts += 1;
        let id = peer.endpoint().id.clone();
        if end == AttemptStatus::EndpointReplaced {
            // The run is gone, so it does not count as an endpoint that was tried.
            self.history.endpoints = self.history.endpoints.saturating_sub(1);
        }
        match end {
            // The same endpoint is retried once it has loaded the adapter.
            AttemptStatus::AdapterMissing if self.needs_adapter() => {
                self.tried.retain(|tried| *tried != id)
            }
            _ if !self.tried.contains(&id) => self.tried.push(id),
            _ => {}
        }
        let entry = self.entry.clone();
        let service = self.service.name.clone();
        let retry = || entry.take_retry(&service);
        if end == AttemptStatus::Unknown
            && self.entry.crashes.is_suspected(&self.features)
        {
            // Another attempt might crash another endpoint.
            self.history.may_have_run = true;
            return NextStep::Fail;
        }
        let step = next_step(
            self.route.class,
            end,
            self.history,
            self.route.max_endpoints,
            retry,
        );
        self.history.may_have_run |= end.may_have_run();
        step
    }

    /// Returns the name of the caller's workspace, if any.
    pub fn workspace_name(&self) -> Option<&str> {
        self.workspace.as_ref().map(|workspace| &*workspace.name)
    }

    /// Returns the priority of the workspace, or else of the route; 0 is the most urgent.
    pub fn priority(&self) -> u32 {
        let workspace = self.workspace.as_ref().and_then(|w| w.priority);
        workspace.unwrap_or(self.route.priority)
    }

    /// Returns whether the request needs an adapter besides the base model.
    pub fn needs_adapter(&self) -> bool {
        self.caller.model.as_ref().is_some_and(|model| model.adapter.is_some())
    }

    /// Returns whether the entry is stopping and the request can't be sent any more. One
    /// that may have run can't be refused, so another attempt is better than none.
    pub fn is_too_late(&self) -> bool {
        !self.history.may_have_run
            && self.entry.shutdown.is_too_late(&self.route, self.deadline)
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns what the request needs of a connection. A body that can be sent only once
    /// would be lost with an idle connection that the endpoint has closed.
    pub fn reuse(&self) -> Reuse {
        let is_buffered = matches!(self.body, RequestBody::Buffered { .. });
        match self.route.class.is_retryable() && is_buffered {
            true => Reuse::Repeatable,
            false => Reuse::Once,
        }
    }

    /// Returns the body for one send; `None` if it was sent before and is not buffered.
    pub fn send_body(&mut self) -> Option<SendBody> {
        match &mut self.body {
            RequestBody::Buffered { bytes, .. } => {
                Some(SendBody::buffered(bytes.clone()))
            }
            RequestBody::Streamed { flow, .. } => {
                let (first, rest) = flow.take()?;
                Some(SendBody::streamed(first, rest, self.view.routing.bounds.max_body))
            }
        }
    }
}
