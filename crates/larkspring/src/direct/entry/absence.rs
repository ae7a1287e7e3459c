//! Confirmation that the declared routing lacks a route or key.
//!
//! A refusal that says so must hold for every routing that may be in force. Only a list
//! of the store shows that. Followers list rarely, so a request that would be refused
//! lists the routing, unless a list younger than the bound of the routing has done so.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::read_timing::{ChangeFrequency, StoreReadTiming};
use smol::lock::Mutex;

use crate::direct::applier::StateApplier;
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::{ReadOutcome, StateKind, StateQuery, StateStore};
use crate::direct::replicated_state::ReplicatedState;
use crate::direct::stats::Stats;
use crate::exec::with_timeout;
use crate::platform::PlatformError;

/// Lists the routing from the store for requests that it would refuse.
///
/// Requests that come at the same time share one list, and a successful list serves for
/// the bound, so that the calls do not grow with the requests.
pub(super) struct AbsenceCheck {
    store: Arc<dyn StateStore>,
    applier: StateApplier,
    replicated_state: Arc<ReplicatedState>,
    /// The last failed list; locked while a list is in progress.
    failed_at: Mutex<Option<Instant>>,
}

impl AbsenceCheck {
    /// Creates a check that lists from `store`.
    pub fn new(
        store: Arc<dyn StateStore>,
        replicated_state: Arc<ReplicatedState>,
        stats: Arc<Stats>,
    ) -> Self {
        let applier = StateApplier::new(store.clone(), replicated_state.clone(), stats);
        Self { store, applier, replicated_state, failed_at: Mutex::new(None) }
    }

    /// Lists the routing, unless a list younger than `bound` exists. After a failed list
    /// none is made for `bound`, so that requests are refused at once meanwhile.
    pub async fn confirm(&self, bound: Duration) {
        let mut failed_at = self.failed_at.lock().await;
        let has_failed = failed_at.is_some_and(|at| at.elapsed() < bound);
        if has_failed || self.is_confirmed(bound) {
            return;
        }
        let timing = StoreReadTiming::for_entry(bound, ChangeFrequency::Rare);
        let list = with_timeout(timing.full_read_timeout, self.list()).await;
        *failed_at = match list {
            Some(Ok(())) => None,
            Some(Err(e)) => {
                log_failure(&e.to_string());
                Some(Instant::now())
            }
            None => {
                log_failure("no answer in time");
                Some(Instant::now())
            }
        };
    }

    fn is_confirmed(&self, bound: Duration) -> bool {
        let view = self.replicated_state.routing_view();
        view.is_some_and(|view| view.is_absence_certain(bound))
    }

    async fn list(&self) -> Result<(), PlatformError> {
        match self.store.read(StateQuery::whole(StateKind::Routing)).await? {
            ReadOutcome::State(state) => {
                self.applier.apply(StateKind::Routing, &state).map(drop)
            }
            // A list needs no history.
            ReadOutcome::HistoryCompacted => Ok(()),
        }
    }
}

fn log_failure(cause: &str) {
    if logs::is_allowed(LineKind::StateChange) {
        let kind = StateKind::Routing.name();
        tracing::info!(event = "absence not confirmed", kind, cause);
    }
}
