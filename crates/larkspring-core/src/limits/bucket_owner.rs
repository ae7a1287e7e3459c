//! The bucket owner: the buckets of workspaces, and the units granted to entries.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::reporting_entries::{EntryId, ReportingEntries};
use super::serving_time::ServingTime;
use super::{BucketParams, LimitTolerance};
use crate::admission::shares::{self, Class, ShareTable};
use crate::admission::smoothed_rate::SmoothedRate;
use crate::fleet::routes::RoutingVersion;
use crate::ids::WorkspaceHash;
use crate::workspaces::{LimitUnit, WorkspaceLimit};

/// Buckets of the workspaces for which entries request units from this process.
#[derive(Debug)]
pub struct BucketOwner {
    terms: LimitTolerance,
    buckets: HashMap<WorkspaceHash, Bucket>,
    entries: ReportingEntries,
    /// The fraction of all entries that request units here.
    reporting_fraction: f64,
    /// Serving time reported since the buckets were last cleared.
    reported: ReportedTime,
    /// Serving time reported per second: 1 while all entries request units here.
    serving_rate: Option<SmoothedRate>,
    /// When the last request for units arrived.
    last_request: Option<Instant>,
    /// The highest number of entries within [`ENTRY_COUNT_RETENTION`], and when it was
    /// counted.
    max_entries: (usize, Option<Instant>),
}

/// A request for units from an entry to a bucket owner.
#[derive(Debug, Clone, Copy)]
pub struct UnitsRequest<'a> {
    /// The entry.
    pub entry: EntryId,
    /// The serving time since the entry's previous request.
    pub serving_time: ServingTime,
    /// Number of entries that share the limits, as far as the entry and the bucket owner
    /// know.
    pub entry_count: usize,
    /// The units requested for each workspace.
    pub units: &'a [RequestedUnits],
}

/// Units that an entry requests for one workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestedUnits {
    /// The workspace.
    pub workspace: WorkspaceHash,
    /// Sequence number, which the grant repeats.
    pub sequence: u64,
    /// Units that were used before they were granted.
    pub overdraft: f64,
    /// Units that the waiting requests need.
    pub waiting: f64,
    /// Units that the first waiting request needs; a request larger than the burst is
    /// admitted when the bucket is full, and leaves the bucket in debt.
    pub first_waiting: f64,
    /// Units that this bucket owner granted and that expired unused.
    pub expired: f64,
    /// Units to reserve ahead of requests.
    pub reserve_ahead: f64,
    /// Rate of the limit, in units a second.
    pub per_sec: f64,
    /// Burst of the limit, in units.
    pub burst: f64,
    /// Version of the routing that declares the limit.
    pub version: RoutingVersion,
    /// Units that arrived in each class since the entry's previous request, admitted or
    /// not. Empty where the limit does not count tokens.
    pub demand: Vec<(Class, f64)>,
}

/// A bucket owner's answer to the units requested for one workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The workspace.
    pub workspace: WorkspaceHash,
    /// Sequence number of the request that this grant answers.
    pub sequence: u64,
    /// Units that the entry may use.
    pub units: f64,
    /// Time until the bucket has the remaining units; zero if all were granted.
    pub wait: Duration,
    /// Shares below 1 of the classes whose requests are to be admitted in part.
    pub shares: Vec<(Class, f64)>,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    /// The reported serving time at the last update of the level.
    applied: ReportedTime,
    per_sec: f64,
    burst: f64,
    version: RoutingVersion,
    classes: ShareTable,
}

/// Serving time that entries reported, each weighted by one over the number of entries.
#[derive(Debug, Clone, Copy, Default)]
struct ReportedTime {
    /// Seconds: one for each second in which all entries request units here.
    time: f64,
    /// The fraction of entries that changed to this bucket owner: 1 when all have.
    joined: f64,
}

