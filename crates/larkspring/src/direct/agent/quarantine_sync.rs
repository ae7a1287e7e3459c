//! Keeps quarantined request features in the platform's store, where they survive a
//! restart of all processes.
//!
//! Otherwise a loss of all processes would cost three more endpoints for each
//! feature. The store is read once, as soon as an entry follows this agent or crashes
//! are counted here. Each feature is written once.
//! The store is read again only while this agent has stored features, so that an
//! operator can lift a quarantine by removing its object, and impose one by creating an
//! object.
//!
//! Several agents may count crashes of the same feature, and each of them stores it
//! once its count reaches the limit. So a lift by an operator is recorded beside the
//! object. An agent that has not applied that record yet counted its crashes before the
//! lift: the count is cleared, and the feature is not stored.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::ids::StoreEpoch;
use larkspring_core::quarantine::{CrashReport, Feature};
use smol::channel::{Receiver, Sender};
use smol::Timer;

use super::controller::Event;
use crate::direct::platform_api::QuarantineStore;
use crate::direct::quarantine::CrashReports;
use crate::exec::with_timeout;
use crate::platform::PlatformError;

/// The stored features and lifts as this agent knows them.
struct QuarantineSync {
    store: Arc<dyn QuarantineStore>,
    crash_reports: Arc<CrashReports>,
    events: Sender<Event>,
    stored: BTreeSet<Feature>,
    /// The store's epoch in which the features were stored.
    epoch: StoreEpoch,
    /// Fingerprints that operators lifted, with the time at which this agent learned of
    /// each lift.
    lifted: BTreeMap<Feature, Instant>,
    listed_at: Instant,
}

/// Interval at which pending writes and removals are carried out.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the store is read for lifts by operators, while this agent has
/// stored features.
const LIST_INTERVAL: Duration = Duration::from_secs(30);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);
/// Time for which the record of a lift is kept: crash counts of other processes from
/// before the lift have expired by then.
const LIFT_RETENTION: Duration = Duration::from_secs(3600);
/// Limits the features that one agent stores, so that a caller with ever new fatal
/// requests does not fill the store.
const MAX_STORED_FEATURES: usize = 512;

/// Synchronises the store with the crash reports, without end.
pub(super) async fn run(
    store: Arc<dyn QuarantineStore>,
    crash_reports: Arc<CrashReports>,
    events: Sender<Event>,
    is_followed: Receiver<()>,
) {
    let (stored, listed_at) = (BTreeSet::new(), Instant::now());
    let lifted = BTreeMap::new();
    let epoch = store.epoch();
    let mut sync =
        QuarantineSync { store, crash_reports, events, stored, epoch, lifted, listed_at };
    let mut loaded = false;
    sync.wait_needed(&is_followed).await;
    loop {
        let step = match loaded {
            false => sync.load().await,
            true => sync.reconcile().await,
        };
        match step {
            Ok(()) => loaded = true,
            Err(e) => {
                tracing::warn!(event = "quarantine not kept", cause = %e);
                Timer::after(FAILURE_PAUSE).await;
            }
        }
        Timer::after(SYNC_INTERVAL).await;
    }
}

impl QuarantineSync {
    /// Waits until an entry follows this agent or a request is quarantined here.
    async fn wait_needed(&self, is_followed: &Receiver<()>) {
        while self.crash_reports.refused().is_empty() {
            if with_timeout(SYNC_INTERVAL, is_followed.recv()).await.is_some() {
                return;
            }
        }
    }

    /// Applies the store's contents at the agent's start.
    async fn load(&mut self) -> Result<(), PlatformError> {
        let listed = self.store.list().await?;
        self.epoch = self.store.epoch();
        let new_reports = self.crash_reports.quarantine(&listed);
        self.stored.extend(listed);
        self.forward(new_reports).await;
        self.apply_lifts().await
    }

