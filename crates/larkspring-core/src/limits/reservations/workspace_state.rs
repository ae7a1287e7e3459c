//! The state of one workspace in an entry.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::super::bucket_owner::{Grant, RequestedUnits};
use super::super::BucketParams;
use super::reserved_units::ReservedUnits;
use super::{LimitDecision, ANSWER_TIMEOUT, MAX_REQUEST_WAIT};
use crate::admission::gate::Gate;
use crate::admission::shares::Class;
use crate::admission::smoothed_rate::SmoothedRate;
use crate::fleet::routes::RoutingVersion;
use crate::ids::{WorkspaceHash, WorkspaceId};
use crate::workspaces::WorkspaceLimit;

/// The reservations and the waiting requests of one workspace.
#[derive(Debug)]
pub(super) struct WorkspaceState<T> {
    pub name: WorkspaceId,
    limit: WorkspaceLimit,
    params: BucketParams,
    version: RoutingVersion,
    pub reserved: ReservedUnits,
    waiting: VecDeque<Waiting<T>>,
    /// Units that requests used before the bucket owner granted them.
    overdraft: f64,
    /// The outstanding request for units.
    outstanding: Option<OutstandingRequest>,
    /// Until when the bucket owner has no units for this workspace.
    empty_until: Option<Instant>,
    /// Rate of the requests that pass the gate, for the reservations.
    demand: SmoothedRate,
    gate: Gate,
    /// When the demand is to be reported while the gate is closed.
    report_at: Instant,
    last_used: Instant,
}

#[derive(Debug, Clone, Copy)]
struct OutstandingRequest {
    number: u64,
    at: Instant,
}

#[derive(Debug)]
struct Waiting<T> {
    cost: f64,
    since: Instant,
    request: T,
}

/// Time constant of the smoothed demand: short enough for a burst of a second to show.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// How far ahead of requests units are reserved. More units are requested when half of
/// them are used.
const RESERVE_AHEAD: Duration = Duration::from_millis(400);
/// Shortest time until a bucket owner without units gets the next request: its bucket
/// refills meanwhile, and a workspace far over its limit costs at most 20 requests for
/// units a second and entry.
const EMPTY_BUCKET_BACKOFF: Duration = Duration::from_millis(50);
/// Interval of reports of demand while the gate is closed, short so that requests are
/// admitted again soon after an overload.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Bounds of the time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time after which the state of an unused workspace is dropped.
const IDLE_RETENTION: Duration = Duration::from_secs(30);

impl<T> WorkspaceState<T> {
    /// Creates the state without any reservation.
    pub fn new(
        now: Instant,
        name: WorkspaceId,
        limit: WorkspaceLimit,
        params: BucketParams,
        version: RoutingVersion,
    ) -> Self {
        Self {
            name,
            limit,
            params,
            version,
            reserved: ReservedUnits::default(),
            waiting: VecDeque::new(),
            overdraft: 0.0,
            outstanding: None,
            empty_until: None,
            demand: SmoothedRate::new(now, DEMAND_TIME_CONSTANT),
            gate: Gate::default(),
            report_at: now,
            last_used: now,
        }
    }

    /// Applies a limit if its version is newer.
    pub fn update_limit(
        &mut self,
        limit: WorkspaceLimit,
        params: BucketParams,
        version: RoutingVersion,
    ) {
        if version > self.version {
            self.limit = limit;
            self.params = params;
            self.version = version;
        }
    }

    /// Refuses a request that exceeds the share of its class, at once.
    pub fn refuse_at_gate(
        &mut self,
        now: Instant,
        class: Class,
        cost: f64,
    ) -> Option<LimitDecision> {
        self.last_used = now;
        let share = self.gate.share(now, class);
        let after = self.gate.admit(now, class, cost).err()?;
        Some(LimitDecision::Refused { after, share })
    }

    /// Decides on a request, or lets it wait for an answer of the bucket owner.
    pub fn admit(
        &mut self,
        now: Instant,
        cost: f64,
        entries: u32,
        request: T,
    ) -> Option<LimitDecision> {
        self.last_used = now;
        self.demand.add(now, cost);
        let waits = !self.waiting.is_empty();
        if !waits && (self.reserved.take(now, cost) || self.overdraw(now, cost, entries))
        {
            return Some(LimitDecision::Admitted);
        }
        if let Some(until) = self.empty_until.filter(|until| *until > now) {
            return Some(refuse(until - now));
        }
        self.waiting.push_back(Waiting { cost, since: now, request });
        None
    }

