//! The expected response time of an endpoint of a plain service.

use std::time::{Duration, Instant};

/// The response times of one endpoint, as seen by one entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResponseTime {
    /// Moving average; zero without answers.
    mean: Duration,
    /// The estimate at `updated_at`.
    estimate: Duration,
    updated_at: Option<Instant>,
}

/// Time in which the excess of the estimate over the moving average halves: about that in
/// which an endpoint's full queue drains, so that entries come back once it is gone.
const HALF_LIFE: Duration = Duration::from_millis(150);
/// Part of the way that the estimate rises to a slower answer. With the whole way, one
/// slow answer moves all requests of the entry, and the entries that saw the same queue
/// move in step.
const RISE: f64 = 0.5;
/// Weight of a slower answer in the moving average. The average stays near the time
/// without a queue, so that an endpoint gets requests again soon after it was slow.
const SLOWER_WEIGHT: f64 = 0.01;
/// Weight of a faster answer, which shows that the endpoint had no queue.
const FASTER_WEIGHT: f64 = 0.15;
/// Time without answers after which the estimate is forgotten. Otherwise an endpoint whose
/// only answers were slow would never get another request.
const LIFETIME: Duration = Duration::from_secs(10);

impl ResponseTime {
    /// Records an answer that took `took`.
    pub fn record(&mut self, now: Instant, took: Duration) {
        let before = self.expected(now, None);
        self.updated_at = Some(now);
        if before.is_zero() {
            (self.mean, self.estimate) = (took, took);
            return;
        }
        let weight = if took > self.mean { SLOWER_WEIGHT } else { FASTER_WEIGHT };
        self.mean = self.mean.mul_f64(1.0 - weight) + took.mul_f64(weight);
        let rise = took.saturating_sub(before).mul_f64(RISE);
        self.estimate = self.mean.max(before + rise);
    }

    /// Records a request that ended without an answer after `waited`: an answer would
    /// have taken at least as long.
    pub fn record_unanswered(&mut self, now: Instant, waited: Duration) {
        if waited > self.expected(now, None) {
            self.record(now, waited);
        }
    }

    /// Returns the expected response time of the next request; zero without recent answers.
    /// `oldest_open` is the age of the oldest request that waits for its answer.
    pub fn expected(&self, now: Instant, oldest_open: Option<Duration>) -> Duration {
        self.estimate_at(now).max(oldest_open.unwrap_or_default())
    }

    fn estimate_at(&self, now: Instant) -> Duration {
        let age = self.updated_at.map(|at| now.saturating_duration_since(at));
        let Some(age) = age.filter(|age| *age < LIFETIME) else { return Duration::ZERO };
        let halvings = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        let excess = self.estimate.saturating_sub(self.mean);
        self.mean + excess.mul_f64(0.5_f64.powf(halvings))
    }
}
