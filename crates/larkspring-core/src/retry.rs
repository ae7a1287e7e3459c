//! Limits retries and computes the wait before them.
//!
//! Only the entry retries, up to a fixed ratio of its requests, so that retries do not
//! amplify an overload (Site Reliability Engineering, chapter 22).

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fastrand::Rng;

/// Credit that a retry costs.
const RETRY_COST: u64 = 100;
/// Consecutive retries that a new budget allows.
const MAX_BURST: u64 = 10;

/// A retry budget in proportion to the number of requests.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u64,
    credit: u64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries for each hundred requests.
    pub fn new(percent: u32) -> Self {
        Self { percent: percent.into(), credit: MAX_BURST * RETRY_COST }
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + self.percent).min(MAX_BURST * RETRY_COST);
    }

    /// Takes a retry from the budget. Returns false if the budget is used up.
    pub fn try_retry(&mut self) -> bool {
        let Some(remaining) = self.credit.checked_sub(RETRY_COST) else { return false };
        self.credit = remaining;
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

/// A retry budget for every window of a fixed length, in proportion to the requests in
/// it.
///
/// All entries share the budget; each uses the ratio of its own requests and its share of
/// the fixed part.
#[derive(Debug)]
pub struct RetryWindow {
    terms: RetryTerms,
    /// Added to the budget before it is rounded down, from 0 to 1.
    rounding: f64,
    slices: VecDeque<Slice>,
}

/// The terms of a shared retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryTerms {
    /// Retries for each request.
    pub ratio: f64,
    /// Additional retries, for all entries together.
    pub fixed: f64,
    /// Length of the windows to which the budget applies.
    pub window: Duration,
}

#[derive(Debug)]
struct Slice {
    start: Instant,
    requests: u32,
    retries: u32,
}

/// Number of slices of a window.
const SLICES: u32 = 20;
/// Part of the budget that is used. The rest covers retries that an earlier process of
/// this entry sent, and entries that just started.
const USED_FRACTION: f64 = 0.6;

impl RetryWindow {
    /// Creates a window without requests.
    ///
    /// `rounding`, from 0 to 1, decides how this entry rounds its budget, which in a large
    /// fleet is one or two retries. If it is uniformly random, the entries round up as
    /// often as their fractions require, and use the whole budget together.
    pub fn new(terms: RetryTerms, rounding: f64) -> Self {
        Self { terms, rounding, slices: VecDeque::new() }
    }

    /// Changes the terms of the budget; the counts are kept.
    pub fn set_terms(&mut self, terms: RetryTerms) {
        self.terms = terms;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.slice(now).requests += 1;
    }

    /// Takes a retry from the budget, which `entries` share. Returns false if the budget
    /// is used up.
    pub fn try_retry(&mut self, now: Instant, entries: usize) -> bool {
        self.slice(now);
        let requests: u32 = self.slices.iter().map(|s| s.requests).sum();
        let retries: u32 = self.slices.iter().map(|s| s.retries).sum();
        let share = self.terms.fixed / entries.max(1) as f64;
        let budget = self.terms.ratio * f64::from(requests) + share;
        let allowed = (USED_FRACTION * budget + self.rounding).floor();
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.slice(now).retries += 1;
        true
    }

    /// Returns the current slice, after removing those outside the window.
    fn slice(&mut self, now: Instant) -> &mut Slice {
        let length = self.terms.window / SLICES;
        let window = self.terms.window;
        while let Some(oldest) = self.slices.front() {
            if now.saturating_duration_since(oldest.start) <= window {
                break;
            }
            self.slices.pop_front();
        }
        let current = self.slices.back();
        let current =
            current.is_some_and(|s| now.saturating_duration_since(s.start) < length);
        if !current {
            self.slices.push_back(Slice { start: now, requests: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
