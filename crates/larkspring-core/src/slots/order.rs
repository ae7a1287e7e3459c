//! The order in which adapters are loaded.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Slots, Waiting};
use crate::fleet::worth;
use crate::ids::{AttemptId, Target};

/// The requests that wait for one adapter, combined.
struct Wanted {
    /// Total utility of the answers.
    worth: f64,
    /// The earliest soft deadline.
    due: Instant,
    /// The earliest request.
    first: AttemptId,
}

/// Shortest time until an adapter is ready, from the memory of the engine's VM or with a
/// nearly finished fetch. Requests with an earlier soft deadline are late in any case. A
/// fetch takes 250 ms or more, but a slightly late answer may still have the highest
/// utility.
const LEAST_LOAD: Duration = Duration::from_millis(100);

impl Slots {
    /// Returns one waiting request for each adapter, starting with the adapter whose load
    /// gives the highest total utility.
    ///
    /// An answer that can no longer be in time is not urgent before its caller's
    /// deadline, so answers that can still be in time go first. Where each load displaces
    /// another (all slots in use, weight store busy), this keeps some answers in time
    /// instead of making all of them late.
    pub(super) fn by_worth(&self, now: Instant) -> Vec<AttemptId> {
        let mut wanted: HashMap<&Target, Wanted> = HashMap::new();
        for (id, req) in &self.waiting {
            let fresh = || Wanted { worth: 0.0, due: req.due, first: *id };
            let adapter = wanted.entry(&req.target).or_insert_with(fresh);
            adapter.worth += worth_now(req, now);
            adapter.due = adapter.due.min(req.due);
            adapter.first = adapter.first.min(*id);
        }
        let mut order: Vec<_> = wanted.into_values().collect();
        order.sort_by(Wanted::compare);
        order.into_iter().map(|wanted| wanted.first).collect()
    }
}

impl Wanted {
    fn compare(&self, other: &Self) -> Ordering {
        let worth = other.worth.total_cmp(&self.worth);
        worth.then(self.due.cmp(&other.due)).then(self.first.cmp(&other.first))
    }
}

fn worth_now(req: &Waiting, now: Instant) -> f64 {
    let in_time = now + LEAST_LOAD <= req.due;
    req.worth * if in_time { 1.0 } else { worth::LATE }
}
