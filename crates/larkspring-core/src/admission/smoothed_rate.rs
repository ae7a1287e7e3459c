//! A rate of units, smoothed exponentially.

use std::time::{Duration, Instant};

/// Units a second, smoothed over a time constant.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SmoothedRate {
    time_constant: Duration,
    per_sec: f64,
    at: Instant,
}

impl SmoothedRate {
    /// Creates a rate of zero.
    pub fn new(now: Instant, time_constant: Duration) -> Self {
        Self { time_constant, per_sec: 0.0, at: now }
    }

    /// Adds units that arrived at `now`.
    pub fn add(&mut self, now: Instant, units: f64) {
        self.per_sec = self.at(now) + units / self.time_constant.as_secs_f64();
        self.at = now;
    }

    /// Adds units that arrived evenly over `period` until `now`. Adding them all at `now`
    /// would show 1.75 times the rate after a period of 1.25 time constants.
    pub fn add_over(&mut self, now: Instant, units: f64, period: Duration) {
        let periods = period.as_secs_f64() / self.time_constant.as_secs_f64();
        let kept = if periods > 0.0 { -(-periods).exp_m1() / periods } else { 1.0 };
        self.add(now, units * kept);
    }

    /// Returns the units a second at `now`.
    pub fn at(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.at);
        self.per_sec * (-since.as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }
}
