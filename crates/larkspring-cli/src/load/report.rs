//! What came of a load, in figures.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{json, Value};

use super::client::Sample;

/// Figures of one load; times in microseconds.
#[derive(Debug)]
pub struct Report {
    /// Requests by what came of them.
    pub outcomes: BTreeMap<String, u64>,
    first_byte: Histogram<u64>,
    urgent_first_byte: Histogram<u64>,
    gap: Histogram<u64>,
    load_wait: Histogram<u64>,
    /// Reads of bodies.
    pub chunks: u64,
    /// Tokens of whole answers.
    pub tokens: u64,
    /// Time from the first request to the last answer.
    pub elapsed: Duration,
}

/// Waits under this are no stall.
const STALL: Duration = Duration::from_millis(10);
const DIGITS: u8 = 3;

impl Default for Report {
    fn default() -> Self {
        let new = || Histogram::new(DIGITS).expect("three digits are valid");
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
    /// Adds a request.
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

    /// Number of requests.
    pub fn requests(&self) -> u64 {
        self.outcomes.values().sum()
    }

    /// Number of whole answers.
    pub fn ok(&self) -> u64 {
        self.outcomes.get("ok").copied().unwrap_or(0)
    }

    /// Sum of the waits for adapters, in seconds.
    pub fn stall_seconds(&self) -> f64 {
        self.load_wait.mean() * self.load_wait.len() as f64 / 1e6
    }

    /// Percentile of the waits for adapters, in milliseconds.
    pub fn stall_ms(&self, percentile: f64) -> f64 {
        self.load_wait.value_at_quantile(percentile / 100.0) as f64 / 1000.0
    }

    /// Share of the whole answers that waited for an adapter.
    pub fn stalled_share(&self) -> f64 {
        let below = self.load_wait.count_between(0, STALL.as_micros() as u64);
        1.0 - below as f64 / self.load_wait.len().max(1) as f64
    }

    /// Percentile of the time to the first byte, in milliseconds.
    pub fn first_ms(&self, percentile: f64) -> f64 {
        self.first_byte.value_at_quantile(percentile / 100.0) as f64 / 1000.0
    }

    /// Percentile of the time to the first byte of urgent requests, in milliseconds.
    pub fn urgent_first_ms(&self, percentile: f64) -> f64 {
        self.urgent_first_byte.value_at_quantile(percentile / 100.0) as f64 / 1000.0
    }

    /// One line for a person.
    pub fn summary(&self) -> String {
        format!(
            "{} requests, {} ok, first byte p50 {:.2} p99 {:.2} ms, gap p50 {} p99 {} us, \
             stall {:.1} s in all, p99 {:.0} ms, {:.1}% stalled, others {:?}",
            self.requests(),
            self.ok(),
            self.first_ms(50.0),
            self.first_ms(99.0),
            self.gap.value_at_quantile(0.5),
            self.gap.value_at_quantile(0.99),
            self.stall_seconds(),
            self.stall_ms(99.0),
            100.0 * self.stalled_share(),
            self.outcomes.iter().filter(|(name, _)| *name != "ok").collect::<Vec<_>>(),
        )
    }

    /// What this load took longer than `direct`.
    pub fn added_to(&self, direct: &Self) -> String {
        let first = |p: f64| self.first_ms(p) - direct.first_ms(p);
        let gap = |q: f64| {
            self.gap.value_at_quantile(q) as f64 / direct.gap.value_at_quantile(q) as f64
        };
        format!(
            "added to the first byte: p50 {:.0} us, p99 {:.0} us (ratios {:.2}, {:.2}); \
             gap between tokens: ratio p50 {:.3}, p99 {:.3}",
            first(50.0) * 1000.0,
            first(99.0) * 1000.0,
            self.first_ms(50.0) / direct.first_ms(50.0),
            self.first_ms(99.0) / direct.first_ms(99.0),
            gap(0.5),
            gap(0.99),
        )
    }

    /// The figures as JSON.
    pub fn json(&self) -> Value {
        json!({
            "requests": self.requests(),
            "ok": self.ok(),
            "outcomes": self.outcomes,
            "first_byte_ms": { "p50": self.first_ms(50.0), "p99": self.first_ms(99.0) },
            "urgent_first_byte_ms": {
                "p50": self.urgent_first_ms(50.0), "p99": self.urgent_first_ms(99.0) },
            "stall_s": self.stall_seconds(),
            "stall_ms": { "p50": self.stall_ms(50.0), "p99": self.stall_ms(99.0) },
            "stalled_share": self.stalled_share(),
            "tokens": self.tokens,
            "seconds": self.elapsed.as_secs_f64(),
        })
    }
}

/// Adds a value to a histogram that grows as needed.
fn record(histogram: &mut Histogram<u64>, value: u64) {
    // Only a value beyond the memory of the machine fails.
    let _ = histogram.record(value);
}
