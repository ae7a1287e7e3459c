//! Relay of an answer to the caller, with flow control by the caller's reads.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use futures_lite::{ready, AsyncBufRead, AsyncRead};
use http_types::headers::HeaderValue;
use http_types::{Body, Response};
use larkspring_core::outcome::{Refusal, Step};
use larkspring_proto::agent::dispatch_down::Kind;
use parking_lot::Mutex;
use smol::Timer;

use super::at_most_once::Claim;
use super::dispatch::{AgentCall, StartedAnswer};
use super::error_response;
use super::limits::Permit;
use crate::exec;
use crate::rpc::credit::units;
use crate::wire::refusal_from_wire;

/// Header with the time in microseconds that the request waited for its adapter to load.
const LOAD_WAIT_HEADER: &str = "larkspring-load-wait-us";
const EVENT_STREAM: &str = "text/event-stream";
/// Time after the deadline in which the agent may still report that the deadline passed.
const AGENT_GRACE: Duration = Duration::from_secs(1);
/// Minimum number of units in one credit message.
const MIN_CREDIT_GRANT: u32 = 16;

/// Builds the response that relays an answer.
pub fn respond(begun: StartedAnswer, permit: Permit, claim: Option<Claim>) -> Response {
    let mut res = Response::new(begun.begin.status as u16);
    let content_type = begun.begin.content_type.clone();
    let is_event_stream = content_type.starts_with(EVENT_STREAM);
    let deadline = begun.deadline;
    let relay = Relay::new(begun.call, permit, claim, is_event_stream, deadline);
    res.set_body(Body::from_reader(SyncRelay(Mutex::new(relay)), None));
    let wait = begun.begin.load_wait_us;
    res.insert_header(LOAD_WAIT_HEADER, wait.to_string());
    // An endpoint may send a content type that is not a valid header value.
    if let Ok(value) = content_type.parse::<HeaderValue>() {
        res.insert_header("content-type", value);
    }
    res
}

/// Reads an answer from an agent.
///
/// An interrupted answer ends in an error. The connection to the caller then closes
/// without the last chunk, so that the caller cannot take the answer for a complete one.
struct Relay {
    call: Option<AgentCall>,
    /// Released when the answer ends.
    permit: Option<Permit>,
    /// Settled when the answer ends.
    claim: Option<Claim>,
    is_event_stream: bool,
    chunk: Bytes,
    /// Units that were received and not yet granted again.
    pending_credit: u32,
    failure: Option<String>,
    timer: Timer,
}

impl Relay {
    fn new(
        call: AgentCall,
        permit: Permit,
        claim: Option<Claim>,
        is_event_stream: bool,
        deadline: Instant,
    ) -> Self {
        Self {
            call: Some(call),
            permit: Some(permit),
            claim,
            is_event_stream,
            chunk: Bytes::new(),
            pending_credit: 0,
            failure: None,
            timer: Timer::at(deadline + AGENT_GRACE),
        }
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.chunk.is_empty() {
            if let Some(cause) = self.failure.take() {
                return Poll::Ready(Err(io::Error::other(cause)));
            }
            let Some(call) = &mut self.call else { return Poll::Ready(Ok(())) };
            let next = match call.poll_next(cx) {
                Poll::Ready(next) => next,
                Poll::Pending => {
                    ready!(Pin::new(&mut self.timer).poll_timer(cx));
                    let text = "the deadline passed";
                    self.interrupt(Refusal::failed(Step::Stream, text));
                    continue;
                }
            };
            match next {
                Some(Ok(Kind::Chunk(chunk))) => self.take(chunk),
                Some(Ok(Kind::End(end))) => {
                    call.record_report(end.hint);
                    if let Some(claim) = self.claim.take() {
                        claim.settle_ran();
                    }
                    self.finish();
                }
                Some(Ok(Kind::Refusal(mut refusal))) => {
                    call.record_report(refusal.hint.take());
                    let peer = call.peer().to_owned();
                    self.interrupt(refusal_from_wire(refusal, &peer));
                }
                Some(Ok(Kind::Begin(_))) | None => {
                    let text = "the agent ended the call in the middle of the answer";
                    self.interrupt(Refusal::failed(Step::Stream, text));
                }
                Some(Err(status)) => {
                    let text = format!("the call to the agent broke: {status}");
                    self.interrupt(Refusal::failed(Step::Stream, text));
                }
            }
        }
        Poll::Ready(Ok(()))
    }

    fn take(&mut self, chunk: Bytes) {
        if let Some(claim) = &mut self.claim {
            claim.record_chunk(&chunk);
        }
        self.pending_credit += units(chunk.len());
        self.chunk = chunk;
        if self.pending_credit >= MIN_CREDIT_GRANT {
            if let Some(call) = &self.call {
                call.grant(self.pending_credit);
            }
            self.pending_credit = 0;
        }
    }

    fn finish(&mut self) {
        // Dropping a claim that is not settled settles it as unknown.
        self.claim = None;
        self.call = None;
        self.permit = None;
    }

    /// Ends the answer as interrupted; an event stream gets a last event with the error.
    fn interrupt(&mut self, refusal: Refusal) {
        tracing::info!(%refusal, "an answer broke off");
        if self.is_event_stream {
            let body = error_response::body(&refusal);
            self.chunk = format!("event: error\ndata: {body}\n\n").into();
        }
        self.failure = Some(refusal.to_string());
        self.finish();
    }
}

impl Drop for Relay {
    /// Reads the rest of an at-most-once answer in the background, so that it is kept and
    /// replayed on a retry.
    fn drop(&mut self) {
        if self.claim.is_none() || self.call.is_none() {
            return;
        }
        let mut rest = Relay {
            call: self.call.take(),
            permit: self.permit.take(),
            claim: self.claim.take(),
            is_event_stream: self.is_event_stream,
            chunk: Bytes::new(),
            pending_credit: self.pending_credit,
            failure: None,
            timer: std::mem::replace(&mut self.timer, Timer::never()),
        };
        let drain = async move {
            while rest.call.is_some() {
                rest.chunk = Bytes::new();
                let _ = std::future::poll_fn(|cx| rest.poll_chunk(cx)).await;
            }
        };
        exec::spawn(drain).detach();
    }
}

/// Polls a timer and drops the value.
trait PollTimer {
    fn poll_timer(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()>;
}

impl PollTimer for Timer {
    fn poll_timer(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        std::future::Future::poll(self, cx).map(drop)
    }
}

/// Makes the relay `Sync`, which http-types requires of a body; only one task uses it.
struct SyncRelay(Mutex<Relay>);

impl AsyncRead for SyncRelay {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let relay = self.0.get_mut();
        ready!(relay.poll_chunk(cx))?;
        let n = relay.chunk.len().min(buf.len());
        relay.chunk.copy_to_slice(&mut buf[..n]);
        Poll::Ready(Ok(n))
    }
}

impl AsyncBufRead for SyncRelay {
    fn poll_fill_buf(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<&[u8]>> {
        let relay = self.get_mut().0.get_mut();
        ready!(relay.poll_chunk(cx))?;
        Poll::Ready(Ok(&relay.chunk))
    }

    fn consume(mut self: Pin<&mut Self>, n: usize) {
        self.0.get_mut().chunk.advance(n);
    }
}
