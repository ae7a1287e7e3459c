//! The reservations of an entry, and the requests that wait for units.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::bucket_owner::{Grant, RequestedUnits};
use super::{BucketParams, LimitTolerance};
use crate::fleet::routes::RoutingVersion;
use crate::ids::{WorkspaceHash, WorkspaceId};
use crate::workspaces::{Workspace, WorkspaceLimit};

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
    /// The request is over the limit; units will be available after this time.
    Refused(Duration),
}

#[derive(Debug)]
struct WorkspaceState<T> {
    name: WorkspaceId,
    limit: WorkspaceLimit,
    params: BucketParams,
    version: RoutingVersion,
    reservations: VecDeque<Reservation>,
    waiting: VecDeque<Waiting<T>>,
    /// Units that requests used before the bucket owner granted them.
    overdraft: f64,
    /// Expired units of the present bucket owner, to be returned with the next request.
    expired: f64,
    /// Number of changes of the bucket owner so far.
    owner_changes: u64,
    /// The outstanding request for units.
    outstanding: Option<OutstandingRequest>,
    /// Until when the bucket owner has no units for this workspace.
    empty_until: Option<Instant>,
    demand: SmoothedRate,
    last_used: Instant,
}

#[derive(Debug, Clone, Copy)]
struct OutstandingRequest {
    number: u64,
    at: Instant,
}

#[derive(Debug)]
struct Reservation {
    units: f64,
    until: Instant,
    /// The bucket owner that granted the units, as the number of changes before it.
    owner_changes: u64,
}

#[derive(Debug)]
struct Waiting<T> {
    cost: f64,
    since: Instant,
    request: T,
}

/// Units a second, smoothed over [`DEMAND_TIME_CONSTANT`].
#[derive(Debug, Clone, Copy)]
struct SmoothedRate {
    per_sec: f64,
    at: Instant,
}

/// Time constant of the smoothed demand: short enough for a burst of a second to show.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// How far ahead of requests units are reserved. More units are requested when half of
/// them are used.
const RESERVE_AHEAD: Duration = Duration::from_millis(400);
/// Time for a bucket owner to answer: a few times the latency between halls plus the
/// response time of a busy process. A bucket owner that takes longer may be frozen or
/// unreachable.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time that a request waits for answers of bucket owners before it is refused:
/// most of the time in which a plain call can still be in time.
pub const MAX_REQUEST_WAIT: Duration = Duration::from_millis(220);
/// Shortest time until a bucket owner without units gets the next request: its bucket
/// refills meanwhile, and a workspace far over its limit costs at most 20 requests for
/// units a second and entry.
const EMPTY_BUCKET_BACKOFF: Duration = Duration::from_millis(50);
/// Bounds of the time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time after which the state of an unused workspace is dropped.
const IDLE_RETENTION: Duration = Duration::from_secs(30);

impl<T> WorkspaceReservations<T> {
    /// Creates the state without any reservation.
    pub fn new(terms: LimitTolerance) -> Self {
        Self { terms, workspaces: HashMap::new(), entries: 1, requests: 0 }
    }

    /// Records that another bucket owner is used from now on. Units that the former one
    /// granted stay usable and are not returned when they expire.
    pub fn record_owner_change(&mut self) {
        for state in self.workspaces.values_mut() {
            state.owner_changes += 1;
            state.expired = 0.0;
        }
    }

    /// Sets the number of entries that share the units usable before a grant.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Decides on a request of `cost` units, or returns `None` if the request has to wait
    /// for an answer of the bucket owner. [`Self::apply_grants`] or
    /// [`Self::expire_unanswered`] then returns the decision.
    pub fn admit(
        &mut self,
        now: Instant,
        workspace: &Workspace,
        version: RoutingVersion,
        cost: f64,
        request: T,
    ) -> Option<LimitDecision> {
        let Some(limit) = workspace.limit else { return Some(LimitDecision::Admitted) };
        let entries = self.entries;
        let state = self.workspace_state(now, workspace, limit, version);
        state.last_used = now;
        state.demand.add(now, cost);
        let waits = !state.waiting.is_empty();
        if !waits && (state.take(now, cost) || state.overdraw(now, cost, entries)) {
            return Some(LimitDecision::Admitted);
        }
        if let Some(until) = state.empty_until.filter(|until| *until > now) {
            return Some(state.refuse(until - now));
        }
        state.waiting.push_back(Waiting { cost, since: now, request });
        None
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
            // A bucket owner that was paused may answer a request that another bucket
            // owner has answered since.
            if state.outstanding.is_none_or(|sent| sent.number != grant.sequence) {
                continue;
            }
            state.outstanding = None;
            let settled = grant.units.min(state.overdraft);
            state.overdraft -= settled;
            state.add_reservation(now, grant.units - settled);
            state.admit_waiting(now, &mut decided);
            if !grant.wait.is_zero() {
                let wait = grant.wait.max(EMPTY_BUCKET_BACKOFF);
                state.empty_until = Some(now + wait);
                state.refuse_waiting(wait, &mut decided);
            }
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
        each.filter_map(|state| state.unanswered(now, decided)).max()
    }

