//! The record of the software versions of services in the platform's store.
//!
//! An entry that has just started knows only the versions that are listed now. A stream
//! that its caller takes up may have begun at one that has left since, also if all other
//! entries and the agents beside its endpoints have ended. So each version is recorded
//! when it is first listed, and removed once no caller can have a stream of it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::future;
use larkspring_core::fleet::build_history::ServiceBuild;
use larkspring_core::ids::ServiceId;
use smol::lock::Mutex;
use smol::Timer;

use super::fleet::Fleet;
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::BuildStore;
use crate::direct::stats::Stats;
use crate::exec::with_timeout;
use crate::platform::PlatformError;

/// Records versions, and reads the record; one of all entries usually writes each.
pub(super) struct BuildRecord {
    store: Arc<dyn BuildStore>,
    fleet: Arc<Fleet>,
    stats: Arc<Stats>,
    /// The last read for a stream. Locked while the store is read, so that streams that
    /// are taken up at once share a read.
    last_read: Mutex<Option<RecordRead>>,
}

/// What the store holds.
struct RecordRead {
    builds: Arc<[ServiceBuild]>,
    sent: Instant,
}

/// Range of the random delay before a write, for each entry of the fleet. The first entry
/// writes after about this time, and the others read its record after their delay.
const DELAY_PER_ENTRY: Duration = Duration::from_millis(50);
/// Interval of checks whether the store was restored from a backup, and for versions that
/// no caller can have streams of any more.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The version that stands for those that a record lacks which was found to be behind.
const UNKNOWN_BUILD: &str = "";
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);
/// Age up to which a read counts for the streams that are taken up.
const MAX_READ_AGE: Duration = Duration::from_secs(1);
/// Time-out of a read for a stream that is taken up.
const READ_TIMEOUT: Duration = Duration::from_millis(250);

impl BuildRecord {
    /// Creates the record of the versions that a process knows.
    pub fn new(
        store: Arc<dyn BuildStore>,
        fleet: Arc<Fleet>,
        stats: Arc<Stats>,
    ) -> Arc<Self> {
        Arc::new(Self { store, fleet, stats, last_read: Mutex::default() })
    }

    /// Returns the recorded versions; `None` if the store does not answer in time.
    pub async fn read(&self) -> Option<Arc<[ServiceBuild]>> {
        with_timeout(READ_TIMEOUT, self.read_recent()).await?
    }

    async fn read_recent(&self) -> Option<Arc<[ServiceBuild]>> {
        let mut last = self.last_read.lock().await;
        let is_recent = |read: &&RecordRead| read.sent.elapsed() <= MAX_READ_AGE;
        if let Some(read) = last.as_ref().filter(is_recent) {
            return Some(read.builds.clone());
        }
        let sent = Instant::now();
        match self.store.list().await {
            Ok(builds) => {
                let builds: Arc<[_]> = builds.into();
                *last = Some(RecordRead { builds: builds.clone(), sent });
                Some(builds)
            }
            Err(e) => {
                log_failure(&e);
                None
            }
        }
    }

    /// Records the versions that are listed, without end.
    pub async fn run(self: Arc<Self>) {
        let mut recorded = BTreeSet::new();
        let mut epoch = self.store.epoch();
        // What was recorded before the start is not known yet.
        let mut may_be_behind = true;
        loop {
            let changed = self.fleet.builds_changed();
            let now = self.store.epoch();
            if std::mem::replace(&mut epoch, now) != now {
                // The store may have been restored from a copy that lacks versions.
                recorded.clear();
                may_be_behind = true;
            }
            let (seen, past) = self.fleet.seen_builds(&recorded);
            if seen.is_subset(&recorded) && past.is_empty() {
                let check = async {
                    Timer::after(CHECK_INTERVAL).await;
                };
                future::or(changed, check).await;
                continue;
            }
            let range = DELAY_PER_ENTRY * self.fleet.entry_counts().all.max(1);
            Timer::after(range.mul_f64(fastrand::f64())).await;
            let updated = self.update(&mut recorded, may_be_behind).await;
            self.stats.count_build_record(updated.is_ok());
            match updated {
                Ok(()) => may_be_behind = false,
                Err(e) => {
                    log_failure(&e);
                    Timer::after(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Adds the versions that were seen, and removes those that are past.
    ///
    /// A record that lacks a version which was listed before this process started may lack
    /// others too. That is recorded first, as the added version hides it.
    async fn update(
        &self,
        recorded: &mut BTreeSet<ServiceBuild>,
        may_be_behind: bool,
    ) -> Result<(), PlatformError> {
        *recorded = self.store.list().await?.into_iter().collect();
        let (seen, past) = self.fleet.seen_builds(recorded);
        let missing: Vec<_> = seen.difference(recorded).cloned().collect();
        let is_recorded =
            |service: &ServiceId| recorded.iter().any(|r| r.service == *service);
        let behind = missing.iter().map(|build| build.service.clone());
        let behind = behind.filter(|service| may_be_behind && is_recorded(service));
        let unknown: BTreeSet<_> = behind
            .map(|service| ServiceBuild { service, build: UNKNOWN_BUILD.into() })
            .collect();
        for build in unknown.into_iter().chain(missing) {
            self.store.add(&build).await?;
            recorded.insert(build);
        }
        for build in past {
            self.store.remove(&build).await?;
            recorded.remove(&build);
        }
        Ok(())
    }
}

fn log_failure(e: &PlatformError) {
    if logs::is_allowed(LineKind::StateChange) {
        tracing::info!(event = "software versions not recorded", cause = %e);
    }
}
