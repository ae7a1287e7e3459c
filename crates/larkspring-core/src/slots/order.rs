//! In which order adapters are loaded.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Slots, Waiting};
use crate::fleet::worth;
use crate::ids::{AttemptId, Target};

/// What waits for one adapter.
struct Wanted {
    /// Sum of what its answers would be worth.
    worth: f64,
    /// When the first of its requests begins late.
    due: Instant,
    /// The earliest of its requests.
    first: AttemptId,
}

/// The shortest time in which an adapter is ready, if it comes from the memory of the
/// engine's VM or a fetch is nearly done; what is due sooner is late in any case. A fetch
/// takes 250 ms and more, but a request may be late by a little and still be worth most.
const LEAST_LOAD: Duration = Duration::from_millis(100);

impl Slots {
    /// Returns one waiting request for each adapter, the one first whose load makes the
    /// most answers worth the most.
    ///
    /// An answer that is late whatever is done has time until its caller gives up, so it
    /// lets those pass that can still be in time. Where all loads take the place of another
    /// (a full engine, a busy weight store), this is what makes some answers in time rather
    /// than all of them late.
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
