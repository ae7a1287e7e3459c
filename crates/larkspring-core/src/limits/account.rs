//! The reservations of an entry, and the requests that wait for units.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::home::{Grant, Want};
use super::{LimitTerms, Share};
use crate::fleet::routes::RoutingVersion;
use crate::ids::{WorkspaceHash, WorkspaceId};
use crate::workspaces::{Limit, Workspace};

/// The units that an entry has reserved for each workspace; `T` identifies a waiting
/// request.
#[derive(Debug)]
pub struct Accounts<T> {
    terms: LimitTerms,
    accounts: HashMap<WorkspaceHash, Account<T>>,
    entries: u32,
    /// Number of requests for units so far.
    asks: u64,
}

/// Decision on a request under its workspace's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The request is within the limit.
    Admitted,
    /// The request is over the limit; units will be available after this time.
    Refused(Duration),
}

#[derive(Debug)]
struct Account<T> {
    name: WorkspaceId,
    limit: Limit,
    share: Share,
    version: RoutingVersion,
    reserved: VecDeque<Reserved>,
    waiting: VecDeque<Waiting<T>>,
    /// Units that requests used before the bucket owner granted them.
    overdraft: f64,
    /// Expired units of the present bucket owner, to be returned with the next request.
    lapsed: f64,
    /// Number of changes of the bucket owner so far.
    home: u64,
    /// The outstanding request for units.
    asked: Option<Asked>,
    /// Until when the bucket owner has no units for this workspace.
    dry_until: Option<Instant>,
    demand: Flow,
    used_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    number: u64,
    at: Instant,
}

#[derive(Debug)]
struct Reserved {
    units: f64,
    until: Instant,
    /// The bucket owner that granted the units, as the number of changes before it.
    home: u64,
}

#[derive(Debug)]
struct Waiting<T> {
    cost: f64,
    since: Instant,
    request: T,
}

/// Units a second, smoothed over [`DEMAND`].
#[derive(Debug, Clone, Copy)]
struct Flow {
    per_sec: f64,
    at: Instant,
}

/// Time constant of the smoothed demand: short enough for a burst of a second to show.
const DEMAND: Duration = Duration::from_millis(500);
/// How far ahead of requests units are reserved. More units are requested when half of
/// them are used.
const AHEAD: Duration = Duration::from_millis(400);
/// Time for a bucket owner to answer: a few times the latency between halls plus the
/// response time of a busy process. A bucket owner that takes longer may be frozen or
/// unreachable.
pub const ANSWER: Duration = Duration::from_millis(100);
/// Longest time that a request waits for answers of bucket owners before it is refused:
/// most of the time in which a plain call can still be in time.
pub const PATIENCE: Duration = Duration::from_millis(220);
/// Shortest time until a bucket owner without units gets the next request: its bucket
/// refills meanwhile, and a workspace far over its limit costs at most 20 requests for
/// units a second and entry.
const DRY: Duration = Duration::from_millis(50);
/// Bounds of the time after which a refused caller is asked to retry.
const BACK_SOONEST: Duration = Duration::from_millis(100);
const BACK_LATEST: Duration = Duration::from_secs(5);
/// Time after which the state of an unused workspace is dropped.
const UNUSED: Duration = Duration::from_secs(30);

impl<T> Accounts<T> {
    /// Creates the state without any reservation.
    pub fn new(terms: LimitTerms) -> Self {
        Self { terms, accounts: HashMap::new(), entries: 1, asks: 0 }
    }

    /// Records that another bucket owner is used from now on. Units that the former one
    /// granted stay usable and are not returned when they expire.
    pub fn home_changed(&mut self) {
        for account in self.accounts.values_mut() {
            account.home += 1;
            account.lapsed = 0.0;
        }
    }

    /// Sets the number of entries that share the units usable before a grant.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Decides on a request of `cost` units, or returns `None` if the request has to wait
    /// for an answer of the bucket owner. [`Self::granted`] or [`Self::unanswered`] then
    /// returns the verdict.
    pub fn enter(
        &mut self,
        now: Instant,
        workspace: &Workspace,
        version: RoutingVersion,
        cost: f64,
        request: T,
    ) -> Option<Verdict> {
        let Some(limit) = workspace.limit else { return Some(Verdict::Admitted) };
        let entries = self.entries;
        let account = self.account(now, workspace, limit, version);
        account.used_at = now;
        account.demand.add(now, cost);
        let waits = !account.waiting.is_empty();
        if !waits && (account.take(now, cost) || account.overdraw(now, cost, entries)) {
            return Some(Verdict::Admitted);
        }
        if let Some(until) = account.dry_until.filter(|until| *until > now) {
            return Some(account.refuse(until - now));
        }
        account.waiting.push_back(Waiting { cost, since: now, request });
        None
    }