/// Time without any request after which a process is no bucket owner any more and clears
/// its buckets.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long the highest count of entries is used: longer than network partitions between
/// VMs usually last, so that a bucket owner which only a few entries reach does not give
/// them the shares of all.
const ENTRY_COUNT_RETENTION: Duration = Duration::from_secs(30);
/// Fraction of a full bucket below which no units are granted ahead of requests: units
/// that an entry keeps in reserve are then missing at another entry.
const MIN_RESERVE_FRACTION: f64 = 0.3;
/// Number of buckets from which on full buckets are evicted.
const MAX_BUCKETS: usize = 16 * 1024;
/// Time over which the units in a bucket are spread while classes compete for them, so
/// that a single large request within a small limit does not close the gate.
const SUPPLY_SPREAD: Duration = Duration::from_millis(300);
/// Fraction of a full bucket that is not divided among the classes, so that requests
/// admitted by their class seldom find the bucket empty.
const KEPT_FRACTION: f64 = 0.08;
/// Least reported serving time a second that is assumed: a new bucket owner knows only
/// a part of it.
const MIN_SERVING: f64 = 0.5;
/// Least supply as a fraction of the refill rate, while a bucket is in debt.
const MIN_SUPPLY_FRACTION: f64 = 0.1;
/// Longest wait in a grant, in seconds.
const MAX_WAIT_SECS: f64 = 10.0;

impl BucketOwner {
    /// Creates a bucket owner without buckets.
    pub fn new(terms: LimitTolerance) -> Self {
        Self {
            terms,
            buckets: HashMap::new(),
            entries: ReportingEntries::default(),
            reporting_fraction: 1.0,
            reported: ReportedTime::default(),
            serving_rate: None,
            last_request: None,
            max_entries: (0, None),
        }
    }

    /// Answers an entry's request for units.
    pub fn grant_units(&mut self, now: Instant, ask: &UnitsRequest<'_>) -> Vec<Grant> {
        self.record_serving_time(now, ask);
        let period = ask.serving_time.elapsed;
        ask.units.iter().map(|want| self.grant(now, want, period)).collect()
    }

    fn record_serving_time(&mut self, now: Instant, ask: &UnitsRequest<'_>) {
        let since = |at| now.saturating_duration_since(at);
        if self.last_request.is_none_or(|at| since(at) > OWNERSHIP_TIMEOUT) {
            self.buckets.clear();
            self.reported = ReportedTime::default();
            self.serving_rate = None;
        }
        self.last_request = Some(now);
        let (most, at) = self.max_entries;
        if ask.entry_count >= most
            || at.is_none_or(|at| since(at) > ENTRY_COUNT_RETENTION)
        {
            self.max_entries = (ask.entry_count, Some(now));
        }
        let part = 1.0 / self.max_entries.0.max(1) as f64;
        let reporting = self.entries.record(now, ask.entry);
        self.reporting_fraction = (part * reporting as f64).min(1.0);
        let time = part * ask.serving_time.elapsed.as_secs_f64();
        self.reported.time += time;
        let fresh = || SmoothedRate::new(now, shares::TIME_CONSTANT);
        self.serving_rate.get_or_insert_with(fresh).add(now, time);
        self.reported.joined += if ask.serving_time.is_new_owner { part } else { 0.0 };
    }

    /// Returns the number of buckets.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Evicts full buckets if there are many and the workspace needs a new one.
    fn make_room_for(&mut self, workspace: WorkspaceHash) {
        if self.buckets.len() < MAX_BUCKETS || self.buckets.contains_key(&workspace) {
            return;
        }
        let (terms, reported) = (self.terms, self.reported);
        let fraction = self.reporting_fraction;
        self.buckets.retain(|_, bucket| {
            let params = bucket.params(&terms);
            bucket.refill(reported, &params);
            bucket.level < params.capacity * fraction
        });
    }

