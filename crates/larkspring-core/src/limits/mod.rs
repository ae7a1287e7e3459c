//! Rate limits of workspaces, enforced over all entries together.
//!
//! One process, the bucket owner, holds a bucket for each workspace. Entries reserve
//! units at the bucket owner ahead of use and admit requests from their reservations.
//!
//! 1. [`reservations`]: the reservations of an entry, and the requests that wait for
//!    units.
//! 2. [`serving_time`]: the serving time that an entry reports with each request for
//!    units.
//! 3. [`bucket_owner`]: the buckets, and the units granted for each request.
//! 4. [`reporting_entries`]: the entries that request units from a bucket owner.
//!
//! # Bound
//!
//! In every window of length `w` a workspace with a rate of `r` units a second and a
//! burst of `b` units may use `r w + b` units and a slack. Refusing requests within
//! `r w + b` loses service. So a bucket gets all that the window allows: its capacity is
//! a second of the rate (or the burst, if that is less), and the remainder of the burst
//! and a part of the slack (`REFILL_SLACK_FRACTION`) are added to its refill rate. The
//! remainder of the slack covers faults:
//!
//! - A grant expires after [`BucketParams::reservation_lifetime`], so units used in a
//!   window of length `w` were granted within `w` and that lifetime, from serving time
//!   that entries reported up to a poll interval later.
//! - A request that finds any units in its bucket may bring the bucket down to a debt of
//!   [`BucketParams::max_debt`].
//! - All entries together use up to [`BucketParams::max_overdraft`] units before they are
//!   granted, and settle them with the next request for units.
//!
//! An owner uses only the fraction of a bucket's capacity and debt that its reporting
//! entries are of all entries: several owners at once would otherwise each hold a full
//! bucket. A request larger than the whole bucket is admitted only by an owner with more
//! than half of the entries: 28 entries that decided by themselves otherwise used 1.73 of
//! the bound.
//!
//! A change of the bucket owner, or two bucket owners at once because entries reach
//! different processes, costs no slack: see [`serving_time`].

pub mod bucket_owner;
pub mod reporting_entries;
pub mod reservations;
pub mod serving_time;

use std::time::{Duration, Instant};

use crate::workspaces::WorkspaceLimit;

/// The usage beyond the limits that the deployment's settings allow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTolerance {
    /// Length of the windows in which a limit holds.
    pub window: Duration,
    /// Additional usage, as a fraction of the units that the limit allows in a window.
    pub extra_fraction: f64,
    /// Additional usage on top of `extra_fraction`, in units a window.
    pub extra_units: f64,
}

/// The parameters of one limit's bucket, and the parts of the slack that cover faults.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketParams {
    /// Refill rate of the bucket, in units a second.
    pub refill_per_sec: f64,
    /// Capacity of the bucket, in units.
    pub capacity: f64,
    /// Lifetime of a reservation.
    pub reservation_lifetime: Duration,
    /// Units by which a request may bring the bucket below zero.
    pub max_debt: f64,
    /// Units that all entries together may use before the bucket owner has granted them.
    pub max_overdraft: f64,
}

/// Longest lifetime of a reservation: two poll intervals of an entry.
const MAX_RESERVATION_LIFETIME: Duration = Duration::from_millis(500);
/// Capacity of a bucket as a time at the workspace's rate, unless the burst is smaller.
const CAPACITY_TIME: Duration = Duration::from_secs(1);
/// Parts of the slack: the part added to the refill rate, and the parts that cover
/// outstanding reservations at the beginning of a window, the debt of a bucket, and units
/// used before they are granted. The remaining fifth covers serving time that is reported
/// late: a quarter of a second of the rate.
const REFILL_SLACK_FRACTION: f64 = 0.45;
const RESERVATION_SLACK_FRACTION: f64 = 0.1;
const DEBT_SLACK_FRACTION: f64 = 0.1;
const OVERDRAFT_SLACK_FRACTION: f64 = 0.15;
/// Age of a request for units from which an entry ignores the grant: a busy entry reads a
/// grant later than [`reservations::ANSWER_TIMEOUT`] after its request.
pub const MAX_GRANT_AGE: Duration = Duration::from_millis(300);

impl LimitTolerance {
    /// Returns the bucket parameters for a limit.
    pub fn bucket_params(&self, limit: &WorkspaceLimit) -> BucketParams {
        let window = self.window.as_secs_f64();
        let allowed = limit.units_per_sec * window + limit.burst;
        let slack = self.extra_fraction * allowed + self.extra_units;
        let capacity = limit.burst.min(limit.units_per_sec * CAPACITY_TIME.as_secs_f64());
        let extra = limit.burst - capacity + REFILL_SLACK_FRACTION * slack;
        let lifetime_secs = RESERVATION_SLACK_FRACTION * slack
            / limit.units_per_sec.max(f64::MIN_POSITIVE);
        BucketParams {
            refill_per_sec: limit.units_per_sec + extra / window.max(f64::MIN_POSITIVE),
            capacity,
            reservation_lifetime: MAX_RESERVATION_LIFETIME.mul_f64(
                (lifetime_secs / MAX_RESERVATION_LIFETIME.as_secs_f64()).min(1.0),
            ),
            max_debt: DEBT_SLACK_FRACTION * slack,
            max_overdraft: OVERDRAFT_SLACK_FRACTION * slack,
        }
    }
}

/// Returns whether a grant that arrives now may be too old to be used, by the next expiry
/// of the entry's unanswered requests. They have to be given up first, so that the grant
/// is ignored: an entry that was frozen would otherwise use units of any age.
pub fn has_late_request(now: Instant, next_expiry: Option<Instant>) -> bool {
    let grace = MAX_GRANT_AGE - reservations::ANSWER_TIMEOUT;
    next_expiry.is_some_and(|expiry| now >= expiry + grace)
}
