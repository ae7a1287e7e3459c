//! The ends of the engine's streams, as all entries report them.

use std::time::{Duration, Instant};

use larkspring_core::fleet::stream_outcomes::{
    StreamChange, StreamOutcome, StreamOutcomes, StreamReport,
};
use larkspring_proto::residency::{self as wire, StreamEnd};

use crate::direct::logs::{self, LineKind};

/// The ends of streams of the engine's current run.
pub(super) struct StreamEnds {
    outcomes: StreamOutcomes,
    run_since: Instant,
}

impl StreamEnds {
    /// Creates the record of a run that begins now.
    pub fn new(now: Instant) -> Self {
        Self { outcomes: StreamOutcomes::new(now), run_since: now }
    }

    /// Records the end of a stream that an entry reports with the release of its hold.
    pub fn record(&mut self, now: Instant, release: &wire::Release) {
        let outcome = match release.stream_end() {
            StreamEnd::Unknown => return,
            StreamEnd::Complete => StreamOutcome::Complete,
            StreamEnd::Broken => StreamOutcome::Broken,
        };
        let sent = now.checked_sub(Duration::from_millis(release.sent_ms_ago));
        // A stream of an earlier run says nothing about this one.
        let Some(sent) = sent.filter(|sent| *sent >= self.run_since) else { return };
        let Some(change) = self.outcomes.record(now, sent, outcome) else { return };
        if logs::is_allowed(LineKind::StateChange) {
            let event = match change {
                StreamChange::BreaksOff => "engine breaks streams off",
                StreamChange::Recovered => "engine ends its streams again",
            };
            tracing::info!(event, share = self.outcomes.break_probability(now));
        }
    }

    /// Returns what the recorded ends say.
    pub fn report(&self, now: Instant) -> StreamReport {
        self.outcomes.to_report(now)
    }
}
