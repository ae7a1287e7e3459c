//! How much of the prompts at an engine is still to be read.

use std::time::{Duration, Instant};

/// Prompt tokens that wait to be read, estimated from what was sent and the time since.
#[derive(Debug, Clone, Copy)]
pub struct Unread {
    tokens: f64,
    at: Instant,
}

/// Tokens that an engine reads in a millisecond (stated for both deployments: 38.7).
pub const TOKENS_PER_MS: f64 = 38.7;

/// Tokens that an engine reads in a millisecond while it also makes tokens of answers: the
/// stated rate less one step of 5 ms for each 1,024 tokens.
const TOKENS_PER_MS_SHARED: f64 = 32.0;

/// Returns how long an engine that also answers others takes to read `tokens`.
pub fn reading_time(tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / TOKENS_PER_MS_SHARED / 1000.0)
}

impl Unread {
    /// Creates an estimate that holds at `now`.
    pub fn new(now: Instant, tokens: u32) -> Self {
        Self { tokens: f64::from(tokens), at: now }
    }

    /// Counts a prompt in.
    pub fn add(&mut self, now: Instant, tokens: u32) {
        *self = Self { tokens: self.left(now) + f64::from(tokens), at: now };
    }

    /// Returns the tokens that are left at `now`.
    pub fn at(&self, now: Instant) -> u32 {
        self.left(now) as u32
    }

    fn left(&self, now: Instant) -> f64 {
        let spent = now.saturating_duration_since(self.at);
        (self.tokens - millis(spent) * TOKENS_PER_MS).max(0.0)
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
