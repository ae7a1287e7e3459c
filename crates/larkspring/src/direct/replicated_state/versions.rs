//! The newest versions of adapters.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

use larkspring_core::fleet::version_records::VersionObject;
use larkspring_core::fleet::versions::AdapterVersions;
use larkspring_core::ids::{StorePoint, Target};
use smol::Timer;

use super::ReplicatedState;
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::{DecodedState, Item, StateKind};

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

    /// Returns whether the versions were read since the start. Until then an adapter may
    /// have a newer version than any that is known.
    pub fn knows_versions(&self) -> bool {
        self.versions_listed.load(Ordering::Acquire)
    }

    /// Returns the objects that lack the record of their adapter's newest version, each
    /// with that version's number.
    pub fn unrecorded_versions(&self) -> Vec<(VersionObject, u64)> {
        self.version_records.lock().unrecorded(&self.versions.load())
    }

    /// Replaces all objects that name versions.
    pub(super) fn replace_versions(&self, now: Instant, listed: DecodedState) {
        let mut objects = Vec::new();
        for item in listed.items {
            match item {
                Item::Version(object) => objects.push(object),
                other => self.apply_item(now, listed.at, other),
            }
        }
        for object in &objects {
            self.announce_version(now, listed.at, object);
        }
        self.version_records.lock().replace(objects);
        self.versions_listed.store(true, Ordering::Release);
        self.changed.notify(usize::MAX);
    }

    /// Applies a changed object that names a version.
    pub(super) fn apply_version(
        &self,
        now: Instant,
        at: StorePoint,
        object: VersionObject,
    ) {
        self.announce_version(now, at, &object);
        self.version_records.lock().update(object);
    }

    fn announce_version(&self, now: Instant, at: StorePoint, object: &VersionObject) {
        let (epoch, revision) = (at.epoch(), at.revision());
        let (adapter, number) = (&object.adapter, object.newest());
        let mut versions = AdapterVersions::clone(&self.versions.load());
        // The version was named after the last proof that the store held nothing newer.
        let age = self.proof_age(StateKind::Versions);
        let since = age.and_then(|age| now.checked_sub(age));
        if versions.announce(now, since, adapter, number) {
            tracing::info!(
                event = "version named",
                adapter = %adapter,
                number,
                epoch,
                revision,
            );
        }
        let (named, newest) = (object.named, versions.newest_number(adapter));
        self.versions.store(Arc::new(versions));
        if named < newest && logs::is_allowed(LineKind::StateChange) {
            tracing::warn!(
                event = "older version listed",
                adapter = %adapter,
                number = named,
                newest,
                recorded = object.recorded,
                epoch,
                revision,
            );
        }
    }
}