    /// Adds units to the reservations.
    pub fn add_reservation(&mut self, now: Instant, units: f64) {
        self.reserved.add(now, units, self.params.reservation_lifetime);
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
    pub fn is_due(&self, now: Instant, entries: u32) -> bool {
        let half = self.params.max_overdraft / f64::from(entries) / 2.0;
        let low = self.overdraft > half && self.units_to_reserve(now) > 0.0;
        let reports = self.gate.is_closed(now) && now >= self.report_at;
        self.outstanding.is_none() && (low || !self.waiting.is_empty() || reports)
    }

    /// Returns the units to request and the demand to report to the bucket owner, if
    /// there are any and no other request for units is outstanding.
    pub fn request_units(
        &mut self,
        now: Instant,
        workspace: WorkspaceHash,
        sequence: u64,
    ) -> Option<RequestedUnits> {
        if self.outstanding.is_some() {
            return None;
        }
        self.reserved.drop_expired(now);
        let available = self.reserved.available(now);
        let waiting_cost: f64 = self.waiting.iter().map(|w| w.cost).sum();
        let waiting = (waiting_cost - available).max(0.0);
        let first_waiting =
            self.waiting.front().map_or(0.0, |w| (w.cost - available).max(0.0));
        let reserve_ahead = self.units_to_reserve(now);
        let overdraft = self.overdraft;
        let units = overdraft + waiting + reserve_ahead + self.reserved.expired();
        if units == 0.0 && !self.gate.has_demand() {
            return None;
        }
        self.outstanding = Some(OutstandingRequest { number: sequence, at: now });
        self.report_at = now + REPORT_INTERVAL;
        let WorkspaceLimit { units_per_sec, burst, .. } = self.limit;
        Some(RequestedUnits {
            workspace,
            sequence,
            overdraft,
            waiting,
            first_waiting,
            reserve_ahead,
            expired: self.reserved.take_expired(),
            per_sec: units_per_sec,
            burst,
            version: self.version,
            demand: self.gate.take_demand(),
        })
    }

    /// Applies a grant of the bucket owner.
    pub fn apply_grant(
        &mut self,
        now: Instant,
        grant: &Grant,
        decided: &mut Vec<(T, LimitDecision)>,
    ) {
        // A bucket owner that was paused may answer a request that another bucket
        // owner has answered since.
        if self.outstanding.is_none_or(|sent| sent.number != grant.sequence) {
            return;
        }
        self.outstanding = None;
        self.gate.set(now, &grant.shares);
        let settled = grant.units.min(self.overdraft);
        self.overdraft -= settled;
        self.add_reservation(now, grant.units - settled);
        self.admit_waiting(now, decided);
        if !grant.wait.is_zero() {
            let wait = grant.wait.max(EMPTY_BUCKET_BACKOFF);
            self.empty_until = Some(now + wait);
            self.refuse_waiting(wait, decided);
        }
    }

    /// Returns the units to reserve ahead of requests; zero while at least half of them
    /// are reserved.
    fn units_to_reserve(&self, now: Instant) -> f64 {
        if self.empty_until.is_some_and(|until| until > now) {
            return 0.0;
        }
        let ahead = RESERVE_AHEAD.min(self.params.reservation_lifetime).as_secs_f64()
            * self.demand.at(now);
        let available = self.reserved.available(now);
        if available * 2.0 >= ahead {
            return 0.0;
        }
        ahead - available
    }

    /// Admits waiting requests in their order, as far as the reservations suffice.
    fn admit_waiting(&mut self, now: Instant, decided: &mut Vec<(T, LimitDecision)>) {
        while let Some(cost) = self.waiting.front().map(|w| w.cost) {
            if !self.reserved.take(now, cost) {
                return;
            }
            if let Some(next) = self.waiting.pop_front() {
                decided.push((next.request, LimitDecision::Admitted));
            }
        }
    }

    fn refuse_waiting(&mut self, wait: Duration, decided: &mut Vec<(T, LimitDecision)>) {
        decided.extend(self.waiting.drain(..).map(|next| (next.request, refuse(wait))));
    }

    /// Drops the request for units if it was not answered in time, and refuses requests
    /// that have waited for too long. Returns when the dropped request was made.
    pub fn expire_unanswered(
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
            decided.push((next.request, refuse(MIN_RETRY_AFTER)));
        }
        Some(sent.at)
    }

    /// The time at which the outstanding request for units counts as unanswered.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.outstanding.map(|sent| sent.at + ANSWER_TIMEOUT)
    }

    /// Whether the workspace is in use.
    pub fn is_active(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.last_used);
        !self.waiting.is_empty() || idle < IDLE_RETENTION
    }
}

/// Refuses a request until the bucket owner has units again.
///
/// While a workspace is over its limit, a caller that retries sooner is admitted as often
/// as a caller that retries later, and can still be answered in time.
fn refuse(wait: Duration) -> LimitDecision {
    let after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    LimitDecision::Refused { after, share: None }
}
