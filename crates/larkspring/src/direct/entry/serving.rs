//! Serving of one request, from its head to the delivery of the answer.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::future;
use http::header::{CONTENT_LENGTH, HOST};
use http::{Request, Response, Version};
use hyper::body::Incoming;
use larkspring_core::fleet::attempt::{AttemptHistory, AttemptStatus, NextStep};
use larkspring_core::fleet::stream_origins::StreamStart;

use super::answer::{
    close_if_draining, end_with_connection, own_answer, AnswerBody, ErrorReason,
};
use super::attempt::{AttemptOutcome, EndpointAnswer};
use super::body::{discard, read_body, request_fingerprint};
use super::connections::ExchangeGuard;
use super::features::RequestFeatures;
use super::framing::Framing;
use super::hop_by_hop::strip_hop_by_hop_headers;
use super::log::{log_answered, log_refused, Refusal};
use super::relay::Relay;
use super::request_handler::{RequestHandler, DEFAULT_TIMEOUT};
use super::shutdown::Delivery;
use super::stream_tracker::stream_start;
use super::EntryState;
use crate::direct::logs::{self, LineKind};
use crate::direct::replicated_state::RoutingView;
use crate::exec::{self, with_timeout};

/// How long a request waits for the declared state, which is read shortly after the start.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Serves one request.
pub(super) async fn serve(
    entry: Arc<EntryState>,
    req: Request<Incoming>,
    done: ExchangeGuard,
) -> Response<AnswerBody> {
    let received = Instant::now();
    let (head, body) = req.into_parts();
    let caller = match entry.protocol.decode_caller(&head.headers) {
        Ok(caller) => caller,
        Err(e) => {
            if logs::is_allowed(LineKind::Caller) {
                tracing::info!(event = "refused", reason = "bad request", cause = %e);
            }
            return own_answer(&entry, ErrorReason::BadRequest, "", None, Some(done));
        }
    };
    let needs_adapter = caller.model.is_some();
    let refuse_with_retry = |reason: ErrorReason, view, workspace, after, body, done| {
        exec::spawn(discard(body)).detach();
        let refusal = Refusal {
            reason,
            received,
            view,
            workspace,
            inputs: None,
            fingerprint: None,
        };
        log_refused(&entry, &caller, &refusal);
        entry.stats.count_request("", reason.name());
        entry.shutdown.count_own_answer(reason);
        own_answer(&entry, reason, &caller.id, after, Some(done))
    };
    let refuse = |reason: ErrorReason, view, body, done| {
        let after = reason.retry_after(needs_adapter);
        refuse_with_retry(reason, view, None, after, body, done)
    };
    if entry.shutdown.is_closing() {
        return refuse(ErrorReason::Stopping, None, Some(body), done);
    }
    let Some(mut view) = routing_view(&entry).await else {
        return refuse(ErrorReason::NoRouting, None, Some(body), done);
    };
    let names_adapter = caller.model.as_ref().is_some_and(|m| m.adapter.is_some());
    if names_adapter && !wait_for_versions(&entry).await {
        return refuse(ErrorReason::NoVersions, Some(&view), Some(body), done);
    }
    let host = head.headers.get(HOST).and_then(|h| h.to_str().ok()).unwrap_or_default();
    let path = head.uri.path();
    let admitted = entry.admit(&mut view, host, path, caller.credential).await;
    let (route, workspace) = match admitted {
        Ok(admitted) => admitted,
        Err(reason) => return refuse(reason, Some(&view), Some(body), done),
    };
    let routing = view.routing.clone();
    let service = route.service(fastrand::u32(..));
    let Some(service) = service.and_then(|name| routing.service(name)).cloned() else {
        return refuse(ErrorReason::NoEndpoint, Some(&view), Some(body), done);
    };
    let start = match stream_start(&entry, &route, &caller).await {
        Ok(start) => start,
        Err(reason) => return refuse(reason, Some(&view), Some(body), done),
    };
    let service = match &start {
        StreamStart::At(origin) => match routing.service(&origin.service) {
            Some(service) => service.clone(),
            None => {
                let reason = ErrorReason::NoSameBuild;
                return refuse(reason, Some(&view), Some(body), done);
            }
        },
        StreamStart::NotBegun | StreamStart::Unknown => service,
    };
    let requested_timeout = caller.deadline.unwrap_or(DEFAULT_TIMEOUT);
    let timeout = requested_timeout.min(route.timeout.unwrap_or(requested_timeout));
    let deadline = received + timeout;
    let charge = match &workspace {
        Some(of) => match entry.charge(&routing, of, &caller).await {
            Ok(charge) => charge,
            Err(after) => {
                let name = Some(&*of.name);
                return refuse_with_retry(
                    ErrorReason::OverLimit,
                    Some(&view),
                    name,
                    Some(after),
                    Some(body),
                    done,
                );
            }
        },
        None => None,
    };
    entry.count_request(&service.name);
    let read = with_timeout(timeout, read_body(&entry, body, routing.bounds.max_body));
    let stopping = async {
        entry.shutdown.wait_too_late(&route, deadline).await;
        Some(Err(ErrorReason::Stopping))
    };
    let body = match future::or(read, stopping).await {
        Some(Ok(body)) => body,
        Some(Err(reason)) => return refuse(reason, Some(&view), None, done),
        None => return refuse(ErrorReason::TimedOutNotRun, Some(&view), None, done),
    };
    let name = workspace.as_ref().map(|w| &*w.name);
    let fingerprint = request_fingerprint(head.uri.path(), name, &body);
    let is_retry = body.is_fingerprinted() && entry.take_refusal(fingerprint);
    let handler = RequestHandler {
        features: RequestFeatures::new(fingerprint, caller.model.as_ref()),
        is_retry,
        resume_after: caller.resume_after.clone(),
        start,
        method: head.method,
        uri: head.uri,
        headers: strip_hop_by_hop_headers(head.headers),
        history: AttemptHistory::default(),
        tried: Vec::new(),
        connections: Vec::new(),
        in_flight: Arc::default(),
        waited: Duration::ZERO,
        inputs: None,
        entry,
        view,
        route,
        service,
        caller,
        workspace,
        charge,
        body,
        received,
        sent_at: received,
        deadline,
    };
    handler.run(done).await
}

