//! The order in which adapters are loaded.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{EngineScheduler, QueuedRequest};
use crate::fleet::utility;
use crate::ids::{AttemptId, Target};

/// The requests that wait for one adapter, combined.
struct LoadCandidate {
    /// Total utility of the answers.
    utility: f64,
    /// The earliest soft deadline.
    soft_deadline: Instant,
    /// The earliest request.
    first: AttemptId,
}

/// Shortest time until an adapter is ready, from the memory of the engine's VM or with a
/// nearly finished fetch. Requests with an earlier soft deadline are late in any case. A
/// fetch takes 250 ms or more, but a slightly late answer may still have the highest
/// utility.
const MIN_LOAD_TIME: Duration = Duration::from_millis(100);

impl EngineScheduler {
    /// Returns one waiting request for each adapter, starting with the adapter whose load
    /// gives the highest total utility.
    ///
    /// An answer that can no longer be in time is not urgent before its caller's
    /// deadline, so answers that can still be in time go first. Where each load displaces
    /// another (all slots in use, weight store busy), this keeps some answers in time
    /// instead of making all of them late.
    pub(super) fn by_utility(&self, now: Instant) -> Vec<AttemptId> {
        let mut candidates: HashMap<&Target, LoadCandidate> = HashMap::new();
        for (id, req) in &self.waiting {
            let new = || LoadCandidate {
                utility: 0.0,
                soft_deadline: req.soft_deadline,
                first: *id,
            };
            let adapter = candidates.entry(&req.target).or_insert_with(new);
            adapter.utility += utility_at(req, now);
            adapter.soft_deadline = adapter.soft_deadline.min(req.soft_deadline);
            adapter.first = adapter.first.min(*id);
        }
        let mut order: Vec<_> = candidates.into_values().collect();
        order.sort_by(LoadCandidate::compare);
        order.into_iter().map(|candidate| candidate.first).collect()
    }
}

impl LoadCandidate {
    fn compare(&self, other: &Self) -> Ordering {
        let by_utility = other.utility.total_cmp(&self.utility);
        by_utility
            .then(self.soft_deadline.cmp(&other.soft_deadline))
            .then(self.first.cmp(&other.first))
    }
}

fn utility_at(req: &QueuedRequest, now: Instant) -> f64 {
    let in_time = now + MIN_LOAD_TIME <= req.soft_deadline;
    req.utility * if in_time { 1.0 } else { utility::LATE_FACTOR }
}
