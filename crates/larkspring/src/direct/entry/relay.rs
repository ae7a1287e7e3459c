//! The relay of an answer's body from an endpoint to the caller.
//!
//! The task of the caller's connection drives the endpoint's connection too, so a caller
//! that reads slowly slows the endpoint down, and a caller that disconnects closes the
//! connection to the endpoint.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::{Body, SizeHint};
use larkspring_core::event_stream::{EventScanner, IdNotRising};
use larkspring_core::fleet::attempt::{AttemptStatus, NextStep};
use larkspring_core::fleet::routes::{RouteClass, Service};
use larkspring_core::fleet::stream_origins::{KeptOrigin, StreamStart};
use larkspring_core::ids::Incarnation;
use smol::Timer;

use super::answer::RelayError;
use super::attempt::OpenAnswer;
use super::crashes::CrashDetector;
use super::end_check::{check_endpoint, EndpointCheck};
use super::event_splitter::Events;
use super::features::RequestFeatures;
use super::framing::{BodyEnd, Framing};
use super::longest_pause::LongestPause;
use super::request_handler::RequestHandler;
use super::stream_tracker::take_up_time;
use crate::direct::conn::error_with_source;
use crate::direct::logs::{self, LineKind};

/// An answer that is being relayed.
pub(super) struct Relay {
    /// The request, kept if the stream may be resumed at another endpoint.
    handler: Option<Box<RequestHandler>>,
    crashes: Arc<CrashDetector>,
    id: String,
    features: Arc<RequestFeatures>,
    /// The run whose answer is relayed.
    endpoint: Incarnation,
    service: Arc<Service>,
    source: AnswerSource,
    events: Events,
    /// The framing of the endpoint's answer.
    framing: Framing,
    /// The framing of the answer to the caller.
    caller_framing: Framing,
    deadline: Timer,
    deadline_at: Instant,
    sent: u64,
    is_success: bool,
    /// Whether the caller's connection may hold bytes that it has not written.
    has_unwritten: bool,
    pause: LongestPause,
}

/// The source of the bytes.
enum AnswerSource {
    Endpoint(Box<OpenAnswer>),
    /// The connection was closed in order, and the endpoint is being checked.
    Checking(Check),
    /// The stream was interrupted and is being resumed at another endpoint.
    Resuming(Resume),
    /// The answer broke off, which the caller learns once it has what came before.
    Broken(String),
    Ended,
}

type Check = Pin<Box<dyn Future<Output = (Box<OpenAnswer>, EndpointCheck)> + Send>>;
type Resume =
    Pin<Box<dyn Future<Output = Option<(Box<RequestHandler>, OpenAnswer)>> + Send>>;

impl Relay {
    /// Creates the relay of an answer; a resumable stream is relayed in whole events.
    pub fn new(handler: RequestHandler, open: OpenAnswer, is_success: bool) -> Self {
        let may_resume = handler.route.class == RouteClass::Stream { resumable: true };
        let events = match open.is_event_stream {
            false => Events::None,
            true if may_resume => Events::split_after(handler.resume_after.clone()),
            true => Events::Passed(EventScanner::default()),
        };
        let resumable = matches!(events, Events::Split(_));
        Self {
            crashes: handler.entry.crashes.clone(),
            id: handler.caller.id.clone(),
            features: handler.features.clone(),
            endpoint: open.selection.open_request.peer.endpoint().id.clone(),
            service: handler.service.clone(),
            framing: open.framing,
            caller_framing: match open.framing {
                // A stream resumed at another endpoint may have another length.
                Framing::Length if resumable => Framing::Chunked,
                framing => framing,
            },
            source: AnswerSource::Endpoint(Box::new(open)),
            events,
            deadline: Timer::at(handler.deadline),
            deadline_at: handler.deadline,
            sent: 0,
            is_success,
            has_unwritten: true,
            pause: LongestPause::new(handler.entry.clone(), handler.route.clone()),
            // Frees the request's body, which only a resumed stream needs again.
            handler: resumable.then(|| Box::new(handler)),
        }
    }

    /// Returns whether the relay has ended.
    pub fn is_over(&self) -> bool {
        matches!(self.source, AnswerSource::Ended)
    }

    /// Returns the framing of the answer to the caller.
    pub fn caller_framing(&self) -> Framing {
        self.caller_framing
    }

    /// Returns the length of the remaining bytes, if known.
    pub fn size_hint(&self) -> SizeHint {
        match (&self.source, &self.events) {
            (AnswerSource::Ended, _) => SizeHint::with_exact(0),
            (AnswerSource::Endpoint(_), Events::Split(_)) => SizeHint::default(),
            (AnswerSource::Endpoint(open), _) => open.body.size_hint(),
            (
                AnswerSource::Checking(_)
                | AnswerSource::Resuming(_)
                | AnswerSource::Broken(_),
                _,
            ) => SizeHint::default(),
        }
    }

