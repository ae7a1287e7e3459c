//! Recording of how the answers of endpoints end.

use std::time::{Duration, Instant};

use larkspring_core::fleet::stream_outcomes::{StreamChange, StreamOutcome};

use super::attempt::OpenAnswer;
use super::framing::BodyEnd;
use super::peer::Peer;
use super::EntryState;
use crate::direct::logs::{self, LineKind};

/// Time before the deadline from which a break is taken for the deadline's: the endpoint
/// got the deadline too, and its clock differs by the time that the request took.
const DEADLINE_SLACK: Duration = Duration::from_millis(100);

impl OpenAnswer {
    /// Records in the endpoint's quality how its answer ended; `time_left` is the time to
    /// the deadline.
    pub(super) fn record_end(
        &mut self,
        entry: &EntryState,
        end: BodyEnd,
        time_left: Duration,
    ) {
        let (now, peer) = (Instant::now(), &self.selection.open_request.peer);
        let outcome = outcome(end, time_left);
        if !self.selection.open_request.is_stream {
            return match outcome {
                StreamOutcome::Complete => peer.quality(|q| q.record_complete(now)),
                StreamOutcome::Broken => peer.quality(|q| q.record_failure(now)),
                StreamOutcome::Unknown => {}
            };
        }
        let sent = self.selection.selected_at;
        if let Some(hold) = &mut self.selection.hold {
            hold.record_stream_end(outcome, sent);
        }
        let (change, share) =
            peer.streams(|s| (s.record(now, sent, outcome), s.break_probability(now)));
        if let Some(change) = change {
            record_change(entry, peer, change, share);
        }
    }
}

/// Returns what the end of a body says about its endpoint. An end of the connection
/// between two events is the only one that a whole stream without framing has.
fn outcome(end: BodyEnd, time_left: Duration) -> StreamOutcome {
    match end {
        BodyEnd::Complete | BodyEnd::Closed | BodyEnd::Unconfirmed => {
            StreamOutcome::Complete
        }
        // A caller may have named a wrong position.
        BodyEnd::OutOfOrder | BodyEnd::TimedOut => StreamOutcome::Unknown,
        BodyEnd::ProcessEnded | BodyEnd::InsideEvent | BodyEnd::Broken => {
            match time_left > DEADLINE_SLACK {
                true => StreamOutcome::Broken,
                false => StreamOutcome::Unknown,
            }
        }
    }
}

fn record_change(entry: &EntryState, peer: &Peer, change: StreamChange, share: f64) {
    let (label, event) = match change {
        StreamChange::BreaksOff => ("breaks off", "endpoint breaks streams off"),
        StreamChange::Recovered => ("recovered", "endpoint ends its streams again"),
    };
    entry.stats.count_stream_change(label);
    if logs::is_allowed(LineKind::StateChange) {
        let endpoint = peer.endpoint();
        tracing::info!(event, endpoint = %endpoint.id, addr = %endpoint.addr, share);
    }
}
