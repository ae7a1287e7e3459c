//! When another attempt is allowed, and how long to wait before it.
//!
//! Only the entry retries, and never at more than a set ratio of its requests, so that
//! retries cannot multiply a shortage (Site Reliability Engineering, chapter 22).

use std::collections::VecDeque;
use std::time::{Duration, Instant};

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

/// Repeats allowed in every window of some length, as a ratio of the requests in it.
///
/// The budget is one for all entries together; each takes the ratio of its own requests
/// and its share of the fixed part.
#[derive(Debug)]
pub struct RepeatWindow {
    terms: RepeatTerms,
    slices: VecDeque<Slice>,
}

/// What a shared budget of repeats allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatTerms {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top, for all entries together.
    pub extra: f64,
    /// Length of every window that the budget holds for.
    pub window: Duration,
}

#[derive(Debug)]
struct Slice {
    start: Instant,
    requests: u32,
    repeats: u32,
}

/// Slices that a window is counted in.
const SLICES: u32 = 20;
/// Part of the budget that is used: the rest covers repeats that an earlier process of
/// this entry sent, and entries that just joined.
const USED_PART: f64 = 0.6;

impl RepeatWindow {
    /// Creates a window in which nothing was sent.
    pub fn new(terms: RepeatTerms) -> Self {
        Self { terms, slices: VecDeque::new() }
    }

    /// Changes what the budget allows; what was counted stays.
    pub fn set_terms(&mut self, terms: RepeatTerms) {
        self.terms = terms;
    }

    /// Counts a request.
    pub fn request(&mut self, now: Instant) {
        self.slice(now).requests += 1;
    }

    /// Takes one repeat, if the budget still has one; `entries` share it.
    pub fn repeat(&mut self, now: Instant, entries: usize) -> bool {
        self.slice(now);
        let requests: u32 = self.slices.iter().map(|s| s.requests).sum();
        let repeats: u32 = self.slices.iter().map(|s| s.repeats).sum();
        let share = (self.terms.extra * USED_PART / entries.max(1) as f64).floor();
        let allowed = self.terms.ratio * USED_PART * f64::from(requests) + share;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.slice(now).repeats += 1;
        true
    }

    /// Returns the slice of the present, after forgetting those outside the window.
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
            self.slices.push_back(Slice { start: now, requests: 0, repeats: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
