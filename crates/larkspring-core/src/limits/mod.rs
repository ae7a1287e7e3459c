//! Limits of workspaces over all entries together.
//!
//! One process, the home, holds a bucket for each workspace. Entries reserve at the home
//! what they are about to use and take their requests from that.
//!
//! 1. [`account`]: an entry's side: what it has reserved, and who waits for more.
//! 2. [`presence`]: for how long it has asked its home.
//! 3. [`home`]: the buckets, and how much each ask is granted.
//!
//! The bound. In every window of length `w` a workspace of `r` units a second and a burst of
//! `b` may use `r w + b` and some slack; what it asks within that and is refused is service
//! lost. So a home gives the bucket what the window allows: a second of the rate at once (or
//! the burst, if that is less), and the rest of the burst and [`Share::used`] of the slack
//! as rate. What is left of the slack covers faults:
//!
//! - A grant lapses after [`Share::life`], so what is used in a window was granted within `w +
//!   life`, from time that entries told up to a beat later.
//! - A request that finds anything in its bucket may leave it in debt, by [`Share::debt`].
//! - Entries use [`Share::alone`] together before it is granted, and settle it with the next
//!   ask.
//!
//! A change of home, or two homes at once, for entries that hear different processes, costs
//! no slack: see [`presence`].

pub mod account;
pub mod home;
pub mod presence;

use std::time::Duration;

use crate::workspaces::Limit;

/// What the deployment allows beyond the limits, as its settings say.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTerms {
    /// Length of every window that a limit holds for.
    pub window: Duration,
    /// Part of what the limit allows in a window that may be used on top.
    pub overage: f64,
    /// Units that may be used on top of that.
    pub tolerance: f64,
}

/// What a home gives of one limit, and how the slack covers faults.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Units a second that the bucket gains.
    pub per_sec: f64,
    /// Units that the bucket holds.
    pub most: f64,
    /// How long a reservation holds.
    pub life: Duration,
    /// How far a request may bring the bucket of its home below zero.
    pub debt: f64,
    /// What all entries together may use before a home has granted it.
    pub alone: f64,
}

/// Longest life of a reservation: twice the time between two asks of an entry.
const MAX_LIFE: Duration = Duration::from_millis(500);
/// Time of its rate that a workspace may use at once, if its burst allows as much.
const AT_ONCE: Duration = Duration::from_secs(1);
/// Parts of the slack: what is given as rate, and what covers reservations that are out when
/// a window begins, the debt of a bucket, and what entries use before it is granted. What is
/// left covers the time told late: a quarter of a second of the rate.
const USED_PART: f64 = 0.45;
const LIFE_PART: f64 = 0.1;
const DEBT_PART: f64 = 0.1;
const ALONE_PART: f64 = 0.15;

impl LimitTerms {
    /// What a home gives of a limit.
    pub fn share(&self, limit: &Limit) -> Share {
        let window = self.window.as_secs_f64();
        let allowed = limit.per_sec * window + limit.burst;
        let slack = self.overage * allowed + self.tolerance;
        let most = limit.burst.min(limit.per_sec * AT_ONCE.as_secs_f64());
        let rest = limit.burst - most + USED_PART * slack;
        let life = LIFE_PART * slack / limit.per_sec.max(f64::MIN_POSITIVE);
        Share {
            per_sec: limit.per_sec + rest / window.max(f64::MIN_POSITIVE),
            most,
            life: MAX_LIFE.mul_f64((life / MAX_LIFE.as_secs_f64()).min(1.0)),
            debt: DEBT_PART * slack,
            alone: ALONE_PART * slack,
        }
    }
}
