//! Publishing a declaration to the object API as one change of the root.
//!
//! The declaration is split into immutable chunks named by their content hash. A change
//! writes the new chunks and then updates the root, on the condition that the root is
//! still the one from which the change was made. A lost reply is resolved by reading the
//! root back, which lists the ids of the latest changes.

use std::collections::BTreeSet;

use larkspring_core::declared::{key_hash, place};
use larkspring_proto::declared::{Chunk, Root};
use quick_error::quick_error;

use crate::in_force::{chunk_name, ROOT_OBJECT};
use crate::platform::objects::{ObjectApi, ObjectVersion};
use crate::platform::PlatformError;

/// Number of chunks of a declaration. With 49,000 adapters each holds about 5 KB, the
/// amount that one change sends to each process.
pub const CHUNK_COUNT: usize = 1024;
/// Hex digits of a chunk's content hash, 128 bits of its SHA-256.
const HASH_DIGITS: usize = 32;
/// Number of latest change ids kept in the root.
const MAX_KEPT_CHANGES: usize = 64;
/// Attempts to read the root back after a write with a lost reply.
const READ_BACK_ATTEMPTS: u32 = 5;

quick_error! {
    /// Error of a change that was not accepted, or not confirmed as accepted.
    #[derive(Debug)]
    pub enum PublishError {
        /// The change is not accepted and has no effect.
        Refused(cause: String) { display("not accepted: {cause}") }
        /// Another change came first and made `revision`.
        Outdated(revision: u64) {
            display("not accepted: another change made revision {revision} first")
        }
        /// It is unknown whether the change was accepted.
        Unknown(change: String, cause: String) {
            display("unknown whether change {change} was accepted: {cause}")
        }
    }
}

/// The root and its version in the object API.
#[derive(Debug, Clone, Default)]
pub struct RootSnapshot {
    /// Version of the root object.
    pub version: ObjectVersion,
    /// The root; empty if none exists yet.
    pub root: Root,
}

/// Reads the current root.
pub async fn present(api: &dyn ObjectApi) -> Result<RootSnapshot, PlatformError> {
    let Some(object) = api.get(ROOT_OBJECT).await? else {
        return Ok(RootSnapshot::default());
    };
    let root = serde_json::from_slice(&object.value);
    let root = root.map_err(|e| PlatformError::Answer("read the root", e.to_string()))?;
    Ok(RootSnapshot { version: object.version, root })
}

/// Publishes `all` as the declared state if the root is still `from`; returns the
/// revision.
pub async fn publish(
    api: &dyn ObjectApi,
    from: &RootSnapshot,
    all: &Chunk,
    change: &str,
) -> Result<u64, PublishError> {
    if from.root.changes.iter().any(|c| c == change) {
        return Ok(from.root.revision);
    }
    let chunks = write_chunks(api, &from.root, all).await?;
    publish_root(api, from, chunks, change).await
}

/// Writes the chunks of a declaration that `from` lacks; returns the hashes of all
/// chunks.
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

/// Publishes chunks that are already written, if the root is still `from`.
pub async fn publish_root(
    api: &dyn ObjectApi,
    from: &RootSnapshot,
    chunks: Vec<String>,
    change: &str,
) -> Result<u64, PublishError> {
    let root = next_root(&from.root, chunks, change);
    let value = serde_json::to_vec(&root).unwrap_or_default();
    match api.put(ROOT_OBJECT, from.version, value).await {
        Ok(_) => Ok(root.revision),
        Err(e) => resolve_failed_write(api, change, e).await,
    }
}

/// Splits a declaration into chunks by the hash of each name.
pub fn split(all: &Chunk) -> Vec<Chunk> {
    let mut chunks = vec![Chunk::default(); CHUNK_COUNT];
    for adapter in &all.adapters {
        chunks[place(&adapter.name, CHUNK_COUNT)].adapters.push(adapter.clone());
    }
    for caller in &all.callers {
        chunks[place(&caller.name, CHUNK_COUNT)].callers.push(caller.clone());
    }
    for service in &all.services {
        chunks[place(&service.name, CHUNK_COUNT)].services.push(service.clone());
    }
    for endpoint in &all.endpoints {
        chunks[place(&endpoint.name, CHUNK_COUNT)].endpoints.push(endpoint.clone());
    }
    chunks
}

fn next_root(from: &Root, chunks: Vec<String>, change: &str) -> Root {
    let mut changes = from.changes.clone();
    changes.push(change.into());
    let old = changes.len().saturating_sub(MAX_KEPT_CHANGES);
    changes.drain(..old);
    Root { revision: from.revision + 1, chunks, changes }
}

/// Writes an immutable chunk; succeeds if the chunk already exists.
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

/// Determines by reading the root whether a change was accepted after its write failed.
async fn resolve_failed_write(
    api: &dyn ObjectApi,
    change: &str,
    cause: PlatformError,
) -> Result<u64, PublishError> {
    if let PlatformError::NoEffect(..) = cause {
        return Err(PublishError::Refused(cause.to_string()));
    }
    for _ in 0..READ_BACK_ATTEMPTS {
        let Ok(now) = present(api).await else { continue };
        return match now.root.changes.iter().any(|c| c == change) {
            true => Ok(now.root.revision),
            false => Err(PublishError::Outdated(now.root.revision)),
        };
    }
    Err(PublishError::Unknown(change.into(), cause.to_string()))
}