    /// Returns the units of a request that has not run to the reservations.
    pub fn give_back(&mut self, now: Instant, workspace: &Workspace, cost: f64) {
        let Some(account) = self.accounts.get_mut(&hash(&workspace.name)) else { return };
        account.reserve(now, cost);
    }

    /// Returns the units to request from the bucket owner now. Each is then outstanding
    /// until [`Self::granted`] or [`Self::unanswered`]. With `beats`, for the periodic
    /// request that is sent in any case, the result also holds demand that is not urgent.
    pub fn wants(&mut self, now: Instant, beats: bool) -> Vec<Want> {
        self.accounts.retain(|_, account| account.is_used(now));
        let entries = self.entries;
        let each = self.accounts.iter_mut();
        let asking = each.filter(|(_, account)| beats || account.is_due(now, entries));
        let asks = &mut self.asks;
        let want = |(hash, account): (&WorkspaceHash, &mut Account<T>)| {
            *asks += 1;
            account.want(now, *hash, *asks)
        };
        asking.filter_map(want).collect()
    }

    /// Applies grants of the bucket owner, and returns the requests that are decided by
    /// them.
    pub fn granted(&mut self, now: Instant, grants: &[Grant]) -> Vec<(T, Verdict)> {
        let mut decided = Vec::new();
        for grant in grants {
            let Some(account) = self.accounts.get_mut(&grant.workspace) else { continue };
            // A bucket owner that was paused may answer a request that another bucket
            // owner has answered since.
            if account.asked.is_none_or(|asked| asked.number != grant.ask) {
                continue;
            }
            account.asked = None;
            let settled = grant.units.min(account.overdraft);
            account.overdraft -= settled;
            account.reserve(now, grant.units - settled);
            account.admit_waiting(now, &mut decided);
            if !grant.wait.is_zero() {
                let wait = grant.wait.max(DRY);
                account.dry_until = Some(now + wait);
                account.refuse_waiting(wait, &mut decided);
            }
        }
        decided
    }

    /// Drops requests for units that were not answered in time, and refuses requests that
    /// have waited for too long. Returns when the newest of the dropped ones was made.
    pub fn unanswered(
        &mut self,
        now: Instant,
        decided: &mut Vec<(T, Verdict)>,
    ) -> Option<Instant> {
        let each = self.accounts.values_mut();
        each.filter_map(|account| account.unanswered(now, decided)).max()
    }

    /// Whether units for a workspace are to be requested before the next poll.
    pub fn is_due(&self, now: Instant, workspace: &Workspace) -> bool {
        let account = self.accounts.get(&hash(&workspace.name));
        account.is_some_and(|account| account.is_due(now, self.entries))
    }

    /// The next time at which [`Self::unanswered`] has to be called.
    pub fn next_at(&self) -> Option<Instant> {
        let due = |account: &Account<T>| account.asked.map(|asked| asked.at + ANSWER);
        self.accounts.values().filter_map(due).min()
    }

    /// Returns the units reserved for each workspace, by name.
    pub fn reserved(&self, now: Instant) -> Vec<(WorkspaceId, f64)> {
        self.accounts.values().map(|a| (a.name.clone(), a.held(now))).collect()
    }

    fn account(
        &mut self,
        now: Instant,
        workspace: &Workspace,
        limit: Limit,
        version: RoutingVersion,
    ) -> &mut Account<T> {
        let share = self.terms.share(&limit);
        let hash = hash(&workspace.name);
        let account = self.accounts.entry(hash).or_insert_with(|| Account {
            name: workspace.name.clone(),
            limit,
            share,
            version,
            reserved: VecDeque::new(),
            waiting: VecDeque::new(),
            overdraft: 0.0,
            lapsed: 0.0,
            home: 0,
            asked: None,
            dry_until: None,
            demand: Flow::new(now),
            used_at: now,
        });
        if version > account.version {
            account.limit = limit;
            account.share = share;
            account.version = version;
        }
        account
    }
}

impl<T> Account<T> {
    /// Takes units from the reservations, the oldest first; takes none if they do not
    /// suffice.
    fn take(&mut self, now: Instant, cost: f64) -> bool {
        self.lapse(now);
        let all: f64 = self.reserved.iter().map(|r| r.units).sum();
        if all < cost {
            return false;
        }
        let mut left = cost;
        while let Some(oldest) = self.reserved.front_mut() {
            if oldest.units > left {
                oldest.units -= left;
                break;
            }
            left -= oldest.units;
            self.reserved.pop_front();
        }
        true
    }

    fn reserve(&mut self, now: Instant, units: f64) {
        if units > 0.0 {
            let (until, home) = (now + self.share.life, self.home);
            self.reserved.push_back(Reserved { units, until, home });
        }
    }

    /// Drops expired reservations.
    fn lapse(&mut self, now: Instant) {
        while let Some(oldest) = self.reserved.front().filter(|r| r.until < now) {
            if oldest.home == self.home {
                self.lapsed += oldest.units;
            }
            self.reserved.pop_front();
        }
    }

