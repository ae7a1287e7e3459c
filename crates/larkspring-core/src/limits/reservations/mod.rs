//! The reservations of an entry, and the requests that wait for units.
//!
//! 1. [`workspace_state`]: decisions on the requests of one workspace, and its requests
//!    for units.
//! 2. [`reserved_units`]: the units that are reserved for it.

mod reserved_units;
mod workspace_state;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::bucket_owner::{Grant, RequestedUnits};
use super::LimitTolerance;
use crate::admission::shares::Class;
use crate::fleet::routes::RoutingVersion;
use crate::ids::{WorkspaceHash, WorkspaceId};
use crate::workspaces::{Workspace, WorkspaceLimit};
use workspace_state::WorkspaceState;

/// The units that an entry has reserved for each workspace; `T` identifies a waiting
/// request.
#[derive(Debug)]
pub struct WorkspaceReservations<T> {
    terms: LimitTolerance,
    workspaces: HashMap<WorkspaceHash, WorkspaceState<T>>,
    entries: u32,
    /// Number of requests for units so far.
    requests: u64,
}

/// Decision on a request under its workspace's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitDecision {
    /// The request is within the limit.
    Admitted,
    /// The request is over the limit.
    Refused {
        /// Time after which a retry is likely to be admitted.
        after: Duration,
        /// The share of the request's class, if the request exceeded that; `None` if no
        /// units are left.
        share: Option<f64>,
    },
}

/// Time for a bucket owner to answer: a few times the latency between halls plus the
/// response time of a busy process. A bucket owner that takes longer may be frozen or
/// unreachable.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time that a request waits for answers of bucket owners before it is refused:
/// most of the time in which a plain call can still be in time.
pub const MAX_REQUEST_WAIT: Duration = Duration::from_millis(220);

impl<T> WorkspaceReservations<T> {
    /// Creates the state without any reservation.
    pub fn new(terms: LimitTolerance) -> Self {
        Self { terms, workspaces: HashMap::new(), entries: 1, requests: 0 }
    }

    /// Records that another bucket owner is used from now on. Units that the former one
    /// granted stay usable and are not returned when they expire.
    pub fn record_owner_change(&mut self) {
        for state in self.workspaces.values_mut() {
            state.reserved.record_owner_change();
        }
    }

    /// Sets the number of entries that share the units usable before a grant.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Decides on a request of `cost` units, or returns `None` if the request has to wait
    /// for an answer of the bucket owner. [`Self::apply_grants`] or
    /// [`Self::expire_unanswered`] then returns the decision. Requests with a class are
    /// admitted by the shares of the classes while these exceed the limit.
    pub fn admit(
        &mut self,
        now: Instant,
        workspace: &Workspace,
        version: RoutingVersion,
        cost: f64,
        class: Option<Class>,
        request: T,
    ) -> Option<LimitDecision> {
        let Some(limit) = workspace.limit else { return Some(LimitDecision::Admitted) };
        let entries = self.entries;
        let state = self.workspace_state(now, workspace, limit, version);
        if let Some(refused) =
            class.and_then(|class| state.refuse_at_gate(now, class, cost))
        {
            return Some(refused);
        }
        state.admit(now, cost, entries, request)
    }

    /// Returns the units of a request that has not run to the reservations.
    pub fn return_units(&mut self, now: Instant, workspace: &Workspace, cost: f64) {
        let Some(state) = self.workspaces.get_mut(&hash(&workspace.name)) else { return };
        state.add_reservation(now, cost);
    }

    /// Returns the units to request from the bucket owner now. Each is then outstanding
    /// until [`Self::apply_grants`] or [`Self::expire_unanswered`]. With `is_poll`, for
    /// the periodic request that is sent in any case, the result also holds demand that
    /// is not urgent.
    pub fn units_to_request(
        &mut self,
        now: Instant,
        is_poll: bool,
    ) -> Vec<RequestedUnits> {
        self.workspaces.retain(|_, state| state.is_active(now));
        let entries = self.entries;
        let each = self.workspaces.iter_mut();
        let pending = each.filter(|(_, state)| is_poll || state.is_due(now, entries));
        let requests = &mut self.requests;
        let want = |(hash, state): (&WorkspaceHash, &mut WorkspaceState<T>)| {
            *requests += 1;
            state.request_units(now, *hash, *requests)
        };
        pending.filter_map(want).collect()
    }

    /// Applies grants of the bucket owner, and returns the requests that are decided by
    /// them.
    pub fn apply_grants(
        &mut self,
        now: Instant,
        grants: &[Grant],
    ) -> Vec<(T, LimitDecision)> {
        let mut decided = Vec::new();
        for grant in grants {
            let Some(state) = self.workspaces.get_mut(&grant.workspace) else { continue };
            state.apply_grant(now, grant, &mut decided);
        }
        decided
    }

    /// Drops requests for units that were not answered in time, and refuses requests that
    /// have waited for too long. Returns when the newest of the dropped ones was made.
    pub fn expire_unanswered(
        &mut self,
        now: Instant,
        decided: &mut Vec<(T, LimitDecision)>,
    ) -> Option<Instant> {
        let each = self.workspaces.values_mut();
        each.filter_map(|state| state.expire_unanswered(now, decided)).max()
    }

    /// Whether units for a workspace are to be requested before the next poll.
    pub fn needs_units_now(&self, now: Instant, workspace: &Workspace) -> bool {
        let state = self.workspaces.get(&hash(&workspace.name));
        state.is_some_and(|state| state.is_due(now, self.entries))
    }

    /// The next time at which [`Self::expire_unanswered`] has to be called.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.workspaces.values().filter_map(WorkspaceState::next_expiry).min()
    }

    /// Returns the units reserved for each workspace, by name.
    pub fn reserved_units(&self, now: Instant) -> Vec<(WorkspaceId, f64)> {
        self.workspaces
            .values()
            .map(|a| (a.name.clone(), a.reserved.available(now)))
            .collect()
    }

    fn workspace_state(
        &mut self,
        now: Instant,
        workspace: &Workspace,
        limit: WorkspaceLimit,
        version: RoutingVersion,
    ) -> &mut WorkspaceState<T> {
        let params = self.terms.bucket_params(&limit);
        let hash = hash(&workspace.name);
        let state = self.workspaces.entry(hash).or_insert_with(|| {
            WorkspaceState::new(now, workspace.name.clone(), limit, params, version)
        });
        state.update_limit(limit, params, version);
        state
    }
}

/// Returns the hash that identifies a workspace between entries and bucket owners.
fn hash(name: &str) -> WorkspaceHash {
    xxh3_64(name.as_bytes())
}
