//! When another attempt is allowed, and how long to wait before it.
//!
//! Only the entry retries, and never at more than a set ratio of its requests, so that
//! retries cannot multiply a shortage (Site Reliability Engineering, chapter 22).

use std::time::Duration;

use fastrand::Rng;

/// Credit that one retry costs.
const RETRY_COST: u64 = 100;
/// Retries that may follow each other on a fresh budget.
const BURST: u64 = 10;

/// Retries allowed as a ratio of the requests seen.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    credit: u64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries for each hundred requests.
    pub fn new(percent: u32) -> Self {
        Self { percent: percent.into(), credit: BURST * RETRY_COST }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.credit = (self.credit + self.percent).min(BURST * RETRY_COST);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        let Some(rest) = self.credit.checked_sub(RETRY_COST) else { return false };
        self.credit = rest;
        true
    }
}

/// Returns a jittered wait that doubles from `first` with each `attempt`, up to `limit`.
pub fn backoff(
    first: Duration,
    limit: Duration,
    attempt: u32,
    rng: &mut Rng,
) -> Duration {
    let full = first.saturating_mul(1 << attempt.min(16)).min(limit);
    full.mul_f64(0.5 + 0.5 * rng.f64())
}
