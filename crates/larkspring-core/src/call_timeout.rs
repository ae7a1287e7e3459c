//! Adaptive time-out of calls to a peer, derived from the times of earlier answers.

use std::time::Duration;

/// Time-out of calls to one peer.
///
/// A call whose answer was lost is retried only after this time-out, so a fixed time-out
/// that suffices for a slow peer would cost a call to a quick peer most of its caller's
/// time.
#[derive(Debug, Clone)]
pub struct CallTimeout {
    bounds: TimeoutBounds,
    /// Smoothed response time and its smoothed mean deviation; `None` before the first
    /// answer.
    smoothed: Option<(Duration, Duration)>,
    /// Number of consecutive calls without an answer.
    losses: u32,
}

/// Bounds of the time-out.
#[derive(Debug, Clone, Copy)]
pub struct TimeoutBounds {
    /// The shortest time-out: the response time of both processes when they are busy.
    pub shortest: Duration,
    /// The longest time-out, also used for the first call.
    pub longest: Duration,
}

/// Weights of a new response time in the smoothed time and deviation, and the number of
/// deviations allowed above the smoothed time, as for TCP's retransmission timer (RFC
/// 6298).
const TIME_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
const ALLOWED_DEVIATIONS: u32 = 4;

impl CallTimeout {
    /// Creates the time-out of a peer that has not answered yet.
    pub fn new(bounds: TimeoutBounds) -> Self {
        Self { bounds, smoothed: None, losses: 0 }
    }

    /// Returns the present time-out. The time-out doubles with each lost answer, so that
    /// answers of a peer which has become slower arrive in time again.
    pub fn current(&self) -> Duration {
        let TimeoutBounds { shortest, longest } = self.bounds;
        let Some((time, deviation)) = self.smoothed else { return longest };
        let limit = (time + deviation * ALLOWED_DEVIATIONS).max(shortest);
        limit.saturating_mul(1 << self.losses.min(8)).min(longest)
    }

    /// Records an answer that arrived after `spent`.
    pub fn record_answer(&mut self, spent: Duration) {
        self.losses = 0;
        self.smoothed = Some(match self.smoothed {
            None => (spent, spent / 2),
            Some((time, deviation)) => (
                weighted_mean(time, spent, TIME_WEIGHT),
                weighted_mean(deviation, time.abs_diff(spent), DEVIATION_WEIGHT),
            ),
        });
    }

    /// Records that no answer arrived within the time-out.
    pub fn record_loss(&mut self) {
        self.losses = self.losses.saturating_add(1);
    }
}

fn weighted_mean(old: Duration, new: Duration, weight: f64) -> Duration {
    old.mul_f64(1.0 - weight) + new.mul_f64(weight)
}