    fn grant(&mut self, now: Instant, want: &RequestedUnits, period: Duration) -> Grant {
        let (terms, reported) = (self.terms, self.reported);
        let fraction = self.reporting_fraction;
        let serving = self.serving_rate.map_or(1.0, |rate| rate.at(now));
        self.make_room_for(want.workspace);
        let bucket = self.buckets.entry(want.workspace).or_insert_with(|| Bucket {
            // A workspace without requests so far gets a bucket that has filled since
            // entries changed to this bucket owner.
            level: 0.0,
            applied: ReportedTime { time: 0.0, joined: reported.joined },
            per_sec: want.per_sec,
            burst: want.burst,
            version: want.version,
            classes: ShareTable::new(now),
        });
        if want.version > bucket.version {
            bucket.per_sec = want.per_sec;
            bucket.burst = want.burst;
            bucket.version = want.version;
        }
        let params = bucket.params(&terms);
        bucket.refill(reported, &params);
        let full_capacity = params.capacity;
        let params = BucketParams {
            capacity: full_capacity * fraction,
            max_debt: params.max_debt * fraction,
            ..params
        };
        let level = (bucket.level + want.expired).min(params.capacity);
        let units = granted_units(level, &params, full_capacity, want);
        bucket.level = level - units;
        bucket.classes.record(now, &want.demand, period);
        let shares = bucket
            .classes
            .shares(now, bucket.supply_per_sec(&params, full_capacity, serving));
        let missing = (want.overdraft + want.waiting - units).max(0.0);
        let wait =
            (missing / params.refill_per_sec.max(f64::MIN_POSITIVE)).min(MAX_WAIT_SECS);
        Grant {
            workspace: want.workspace,
            sequence: want.sequence,
            units,
            wait: Duration::from_secs_f64(wait),
            shares,
        }
    }
}

impl Bucket {
    fn params(&self, terms: &LimitTolerance) -> BucketParams {
        let (units_per_sec, burst) = (self.per_sec, self.burst);
        terms.bucket_params(&WorkspaceLimit {
            units_per_sec,
            burst,
            unit: LimitUnit::Requests,
        })
    }

    /// Returns the units a second that the bucket supplies to the classes: its refill at
    /// `serving` seconds of reported time a second, and the units that it holds beyond
    /// [`KEPT_FRACTION`] of its `full` capacity, spread over [`SUPPLY_SPREAD`].
    fn supply_per_sec(&self, params: &BucketParams, full: f64, serving: f64) -> f64 {
        let refill = params.refill_per_sec * serving.clamp(MIN_SERVING, 1.0);
        let held = self.level - full * KEPT_FRACTION;
        let supply = refill + held / SUPPLY_SPREAD.as_secs_f64();
        supply.max(params.refill_per_sec * MIN_SUPPLY_FRACTION)
    }

    /// Refills the bucket by the serving time reported since the last call. An entry that
    /// used another bucket owner meanwhile may have spent there the units that it added
    /// here before, so its part of the level is removed.
    fn refill(&mut self, reported: ReportedTime, params: &BucketParams) {
        let removed = (reported.joined - self.applied.joined) * params.capacity;
        if self.level > 0.0 {
            self.level = (self.level - removed).max(0.0);
        }
        let gained = (reported.time - self.applied.time) * params.refill_per_sec;
        self.level = (self.level + gained).min(params.capacity);
        self.applied = reported;
    }
}

/// Returns the units granted at `level` by the part of a bucket that `params` describe.
/// The level may fall below zero by the maximum debt, and by its size after a request
/// larger than the whole bucket. Such a request needs the part to be full and more than
/// half of the bucket, which only one bucket owner has at a time.
///
/// A request is admitted while the level is above zero, whatever its size: if all of its
/// units had to be there, long prompts would hardly ever be admitted while short prompts
/// use up the units as they arrive.
fn granted_units(
    level: f64,
    params: &BucketParams,
    full_capacity: f64,
    want: &RequestedUnits,
) -> f64 {
    let all = want.overdraft + want.waiting;
    if level >= all {
        let spare = level - all - params.capacity * MIN_RESERVE_FRACTION;
        return all + want.reserve_ahead.min(spare.max(0.0));
    }
    let first = want.overdraft + want.first_waiting;
    let passes = level > 0.0 && level + params.max_debt >= first;
    let has_most = params.capacity > full_capacity / 2.0;
    let large =
        has_most && want.first_waiting > full_capacity && level >= params.capacity;
    if want.waiting > 0.0 && (passes || large) {
        return first.max(level);
    }
    level.max(0.0).min(want.overdraft)
}
