//! Answers to callers: larkspring's own, and bodies relayed from endpoints.

use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{Response, StatusCode, Version};
use hyper::body::{Body, Frame, SizeHint};
use quick_error::quick_error;
use serde_json::json;

use super::connections::ExchangeGuard;
use super::framing::Framing;
use super::relay::Relay;
use super::EntryState;

/// The body of an answer to a caller.
pub(super) struct AnswerBody {
    kind: BodyKind,
    /// Counts the bytes for the caller, and marks its connection as idle when dropped.
    exchange: Option<ExchangeGuard>,
}

enum BodyKind {
    Whole { bytes: Option<Bytes>, framing: Framing },
    Relay(Box<Relay>),
}

quick_error! {
    /// The reason why the relay of an answer was interrupted.
    #[derive(Debug)]
    pub enum RelayError {
        /// The endpoint's answer was interrupted.
        Interrupted(cause: String) {
            display("the endpoint's answer was interrupted: {cause}")
        }
        /// The request's deadline passed.
        TimedOut { display("the request's deadline passed") }
    }
}

/// The reason why larkspring answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ErrorReason {
    BadRequest,
    NoKey,
    UnknownKey,
    StaleKeys,
    OverLimit,
    NoRoute,
    StaleRouting,
    BodyTooLarge,
    CrashesEndpoints,
    Stopping,
    NoRouting,
    NoVersions,
    NoEndpoint,
    NoAllowedHall,
    NoSameBuild,
    UnknownBuild,
    InBackoff,
    RateUsedUp,
    OverShare,
    NoAdapterInTime,
    Rejected,
    NotReached,
    Unclear,
    TimedOutNotRun,
    TimedOutUnclear,
}

impl ErrorReason {
    /// Returns the name used in logs, metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad request",
            Self::NoKey => "no key",
            Self::UnknownKey => "unknown key",
            Self::StaleKeys => "the view of the keys is too old",
            Self::OverLimit => "over the workspace's limit",
            Self::NoRoute => "no route",
            Self::StaleRouting => "no route, and the routing may be out of date",
            Self::BodyTooLarge => "body too large",
            Self::CrashesEndpoints => "endpoints ended each time it ran",
            Self::Stopping => "the entry stops",
            Self::NoRouting => "routing not known yet",
            Self::NoVersions => "versions of adapters not known yet",
            Self::NoEndpoint => "no endpoint",
            Self::NoAllowedHall => "no endpoint in a hall that may serve it",
            Self::NoSameBuild => "no endpoint has the software that began the stream",
            Self::UnknownBuild => "the software that began the stream is not known",
            Self::InBackoff => "no endpoint wants requests now",
            Self::RateUsedUp => "the rate that endpoints take is used up",
            Self::OverShare => "over the workspace's share of a saturated service",
            Self::NoAdapterInTime => "adapter not ready in time",
            Self::Rejected => "rejected by the endpoint",
            Self::NotReached => "endpoint not reached",
            Self::Unclear => "no answer from the endpoint",
            Self::TimedOutNotRun => "out of time before it was sent",
            Self::TimedOutUnclear => "out of time at the endpoint",
        }
    }

    /// Returns the status. 503 means that the request has not run.
    ///
    /// A request that crashes endpoints would crash the next one too, so its caller gets
    /// a status that HTTP clients do not retry by themselves, as they do 408, 429, 500
    /// and 503.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NoKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::CrashesEndpoints => StatusCode::UNPROCESSABLE_ENTITY,
            Self::StaleKeys
            | Self::StaleRouting
            | Self::Stopping
            | Self::NoRouting
            | Self::NoVersions
            | Self::NoEndpoint
            | Self::NoAllowedHall
            | Self::NoSameBuild
            | Self::UnknownBuild
            | Self::InBackoff
            | Self::RateUsedUp
            | Self::OverShare
            | Self::NoAdapterInTime
            | Self::Rejected
            | Self::NotReached
            | Self::TimedOutNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unclear => StatusCode::BAD_GATEWAY,
            Self::TimedOutUnclear => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Retry time when the entry is stopping: at once, on a connection to another entry.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(50);
/// Retry time while the entry does not know the routing yet, or all engines are loading
/// their base models: a base model takes half a second and the adapters more. A caller
/// retries only once or twice, so too early is worse than too late.
const RETRY_AFTER_LOADING: Duration = Duration::from_millis(1000);
/// Retry time after other refusals: an endpoint usually frees a slot within this time.
const RETRY_SOON: Duration = Duration::from_millis(250);
/// Fraction of the retry time over which the retries of refused callers are spread.
const RETRY_SPREAD: f64 = 0.3;

impl ErrorReason {
    /// Returns whether the answer guarantees that the request has not run.
    pub fn says_not_run(self) -> bool {
        !matches!(self, Self::Unclear | Self::TimedOutUnclear)
    }

