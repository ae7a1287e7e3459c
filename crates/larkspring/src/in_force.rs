//! The declared state in force in this process, and the watch of the object API.

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use larkspring_core::declared::{DeclaredState, IndexedChunk};
use larkspring_core::ids::Revision;
use larkspring_core::retry::backoff;
use larkspring_proto::declared::{Chunk, Root};
use smol::Timer;

use crate::platform::objects::{ObjectApi, ObjectVersion};
use crate::platform::PlatformError;

/// Name of the object that holds the root.
pub const ROOT_OBJECT: &str = "config/root";
/// Maximum time that one watch waits at the object API.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The state in force; its revision never goes down.
#[derive(Debug, Default)]
pub struct InForce {
    state: ArcSwap<DeclaredState>,
    /// VMs marked as leaving in the platform's list, sorted.
    leaving_vms: ArcSwap<Vec<String>>,
    changed: event_listener::Event,
}

impl InForce {
    /// Returns the state in force.
    pub fn state(&self) -> Arc<DeclaredState> {
        self.state.load_full()
    }

    /// Puts a state in force unless the current one is as new; returns whether it did.
    pub fn apply(&self, revision: Revision, parts: Vec<Arc<IndexedChunk>>) -> bool {
        let state = Arc::new(DeclaredState::build(revision, parts));
        let before = self.state.rcu(|old| match old.revision < revision {
            true => state.clone(),
            false => old.clone(),
        });
        self.changed.notify(usize::MAX);
        before.revision < revision
    }

    /// Waits until a state of at least `revision` is in force.
    pub async fn wait_for_revision(&self, revision: Revision) {
        loop {
            let listener = self.changed.listen();
            if self.state.load().revision >= revision {
                return;
            }
            listener.await;
        }
    }

    /// Waits until another state is in force or the set of leaving VMs changes.
    ///
    /// Changes count from the call on, not from the first poll.
    pub fn changed(&self) -> impl Future<Output = ()> {
        self.changed.listen()
    }

    /// Returns the VMs marked as leaving in the platform's list.
    pub fn leaving_vms(&self) -> Arc<Vec<String>> {
        self.leaving_vms.load_full()
    }

    /// Whether a VM is marked as leaving in the platform's list.
    pub fn is_vm_leaving(&self, vm: &str) -> bool {
        self.leaving_vms.load().binary_search_by(|name| name.as_str().cmp(vm)).is_ok()
    }

    /// Sets the VMs that are leaving.
    pub fn set_leaving_vms(&self, mut vms: Vec<String>) {
        vms.sort();
        if **self.leaving_vms.load() != vms {
            tracing::info!(?vms, "VMs are leaving");
            self.leaving_vms.store(Arc::new(vms));
            self.changed.notify(usize::MAX);
        }
    }

    /// Watches the object API while `keep_watching` returns true. The state in force
    /// stays in effect while the object API is unavailable.
    pub async fn watch(&self, api: &dyn ObjectApi, keep_watching: impl Fn() -> bool) {
        let mut seen = 0;
        let mut failures = 0;
        while keep_watching() {
            match self.step(api, seen).await {
                Ok(version) => {
                    seen = version;
                    failures = 0;
                }
                Err(e) => {
                    tracing::warn!(error = %e, "the declared state can't be followed");
                    let mut rng = fastrand::Rng::new();
                    let wait = backoff(INITIAL_BACKOFF, MAX_BACKOFF, failures, &mut rng);
                    failures += 1;
                    Timer::after(wait).await;
                }
            }
        }
    }

    async fn step(
        &self,
        api: &dyn ObjectApi,
        seen: ObjectVersion,
    ) -> Result<ObjectVersion, PlatformError> {
        let Some(object) = api.watch(ROOT_OBJECT, seen, WATCH_TIMEOUT).await? else {
            return Ok(seen);
        };
        let root: Root = decode("read the root", &object.value)?;
        let parts = self.fetch_parts(api, &root).await?;
        if self.apply(root.revision, parts) {
            tracing::info!(revision = root.revision, "in force");
        }
        Ok(object.version)
    }

    /// Returns the parts of a root and reads only those not held yet.
    async fn fetch_parts(
        &self,
        api: &dyn ObjectApi,
        root: &Root,
    ) -> Result<Vec<Arc<IndexedChunk>>, PlatformError> {
        let state = self.state();
        let held: HashMap<_, _> = state.chunks().iter().map(|p| (&p.hash, p)).collect();
        let mut parts = Vec::with_capacity(root.chunks.len());
        let mut fetched: HashMap<&String, Arc<IndexedChunk>> = HashMap::new();
        for hash in &root.chunks {
            let known = held.get(hash).copied().or_else(|| fetched.get(hash));
            let part = match known {
                Some(part) => Arc::clone(part),
                None => {
                    Arc::new(IndexedChunk::index(hash, &fetch_chunk(api, hash).await?))
                }
            };
            fetched.insert(hash, part.clone());
            parts.push(part);
        }
        Ok(parts)
    }
}

/// Returns the name of the object that holds a chunk.
pub fn chunk_name(hash: &str) -> String {
    format!("config/chunk-{hash}")
}

async fn fetch_chunk(api: &dyn ObjectApi, hash: &str) -> Result<Chunk, PlatformError> {
    let step = "read a chunk";
    let object = api.get(&chunk_name(hash)).await?;
    let missing = || PlatformError::Answer(step, format!("chunk {hash} is missing"));
    decode(step, &object.ok_or_else(missing)?.value)
}

fn decode<T: serde::de::DeserializeOwned>(
    step: &'static str,
    value: &[u8],
) -> Result<T, PlatformError> {
    let parsed = serde_json::from_slice(value);
    parsed.map_err(|e| PlatformError::Answer(step, e.to_string()))
}
