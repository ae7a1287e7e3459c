//! How the streams of an endpoint end, and which endpoints get fewer streams for it.

use std::time::{Duration, Instant};

use super::choose::EndpointView;

/// The ends of the recent streams of one run of an endpoint.
///
/// The outcome of a stream is known at its end alone: an endpoint that breaks its streams
/// off sends a good head before.
#[derive(Debug, Clone, Copy)]
pub struct StreamOutcomes {
    /// Weights of the streams that were broken off, and of all that ended.
    broken: f64,
    ended: f64,
    decayed_at: Instant,
    last_break: Option<Instant>,
    /// Whether the endpoint is left if others are better, until it has recovered.
    breaks_off: bool,
    /// What the endpoint's agent last reported, by the ends that all entries told it.
    report: Option<StreamReport>,
    /// Streams that are open at the endpoint.
    open: u32,
    trials: Trials,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamOutcome {
    /// The endpoint ended it in order.
    Complete,
    /// The endpoint or its connection broke it off.
    Broken,
    /// The end says nothing about the endpoint: the caller left, the deadline passed, or
    /// the stream did not begin.
    Unknown,
}

/// A change of what is known of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamChange {
    /// The endpoint breaks off so many streams that it is left if others are better.
    BreaksOff,
    /// It does not any more.
    Recovered,
}

/// What is known of an endpoint's streams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamReport {
    /// Probability that the endpoint breaks a stream off.
    pub probability: f64,
    /// Whether the endpoint breaks streams off and has not recovered.
    pub breaks_off: bool,
}

/// The expected loss of a stream at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct StreamLoss {
    /// Probability that the endpoint breaks the stream off.
    pub probability: f64,
    /// Whether the endpoint breaks streams off and has not recovered.
    pub breaks_off: bool,
    /// Whether the stream may be sent to find out whether the endpoint has recovered.
    pub is_trial: bool,
}

/// Streams that are sent to find out whether an endpoint has recovered.
#[derive(Debug, Clone, Copy)]
struct Trials {
    /// Number of streams that may be open at the endpoint.
    max_open: u32,
    /// Time before which no trial begins.
    not_before: Option<Instant>,
    /// Number of streams that were sent to other endpoints since the last break.
    passed_over: u32,
}

/// Factor by which each end reduces the weight of the earlier ones.
const WEIGHT_PER_END: f64 = 0.8;
/// Half-life of the weights without ends, until the endpoint is known to break off.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Weight of complete streams assumed without history, so that one break among few ends
/// does not exclude the endpoint.
const PRIOR_COMPLETE: f64 = 3.0;
/// Breaks of streams that were open at the same time probably have one cause, unless they
/// are this far apart.
const SAME_CAUSE: Duration = Duration::from_millis(100);
/// Probability of a break from which an endpoint is left if others are better, and the one
/// below which it has recovered. An endpoint that breaks off every other stream is not
/// taken back after a few whole ones.
const MIN_PROBABILITY: f64 = 0.3;
const RECOVERED_PROBABILITY: f64 = 0.1;
/// Factor over the median of the other endpoints from which an endpoint counts as worse
/// than they are. A cause that all endpoints share is no reason to leave any.
const MIN_FACTOR: f64 = 2.0;
/// Cost of a stream that is broken off, as time: callers wait for at least two seconds
/// before they give a stream up, and that wait may still end with an answer.
const LOSS_COST: Duration = Duration::from_secs(2);
/// Shortest time from a break to the next trial.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of streams sent to other endpoints before a trial with a stream that is lost if
/// it is broken off.
const MIN_PASSED_OVER: u32 = 32;
/// Limits the number of streams that are open as trials.
const MAX_TRIALS: u32 = 64;

impl StreamOutcomes {
    /// Creates the record of a run without streams.
    pub fn new(now: Instant) -> Self {
        Self {
            broken: 0.0,
            ended: 0.0,
            decayed_at: now,
            last_break: None,
            breaks_off: false,
            report: None,
            open: 0,
            trials: Trials::default(),
        }
    }

    /// Counts a stream as open until [`StreamOutcomes::close`].
    pub fn open(&mut self) {
        self.open += 1;
    }

