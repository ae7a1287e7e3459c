//! Writing a declaration to the object API as one change of the root.
//!
//! The declaration is cut into immutable chunks named by their content. A change writes
//! the new chunks and then updates the root, on the condition that it is still the root
//! that the change was made from. A lost reply is resolved by reading the root back: it
//! lists the ids of its last changes.

use std::collections::BTreeSet;

use larkspring_core::declared::{key_hash, place};
use larkspring_proto::declared::{Chunk, Root};
use quick_error::quick_error;

use crate::in_force::{chunk_name, ROOT};
use crate::platform::objects::{ObjectApi, ObjectVersion};
use crate::platform::PlatformError;

/// Chunks of a declaration; at 49,000 adapters each holds about 5 KB, which is what one
/// change sends to each process.
pub const CHUNKS: usize = 1024;
/// Hex digits of a chunk's content hash, 128 bits of its SHA-256.
const HASH_DIGITS: usize = 32;
/// Change ids that the root keeps.
const KEPT_CHANGES: usize = 64;
/// Tries to find out whether a change with a lost reply took effect.
const READ_BACKS: u32 = 5;

quick_error! {
    /// Why a change is not known to be accepted.
    #[derive(Debug)]
    pub enum PublishError {
        /// The change is not accepted and has no effect.
        Refused(cause: String) { display("not accepted: {cause}") }
        /// Another change came first: the revision now in the API.
        Outdated(revision: u64) {
            display("not accepted: another change made revision {revision} first")
        }
        /// It can't be found out now whether the change was accepted.
        Unknown(change: String, cause: String) {
            display("unknown whether change {change} was accepted: {cause}")
        }
    }
}

/// The root as read, with its version in the object API.
#[derive(Debug, Clone, Default)]
pub struct Present {
    /// Version of the object.
    pub version: ObjectVersion,
    /// The root; the default one if there is none yet.
    pub root: Root,
}

/// Reads the present root.
pub async fn present(api: &dyn ObjectApi) -> Result<Present, PlatformError> {
    let Some(object) = api.get(ROOT).await? else { return Ok(Present::default()) };
    let root = serde_json::from_slice(&object.value);
    let root = root.map_err(|e| PlatformError::Answer("read the root", e.to_string()))?;
    Ok(Present { version: object.version, root })
}

/// Makes `all` the declared state, if the root is still `from`; returns its revision.
pub async fn publish(
    api: &dyn ObjectApi,
    from: &Present,
    all: &Chunk,
    change: &str,
) -> Result<u64, PublishError> {
    if from.root.changes.iter().any(|c| c == change) {
        return Ok(from.root.revision);
    }
    let chunks = write_chunks(api, &from.root, all).await?;
    publish_root(api, from, chunks, change).await
}

/// Writes the chunks of a declaration that `from` lacks; returns all their hashes.
pub async fn write_chunks(
    api: &dyn ObjectApi,
    from: &Root,
    all: &Chunk,
) -> Result<Vec<String>, PublishError> {
    let mut hashes = Vec::new();
    let mut known: BTreeSet<_> = from.chunks.iter().cloned().collect();
    for chunk in split(all) {
        let value = serde_json::to_vec(&chunk).unwrap_or_default();
        let mut hash = key_hash(&String::from_utf8_lossy(&value));
        hash.truncate(HASH_DIGITS);
        if known.insert(hash.clone()) {
            write_chunk(api, &hash, value).await?;
        }
        hashes.push(hash);
    }
    Ok(hashes)
}

/// Makes chunks that are written the declared state, if the root is still `from`.
pub async fn publish_root(
    api: &dyn ObjectApi,
    from: &Present,
    chunks: Vec<String>,
    change: &str,
) -> Result<u64, PublishError> {
    let root = next_root(&from.root, chunks, change);
    let value = serde_json::to_vec(&root).unwrap_or_default();
    match api.put(ROOT, from.version, value).await {
        Ok(_) => Ok(root.revision),
        Err(e) => resolve(api, change, e).await,
    }
}

/// Cuts a declaration into chunks by the hash of each name.
pub fn split(all: &Chunk) -> Vec<Chunk> {
    let mut chunks = vec![Chunk::default(); CHUNKS];
    for adapter in &all.adapters {
        chunks[place(&adapter.name, CHUNKS)].adapters.push(adapter.clone());
    }
    for caller in &all.callers {
        chunks[place(&caller.name, CHUNKS)].callers.push(caller.clone());
    }
    for service in &all.services {
        chunks[place(&service.name, CHUNKS)].services.push(service.clone());
    }
    for endpoint in &all.endpoints {
        chunks[place(&endpoint.name, CHUNKS)].endpoints.push(endpoint.clone());
    }
    chunks
}

fn next_root(from: &Root, chunks: Vec<String>, change: &str) -> Root {
    let mut changes = from.changes.clone();
    changes.push(change.into());
    let old = changes.len().saturating_sub(KEPT_CHANGES);
    changes.drain(..old);
    Root { revision: from.revision + 1, chunks, changes }
}

/// Writes an immutable chunk; one that is there already is as good.
async fn write_chunk(
    api: &dyn ObjectApi,
    hash: &str,
    value: Vec<u8>,
) -> Result<(), PublishError> {
    match api.put(&chunk_name(hash), 0, value).await {
        Ok(_) | Err(PlatformError::Conflict(_)) => Ok(()),
        Err(e) => match api.get(&chunk_name(hash)).await {
            Ok(Some(_)) => Ok(()),
            _ => Err(PublishError::Refused(e.to_string())),
        },
    }
}

/// Finds out what became of a change whose write did not clearly succeed.
async fn resolve(
    api: &dyn ObjectApi,
    change: &str,
    cause: PlatformError,
) -> Result<u64, PublishError> {
    if let PlatformError::NoEffect(..) = cause {
        return Err(PublishError::Refused(cause.to_string()));
    }
    for _ in 0..READ_BACKS {
        let Ok(now) = present(api).await else { continue };
        return match now.root.changes.iter().any(|c| c == change) {
            true => Ok(now.root.revision),
            false => Err(PublishError::Outdated(now.root.revision)),
        };
    }
    Err(PublishError::Unknown(change.into(), cause.to_string()))
}