    async fn reconcile(&mut self) -> Result<(), PlatformError> {
        if self.is_restored() {
            self.rewrite_after_restore().await?;
        }
        let quarantined: BTreeSet<_> = self.crash_reports.refused().into_iter().collect();
        for feature in quarantined.difference(&self.stored.clone()) {
            if self.stored.len() >= MAX_STORED_FEATURES {
                break;
            }
            self.store_feature(*feature).await?;
        }
        for feature in self.stored.clone().difference(&quarantined) {
            self.store.remove(*feature).await?;
            self.stored.remove(feature);
        }
        self.delete_old_lifts().await?;
        if self.stored.is_empty() || self.listed_at.elapsed() < LIST_INTERVAL {
            return Ok(());
        }
        self.listed_at = Instant::now();
        self.apply_lifts().await?;
        let listed: BTreeSet<_> = self.store.list().await?.into_iter().collect();
        if self.is_restored() {
            return self.rewrite_after_restore().await;
        }
        for feature in self.stored.clone().difference(&listed) {
            self.apply_lift(*feature).await;
        }
        let imposed: Vec<_> = listed.difference(&self.stored).copied().collect();
        let new_reports = self.crash_reports.quarantine(&imposed);
        self.stored.extend(imposed);
        self.forward(new_reports).await;
        Ok(())
    }

    /// Whether the store was restored from a backup that may lack features stored by
    /// this agent.
    fn is_restored(&self) -> bool {
        self.store.epoch() != self.epoch
    }

    /// Records all lifts again. The quarantined features are no longer marked as
    /// stored, so the next steps store them again.
    async fn rewrite_after_restore(&mut self) -> Result<(), PlatformError> {
        let epoch = self.store.epoch();
        for feature in self.lifted.keys() {
            self.store.remove_and_record_lift(*feature).await?;
        }
        self.stored.clear();
        self.epoch = epoch;
        Ok(())
    }

    /// Stores a quarantined feature, unless an operator has lifted it since its
    /// crashes were counted.
    async fn store_feature(&mut self, feature: Feature) -> Result<(), PlatformError> {
        if self.lifted.contains_key(&feature) {
            // Crashes were counted again after the lift.
            self.store.delete_lift(feature).await?;
            self.lifted.remove(&feature);
        }
        self.apply_lifts().await?;
        if self.lifted.contains_key(&feature) {
            return Ok(());
        }
        self.store.add(feature).await?;
        self.stored.insert(feature);
        // A feature that was lifted in the meantime is removed again.
        self.apply_lifts().await
    }

    /// Applies lifts by operators: crashes counted before a lift no longer count.
    async fn apply_lifts(&mut self) -> Result<(), PlatformError> {
        for feature in self.store.lifted().await? {
            if self.lifted.contains_key(&feature) {
                continue;
            }
            if self.stored.contains(&feature) {
                self.store.remove(feature).await?;
            }
            self.apply_lift(feature).await;
        }
        Ok(())
    }

    async fn apply_lift(&mut self, feature: Feature) {
        tracing::warn!(event = "request lifted", content = %feature);
        self.stored.remove(&feature);
        self.lifted.insert(feature, Instant::now());
        let cleared = self.crash_reports.lift(feature);
        self.forward(cleared.into_iter().collect()).await;
    }

    async fn delete_old_lifts(&mut self) -> Result<(), PlatformError> {
        let is_old = |at: &Instant| at.elapsed() >= LIFT_RETENTION;
        let old: Vec<_> =
            self.lifted.iter().filter(|(_, at)| is_old(at)).map(|(c, _)| *c).collect();
        for feature in old {
            self.store.delete_lift(feature).await?;
            self.lifted.remove(&feature);
        }
        Ok(())
    }

    async fn forward(&self, new_reports: Vec<CrashReport>) {
        if !new_reports.is_empty() {
            // The controller ends only with the whole process.
            let _ = self.events.send(Event::CrashReports(new_reports)).await;
        }
    }
}
