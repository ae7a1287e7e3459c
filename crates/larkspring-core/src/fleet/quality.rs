//! What the answers of an endpoint say about it.

use std::time::{Duration, Instant};

/// Recent failures and times of one endpoint, as one entry saw them.
#[derive(Debug, Clone, Copy)]
pub struct Quality {
    failed: f64,
    counted: f64,
    at: Instant,
    time: Duration,
    avoid_until: Option<Instant>,
    /// Times in a row that no connection came up.
    unreachable: u32,
}

/// Half of what was counted is forgotten in this time, so that an endpoint which
/// recovered gets requests again within a few seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Counts as this many good answers for an endpoint that nothing is known of, so that one
/// failure among few answers does not condemn it.
const PRIOR_ANSWERS: f64 = 4.0;
/// Cost of a failure, as time: most of what a caller of a plain service would wait.
const FAILURE_COST: Duration = Duration::from_millis(600);
/// Weight of a new sample in the moving average of the time.
const SAMPLE_WEIGHT: f64 = 0.1;
/// First time that an endpoint is passed over after a connection did not come up.
const AVOID_FIRST: Duration = Duration::from_millis(300);
/// The longest time that it is passed over.
const AVOID_MOST: Duration = Duration::from_secs(2);

impl Quality {
    /// Creates the record of an endpoint that nothing is known of.
    pub fn new(now: Instant) -> Self {
        Self {
            failed: 0.0,
            counted: 0.0,
            at: now,
            time: Duration::ZERO,
            avoid_until: None,
            unreachable: 0,
        }
    }

    /// Records a good answer whose first byte took `time`.
    pub fn good(&mut self, now: Instant, time: Duration) {
        self.decay(now);
        self.counted += 1.0;
        self.unreachable = 0;
        self.avoid_until = None;
        self.time = match self.time.is_zero() {
            true => time,
            false => self.time.mul_f64(1.0 - SAMPLE_WEIGHT) + time.mul_f64(SAMPLE_WEIGHT),
        };
    }

    /// Records a failure of the endpoint's own.
    pub fn bad(&mut self, now: Instant) {
        self.decay(now);
        self.counted += 1.0;
        self.failed += 1.0;
    }

    /// Records that no connection came up.
    pub fn no_connection(&mut self, now: Instant) {
        let wait = AVOID_FIRST.saturating_mul(1 << self.unreachable.min(8));
        self.unreachable += 1;
        self.avoid_until = Some(now + wait.min(AVOID_MOST));
    }

    /// Whether the endpoint is passed over while others are left.
    pub fn avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| until > now)
    }

    /// Share of the recent answers that were failures.
    pub fn failure_share(&self, now: Instant) -> f64 {
        let kept = self.kept(now);
        self.failed * kept / (self.counted * kept + PRIOR_ANSWERS)
    }

    /// Expected cost of sending there, as time.
    pub fn cost(&self, now: Instant) -> Duration {
        FAILURE_COST.mul_f64(self.failure_share(now))
    }

    /// Moving average of the time to the first byte; zero if there is none.
    pub fn time(&self) -> Duration {
        self.time
    }

    fn decay(&mut self, now: Instant) {
        let kept = self.kept(now);
        self.failed *= kept;
        self.counted *= kept;
        self.at = now;
    }

    fn kept(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
