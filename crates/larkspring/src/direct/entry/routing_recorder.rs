//! Records the newest routing in the platform's store, for processes that start after the
//! store has carried out an older write late.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::routing_records::RoutingRecordWrite;
use larkspring_core::ids::StorePoint;
use smol::Timer;

use super::fleet::Fleet;
use super::version_recorder::{CONFIRM_TIMEOUT, DELAY_PER_ENTRY};
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::VersionStore;
use crate::direct::replicated_state::ReplicatedState;
use crate::direct::stats::Stats;
use crate::exec::with_timeout;
use crate::platform::PlatformError;

/// Records the newest routing; one of all entries usually writes it.
pub(super) struct RoutingRecorder {
    store: Arc<dyn VersionStore>,
    replicated_state: Arc<ReplicatedState>,
    fleet: Arc<Fleet>,
    stats: Arc<Stats>,
    /// The state of the object beside which the store refused a record.
    refused_at: Option<StorePoint>,
}

/// Limits the wait for the number of entries.
const MAX_COUNT_WAIT: Duration = Duration::from_secs(5);
/// Interval at which the number of entries is looked up meanwhile.
const COUNT_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl RoutingRecorder {
    /// Creates a recorder of the routing that a process knows.
    pub fn new(
        store: Arc<dyn VersionStore>,
        replicated_state: Arc<ReplicatedState>,
        fleet: Arc<Fleet>,
        stats: Arc<Stats>,
    ) -> Self {
        Self { store, replicated_state, fleet, stats, refused_at: None }
    }

    /// Records the newest routing, without end.
    pub async fn run(mut self) {
        loop {
            let changed = self.replicated_state.changed();
            if self.unrecorded().is_none() {
                changed.await;
                continue;
            }
            self.wait_for_entry_counts().await;
            let others = self.fleet.entry_counts().all.saturating_sub(1);
            Timer::after((DELAY_PER_ENTRY * others).mul_f64(fastrand::f64())).await;
            // Another entry may have recorded it meanwhile.
            if let Some(write) = self.unrecorded() {
                self.record(&write).await;
                with_timeout(CONFIRM_TIMEOUT, self.wait_until_changed(&write)).await;
            }
        }
    }

    fn unrecorded(&self) -> Option<RoutingRecordWrite> {
        let unrecorded = self.replicated_state.unrecorded_routing();
        unrecorded.filter(|write| self.refused_at != Some(write.written))
    }

    /// Waits until the number of entries is known, as all entries of a new fleet read the
    /// first routing at the same time.
    async fn wait_for_entry_counts(&self) {
        let end = Instant::now() + MAX_COUNT_WAIT;
        while !self.fleet.has_entry_counts() && Instant::now() < end {
            Timer::after(COUNT_POLL_INTERVAL).await;
        }
    }

    /// Returns once another record is to be written, or none.
    async fn wait_until_changed(&self, write: &RoutingRecordWrite) {
        let condition = |write: &RoutingRecordWrite| (write.version, write.written);
        loop {
            let changed = self.replicated_state.changed();
            if self.unrecorded().as_ref().map(condition) != Some(condition(write)) {
                return;
            }
            changed.await;
        }
    }

    async fn record(&mut self, write: &RoutingRecordWrite) {
        let recorded = self.store.record_routing(write).await;
        self.stats.count_routing_record(recorded.is_ok());
        let Err(e) = recorded else { return };
        if let PlatformError::Answer(..) = e {
            self.refused_at = Some(write.written);
        }
        if logs::is_allowed(LineKind::StateChange) {
            let version = write.version;
            tracing::info!(event = "routing not recorded", version, cause = %e);
        }
    }
}
