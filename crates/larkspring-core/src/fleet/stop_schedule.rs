//! The times of a planned stop: until when an entry accepts and sends requests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The times of the stop of one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    began: Instant,
    accepts_until: Instant,
    answers_until: Instant,
    exits_at: Instant,
}

/// How long answers take from the send of their request to their last byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerDurations {
    /// Half of the recent answers took no longer.
    pub median: Duration,
    /// The slowest recent answer.
    pub slowest: Duration,
}

/// The durations of the recent answers of a route.
#[derive(Debug, Clone, Default)]
pub struct RecentAnswers(VecDeque<Duration>);

/// How long new requests are accepted after the stop signal. The load balancer checks
/// readiness each second and removes the entry after two failures, and connections that
/// callers are opening still have to be served.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2500);
/// Maximum fraction of the grace period in which new requests are accepted. The rest is
/// needed for their answers.
const MAX_ACCEPT_FRACTION: f64 = 0.5;
/// Time before the end of the grace period at which requests without an answer are told
/// that they may have run.
const ANSWER_BEFORE_END: Duration = Duration::from_millis(550);
/// Time before the end of the grace period at which the process exits by itself.
const EXIT_BEFORE_END: Duration = Duration::from_millis(300);
/// Number of recent answers that are remembered for a route.
const MAX_RECENT: usize = 64;

impl StopSchedule {
    /// Creates the schedule of a stop that began at `began` and ends by a kill after
    /// `grace`.
    pub fn new(began: Instant, grace: Duration) -> Self {
        Self {
            began,
            accepts_until: began
                + ACCEPT_AFTER_STOP.min(grace.mul_f64(MAX_ACCEPT_FRACTION)),
            answers_until: began + grace.saturating_sub(ANSWER_BEFORE_END),
            exits_at: began + grace.saturating_sub(EXIT_BEFORE_END),
        }
    }

    /// Returns until when new connections and requests are accepted.
    pub fn accepts_until(&self) -> Instant {
        self.accepts_until.min(self.answers_until)
    }

    /// Returns when the requests that have no answer yet are answered without one.
    pub fn answers_until(&self) -> Instant {
        self.answers_until
    }

    /// Returns when the process exits, whatever still runs.
    pub fn exits_at(&self) -> Instant {
        self.exits_at
    }

    /// Returns until when a request may be sent to an endpoint, so that its answer can be
    /// expected to end before the exit.
    ///
    /// `durations` are those of the recent answers of its route; without any, only the
    /// request's `deadline` bounds the answer. The caller of a repeatable request can
    /// repair a cut, so its answer need only be likely to end in time while the entry
    /// accepts new requests.
    pub fn latest_send(
        &self,
        deadline: Instant,
        durations: Option<AnswerDurations>,
        is_repeatable: bool,
    ) -> Instant {
        if deadline <= self.answers_until {
            return deadline;
        }
        let Some(AnswerDurations { median, slowest }) = durations else {
            return self.began;
        };
        let start = |took| self.answers_until.checked_sub(took).unwrap_or(self.began);
        let certain = start(slowest).max(self.began);
        match is_repeatable {
            true => certain.max(start(median).min(self.accepts_until())),
            false => certain,
        }
    }
}

impl RecentAnswers {
    /// Records an answer that took `took` in whole.
    pub fn record(&mut self, took: Duration) {
        if self.0.len() >= MAX_RECENT {
            self.0.pop_front();
        }
        self.0.push_back(took);
    }

    /// Returns how long recent answers took; `None` without any.
    pub fn durations(&self) -> Option<AnswerDurations> {
        let mut sorted: Vec<Duration> = self.0.iter().copied().collect();
        sorted.sort_unstable();
        let slowest = *sorted.last()?;
        Some(AnswerDurations { median: sorted[(sorted.len() - 1) / 2], slowest })
    }
}
