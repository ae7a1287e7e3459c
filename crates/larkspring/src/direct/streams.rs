//! Encoding of where streams began, as entries and agents exchange it.

use std::time::Duration;

use larkspring_core::fleet::stream_origins::{KeptOrigin, StreamKey, StreamOrigin};
use larkspring_proto::residency as wire;
use larkspring_proto::residency::StreamStage;

/// Encodes where a stream was sent or began, and for how long that is kept; `None` if
/// nothing is known.
pub(crate) fn encode_start(
    key: StreamKey,
    kept: &KeptOrigin,
    kept_for: Duration,
) -> Option<wire::StreamStart> {
    let stage = match kept {
        KeptOrigin::Sent(_) => StreamStage::Sent,
        KeptOrigin::Begun(_) => StreamStage::Begun,
        KeptOrigin::SentToSeveral | KeptOrigin::Ambiguous => StreamStage::SentToSeveral,
        KeptOrigin::Unknown => return None,
    };
    let origin = kept.origin();
    Some(wire::StreamStart {
        key,
        service: origin.map(|at| at.service.to_string()).unwrap_or_default(),
        build: origin.map(|at| at.build.to_string()).unwrap_or_default(),
        kept_ms: kept_for.as_millis() as u64,
        stage: stage.into(),
    })
}

/// Decodes where a stream was sent or began.
pub(crate) fn decode_start(start: &wire::StreamStart) -> KeptOrigin {
    let origin = || StreamOrigin {
        service: start.service.as_str().into(),
        build: start.build.as_str().into(),
    };
    match start.stage() {
        StreamStage::Sent => KeptOrigin::Sent(origin()),
        StreamStage::Begun => KeptOrigin::Begun(origin()),
        StreamStage::SentToSeveral => KeptOrigin::SentToSeveral,
        StreamStage::Unspecified => KeptOrigin::Unknown,
    }
}

/// Encodes the reply to a query.
pub(crate) fn encode_stream_reply(
    query: &wire::StreamQuery,
    kept: &KeptOrigin,
) -> wire::StreamReply {
    let is_ambiguous = *kept == KeptOrigin::Ambiguous;
    let start = encode_start(query.key, kept, Duration::ZERO).filter(|_| !is_ambiguous);
    wire::StreamReply { id: query.id, start, is_ambiguous }
}

/// Decodes the reply to a query.
pub(crate) fn decode_stream_reply(reply: &wire::StreamReply) -> KeptOrigin {
    match &reply.start {
        _ if reply.is_ambiguous => KeptOrigin::Ambiguous,
        None => KeptOrigin::Unknown,
        Some(start) => decode_start(start),
    }
}
