//! How often each adapter is asked for at one entry.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::AdapterId;

/// Recent requests by adapter.
#[derive(Debug, Default)]
pub struct Demand {
    seen: HashMap<AdapterId, Seen>,
}

#[derive(Debug)]
struct Seen {
    weight: f64,
    at: Instant,
}

/// Half of what was counted is forgotten in this time: popularity moves within seconds.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Adapters that are remembered, so that memory is bounded at 49,000 adapters.
const MAX_SEEN: usize = 4096;
/// Recent requests below which an adapter is forgotten when there are too many.
const FORGOTTEN: f64 = 0.25;

impl Demand {
    /// Counts a request and returns the recent rate for its adapter, a second.
    pub fn count(&mut self, now: Instant, adapter: &AdapterId) -> f64 {
        if self.seen.len() >= MAX_SEEN {
            self.seen.retain(|_, seen| seen.weight_at(now) >= FORGOTTEN);
        }
        let fresh = || Seen { weight: 0.0, at: now };
        let seen = self.seen.entry(adapter.clone()).or_insert_with(fresh);
        seen.weight = seen.weight_at(now) + 1.0;
        seen.at = now;
        rate(seen.weight)
    }

    /// Returns the recent rate for an adapter, a second.
    pub fn rate(&self, now: Instant, adapter: &AdapterId) -> f64 {
        self.seen.get(adapter).map_or(0.0, |seen| rate(seen.weight_at(now)))
    }
}

impl Seen {
    fn weight_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.weight * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

/// A steady rate of one a second comes to this weight in the long run.
fn rate(weight: f64) -> f64 {
    weight * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
}