    /// Returns the next bytes for the caller.
    ///
    /// An error makes the caller's connection discard what it has not written. So the
    /// answer first waits once, which lets the connection write.
    pub fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, RelayError>>> {
        let mut polled = self.poll_next(cx);
        if let Poll::Ready(Some(Err(RelayError::Interrupted(cause)))) = &polled {
            if self.has_unwritten {
                self.source = AnswerSource::Broken(cause.clone());
                cx.waker().wake_by_ref();
                polled = Poll::Pending;
            }
        }
        self.has_unwritten = polled.is_ready();
        polled
    }

    fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, RelayError>>> {
        if let AnswerSource::Broken(cause) = &mut self.source {
            let cause = std::mem::take(cause);
            self.source = AnswerSource::Ended;
            return Poll::Ready(Some(Err(RelayError::Interrupted(cause))));
        }
        if Pin::new(&mut self.deadline).poll(cx).is_ready() {
            self.source = AnswerSource::Ended;
            self.record_end(BodyEnd::TimedOut);
            self.log("out of time");
            return Poll::Ready(Some(Err(RelayError::TimedOut)));
        }
        loop {
            let read = self.take_read();
            let next = match &mut self.source {
                _ if !read.is_empty() => self.push(read),
                AnswerSource::Broken(_) | AnswerSource::Ended => {
                    return Poll::Ready(None)
                }
                AnswerSource::Checking(check) => {
                    let (open, check) = ready!(check.as_mut().poll(cx));
                    self.source = AnswerSource::Endpoint(open);
                    self.handle_checked_end(check, cx)
                }
                AnswerSource::Resuming(resume) => {
                    let resumed = ready!(resume.as_mut().poll(cx));
                    self.resume_with(resumed)
                }
                AnswerSource::Endpoint(_) => ready!(self.poll_endpoint(cx)),
            };
            match next {
                Step::Data(data) if data.is_empty() => {}
                Step::Data(data) => {
                    self.record_start();
                    self.sent += data.len() as u64;
                    self.pause.record();
                    return Poll::Ready(Some(Ok(data)));
                }
                Step::Continue => {}
                Step::End => return Poll::Ready(None),
                Step::Interrupted(cause) => {
                    self.source = AnswerSource::Ended;
                    self.log(&cause);
                    return Poll::Ready(Some(Err(RelayError::Interrupted(cause))));
                }
            }
        }
    }

    /// Records at which software the stream began, with its first events.
    fn record_start(&mut self) {
        let (Some(handler), AnswerSource::Endpoint(open)) =
            (&mut self.handler, &self.source)
        else {
            return;
        };
        if handler.start != StreamStart::NotBegun {
            return;
        }
        let peer = &open.selection.open_request.peer;
        let endpoint = peer.endpoint();
        handler.start.begin(&endpoint.service, endpoint.build.as_ref());
        if let StreamStart::At(origin) = &handler.start {
            let kept = take_up_time(&handler.caller, &handler.route);
            let begun = KeptOrigin::Begun(origin.clone());
            handler.entry.streams.record(&handler.caller.id, peer, begun, kept);
        }
    }

    /// Takes the bytes that were read before the relay began.
    fn take_read(&mut self) -> Bytes {
        match &mut self.source {
            AnswerSource::Endpoint(open) => std::mem::take(&mut open.read),
            AnswerSource::Checking(_)
            | AnswerSource::Resuming(_)
            | AnswerSource::Broken(_)
            | AnswerSource::Ended => Bytes::new(),
        }
    }

