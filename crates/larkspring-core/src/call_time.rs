//! How long the answer to a call is waited for, learned from the answers before.

use std::time::Duration;

/// Time for an answer of one peer.
///
/// Calls that are given again after a lost answer are as quick as this time is short, so a
/// fixed bound that is generous for a slow peer costs those of a quick one most of what
/// their callers have.
#[derive(Debug, Clone)]
pub struct CallTime {
    bounds: CallBounds,
    /// Usual time of an answer and its usual distance from that; `None` before the first.
    usual: Option<(Duration, Duration)>,
    /// Answers in a row that did not come.
    lost: u32,
}

/// Bounds of the time for an answer.
#[derive(Debug, Clone, Copy)]
pub struct CallBounds {
    /// The shortest: what a turn of both busy processes takes.
    pub least: Duration,
    /// The longest, and the time for the first answer.
    pub most: Duration,
}

/// Weights of a new answer in the usual time and distance, and distances that an answer may
/// be late by: as in TCP's timer for repeats (RFC 6298).
const TIME_WEIGHT: f64 = 0.125;
const DISTANCE_WEIGHT: f64 = 0.25;
const DISTANCES: u32 = 4;

impl CallTime {
    /// Creates the time of a peer that has not answered yet.
    pub fn new(bounds: CallBounds) -> Self {
        Self { bounds, usual: None, lost: 0 }
    }

    /// Returns how long an answer is waited for now; twice as long after each lost one, so
    /// that a peer which has become slower is heard again.
    pub fn limit(&self) -> Duration {
        let CallBounds { least, most } = self.bounds;
        let Some((time, distance)) = self.usual else { return most };
        let limit = (time + distance * DISTANCES).max(least);
        limit.saturating_mul(1 << self.lost.min(8)).min(most)
    }

    /// Records an answer that took `spent`.
    pub fn answered(&mut self, spent: Duration) {
        self.lost = 0;
        self.usual = Some(match self.usual {
            None => (spent, spent / 2),
            Some((time, distance)) => (
                mixed(time, spent, TIME_WEIGHT),
                mixed(distance, time.abs_diff(spent), DISTANCE_WEIGHT),
            ),
        });
    }

    /// Records that an answer did not come within the limit.
    pub fn lost(&mut self) {
        self.lost = self.lost.saturating_add(1);
    }
}

fn mixed(old: Duration, new: Duration, weight: f64) -> Duration {
    old.mul_f64(1.0 - weight) + new.mul_f64(weight)
}
