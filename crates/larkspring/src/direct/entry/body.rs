//! Request bodies: buffered for further attempts, streamed, or discarded.

use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_lite::future::poll_fn;
use hyper::body::{Body, Incoming};
use larkspring_core::ids::ContentHash;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::answer::ErrorReason;
use super::EntryState;
use crate::exec::with_timeout;

/// The body of a request.
pub(super) enum RequestBody {
    /// A buffered body, which can be sent more than once.
    Buffered { bytes: Bytes, _counted: BufferedBytes },
    /// A body too large to buffer: the bytes read so far and the rest, which can be sent
    /// only once.
    Streamed { flow: Option<(Bytes, Incoming)>, _counted: BufferedBytes },
}

/// Bytes counted toward the entry's limit for buffered bodies.
pub(super) struct BufferedBytes {
    entry: Arc<EntryState>,
    len: usize,
}

/// Maximum size in bytes of a buffered body. The largest prompts of the deployments have
/// 110,000 bytes.
const MAX_BUFFERED_BODY: usize = 128 * 1024;

/// Reads a body to its end, or up to the limits for buffered bodies.
pub(super) async fn read_body(
    entry: &Arc<EntryState>,
    mut body: Incoming,
    max: usize,
) -> Result<RequestBody, ErrorReason> {
    let declared = body.size_hint().exact();
    if declared.is_some_and(|len| len > max as u64) {
        return Err(ErrorReason::BodyTooLarge);
    }
    let mut counted = BufferedBytes { entry: entry.clone(), len: 0 };
    let mut buffered = BytesMut::new();
    while !body.is_end_stream() {
        let frame = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await;
        let Some(frame) = frame else { break };
        // A caller that disconnects while it sends the body never reads this answer.
        let frame = frame.map_err(|_| ErrorReason::BadRequest)?;
        let Ok(data) = frame.into_data() else { continue };
        if buffered.len() + data.len() > max {
            return Err(ErrorReason::BodyTooLarge);
        }
        buffered.extend_from_slice(&data);
        if buffered.len() > MAX_BUFFERED_BODY || !counted.add(data.len()) {
            let flow = Some((buffered.freeze(), body));
            return Ok(RequestBody::Streamed { flow, _counted: counted });
        }
    }
    Ok(RequestBody::Buffered { bytes: buffered.freeze(), _counted: counted })
}

impl BufferedBytes {
    /// Counts bytes; returns whether the total is within the limit.
    fn add(&mut self, len: usize) -> bool {
        let all = self.entry.buffered_bytes.fetch_add(len, Ordering::Relaxed) + len;
        self.len += len;
        all <= self.entry.cfg().max_buffered_bytes
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.entry.buffered_bytes.fetch_sub(self.len, Ordering::Relaxed);
    }
}

/// Returns the request fingerprint, a hash of path, workspace and body that recognises a
/// retry under another id.
///
/// All entries compute the same hash. Of a body too large to buffer, only the beginning
/// is hashed.
pub(super) fn request_fingerprint(
    path: &str,
    workspace: Option<&str>,
    body: &RequestBody,
) -> ContentHash {
    let bytes = match body {
        RequestBody::Buffered { bytes, .. } => bytes,
        RequestBody::Streamed { flow: Some((first, _)), .. } => first,
        RequestBody::Streamed { flow: None, .. } => &Bytes::new(),
    };
    let start = &bytes[..bytes.len().min(MAX_BUFFERED_BODY)];
    let caller = xxh3_64(workspace.unwrap_or_default().as_bytes());
    xxh3_64_with_seed(start, xxh3_64_with_seed(path.as_bytes(), caller))
}

impl RequestBody {
    /// Returns whether the body is buffered and not empty, so that the fingerprint tells
    /// the request from others.
    pub fn is_fingerprinted(&self) -> bool {
        matches!(self, Self::Buffered { bytes, .. } if !bytes.is_empty())
    }
}

/// Maximum time for reading the body of a refused request. Callers may read the answer
/// only after they have sent the body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads and drops the body of a refused request, so that the connection is not reset
/// before the caller reads the answer.
pub(super) async fn discard(body: Option<Incoming>) {
    let Some(mut body) = body else { return };
    let read = async {
        let mut len = 0;
        while len < MAX_BUFFERED_BODY && !body.is_end_stream() {
            let next = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await;
            let Some(Ok(frame)) = next else { return };
            len += frame.into_data().map_or(0, |data| data.len());
        }
    };
    // A body that does not arrive in time is dropped with its connection.
    let _ = with_timeout(DISCARD_TIMEOUT, read).await;
}
