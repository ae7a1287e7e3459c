//! Statistics of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{json, Value};

use super::client::Sample;

/// Statistics of a load, with times in microseconds.
#[derive(Debug)]
pub struct Report {
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
    first_byte: Histogram<u64>,
    urgent_first_byte: Histogram<u64>,
    gap: Histogram<u64>,
    load_wait: Histogram<u64>,
    /// Number of reads of bodies of complete answers.
    pub chunks: u64,
    /// Number of tokens of complete answers.
    pub tokens: u64,
    /// Time from the first request to the last answer.
    pub elapsed: Duration,
}

/// Shorter waits for an adapter don't count as stalls.
const MIN_STALL: Duration = Duration::from_millis(10);
const SIGNIFICANT_DIGITS: u8 = 3;

impl Default for Report {
    fn default() -> Self {
        let new = || Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are valid");
        Self {
            outcomes: BTreeMap::new(),
            first_byte: new(),
            urgent_first_byte: new(),
            gap: new(),
            load_wait: new(),
            chunks: 0,
            tokens: 0,
            elapsed: Duration::ZERO,
        }
    }
}

impl Report {
    /// Adds the result of a request.
    pub fn add(&mut self, sample: &Sample) {
        *self.outcomes.entry(sample.outcome.clone()).or_default() += 1;
        if sample.outcome != "ok" {
            return;
        }
        let micros = |d: Duration| d.as_micros().max(1) as u64;
        self.chunks += sample.chunks;
        self.tokens += sample.tokens;
        record(&mut self.first_byte, micros(sample.first_byte));
        if sample.urgent {
            record(&mut self.urgent_first_byte, micros(sample.first_byte));
        }
        let gaps = sample.chunks.saturating_sub(1).max(1) as u32;
        record(&mut self.gap, micros(sample.rest / gaps));
        record(&mut self.load_wait, micros(sample.load_wait));
    }

    /// Returns the number of requests.
    pub fn requests(&self) -> u64 {
        self.outcomes.values().sum()
    }

    /// Returns the number of complete answers.
    pub fn ok(&self) -> u64 {
        self.outcomes.get("ok").copied().unwrap_or(0)
    }

    /// Returns the sum of the waits for adapters, in seconds.
    pub fn stall_seconds(&self) -> f64 {
        self.load_wait.mean() * self.load_wait.len() as f64 / 1e6
    }

    /// Returns a percentile of the waits for adapters, in milliseconds.
    pub fn stall_ms(&self, percentile: f64) -> f64 {
        self.load_wait.value_at_quantile(percentile / 100.0) as f64 / 1000.0
    }

    /// Returns the fraction of complete answers that waited for an adapter.
    pub fn stalled_share(&self) -> f64 {
        let below = self.load_wait.count_between(0, MIN_STALL.as_micros() as u64);
        1.0 - below as f64 / self.load_wait.len().max(1) as f64
    }

    /// Returns a percentile of the time to the first byte, in milliseconds.
    pub fn first_byte_ms(&self, percentile: f64) -> f64 {
        self.first_byte.value_at_quantile(percentile / 100.0) as f64 / 1000.0
    }

    /// Returns a percentile of the time to the first byte of urgent requests, in
    /// milliseconds.
    pub fn urgent_first_byte_ms(&self, percentile: f64) -> f64 {
        self.urgent_first_byte.value_at_quantile(percentile / 100.0) as f64 / 1000.0
    }

    /// Returns a line of text with the main figures.
    pub fn summary(&self) -> String {
        format!(
            "{} requests, {} ok, first byte p50 {:.2} p99 {:.2} ms, gap p50 {} p99 {} us, \
             stall {:.1} s in all, p99 {:.0} ms, {:.1}% stalled, others {:?}",
            self.requests(),
            self.ok(),
            self.first_byte_ms(50.0),
            self.first_byte_ms(99.0),
            self.gap.value_at_quantile(0.5),
            self.gap.value_at_quantile(0.99),
            self.stall_seconds(),
            self.stall_ms(99.0),
            100.0 * self.stalled_share(),
            self.outcomes.iter().filter(|(name, _)| *name != "ok").collect::<Vec<_>>(),
        )
    }

    /// Returns a line of text with the latency added over `direct`.
    pub fn latency_added_to(&self, direct: &Self) -> String {
        let first = |p: f64| self.first_byte_ms(p) - direct.first_byte_ms(p);
        let gap = |q: f64| {
            self.gap.value_at_quantile(q) as f64 / direct.gap.value_at_quantile(q) as f64
        };
        format!(
            "added to the first byte: p50 {:.0} us, p99 {:.0} us (ratios {:.2}, {:.2}); \
             gap between tokens: ratio p50 {:.3}, p99 {:.3}",
            first(50.0) * 1000.0,
            first(99.0) * 1000.0,
            self.first_byte_ms(50.0) / direct.first_byte_ms(50.0),
            self.first_byte_ms(99.0) / direct.first_byte_ms(99.0),
            gap(0.5),
            gap(0.99),
        )
    }

    /// Returns the statistics as JSON.
    pub fn json(&self) -> Value {
        json!({
            "requests": self.requests(),
            "ok": self.ok(),
            "outcomes": self.outcomes,
            "first_byte_ms": {
                "p50": self.first_byte_ms(50.0), "p99": self.first_byte_ms(99.0) },
            "urgent_first_byte_ms": {
                "p50": self.urgent_first_byte_ms(50.0),
                "p99": self.urgent_first_byte_ms(99.0) },
            "stall_s": self.stall_seconds(),
            "stall_ms": { "p50": self.stall_ms(50.0), "p99": self.stall_ms(99.0) },
            "stalled_share": self.stalled_share(),
            "tokens": self.tokens,
            "seconds": self.elapsed.as_secs_f64(),
        })
    }
}

/// Adds a value to a histogram that resizes itself as needed.
fn record(histogram: &mut Histogram<u64>, value: u64) {
    // Fails only if the histogram can't grow to hold the value.
    let _ = histogram.record(value);
}