    /// Ends the count of an open stream.
    pub fn close(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Records the end of a stream that was sent at `sent`, and returns the change that
    /// follows.
    pub fn record(
        &mut self,
        now: Instant,
        sent: Instant,
        outcome: StreamOutcome,
    ) -> Option<StreamChange> {
        match outcome {
            StreamOutcome::Unknown => {}
            StreamOutcome::Complete => {
                self.add(now, 0.0);
                self.trials.max_open = (self.trials.max_open + 1).min(MAX_TRIALS);
            }
            StreamOutcome::Broken => {
                let has_same_cause = self
                    .last_break
                    .is_some_and(|last| sent < last && now < last + SAME_CAUSE);
                if !has_same_cause {
                    self.add(now, 1.0);
                    self.last_break = Some(now);
                }
                self.trials = Trials::after_break(now);
            }
        }
        self.update_breaks_off(now)
    }

    fn update_breaks_off(&mut self, now: Instant) -> Option<StreamChange> {
        let probability = self.break_probability(now);
        let breaks_off = probability >= MIN_PROBABILITY
            || (self.breaks_off && probability >= RECOVERED_PROBABILITY);
        let changed = std::mem::replace(&mut self.breaks_off, breaks_off) != breaks_off;
        changed.then_some(match breaks_off {
            true => StreamChange::BreaksOff,
            false => StreamChange::Recovered,
        })
    }

    /// Records that a stream was sent to another endpoint because of the breaks at this
    /// one.
    pub fn record_passed_over(&mut self) {
        self.trials.passed_over = self.trials.passed_over.saturating_add(1);
    }

    /// Forgets all ends, after the endpoint's process has ended.
    pub fn forget(&mut self, now: Instant) {
        *self = Self { open: self.open, report: self.report, ..Self::new(now) };
    }

    /// Applies what the endpoint's agent knows; `None` if there is no agent that knows it.
    pub fn apply_report(&mut self, now: Instant, report: Option<StreamReport>) {
        let before = std::mem::replace(&mut self.report, report);
        let Some(report) = report else { return };
        match (before.is_some_and(|before| before.breaks_off), report.breaks_off) {
            (false, true) => self.trials = Trials::after_break(now),
            // Trials of all entries have shown that it has recovered.
            (true, false) => self.forget(now),
            _ => {}
        }
    }

    /// Returns what the recorded ends say.
    pub fn to_report(&self, now: Instant) -> StreamReport {
        let probability = self.break_probability(now);
        StreamReport { probability, breaks_off: self.breaks_off }
    }

    /// Returns the expected loss of another stream. `is_resumable` tells whether the
    /// stream can go on at another endpoint if it is broken off.
    pub fn loss(&self, now: Instant, is_resumable: bool) -> StreamLoss {
        let own = self.to_report(now);
        let reported = self.report.unwrap_or(own);
        StreamLoss {
            probability: own.probability.max(reported.probability),
            breaks_off: own.breaks_off || reported.breaks_off,
            is_trial: self.allows_trial(now, is_resumable),
        }
    }

    /// Returns the probability that another stream is broken off, by the recorded ends.
    pub fn break_probability(&self, now: Instant) -> f64 {
        let factor = self.decay_factor(now);
        self.broken * factor / (self.ended * factor + PRIOR_COMPLETE)
    }

    fn allows_trial(&self, now: Instant, is_resumable: bool) -> bool {
        let trials = &self.trials;
        if self.open >= trials.max_open {
            return false;
        }
        let is_first = trials.max_open == 1;
        let is_early = trials.not_before.is_some_and(|at| now < at);
        let is_affordable = is_resumable || trials.passed_over >= MIN_PASSED_OVER;
        !is_first || (!is_early && is_affordable)
    }

    fn add(&mut self, now: Instant, broken: f64) {
        let factor = self.decay_factor(now) * WEIGHT_PER_END;
        self.broken = self.broken * factor + broken;
        self.ended = self.ended * factor + 1.0;
        self.decayed_at = now;
    }

    fn decay_factor(&self, now: Instant) -> f64 {
        // Only other streams show that the endpoint has recovered.
        if self.breaks_off {
            return 1.0;
        }
        let age = now.saturating_duration_since(self.decayed_at);
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

impl Trials {
    fn after_break(now: Instant) -> Self {
        Self { not_before: Some(now + TRIAL_INTERVAL), ..Self::default() }
    }
}

impl Default for Trials {
    fn default() -> Self {
        Self { max_open: 1, not_before: None, passed_over: 0 }
    }
}

/// Adds the expected loss of a stream to the cost of each endpoint that breaks off clearly
/// more streams than the others. Returns these endpoints.
pub fn price_stream_losses(views: &mut [EndpointView]) -> Vec<usize> {
    let is_suspect = |at: &usize| {
        let loss = &views[*at].stream_loss;
        loss.breaks_off && loss.probability >= MIN_FACTOR * median_of_others(views, *at)
    };
    let suspects: Vec<_> = (0..views.len()).filter(is_suspect).collect();
    for at in &suspects {
        let view = &mut views[*at];
        if view.stream_loss.is_trial {
            // An endpoint without requests has no idle connections either.
            view.connection_cost = Duration::ZERO;
        } else {
            let probability = view.stream_loss.probability.max(MIN_PROBABILITY);
            view.failure_cost += LOSS_COST.mul_f64(probability);
        }
    }
    suspects
}

/// Returns the median probability of a break at the other endpoints, the lower of two.
fn median_of_others(views: &[EndpointView], at: usize) -> f64 {
    let others = views.iter().enumerate().filter(|(other, _)| *other != at);
    let mut shares: Vec<_> = others.map(|(_, v)| v.stream_loss.probability).collect();
    shares.sort_unstable_by(f64::total_cmp);
    match shares.len() {
        0 => 0.0,
        len => shares[(len - 1) / 2],
    }
}
