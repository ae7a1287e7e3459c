//! Sending of a request to an endpoint.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::future::{self, poll_fn};
use http::header::TRANSFER_ENCODING;
use http::response::Parts;
use http::{HeaderValue, Request, Response};
use hyper::body::{Body, Incoming};
use larkspring_core::fleet::attempt::AttemptStatus;
use larkspring_core::fleet::endpoint_list::Endpoint;
use larkspring_core::fleet::mechanisms::Mechanism;
use larkspring_core::fleet::routes::RouteClass;
use larkspring_core::fleet::stream_origins::{KeptOrigin, StreamOrigin, StreamStart};
use larkspring_core::fleet::urgency::{urgency, Urgency};
use larkspring_core::ids::{Incarnation, Target};

use super::answer_times::AnswerWait;
use super::framing::Framing;
use super::link::Hold;
use super::peer::{OpenRequest, Peer};
use super::permits::Permit;
use super::request_handler::RequestHandler;
use super::reused_connection::ReusedConnection;
use super::selection_inputs::SelectionInputs;
use super::stream_tracker::take_up_time;
use crate::direct::conn::{EndpointConn, SendBody, SendError};
use crate::direct::platform_api::{ForwardHeaders, Identity};

/// The endpoint selected for a request, with the resources reserved there.
pub(super) struct Selection {
    /// The endpoint; counts the request as open there.
    pub open_request: OpenRequest,
    /// The adapter and version on which the request has to run.
    pub target: Option<Target>,
    /// When the endpoint was chosen, just before the request is sent.
    pub selected_at: Instant,
    /// The inputs of the selection.
    pub inputs: SelectionInputs,
    /// The permit to send the request, if the endpoint is rate-limited.
    pub permit: Option<Permit>,
    /// Keeps the adapter loaded until dropped.
    pub hold: Option<Hold>,
}

/// The result of an attempt.
pub(super) enum AttemptOutcome {
    /// An answer to deliver to the caller.
    Answered(EndpointAnswer),
    /// The endpoint's own error response, which is delivered if no retry succeeds.
    Failed(EndpointAnswer),
    /// No answer.
    NoAnswer(AttemptStatus),
}

/// An endpoint's answer.
pub(super) struct EndpointAnswer {
    pub head: Parts,
    pub endpoint: Incarnation,
    /// The framing of the body.
    pub framing: Framing,
    /// The body, if it was read to its end; else the open answer to relay.
    pub payload: Result<Bytes, OpenAnswer>,
}

impl EndpointAnswer {
    /// Returns whether the answer counts as good or bad at the end of its body alone. The
    /// head of a stream counts as the success of the attempt, and its end by itself.
    fn counts_at_end(&self) -> bool {
        let is_plain = |open: &OpenAnswer| !open.selection.open_request.is_stream;
        self.head.status.is_success() && self.payload.as_ref().is_err_and(is_plain)
    }
}

/// An answer whose body has not been read to its end.
pub(super) struct OpenAnswer {
    /// Bytes of the body that were read already.
    pub read: Bytes,
    pub body: Incoming,
    pub framing: Framing,
    /// Whether the body is a stream of events on a stream's route.
    pub is_event_stream: bool,
    pub conn: EndpointConn,
    pub selection: Selection,
}

/// Connect time-out: a few round trips between halls. A connection that takes longer
/// meets a full accept queue or a dead VM, and another endpoint is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
impl Selection {
    /// Creates the record of a selected endpoint, without a permit.
    pub fn new(
        open_request: OpenRequest,
        target: Option<Target>,
        inputs: SelectionInputs,
        hold: Option<Hold>,
    ) -> Self {
        Self {
            open_request,
            target,
            selected_at: Instant::now(),
            inputs,
            permit: None,
            hold,
        }
    }
}

impl RequestHandler {
    /// Sends the request once and records the result.
    pub(super) async fn attempt(&mut self, selection: Selection) -> AttemptOutcome {
        let peer = selection.open_request.peer.clone();
        let sent = Instant::now();
        let is_plain = self.service.engine.is_none();
        let wait = is_plain.then(|| AnswerWait::begin(peer.answer_times.clone(), sent));
        let ended = self.send(selection, &peer).await;
        if let (Some(wait), AttemptOutcome::Answered(_)) = (wait, &ended) {
            wait.end();
        }
        let end = match &ended {
            AttemptOutcome::Answered(_) => "answered",
            AttemptOutcome::Failed(_) => "failed",
            AttemptOutcome::NoAnswer(end) => end_name(*end),
        };
        self.entry.stats.count_attempt(end);
        self.record_quality(&ended, &peer, sent);
        ended
    }

