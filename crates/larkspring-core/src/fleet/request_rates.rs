//! Rate of requests for each adapter.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Recent requests, counted by key.
#[derive(Debug)]
pub struct RequestRates<K> {
    counts: HashMap<K, Count>,
}

#[derive(Debug)]
struct Count {
    weight: f64,
    at: Instant,
}

/// Half-life of the counts. Short, as the popularity of adapters changes within seconds.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Maximum number of keys, which bounds memory with 49,000 adapters.
const MAX_KEYS: usize = 4096;
/// Weight below which a key is dropped when there are too many.
const MIN_WEIGHT: f64 = 0.25;

impl<K> Default for RequestRates<K> {
    fn default() -> Self {
        Self { counts: HashMap::new() }
    }
}

impl<K: Eq + Hash + Clone> RequestRates<K> {
    /// Counts a request and returns the recent rate for its key, in requests a second.
    pub fn record(&mut self, now: Instant, key: &K) -> f64 {
        if self.counts.len() >= MAX_KEYS {
            self.counts.retain(|_, count| count.weight_at(now) >= MIN_WEIGHT);
        }
        let new = || Count { weight: 0.0, at: now };
        let entry = self.counts.entry(key.clone()).or_insert_with(new);
        entry.weight = entry.weight_at(now) + 1.0;
        entry.at = now;
        rate(entry.weight)
    }

    /// Returns the recent rate for a key, in requests a second.
    pub fn rate(&self, now: Instant, key: &K) -> f64 {
        self.counts.get(key).map_or(0.0, |count| rate(count.weight_at(now)))
    }
}

impl Count {
    fn weight_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.weight * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

/// Converts a weight to the steady rate, in requests a second, that leads to this weight
/// in the long run.
fn rate(weight: f64) -> f64 {
    weight * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
}
