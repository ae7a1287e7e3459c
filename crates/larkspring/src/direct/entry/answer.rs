//! Answers to callers: larkspring's own, and the body that relays an endpoint's.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};
use quick_error::quick_error;
use serde_json::json;

use super::relay::Relay;
use super::serve::Done;
use super::Inner;

/// The body of an answer.
pub(super) struct AnswerBody {
    kind: BodyKind,
    /// Marks the end of the exchange on the caller's connection.
    _done: Option<Done>,
}

enum BodyKind {
    Whole(Option<Bytes>),
    Relay(Box<Relay>),
}

quick_error! {
    /// Why an answer broke off.
    #[derive(Debug)]
    pub enum RelayError {
        /// The endpoint's answer broke off.
        Broken(cause: String) { display("the endpoint's answer broke off: {cause}") }
        /// The request's time was used up.
        Late { display("the time for the request was used up") }
    }
}

/// Why larkspring answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reason {
    BadRequest,
    NoKey,
    UnknownKey,
    OldKeys,
    OverLimit,
    NoRoute,
    OldRouting,
    BodyTooLarge,
    EndsEndpoints,
    Stopping,
    NoRouting,
    NoEndpoint,
    Resting,
    UsedUp,
    NoAdapterInTime,
    Rejected,
    Unsent,
    Unclear,
    LateNotRun,
    LateUnclear,
}

impl Reason {
    /// Returns the word used in logs, metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad request",
            Self::NoKey => "no key",
            Self::UnknownKey => "unknown key",
            Self::OldKeys => "the view of the keys is too old",
            Self::OverLimit => "over the workspace's limit",
            Self::NoRoute => "no route",
            Self::OldRouting => "no route, and the routing may be out of date",
            Self::BodyTooLarge => "body too large",
            Self::EndsEndpoints => "endpoints ended each time it ran",
            Self::Stopping => "the entry stops",
            Self::NoRouting => "routing not known yet",
            Self::NoEndpoint => "no endpoint",
            Self::Resting => "no endpoint wants requests now",
            Self::UsedUp => "the rate that endpoints take is used up",
            Self::NoAdapterInTime => "adapter not ready in time",
            Self::Rejected => "rejected by the endpoint",
            Self::Unsent => "endpoint not reached",
            Self::Unclear => "no answer from the endpoint",
            Self::LateNotRun => "out of time before it was sent",
            Self::LateUnclear => "out of time at the endpoint",
        }
    }

    /// Returns the status. 503 says that the request has not run.
    ///
    /// What ends endpoints would do so again, so its caller gets a status that HTTP clients
    /// do not repeat by themselves, as they do 408, 429, 500 and 503.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NoKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::EndsEndpoints => StatusCode::UNPROCESSABLE_ENTITY,
            Self::OldKeys
            | Self::OldRouting
            | Self::Stopping
            | Self::NoRouting
            | Self::NoEndpoint
            | Self::Resting
            | Self::UsedUp
            | Self::NoAdapterInTime
            | Self::Rejected
            | Self::Unsent
            | Self::LateNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unclear => StatusCode::BAD_GATEWAY,
            Self::LateUnclear => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// When to come back to an entry that stops: at once, on a connection to another one.
const COME_BACK_ELSEWHERE: Duration = Duration::from_millis(50);
/// When to come back to an entry that does not know the routing yet, or whose engines are
/// all being filled: loading a base model takes half a second and the adapters more. A
/// caller comes back only once or twice, so too early is worse than too late.
const COME_BACK_FILLED: Duration = Duration::from_millis(1000);
/// When to come back after other refusals: an endpoint frees a place within this time.
const COME_BACK_SOON: Duration = Duration::from_millis(250);
/// Callers that are refused together are spread over this part of the time.
const SPREAD: f64 = 0.3;

impl Reason {
    /// Whether the answer says that the request has not run.
    pub fn says_not_run(self) -> bool {
        !matches!(self, Self::Unclear | Self::LateUnclear)
    }

    /// When a caller should come back; `None` where it would get the same answer.
    pub fn come_back(self, needs_adapter: bool) -> Option<Duration> {
        let after = match self {
            Self::Stopping | Self::OldKeys => COME_BACK_ELSEWHERE,
            Self::NoRouting => COME_BACK_FILLED,
            Self::NoEndpoint if needs_adapter => COME_BACK_FILLED,
            Self::NoEndpoint
            | Self::OldRouting
            | Self::NoAdapterInTime
            | Self::Rejected
            | Self::Unsent
            | Self::LateNotRun => COME_BACK_SOON,
            // The limits, and the endpoints themselves, tell when.
            Self::OverLimit | Self::Resting | Self::UsedUp => return None,
            Self::BadRequest | Self::NoRoute | Self::BodyTooLarge => return None,
            Self::NoKey | Self::UnknownKey | Self::EndsEndpoints => return None,
            Self::Unclear | Self::LateUnclear => return None,
        };
        let spread = 1.0 + SPREAD * (2.0 * fastrand::f64() - 1.0);
        Some(after.mul_f64(spread))
    }
}

/// When to come back for an endpoint that takes requests again after `rest`: not before, and
/// spread over some time after.
pub(super) fn after_rest(rest: Duration) -> Duration {
    rest.mul_f64(1.0 + SPREAD * fastrand::f64())
}

impl AnswerBody {
    /// Creates a body that is held whole.
    pub fn whole(bytes: Bytes, done: Option<Done>) -> Self {
        Self { kind: BodyKind::Whole(Some(bytes)), _done: done }
    }

    /// Creates a body that is relayed.
    pub fn relay(relay: Relay, done: Option<Done>) -> Self {
        Self { kind: BodyKind::Relay(Box::new(relay)), _done: done }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        match &mut self.kind {
            BodyKind::Whole(bytes) => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                Poll::Ready(bytes.map(|b| Ok(Frame::data(b))))
            }
            BodyKind::Relay(relay) => {
                relay.poll(cx).map(|data| data.map(|d| d.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            BodyKind::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            BodyKind::Relay(relay) => relay.is_over(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            BodyKind::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            BodyKind::Relay(relay) => relay.size_hint(),
        }
    }
}

/// Builds an answer of larkspring's own.
pub(super) fn own(
    entry: &Inner,
    reason: Reason,
    id: &str,
    retry_after: Option<Duration>,
    done: Option<Done>,
) -> Response<AnswerBody> {
    let ran = if reason.says_not_run() { "not-run" } else { "unknown" };
    let body = json!({ "error": { "message": reason.name(), "outcome": ran } });
    let mut res = Response::new(AnswerBody::whole(body.to_string().into(), done));
    *res.status_mut() = reason.status();
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    entry.protocol.own_answer(headers, id);
    if let Some(after) = retry_after {
        let secs = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&secs) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    match reason {
        Reason::OldKeys | Reason::OldRouting => close(&mut res),
        _ => close_if_leaving(entry, &mut res),
    }
    res
}

/// Asks the caller to open a new connection next time, which reaches another entry.
pub(super) fn close_if_leaving(entry: &Inner, res: &mut Response<AnswerBody>) {
    if entry.stop.is_leaving() {
        close(res);
    }
}

fn close(res: &mut Response<AnswerBody>) {
    res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