impl RequestHandler {
    async fn run(mut self, done: ExchangeGuard) -> Response<AnswerBody> {
        let (left, in_flight) = (self.time_left(), self.in_flight.clone());
        let (entry, route, deadline) =
            (self.entry.clone(), self.route.clone(), self.deadline);
        let stopping = async {
            entry.shutdown.wait_too_late(&route, deadline).await;
            if in_flight.load(Ordering::Acquire) {
                // An attempt in progress is allowed to finish.
                entry.shutdown.wait_ending().await;
            }
            Some(Err((ErrorReason::Stopping, None)))
        };
        let ended = future::or(with_timeout(left, self.run_attempts()), stopping).await;
        let may_run = self.in_flight.load(Ordering::Acquire) || self.history.may_have_run;
        let ran = may_run || matches!(ended, Some(Ok(_)));
        if let Some(charge) = self.charge.as_mut().filter(|_| ran) {
            charge.mark_spent();
        }
        let (reason, after) = match ended {
            Some(Ok(answered)) => return self.deliver(answered, done),
            Some(Err((reason, after))) => (reason, after),
            None if may_run => (ErrorReason::TimedOutUnclear, None),
            None => (ErrorReason::TimedOutNotRun, None),
        };
        // The refusal of a later attempt does not prove that no earlier attempt has run.
        let (reason, after) = match may_run && reason.says_not_run() {
            true => (ErrorReason::Unclear, None),
            false => (reason, after),
        };
        let after = after.or_else(|| reason.retry_after(self.caller.model.is_some()));
        if after.is_some() && self.body.is_fingerprinted() {
            self.entry.record_refusal(self.features.content);
        }
        let refusal = Refusal {
            reason,
            received: self.received,
            view: Some(&self.view),
            workspace: self.workspace_name(),
            inputs: self.inputs.as_ref(),
            fingerprint: Some(self.features.content),
        };
        log_refused(&self.entry, &self.caller, &refusal);
        self.entry.stats.count_request(&self.route.name, reason.name());
        self.entry.shutdown.count_own_answer(reason);
        own_answer(&self.entry, reason, &self.caller.id, after, Some(done))
    }

