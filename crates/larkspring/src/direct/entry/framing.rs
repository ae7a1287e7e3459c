//! How the body of an endpoint's answer is framed, and how it ended.

use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::response::Parts;
use http::HeaderMap;
use hyper::body::{Body, Incoming};

/// What shows where the body of an answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// A declared length, or a status or method without a body.
    Length,
    /// Chunks and a last chunk.
    Chunked,
    /// Nothing but the end of the connection, which also ends an answer that was cut off.
    UntilClose,
}

/// How the body of an endpoint's answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyEnd {
    /// The body is complete by its framing.
    Complete,
    /// The endpoint closed the connection, and nothing else shows where the body ends.
    Closed,
    /// The same, and it is not known whether the endpoint's process had ended.
    Unconfirmed,
    /// The same, and the endpoint's process had ended.
    ProcessEnded,
    /// The stream ended inside an event.
    InsideEvent,
    /// An event came whose id is not greater than the one before.
    OutOfOrder,
    /// The connection broke, or ended before the body by its framing.
    Broken,
    /// The deadline of the request passed.
    TimedOut,
}

const EVENT_STREAM: &str = "text/event-stream";

impl Framing {
    /// Returns the framing of an answer.
    pub fn of(head: &Parts, body: &Incoming) -> Self {
        if body.is_end_stream() || body.size_hint().exact().is_some() {
            return Self::Length;
        }
        match is_chunked(&head.headers) {
            true => Self::Chunked,
            false => Self::UntilClose,
        }
    }

    /// Removes the length from a head whose body has another framing, which takes
    /// precedence.
    pub fn remove_other_length(self, headers: &mut HeaderMap) {
        match self {
            Self::Length => {}
            Self::Chunked | Self::UntilClose => drop(headers.remove(CONTENT_LENGTH)),
        }
    }

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until close",
        }
    }
}

impl BodyEnd {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Closed => "closed",
            Self::Unconfirmed => "closed, unconfirmed",
            Self::ProcessEnded => "process ended",
            Self::InsideEvent => "inside an event",
            Self::OutOfOrder => "out of order",
            Self::Broken => "broken",
            Self::TimedOut => "out of time",
        }
    }
}

/// Returns whether a successful answer on a stream's route is a stream of server-sent
/// events, as it is if the endpoint states no other type.
pub(super) fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(value) = headers.get(CONTENT_TYPE) else { return true };
    value.to_str().is_ok_and(|value| {
        let media_type = value.split(';').next().unwrap_or_default().trim();
        media_type.eq_ignore_ascii_case(EVENT_STREAM)
    })
}

/// Returns whether `chunked` is the last transfer encoding.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = last.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|encoding| encoding.trim().eq_ignore_ascii_case("chunked"))
}
