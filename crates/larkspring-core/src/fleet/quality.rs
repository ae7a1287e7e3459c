//! Failures and response times of an endpoint.

use std::time::{Duration, Instant};

/// Recent failures and response times of one endpoint, as seen by one entry.
#[derive(Debug, Clone, Copy)]
pub struct Quality {
    failed: f64,
    counted: f64,
    at: Instant,
    time: Duration,
    avoid_until: Option<Instant>,
    /// Consecutive failed connection attempts.
    unreachable: u32,
}

/// Half-life of the counts, so that an endpoint that recovered gets requests again within
/// a few seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Number of successful answers assumed for an endpoint without history, so that one
/// failure among few answers does not exclude the endpoint.
const PRIOR_ANSWERS: f64 = 4.0;
/// Cost of a failure, as time: most of the time that a caller of a plain service would
/// wait.
const FAILURE_COST: Duration = Duration::from_millis(600);
/// Weight of a new sample in the moving average of the response time.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time for which an endpoint is avoided after the first failed connection attempt.
const AVOID_FIRST: Duration = Duration::from_millis(300);
/// Longest time for which an endpoint is avoided.
const AVOID_MOST: Duration = Duration::from_secs(2);

impl Quality {
    /// Creates the record of an endpoint without history.
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

    /// Records a successful answer with `time` to the first byte.
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

    /// Records a failure that the endpoint caused.
    pub fn bad(&mut self, now: Instant) {
        self.decay(now);
        self.counted += 1.0;
        self.failed += 1.0;
    }

    /// Records a failed connection attempt.
    pub fn no_connection(&mut self, now: Instant) {
        let wait = AVOID_FIRST.saturating_mul(1 << self.unreachable.min(8));
        self.unreachable += 1;
        self.avoid_until = Some(now + wait.min(AVOID_MOST));
    }

    /// Whether the endpoint is avoided while other endpoints are available.
    pub fn avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| until > now)
    }

    /// Fraction of the recent answers that were failures.
    pub fn failure_share(&self, now: Instant) -> f64 {
        let kept = self.kept(now);
        self.failed * kept / (self.counted * kept + PRIOR_ANSWERS)
    }

    /// Expected cost of a failure, as time.
    pub fn cost(&self, now: Instant) -> Duration {
        FAILURE_COST.mul_f64(self.failure_share(now))
    }

    /// Moving average of the time to the first byte; zero without samples.
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