    async fn send(&mut self, selection: Selection, peer: &Arc<Peer>) -> AttemptOutcome {
        let reuse = self.reuse();
        let used = &self.connections;
        let take = |cx: &mut Context<'_>| Poll::Ready(peer.idle.take(cx, reuse, used));
        if let Some(conn) = poll_fn(take).await {
            let reused = ReusedConnection::new(peer, &conn, self.deadline);
            self.entry.stats.count_connection(reused.label());
            let result = self.exchange(conn, &selection, peer).await;
            reused.record_result(result.as_ref().err());
            match result {
                // The idle connection was closed; the endpoint itself may be healthy.
                Err(SendError::Unsent(..)) if peer.is_open() => {}
                result => return self.classify_result(result, selection, peer).await,
            }
        }
        let result = match EndpointConn::open(peer.endpoint().addr, CONNECT_TIMEOUT).await
        {
            Ok(conn) => {
                self.entry.stats.count_connection("new");
                self.exchange(conn, &selection, peer).await
            }
            Err(e) => {
                peer.quality(|q| q.record_unreachable(Instant::now()));
                Err(e)
            }
        };
        self.classify_result(result, selection, peer).await
    }

    /// Sends the request on a connection and returns the head of the answer.
    async fn exchange(
        &mut self,
        mut conn: EndpointConn,
        selection: &Selection,
        peer: &Arc<Peer>,
    ) -> Result<(Response<Incoming>, EndpointConn), SendError> {
        let endpoint = peer.endpoint();
        // Last check before the first byte: since the selection, another answer may have
        // reported that the endpoint drains, asks for a backoff, or has a rate limit, or
        // its hall was evacuated.
        if !peer.is_open() {
            let cause = "the endpoint is draining, in backoff or evacuated".into();
            return Err(SendError::Unsent(endpoint.addr.to_string(), cause));
        }
        if !self.may_take(&endpoint) {
            let cause = "the endpoint may not take the request any more".into();
            return Err(SendError::Unsent(endpoint.addr.to_string(), cause));
        }
        if self.entry.crashes.is_quarantined(&self.features) {
            let cause = "the request was quarantined since the selection".into();
            return Err(SendError::Unsent(endpoint.addr.to_string(), cause));
        }
        if self.is_too_late() {
            let cause = "the entry stops before an answer could end".into();
            return Err(SendError::Unsent(endpoint.addr.to_string(), cause));
        }
        if peer.rate_limit().is_some() {
            if !selection.permit.is_some_and(|permit| permit.is_valid()) {
                let cause = "the endpoint is rate-limited and no permit is valid".into();
                return Err(SendError::Unsent(endpoint.addr.to_string(), cause));
            }
            self.entry.stats.count_rated_send(self.send_label());
        }
        selection.open_request.end_prefill();
        selection.open_request.begin_prefill(selection.inputs.uncached_tokens);
        let Some(body) = self.send_body() else {
            let cause = "the body was sent before and is not buffered".into();
            return Err(SendError::Cancelled(endpoint.addr.to_string(), cause));
        };
        let version = selection.target.as_ref().map(|t| &*t.version);
        let req = self.request(&endpoint.id, version, body);
        self.record_sent_stream(peer, &endpoint);
        self.in_flight.store(true, Ordering::Release);
        self.sent_at = Instant::now();
        self.connections.push(conn.id);
        let outdated = async {
            match selection.target.as_ref().filter(|_| self.route.class.is_retryable()) {
                Some(target) => {
                    self.entry.replicated_state.wait_until_outdated(target).await
                }
                // A request that must not run twice can't be withdrawn.
                None => future::pending().await,
            }
            let cause = "requests may not begin on this version any more".into();
            Err(SendError::Cancelled(endpoint.addr.to_string(), cause))
        };
        let res = future::or(conn.send(endpoint.addr, req), outdated).await;
        if matches!(res, Err(SendError::Unsent(..))) {
            self.in_flight.store(self.history.may_have_run, Ordering::Release);
        } else if !self.tried.contains(&endpoint.id) {
            self.history.endpoints += 1;
            self.tried.push(endpoint.id.clone());
        }
        res.map(|res| (res, conn))
    }