    /// Uses units that the bucket owner has not granted yet, up to this entry's part of
    /// the slack. The request then neither waits for an answer nor costs a message of its
    /// own.
    fn overdraw(&mut self, now: Instant, cost: f64, entries: u32) -> bool {
        let dry = self.dry_until.is_some_and(|until| until > now);
        let used = self.overdraft + cost;
        if dry || used > self.share.alone / f64::from(entries) {
            return false;
        }
        self.overdraft = used;
        true
    }

    /// Whether units are to be requested before the next poll.
    fn is_due(&self, now: Instant, entries: u32) -> bool {
        let half = self.share.alone / f64::from(entries) / 2.0;
        let low = self.overdraft > half && self.ahead(now) > 0.0;
        self.asked.is_none() && (low || !self.waiting.is_empty())
    }

    fn want(&mut self, now: Instant, workspace: WorkspaceHash, ask: u64) -> Option<Want> {
        if self.asked.is_some() {
            return None;
        }
        self.lapse(now);
        let held = self.held(now);
        let waiting: f64 = self.waiting.iter().map(|w| w.cost).sum();
        let need = (waiting - held).max(0.0);
        let first = self.waiting.front().map_or(0.0, |w| (w.cost - held).max(0.0));
        let ahead = self.ahead(now);
        let debt = self.overdraft;
        if debt + need + ahead + self.lapsed == 0.0 {
            return None;
        }
        self.asked = Some(Asked { number: ask, at: now });
        let returned = std::mem::take(&mut self.lapsed);
        let Limit { per_sec, burst, .. } = self.limit;
        Some(Want {
            workspace,
            ask,
            debt,
            need,
            first,
            ahead,
            returned,
            per_sec,
            burst,
            version: self.version,
        })
    }

    /// Returns the reserved units that have not expired.
    fn held(&self, now: Instant) -> f64 {
        self.reserved.iter().filter(|r| r.until >= now).map(|r| r.units).sum()
    }

    /// Returns the units to reserve ahead of requests; zero while at least half of them
    /// are reserved.
    fn ahead(&self, now: Instant) -> f64 {
        if self.dry_until.is_some_and(|until| until > now) {
            return 0.0;
        }
        let ahead = AHEAD.min(self.share.life).as_secs_f64() * self.demand.at(now);
        let held = self.held(now);
        if held * 2.0 >= ahead {
            return 0.0;
        }
        ahead - held
    }

    /// Admits waiting requests in their order, as far as the reservations suffice.
    fn admit_waiting(&mut self, now: Instant, decided: &mut Vec<(T, Verdict)>) {
        while let Some(cost) = self.waiting.front().map(|w| w.cost) {
            if !self.take(now, cost) {
                return;
            }
            if let Some(next) = self.waiting.pop_front() {
                decided.push((next.request, Verdict::Admitted));
            }
        }
    }

    fn refuse_waiting(&mut self, wait: Duration, decided: &mut Vec<(T, Verdict)>) {
        while let Some(next) = self.waiting.pop_front() {
            let verdict = self.refuse(wait);
            decided.push((next.request, verdict));
        }
    }

    /// Refuses a request until the bucket owner has units again.
    ///
    /// While a workspace is over its limit, a caller that retries sooner is admitted as
    /// often as a caller that retries later, and can still be answered in time.
    fn refuse(&self, wait: Duration) -> Verdict {
        Verdict::Refused(wait.clamp(BACK_SOONEST, BACK_LATEST))
    }

    fn unanswered(
        &mut self,
        now: Instant,
        decided: &mut Vec<(T, Verdict)>,
    ) -> Option<Instant> {
        let late = |at: Instant, most| now.saturating_duration_since(at) >= most;
        let asked = self.asked.filter(|asked| late(asked.at, ANSWER))?;
        self.asked = None;
        while self.waiting.front().is_some_and(|next| late(next.since, PATIENCE)) {
            let Some(next) = self.waiting.pop_front() else { break };
            let verdict = self.refuse(BACK_SOONEST);
            decided.push((next.request, verdict));
        }
        Some(asked.at)
    }

    fn is_used(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.used_at);
        !self.waiting.is_empty() || idle < UNUSED
    }
}

impl Flow {
    fn new(now: Instant) -> Self {
        Self { per_sec: 0.0, at: now }
    }

    fn add(&mut self, now: Instant, units: f64) {
        self.per_sec = self.at(now) + units / DEMAND.as_secs_f64();
        self.at = now;
    }

    fn at(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.at);
        self.per_sec * (-since.as_secs_f64() / DEMAND.as_secs_f64()).exp()
    }
}

/// Returns the hash that identifies a workspace between entries and bucket owners.
fn hash(name: &str) -> WorkspaceHash {
    xxh3_64(name.as_bytes())
}
