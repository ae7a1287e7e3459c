//! Encoding of where streams began, as entries and agents exchange it.

use std::time::Duration;

use larkspring_core::fleet::stream_origins::{KeptOrigin, StreamKey, StreamOrigin};
use larkspring_proto::residency as wire;

/// Encodes where a stream began, and for how long that is kept.
pub(crate) fn encode_start(
    key: StreamKey,
    origin: &StreamOrigin,
    kept: Duration,
) -> wire::StreamStart {
    wire::StreamStart {
        key,
        service: origin.service.to_string(),
        build: origin.build.to_string(),
        kept_ms: kept.as_millis() as u64,
    }
}

/// Decodes where a stream began.
pub(crate) fn decode_origin(start: &wire::StreamStart) -> StreamOrigin {
    StreamOrigin {
        service: start.service.as_str().into(),
        build: start.build.as_str().into(),
    }
}

/// Encodes the reply to a query.
pub(crate) fn encode_stream_reply(
    query: &wire::StreamQuery,
    origin: &KeptOrigin,
) -> wire::StreamReply {
    let start = match origin {
        KeptOrigin::Known(origin) => {
            Some(encode_start(query.key, origin, Duration::ZERO))
        }
        KeptOrigin::Unknown | KeptOrigin::Ambiguous => None,
    };
    let is_ambiguous = *origin == KeptOrigin::Ambiguous;
    wire::StreamReply { id: query.id, start, is_ambiguous }
}

/// Decodes the reply to a query.
pub(crate) fn decode_stream_reply(reply: &wire::StreamReply) -> KeptOrigin {
    match &reply.start {
        _ if reply.is_ambiguous => KeptOrigin::Ambiguous,
        None => KeptOrigin::Unknown,
        Some(start) => KeptOrigin::Known(decode_origin(start)),
    }
}