    /// Selects endpoints and sends the request until it is answered or no attempt is
    /// left. Returns an endpoint's own error response if no later attempt does better.
    pub async fn run_attempts(
        &mut self,
    ) -> Result<EndpointAnswer, (ErrorReason, Option<Duration>)> {
        self.admit_by_share()?;
        let mut own_failure = None;
        loop {
            if self.is_too_late() {
                return own_failure.ok_or((ErrorReason::Stopping, None));
            }
            if self.entry.crashes.is_quarantined(&self.features) {
                return own_failure.ok_or((ErrorReason::CrashesEndpoints, None));
            }
            let selection = match self.select_endpoint().await {
                Ok(selection) => selection,
                Err(e) => return own_failure.ok_or(e),
            };
            let peer = selection.open_request.peer.clone();
            let end = match self.attempt(selection).await {
                AttemptOutcome::Answered(answered) => return Ok(answered),
                AttemptOutcome::Failed(answered) => {
                    own_failure = Some(answered);
                    AttemptStatus::EndpointError
                }
                AttemptOutcome::NoAnswer(end) => end,
            };
            let reason = match self.record_attempt(end, &peer) {
                NextStep::RetryElsewhere | NextStep::RetrySame => continue,
                NextStep::ForwardAnswer | NextStep::Fail => ErrorReason::Unclear,
                NextStep::Refuse if end == AttemptStatus::Unsent => {
                    ErrorReason::NotReached
                }
                NextStep::Refuse => ErrorReason::Rejected,
            };
            return own_failure.ok_or((reason, None));
        }
    }

    fn deliver(
        self,
        answered: EndpointAnswer,
        mut done: ExchangeGuard,
    ) -> Response<AnswerBody> {
        self.record_share_answer();
        let entry = self.entry.clone();
        done.begin_delivery(Delivery::new(
            entry.clone(),
            self.route.clone(),
            self.sent_at,
            answered.head.status.is_success(),
        ));
        entry.stats.observe_first_byte(&self.route.name, self.received.elapsed());
        let (mut head, payload) = (answered.head, answered.payload);
        head.headers = strip_hop_by_hop_headers(std::mem::take(&mut head.headers));
        let outcome = if head.status.is_success() { "answered" } else { "failed there" };
        entry.stats.count_request(&self.route.name, outcome);
        log_answered(&self, &answered.endpoint, head.status.as_u16());
        let (framing, body) = match payload {
            Ok(whole) => {
                // A buffered body has a length, unless its end is unknown.
                let framing = match answered.framing {
                    Framing::UntilClose => Framing::UntilClose,
                    Framing::Chunked | Framing::Length => Framing::Length,
                };
                done.begin_body(framing);
                (framing, AnswerBody::whole(whole, framing, Some(done)))
            }
            Err(open) => {
                let relay = Relay::new(self, open, head.status.is_success());
                let framing = relay.caller_framing();
                done.begin_body(framing);
                (framing, AnswerBody::relay(relay, Some(done)))
            }
        };
        if framing != Framing::Length {
            head.headers.remove(CONTENT_LENGTH);
        }
        let mut res = Response::from_parts(head, body);
        if framing == Framing::UntilClose {
            end_with_connection(&mut res);
        } else {
            *res.version_mut() = Version::HTTP_11;
            close_if_draining(&entry, &mut res);
        }
        res
    }
}

/// Returns the routing; just after the entry's start waits briefly for the first routing.
async fn routing_view(entry: &EntryState) -> Option<RoutingView> {
    let changed = entry.replicated_state.changed();
    if let Some(view) = entry.replicated_state.routing_view() {
        return Some(view);
    }
    with_timeout(FIRST_READ_TIMEOUT, changed).await;
    entry.replicated_state.routing_view()
}

/// Returns whether the versions of adapters are known; just after the entry's start waits
/// briefly for them.
async fn wait_for_versions(entry: &EntryState) -> bool {
    let known = async {
        loop {
            let changed = entry.replicated_state.changed();
            if entry.replicated_state.knows_versions() {
                return;
            }
            changed.await;
        }
    };
    with_timeout(FIRST_READ_TIMEOUT, known).await.is_some()
}
