//! The response times of an endpoint of a plain service, as this entry sees them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::response_time::ResponseTime;
use parking_lot::Mutex;

/// Response times and open requests of one endpoint.
#[derive(Default)]
pub(super) struct AnswerTimes {
    time: Mutex<ResponseTime>,
    /// When the requests that wait for an answer were sent.
    waiting: Mutex<Vec<Instant>>,
}

/// A request that waits for its answer. If dropped without [`AnswerWait::end`], the
/// request ended without an answer.
pub(super) struct AnswerWait {
    times: Arc<AnswerTimes>,
    since: Instant,
    answered: bool,
}

impl AnswerTimes {
    /// Returns the expected response time of the next request; `None` without answers and
    /// open requests.
    pub fn expected(&self, now: Instant) -> Option<Duration> {
        let oldest = self.waiting.lock().iter().min().copied();
        let age = oldest.map(|since| now.saturating_duration_since(since));
        let expected = self.time.lock().expected(now, age);
        (!expected.is_zero()).then_some(expected)
    }
}

impl AnswerWait {
    /// Begins the wait for the answer to a request that is sent at `now`.
    pub fn begin(times: Arc<AnswerTimes>, now: Instant) -> Self {
        times.waiting.lock().push(now);
        Self { times, since: now, answered: false }
    }

    /// Ends the wait with an answer.
    pub fn end(mut self) {
        self.answered = true;
    }
}

impl Drop for AnswerWait {
    fn drop(&mut self) {
        let mut waiting = self.times.waiting.lock();
        if let Some(at) = waiting.iter().position(|since| *since == self.since) {
            waiting.swap_remove(at);
        }
        drop(waiting);
        let now = Instant::now();
        let took = now.saturating_duration_since(self.since);
        match self.answered {
            true => self.times.time.lock().record(now, took),
            false => self.times.time.lock().record_unanswered(now, took),
        }
    }
}
