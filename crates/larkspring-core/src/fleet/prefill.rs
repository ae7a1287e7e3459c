//! The prefill backlog of an engine.

use std::time::{Duration, Instant};

/// Prompt tokens that wait for prefill, estimated from the requests sent and the time
/// since.
#[derive(Debug, Clone, Copy)]
pub struct PrefillBacklog {
    tokens: f64,
    tokens_at: Instant,
}

/// Prefill speed of an engine in tokens a millisecond, as stated for both deployments.
pub const PREFILL_TOKENS_PER_MS: f64 = 38.7;

/// Prefill speed in tokens a millisecond while the engine also decodes: the stated speed
/// less one step of 5 ms for each 1,024 tokens.
const TOKENS_PER_MS_DECODING: f64 = 32.0;

/// Returns the prefill time of `tokens` at an engine that also decodes.
pub fn prefill_time(tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / TOKENS_PER_MS_DECODING / 1000.0)
}

impl PrefillBacklog {
    /// Creates an estimate that is valid at `now`.
    pub fn new(now: Instant, tokens: u32) -> Self {
        Self { tokens: f64::from(tokens), tokens_at: now }
    }

    /// Adds a prompt.
    pub fn add(&mut self, now: Instant, tokens: u32) {
        *self =
            Self { tokens: self.tokens_left(now) + f64::from(tokens), tokens_at: now };
    }

    /// Returns the backlog in tokens at `now`.
    pub fn tokens_at(&self, now: Instant) -> u32 {
        self.tokens_left(now) as u32
    }

    fn tokens_left(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.tokens_at);
        (self.tokens - millis(elapsed) * PREFILL_TOKENS_PER_MS).max(0.0)
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