    /// Returns when a caller should retry. `None` if a retry would get the same answer,
    /// or if the retry time comes from the limits or the endpoints.
    pub fn retry_after(self, needs_adapter: bool) -> Option<Duration> {
        let after = match self {
            Self::Stopping | Self::StaleKeys => RETRY_ELSEWHERE,
            Self::NoRouting
            | Self::NoVersions
            | Self::NoAllowedHall
            | Self::NoSameBuild => RETRY_AFTER_LOADING,
            Self::NoEndpoint if needs_adapter => RETRY_AFTER_LOADING,
            Self::NoEndpoint
            | Self::StaleRouting
            | Self::UnknownBuild
            | Self::NoAdapterInTime
            | Self::Rejected
            | Self::NotReached
            | Self::TimedOutNotRun => RETRY_SOON,
            // The retry time comes from the limits and the endpoints.
            Self::OverLimit | Self::InBackoff | Self::RateUsedUp => return None,
            Self::OverShare => return None,
            Self::BadRequest | Self::NoRoute | Self::BodyTooLarge => return None,
            Self::NoKey | Self::UnknownKey | Self::CrashesEndpoints => return None,
            Self::Unclear | Self::TimedOutUnclear => return None,
        };
        let spread = 1.0 + RETRY_SPREAD * (2.0 * fastrand::f64() - 1.0);
        Some(after.mul_f64(spread))
    }
}

/// Returns the retry time of a request that waits for the end of a backoff: not before
/// the end, and spread over some time after the end.
pub(super) fn retry_after_backoff(backoff: Duration) -> Duration {
    backoff.mul_f64(1.0 + RETRY_SPREAD * fastrand::f64())
}

impl AnswerBody {
    /// Creates a body from bytes in memory.
    pub fn whole(bytes: Bytes, framing: Framing, done: Option<ExchangeGuard>) -> Self {
        let kind = BodyKind::Whole { bytes: Some(bytes), framing };
        Self { kind, exchange: done }
    }

    /// Creates a body that relays an endpoint's answer.
    pub fn relay(relay: Relay, done: Option<ExchangeGuard>) -> Self {
        Self { kind: BodyKind::Relay(Box::new(relay)), exchange: done }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let this = &mut *self;
        let data = match &mut this.kind {
            BodyKind::Whole { bytes, .. } => {
                let bytes = bytes.take().filter(|b| !b.is_empty());
                bytes.map(Ok)
            }
            BodyKind::Relay(relay) => ready!(relay.poll(cx)),
        };
        if let (Some(Ok(bytes)), Some(exchange)) = (&data, &this.exchange) {
            exchange.record_held(bytes.len());
        }
        Poll::Ready(data.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            // An end that is unknown is not stated by a length of zero either.
            BodyKind::Whole { framing: Framing::UntilClose, .. } => false,
            BodyKind::Whole { bytes, .. } => bytes.as_ref().is_none_or(Bytes::is_empty),
            BodyKind::Relay(relay) => relay.is_over(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            BodyKind::Whole { framing: Framing::UntilClose, .. } => SizeHint::default(),
            BodyKind::Whole { bytes, .. } => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            BodyKind::Relay(relay) => relay.size_hint(),
        }
    }
}

/// Builds larkspring's own answer to a request that has no answer from an endpoint.
pub(super) fn own_answer(
    entry: &EntryState,
    reason: ErrorReason,
    id: &str,
    retry_after: Option<Duration>,
    done: Option<ExchangeGuard>,
) -> Response<AnswerBody> {
    let ran = if reason.says_not_run() { "not-run" } else { "unknown" };
    let body = json!({ "error": { "message": reason.name(), "outcome": ran } });
    let body = AnswerBody::whole(body.to_string().into(), Framing::Length, done);
    let mut res = Response::new(body);
    *res.status_mut() = reason.status();
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    entry.protocol.add_answer_headers(headers, id);
    if let Some(after) = retry_after {
        let secs = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&secs) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    match reason {
        ErrorReason::StaleKeys | ErrorReason::StaleRouting => close(&mut res),
        _ => close_if_draining(entry, &mut res),
    }
    res
}

/// Closes the caller's connection if the entry is stopping, so that the caller's next
/// connection reaches another entry.
pub(super) fn close_if_draining(entry: &EntryState, res: &mut Response<AnswerBody>) {
    if entry.shutdown.is_draining() {
        close(res);
    }
}

/// Makes the end of the caller's connection the end of an answer's body, without a length
/// or chunks. The HTTP library omits chunks only from answers of HTTP/1.0.
pub(super) fn end_with_connection(res: &mut Response<AnswerBody>) {
    *res.version_mut() = Version::HTTP_10;
    close(res);
}

fn close(res: &mut Response<AnswerBody>) {
    res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