    fn poll_endpoint(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        let AnswerSource::Endpoint(open) = &mut self.source else {
            return Poll::Ready(Step::Continue);
        };
        open.conn.drive(cx);
        let frame = ready!(Pin::new(&mut open.body).poll_frame(cx));
        Poll::Ready(match frame {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => {
                    let is_last = open.body.is_end_stream();
                    // The caller's connection asks for no more once it has the bytes of
                    // the declared length.
                    match (self.push(data), self.caller_framing) {
                        (Step::Data(data), Framing::Length) if is_last => {
                            self.handle_last(data, cx)
                        }
                        (step, _) => step,
                    }
                }
                Err(_) => Step::Continue,
            },
            Some(Err(e)) => {
                self.handle_interruption(BodyEnd::Broken, &error_with_source(&e))
            }
            None => self.handle_end(cx),
        })
    }

    /// Adds bytes of the endpoint's answer and returns those that can be passed on.
    fn push(&mut self, data: Bytes) -> Step {
        match self.events.push(data) {
            Ok(data) => Step::Data(data),
            Err(IdNotRising { last, next }) => {
                let cause = format!("event {next} came after event {last}");
                self.handle_interruption(BodyEnd::OutOfOrder, &cause)
            }
        }
    }

    /// Handles the last bytes of an answer with a length.
    fn handle_last(&mut self, data: Bytes, cx: &mut Context<'_>) -> Step {
        match self.handle_end(cx) {
            Step::Interrupted(cause) => Step::Interrupted(cause),
            _ => Step::Data(data),
        }
    }

    /// Handles the end of the endpoint's answer without an error of its connection.
    fn handle_end(&mut self, cx: &mut Context<'_>) -> Step {
        match self.body_end() {
            BodyEnd::Closed if self.caller_framing != Framing::UntilClose => self
                .handle_interruption(
                    BodyEnd::Closed,
                    "nothing shows that the resumed answer is complete",
                ),
            BodyEnd::Closed => self.begin_check(),
            BodyEnd::InsideEvent => self.handle_interruption(
                BodyEnd::InsideEvent,
                "the stream ended inside an event",
            ),
            end => self.finish(end, cx),
        }
    }

    /// Begins to check whether the endpoint still runs that closed the connection.
    fn begin_check(&mut self) -> Step {
        let source = std::mem::replace(&mut self.source, AnswerSource::Ended);
        let AnswerSource::Endpoint(open) = source else { return Step::End };
        let (entry, service) = (self.pause.entry.clone(), self.service.clone());
        let deadline = self.deadline_at;
        self.source = AnswerSource::Checking(Box::pin(async move {
            let peer = open.selection.open_request.peer.clone();
            let time_left = deadline.saturating_duration_since(Instant::now());
            let check = check_endpoint(&entry, &peer, &service, time_left).await;
            (open, check)
        }));
        Step::Continue
    }

    /// Handles the end of an answer whose endpoint closed the connection and was checked.
    fn handle_checked_end(&mut self, check: EndpointCheck, cx: &mut Context<'_>) -> Step {
        match check {
            EndpointCheck::Ended => self.handle_interruption(
                BodyEnd::ProcessEnded,
                "the endpoint's process ended",
            ),
            EndpointCheck::Running => self.finish_closed(BodyEnd::Closed, cx),
            EndpointCheck::Unknown if self.may_resume() => self.confirm_end(),
            EndpointCheck::Unknown => self.finish_closed(BodyEnd::Unconfirmed, cx),
        }
    }

    /// Returns whether the stream may go on at another endpoint after its last event.
    fn may_resume(&mut self) -> bool {
        let handler = self.handler.as_ref();
        let is_start_known = handler.is_some_and(|h| h.start != StreamStart::Unknown);
        is_start_known && self.events.resumable().is_some()
    }

    /// Has an endpoint go on after the last event, which ends at once if there are no more.
    /// Without one the answer breaks off, so that its caller can go on at once.
    fn confirm_end(&mut self) -> Step {
        self.handler = self.handler.take().filter(|handler| {
            let available = handler.entry.fleet.available(&handler.service.name);
            available.iter().any(|peer| handler.may_take(&peer.endpoint()))
        });
        let cause = "it is not known whether the endpoint's process ended";
        self.handle_interruption(BodyEnd::Unconfirmed, cause)
    }

    /// Ends the answer to the caller as the endpoint did, by the end of the connection.
    fn finish_closed(&mut self, end: BodyEnd, cx: &mut Context<'_>) -> Step {
        if let AnswerSource::Endpoint(open) = &self.source {
            // The endpoint may have ended and started again before it was checked.
            self.check_for_crash(open);
        }
        self.finish(end, cx)
    }

    /// Ends the answer to the caller in order.
    fn finish(&mut self, end: BodyEnd, cx: &mut Context<'_>) -> Step {
        let AnswerSource::Endpoint(mut open) =
            std::mem::replace(&mut self.source, AnswerSource::Ended)
        else {
            return Step::End;
        };
        self.record_end(end);
        if end == BodyEnd::Complete && self.is_success {
            self.crashes.record_answer(&self.features);
        }
        self.record_outcome(&mut open, end);
        let peer = open.selection.open_request.peer.clone();
        peer.idle.add(open.conn, cx);
        match self.events.take_rest() {
            rest if rest.is_empty() => Step::End,
            rest => Step::Data(rest),
        }
    }

    fn record_outcome(&self, open: &mut OpenAnswer, end: BodyEnd) {
        if self.is_success {
            let time_left = self.deadline_at.saturating_duration_since(Instant::now());
            open.record_end(&self.pause.entry, end, time_left);
        }
    }

    fn check_for_crash(&self, open: &OpenAnswer) {
        let selection = &open.selection;
        self.crashes.connection_broke(
            &selection.open_request.peer,
            &self.features,
            &self.id,
            selection.selected_at,
            self.sent > 0,
        );
    }

    /// Handles an interrupted answer: resumes the stream at another endpoint if allowed.
    fn handle_interruption(&mut self, end: BodyEnd, cause: &str) -> Step {
        let source = std::mem::replace(&mut self.source, AnswerSource::Ended);
        self.record_end(end);
        let AnswerSource::Endpoint(mut open) = source else {
            return Step::Interrupted(cause.into());
        };
        self.check_for_crash(&open);
        self.record_outcome(&mut open, end);
        let Some(events) = self.events.resumable() else {
            return Step::Interrupted(cause.into());
        };
        let Some(mut handler) = self.handler.take() else {
            return Step::Interrupted(cause.into());
        };
        if handler.start == StreamStart::Unknown {
            return Step::Interrupted(cause.into());
        }
        let peer = open.selection.open_request.peer.clone();
        // Closes the connection before the stream is resumed at another endpoint.
        drop(open);
        events.discard_partial();
        handler.resume_after = events.last_event_id.clone();
        if handler.record_attempt(AttemptStatus::Unknown, &peer)
            != NextStep::RetryElsewhere
        {
            return Step::Interrupted(cause.into());
        }
        if logs::is_allowed(LineKind::Attempt) {
            let last = handler.resume_after.as_deref();
            tracing::info!(
                event = "stream resumed",
                request = self.id,
                content = logs::format_hash(self.features.content),
                parts = self.features.parts_text(),
                adapter = self.features.adapter.as_deref(),
                endpoint = %self.endpoint,
                build = peer.endpoint().build.as_deref(),
                cause,
                last,
            );
        }
        self.source = AnswerSource::Resuming(Box::pin(resume(handler)));
        Step::Continue
    }

    fn resume_with(
        &mut self,
        resumed: Option<(Box<RequestHandler>, OpenAnswer)>,
    ) -> Step {
        let Some((handler, open)) = resumed else {
            return Step::Interrupted("no other endpoint resumed the stream".into());
        };
        let endpoint = open.selection.open_request.peer.endpoint();
        if logs::is_allowed(LineKind::Attempt) {
            tracing::info!(
                event = "stream goes on",
                request = self.id,
                endpoint = %endpoint.id,
                build = endpoint.build.as_deref(),
                after = handler.resume_after.as_deref(),
            );
        }
        self.handler = Some(handler);
        self.endpoint = open.selection.open_request.peer.endpoint().id.clone();
        self.framing = open.framing;
        self.source = AnswerSource::Endpoint(Box::new(open));
        Step::Continue
    }

    /// Returns how the body ended whose last bytes have arrived without an error.
    fn body_end(&self) -> BodyEnd {
        if self.events.is_inside_event() {
            return BodyEnd::InsideEvent;
        }
        match self.framing {
            Framing::Length | Framing::Chunked => BodyEnd::Complete,
            Framing::UntilClose => BodyEnd::Closed,
        }
    }

    /// Counts the end of an endpoint's answer, and logs one that its framing does not
    /// show to be complete.
    fn record_end(&self, end: BodyEnd) {
        let framing = self.framing.name();
        self.pause.entry.stats.count_answer_end(framing, end.name());
        let is_usual = end == BodyEnd::Complete;
        if !is_usual && logs::is_allowed(LineKind::Attempt) {
            tracing::info!(
                event = "answer ended",
                request = self.id,
                endpoint = %self.endpoint,
                framing,
                end = end.name(),
                events = !matches!(self.events, Events::None),
                sent = self.sent,
            );
        }
    }

    fn log(&self, cause: &str) {
        if logs::is_allowed(LineKind::Failed) {
            let sent = self.sent;
            tracing::warn!(
                event = "answer broke off",
                request = self.id,
                content = logs::format_hash(self.features.content),
                parts = self.features.parts_text(),
                adapter = self.features.adapter.as_deref(),
                endpoint = %self.endpoint,
                cause,
                sent,
            );
        }
    }
}

enum Step {
    Data(Bytes),
    Continue,
    End,
    Interrupted(String),
}

/// Resumes a stream at another endpoint.
async fn resume(
    mut handler: Box<RequestHandler>,
) -> Option<(Box<RequestHandler>, OpenAnswer)> {
    let answered = handler.run_attempts().await.ok()?;
    if !answered.head.status.is_success() {
        return None;
    }
    let open = answered.payload.err()?;
    Some((handler, open))
}
