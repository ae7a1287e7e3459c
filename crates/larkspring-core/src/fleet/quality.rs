//! Failures and response times of an endpoint.

use std::time::{Duration, Instant};

/// Recent failures and response times of one endpoint, as seen by one entry.
#[derive(Debug, Clone, Copy)]
pub struct EndpointQuality {
    failures: f64,
    answers: f64,
    at: Instant,
    mean_response_time: Duration,
    avoid_until: Option<Instant>,
    /// Consecutive failed connection attempts.
    failed_connections: u32,
}

/// Half-life of the counts, so that an endpoint that recovered gets requests again within
/// a few seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Number of successful answers assumed for an endpoint without history, so that one
/// failure among few answers does not exclude the endpoint.
const PRIOR_SUCCESSES: f64 = 4.0;
/// Cost of a failure, as time: most of the time that a caller of a plain service would
/// wait.
const FAILURE_COST: Duration = Duration::from_millis(600);
/// Cost of a failure of a request that is retried at another endpoint, as time: the lost
/// attempt and a response time under load. With [`FAILURE_COST`], all entries leave an
/// endpoint that loses some answers, and the other endpoints shed load.
const RETRIED_FAILURE_COST: Duration = Duration::from_millis(150);
/// Weight of a new sample in the moving average of the response time.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time for which an endpoint is avoided after the first failed connection attempt.
const INITIAL_AVOIDANCE: Duration = Duration::from_millis(300);
/// Longest time for which an endpoint is avoided.
const MAX_AVOIDANCE: Duration = Duration::from_secs(2);

impl EndpointQuality {
    /// Creates the record of an endpoint without history.
    pub fn new(now: Instant) -> Self {
        Self {
            failures: 0.0,
            answers: 0.0,
            at: now,
            mean_response_time: Duration::ZERO,
            avoid_until: None,
            failed_connections: 0,
        }
    }

    /// Records a complete answer with `time` to the first byte.
    pub fn record_success(&mut self, now: Instant, time: Duration) {
        self.record_first_byte(time);
        self.record_complete(now);
    }

    /// Records that an answer ended in order.
    pub fn record_complete(&mut self, now: Instant) {
        self.decay(now);
        self.answers += 1.0;
    }

    /// Records the head of a successful answer, with `time` to the first byte.
    pub fn record_first_byte(&mut self, time: Duration) {
        self.failed_connections = 0;
        self.avoid_until = None;
        self.mean_response_time = match self.mean_response_time.is_zero() {
            true => time,
            false => {
                self.mean_response_time.mul_f64(1.0 - SAMPLE_WEIGHT)
                    + time.mul_f64(SAMPLE_WEIGHT)
            }
        };
    }

    /// Records a failure that the endpoint caused.
    pub fn record_failure(&mut self, now: Instant) {
        self.decay(now);
        self.answers += 1.0;
        self.failures += 1.0;
    }

    /// Forgets failures that were not the endpoint's.
    pub fn forget_failures(&mut self) {
        (self.failures, self.answers) = (0.0, 0.0);
    }

    /// Records a failed connection attempt.
    pub fn record_unreachable(&mut self, now: Instant) {
        let wait = INITIAL_AVOIDANCE.saturating_mul(1 << self.failed_connections.min(8));
        self.failed_connections += 1;
        self.avoid_until = Some(now + wait.min(MAX_AVOIDANCE));
    }

    /// Whether the endpoint is avoided while other endpoints are available.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| until > now)
    }

    /// Fraction of the recent answers that were failures.
    pub fn failure_share(&self, now: Instant) -> f64 {
        let decay_factor = self.decay_factor(now);
        self.failures * decay_factor / (self.answers * decay_factor + PRIOR_SUCCESSES)
    }

    /// Expected cost of a failure, as time.
    pub fn cost(&self, now: Instant) -> Duration {
        FAILURE_COST.mul_f64(self.failure_share(now))
    }

    /// Expected cost of a failure of a request that may be retried, as time.
    pub fn retried_cost(&self, now: Instant) -> Duration {
        RETRIED_FAILURE_COST.mul_f64(self.failure_share(now))
    }

    /// Moving average of the time to the first byte; zero without samples.
    pub fn mean_response_time(&self) -> Duration {
        self.mean_response_time
    }

    fn decay(&mut self, now: Instant) {
        let decay_factor = self.decay_factor(now);
        self.failures *= decay_factor;
        self.answers *= decay_factor;
        self.at = now;
    }

    fn decay_factor(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