    /// Whether units for a workspace are to be requested before the next poll.
    pub fn needs_units_now(&self, now: Instant, workspace: &Workspace) -> bool {
        let state = self.workspaces.get(&hash(&workspace.name));
        state.is_some_and(|state| state.is_due(now, self.entries))
    }

    /// The next time at which [`Self::expire_unanswered`] has to be called.
    pub fn next_expiry(&self) -> Option<Instant> {
        let expiry = |state: &WorkspaceState<T>| {
            state.outstanding.map(|sent| sent.at + ANSWER_TIMEOUT)
        };
        self.workspaces.values().filter_map(expiry).min()
    }

    /// Returns the units reserved for each workspace, by name.
    pub fn reserved_units(&self, now: Instant) -> Vec<(WorkspaceId, f64)> {
        self.workspaces.values().map(|a| (a.name.clone(), a.available(now))).collect()
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
        let state = self.workspaces.entry(hash).or_insert_with(|| WorkspaceState {
            name: workspace.name.clone(),
            limit,
            params,
            version,
            reservations: VecDeque::new(),
            waiting: VecDeque::new(),
            overdraft: 0.0,
            expired: 0.0,
            owner_changes: 0,
            outstanding: None,
            empty_until: None,
            demand: SmoothedRate::new(now),
            last_used: now,
        });
        if version > state.version {
            state.limit = limit;
            state.params = params;
            state.version = version;
        }
        state
    }
}

impl<T> WorkspaceState<T> {
    /// Takes units from the reservations, the oldest first; takes none if they do not
    /// suffice.
    fn take(&mut self, now: Instant, cost: f64) -> bool {
        self.drop_expired(now);
        let all: f64 = self.reservations.iter().map(|r| r.units).sum();
        if all < cost {
            return false;
        }
        let mut left = cost;
        while let Some(oldest) = self.reservations.front_mut() {
            if oldest.units > left {
                oldest.units -= left;
                break;
            }
            left -= oldest.units;
            self.reservations.pop_front();
        }
        true
    }

    fn add_reservation(&mut self, now: Instant, units: f64) {
        if units > 0.0 {
            let (until, owner_changes) =
                (now + self.params.reservation_lifetime, self.owner_changes);
            self.reservations.push_back(Reservation { units, until, owner_changes });
        }
    }

    /// Drops expired reservations.
    fn drop_expired(&mut self, now: Instant) {
        while let Some(oldest) = self.reservations.front().filter(|r| r.until < now) {
            if oldest.owner_changes == self.owner_changes {
                self.expired += oldest.units;
            }
            self.reservations.pop_front();
        }
    }

    /// Uses units that the bucket owner has not granted yet, up to this entry's part of
    /// the slack. The request then neither waits for an answer nor costs a message of its
    /// own.
    fn overdraw(&mut self, now: Instant, cost: f64, entries: u32) -> bool {
        let empty = self.empty_until.is_some_and(|until| until > now);
        let used = self.overdraft + cost;
        if empty || used > self.params.max_overdraft / f64::from(entries) {
            return false;
        }
        self.overdraft = used;
        true
    }

    /// Whether units are to be requested before the next poll.
    fn is_due(&self, now: Instant, entries: u32) -> bool {
        let half = self.params.max_overdraft / f64::from(entries) / 2.0;
        let low = self.overdraft > half && self.units_to_reserve(now) > 0.0;
        self.outstanding.is_none() && (low || !self.waiting.is_empty())
    }