    /// Records to which software a stream is sent that its caller may take up.
    fn record_sent_stream(&self, peer: &Peer, endpoint: &Endpoint) {
        if self.route.class != (RouteClass::Stream { resumable: true }) {
            return;
        }
        let kept = match (&self.start, &endpoint.build) {
            (StreamStart::At(origin), _) => KeptOrigin::Begun(origin.clone()),
            (StreamStart::Unknown, _) | (_, None) => KeptOrigin::SentToSeveral,
            (StreamStart::NotBegun, Some(build)) => {
                let service = endpoint.service.clone();
                KeptOrigin::Sent(StreamOrigin { service, build: build.clone() })
            }
        };
        let kept_for = take_up_time(&self.caller, &self.route);
        self.entry.streams.record(&self.caller.id, peer, kept, kept_for);
    }

    /// Returns the metric label that tells first sends, retries and resumed streams
    /// apart.
    fn send_label(&self) -> &'static str {
        match (self.history.attempts, &self.resume_after) {
            (0, _) => "first",
            (_, Some(_)) => "goes on",
            (_, None) => "again",
        }
    }

    fn request(
        &self,
        incarnation: &str,
        version: Option<&str>,
        body: SendBody,
    ) -> Request<SendBody> {
        let has_length = body.size_hint().exact().is_some();
        let mut req = Request::new(body);
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        let forward = ForwardHeaders {
            deadline: self.time_left(),
            incarnation,
            version,
            priority: self.urgency(),
            resume_after: self.resume_after.as_deref(),
            identity: match self.view.routing.workspaces {
                Some(_) => Identity::Checked(self.workspace_name()),
                None => Identity::Unchecked,
            },
        };
        self.entry.protocol.rewrite_headers(req.headers_mut(), &forward);
        if !has_length {
            // The library sends GET and HEAD requests of unknown length without a body
            // otherwise.
            let chunked = HeaderValue::from_static("chunked");
            req.headers_mut().insert(TRANSFER_ENCODING, chunked);
        }
        req
    }

    /// Returns the urgency by which an engine orders prefills. For other endpoints, and
    /// for a resumed stream, whose caller waits for the next event, that is the priority
    /// alone.
    fn urgency(&self) -> Urgency {
        let priority = self.priority();
        let begins = self.caller.model.is_some() && self.resume_after.is_none();
        let uses =
            self.entry.cfg().disabled_mechanisms.is_enabled(Mechanism::PrefillOrder);
        let Some(inputs) = self.inputs.as_ref().filter(|_| begins && uses) else {
            return priority;
        };
        let left =
            self.route.first_byte_objective.saturating_sub(self.received.elapsed());
        urgency(priority, left, inputs.uncached_tokens)
    }

    /// Records the attempt's result in the endpoint's quality.
    fn record_quality(&self, ended: &AttemptOutcome, peer: &Arc<Peer>, sent: Instant) {
        let now = Instant::now();
        match ended {
            AttemptOutcome::Answered(answer) if answer.counts_at_end() => {
                peer.quality(|q| q.record_first_byte(now - sent))
            }
            AttemptOutcome::Answered(_) => {
                peer.quality(|q| q.record_success(now, now - sent))
            }
            AttemptOutcome::Failed(_)
            | AttemptOutcome::NoAnswer(
                AttemptStatus::Unknown | AttemptStatus::Rejected,
            ) => {
                peer.quality(|q| q.record_failure(now));
            }
            AttemptOutcome::NoAnswer(_) => {}
        }
    }
}

/// Returns the name of an attempt's end in logs and metrics.
pub(super) fn end_name(status: AttemptStatus) -> &'static str {
    match status {
        AttemptStatus::Unsent => "unsent",
        AttemptStatus::Rejected => "rejected",
        AttemptStatus::EndpointReplaced => "moved",
        AttemptStatus::AdapterMissing => "lacking",
        AttemptStatus::EndpointError => "failed",
        AttemptStatus::Unknown => "unclear",
    }
}
