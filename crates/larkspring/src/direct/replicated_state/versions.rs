//! The newest versions of adapters.

use std::sync::Arc;
use std::time::Instant;

use larkspring_core::fleet::versions::AdapterVersions;
use larkspring_core::ids::{AdapterId, StorePoint, Target};
use smol::Timer;

use super::ReplicatedState;
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::StateKind;

impl ReplicatedState {
    /// Returns the newest versions of adapters.
    pub fn versions(&self) -> Arc<AdapterVersions> {
        self.versions.load_full()
    }

    /// Returns once no request may start on this version of an adapter any more.
    pub async fn wait_until_outdated(&self, target: &Target) {
        loop {
            let changed = self.changed();
            let begin_by = self.versions().latest_start(&target.adapter, &target.version);
            if let Some(at) = begin_by {
                Timer::at(at).await;
                return;
            }
            changed.await;
        }
    }

    /// Applies a version that the store names.
    pub(super) fn apply_version(
        &self,
        now: Instant,
        at: StorePoint,
        adapter: AdapterId,
        number: u64,
    ) {
        let (epoch, revision) = (at.epoch(), at.revision());
        let mut versions = AdapterVersions::clone(&self.versions.load());
        // The version was named after the last proof that the store held nothing newer.
        let age = self.proof_age(StateKind::Versions).unwrap_or_default();
        let since = now.checked_sub(age).unwrap_or(now);
        if versions.announce(now, since, &adapter, number) {
            self.versions.store(Arc::new(versions));
            tracing::info!(
                event = "version named",
                adapter = %adapter,
                number,
                epoch,
                revision,
            );
            return;
        }
        let newest = versions.newest_number(&adapter);
        if number < newest && logs::is_allowed(LineKind::StateChange) {
            tracing::warn!(
                event = "older version listed",
                adapter = %adapter,
                number,
                newest,
                epoch,
                revision,
            );
        }
    }
}