    fn request_units(
        &mut self,
        now: Instant,
        workspace: WorkspaceHash,
        sequence: u64,
    ) -> Option<RequestedUnits> {
        if self.outstanding.is_some() {
            return None;
        }
        self.drop_expired(now);
        let available = self.available(now);
        let waiting_cost: f64 = self.waiting.iter().map(|w| w.cost).sum();
        let waiting = (waiting_cost - available).max(0.0);
        let first_waiting =
            self.waiting.front().map_or(0.0, |w| (w.cost - available).max(0.0));
        let reserve_ahead = self.units_to_reserve(now);
        let overdraft = self.overdraft;
        if overdraft + waiting + reserve_ahead + self.expired == 0.0 {
            return None;
        }
        self.outstanding = Some(OutstandingRequest { number: sequence, at: now });
        let expired = std::mem::take(&mut self.expired);
        let WorkspaceLimit { units_per_sec, burst, .. } = self.limit;
        Some(RequestedUnits {
            workspace,
            sequence,
            overdraft,
            waiting,
            first_waiting,
            reserve_ahead,
            expired,
            per_sec: units_per_sec,
            burst,
            version: self.version,
        })
    }

    /// Returns the reserved units that have not expired.
    fn available(&self, now: Instant) -> f64 {
        self.reservations.iter().filter(|r| r.until >= now).map(|r| r.units).sum()
    }

    /// Returns the units to reserve ahead of requests; zero while at least half of them
    /// are reserved.
    fn units_to_reserve(&self, now: Instant) -> f64 {
        if self.empty_until.is_some_and(|until| until > now) {
            return 0.0;
        }
        let ahead = RESERVE_AHEAD.min(self.params.reservation_lifetime).as_secs_f64()
            * self.demand.at(now);
        let available = self.available(now);
        if available * 2.0 >= ahead {
            return 0.0;
        }
        ahead - available
    }

    /// Admits waiting requests in their order, as far as the reservations suffice.
    fn admit_waiting(&mut self, now: Instant, decided: &mut Vec<(T, LimitDecision)>) {
        while let Some(cost) = self.waiting.front().map(|w| w.cost) {
            if !self.take(now, cost) {
                return;
            }
            if let Some(next) = self.waiting.pop_front() {
                decided.push((next.request, LimitDecision::Admitted));
            }
        }
    }

    fn refuse_waiting(&mut self, wait: Duration, decided: &mut Vec<(T, LimitDecision)>) {
        while let Some(next) = self.waiting.pop_front() {
            let decision = self.refuse(wait);
            decided.push((next.request, decision));
        }
    }

    /// Refuses a request until the bucket owner has units again.
    ///
    /// While a workspace is over its limit, a caller that retries sooner is admitted as
    /// often as a caller that retries later, and can still be answered in time.
    fn refuse(&self, wait: Duration) -> LimitDecision {
        LimitDecision::Refused(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    fn unanswered(
        &mut self,
        now: Instant,
        decided: &mut Vec<(T, LimitDecision)>,
    ) -> Option<Instant> {
        let is_late = |at: Instant, most| now.saturating_duration_since(at) >= most;
        let sent = self.outstanding.filter(|sent| is_late(sent.at, ANSWER_TIMEOUT))?;
        self.outstanding = None;
        while self
            .waiting
            .front()
            .is_some_and(|next| is_late(next.since, MAX_REQUEST_WAIT))
        {
            let Some(next) = self.waiting.pop_front() else { break };
            let decision = self.refuse(MIN_RETRY_AFTER);
            decided.push((next.request, decision));
        }
        Some(sent.at)
    }

    fn is_active(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.last_used);
        !self.waiting.is_empty() || idle < IDLE_RETENTION
    }
}

impl SmoothedRate {
    fn new(now: Instant) -> Self {
        Self { per_sec: 0.0, at: now }
    }

    fn add(&mut self, now: Instant, units: f64) {
        self.per_sec = self.at(now) + units / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.at = now;
    }

    fn at(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.at);
        self.per_sec * (-since.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Returns the hash that identifies a workspace between entries and bucket owners.
fn hash(name: &str) -> WorkspaceHash {
    xxh3_64(name.as_bytes())
}
