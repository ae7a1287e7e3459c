//! Records the newest versions of adapters in the platform's store, for processes that
//! start after the store has carried out an older write late.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use larkspring_core::fleet::version_records::VersionObject;
use larkspring_core::ids::ObjectName;
use smol::Timer;

use super::fleet::Fleet;
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::VersionStore;
use crate::direct::replicated_state::ReplicatedState;
use crate::direct::stats::Stats;

/// Records newest versions; one of all entries usually writes each.
pub(super) struct VersionRecorder {
    store: Arc<dyn VersionStore>,
    replicated_state: Arc<ReplicatedState>,
    fleet: Arc<Fleet>,
    stats: Arc<Stats>,
}

/// Range of the random delay before a write, for each entry of the fleet. The first entry
/// writes after about this time, and the others see its record before their delay ends.
const DELAY_PER_ENTRY: Duration = Duration::from_millis(50);
/// Time after a write within which its record is read back; then the write is repeated.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

impl VersionRecorder {
    /// Creates a recorder of the versions that a process knows.
    pub fn new(
        store: Arc<dyn VersionStore>,
        replicated_state: Arc<ReplicatedState>,
        fleet: Arc<Fleet>,
        stats: Arc<Stats>,
    ) -> Self {
        Self { store, replicated_state, fleet, stats }
    }

    /// Records newest versions, without end.
    pub async fn run(self) {
        loop {
            let changed = self.replicated_state.changed();
            if self.replicated_state.unrecorded_versions().is_empty() {
                changed.await;
                continue;
            }
            let range = DELAY_PER_ENTRY * self.fleet.entry_counts().all.max(1);
            Timer::after(range.mul_f64(fastrand::f64())).await;
            let mut attempted = HashSet::new();
            while let Some((object, newest)) = self.next_unrecorded(&attempted) {
                self.record(&object, newest).await;
                attempted.insert(object.name);
            }
            if !attempted.is_empty() {
                Timer::after(CONFIRM_TIMEOUT).await;
            }
        }
    }

    /// Returns an object to write that was not attempted yet. Others may have recorded the
    /// rest since the previous write.
    fn next_unrecorded(
        &self,
        attempted: &HashSet<ObjectName>,
    ) -> Option<(VersionObject, u64)> {
        let unrecorded = self.replicated_state.unrecorded_versions();
        unrecorded.into_iter().find(|(object, _)| !attempted.contains(&object.name))
    }

    async fn record(&self, object: &VersionObject, newest: u64) {
        let recorded = self.store.record(object, newest).await;
        self.stats.count_version_record(recorded.is_ok());
        if let Err(e) = recorded {
            if logs::is_allowed(LineKind::StateChange) {
                let adapter = &object.adapter;
                tracing::info!(event = "version not recorded", %adapter, newest, cause = %e);
            }
        }
    }
}
