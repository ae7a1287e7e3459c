//! Limits the concurrent fetches of one engine from the weight store.
//!
//! The store is shared by all engines. Above a number of concurrent fetches that is not
//! known here, all fetches slow down in proportion, and earlier fetches delay more
//! valuable ones. Each agent therefore estimates the load of the store from the duration
//! of its own fetches, and queues further fetches here, where they are ordered by
//! utility.

use std::time::{Duration, Instant};

/// Adaptive limit on the fetches of one engine, from their durations.
#[derive(Debug)]
pub(super) struct FetchWindow {
    /// Concurrent fetches; below one, the fraction of the time during which a fetch is in
    /// progress.
    size: f64,
    most: f64,
    /// Recent shortest fetch.
    best: Option<Duration>,
    /// When the next fetch may begin, while `size` is below one.
    next_at: Option<Instant>,
    ended_at: Option<Instant>,
}

/// Initial window. After a power failure of the whole fleet all engines begin at once,
/// and one fetch each is enough to saturate the store.
const FIRST_SIZE: f64 = 1.0;
/// Shortest duration that counts as a fetch, which takes 250 ms or more. Faster loads (27
/// to 35 ms) came from a copy in the VM's memory, of which only the most recent are known
/// here; counted as a fetch, one such load would make all others look slow.
const LEAST_FETCH: Duration = Duration::from_millis(100);
/// Smallest window. With 48 engines on a store that serves 16 fetches at full speed, the
/// share of each engine is a third.
const LEAST_SIZE: f64 = 0.5;
/// Ratio to the shortest fetch above which the store counts as overloaded. It allows a
/// queue of a quarter of the store's concurrency, so that the store is never idle.
const FULL_RATIO: f64 = 1.25;
/// Smallest factor by which one long fetch reduces the window.
const MOST_CUT: f64 = 0.5;
/// Increase of the window after a short fetch.
const RAISE: f64 = 0.5;
/// Factor by which the shortest duration grows with each longer fetch, so that an
/// unusually short fetch loses its effect after some hundred fetches.
const BEST_DECAY: f64 = 1.002;
/// Time without a fetch after which the estimate of the store's load is outdated.
const OUTDATED: Duration = Duration::from_secs(1);
/// Smallest window after [`OUTDATED`].
const OUTDATED_SIZE: f64 = 2.0;

impl FetchWindow {
    /// Creates the window of an engine with up to `most` concurrent loads.
    pub fn new(most: usize) -> Self {
        Self {
            size: FIRST_SIZE,
            most: most as f64,
            best: None,
            next_at: None,
            ended_at: None,
        }
    }

    /// Records a fetch that took `spent`.
    pub fn ended(&mut self, now: Instant, spent: Duration) {
        if spent < LEAST_FETCH {
            return;
        }
        let best = match self.best {
            Some(best) if best < spent => best.mul_f64(BEST_DECAY),
            _ => spent,
        };
        self.best = Some(best);
        self.ended_at = Some(now);
        let ratio = spent.as_secs_f64() / best.as_secs_f64().max(f64::EPSILON);
        self.size = match ratio > FULL_RATIO {
            true => (self.size * (FULL_RATIO / ratio).max(MOST_CUT)).max(LEAST_SIZE),
            false => (self.size + RAISE).min(self.most),
        };
        let pause = (1.0 / self.size - 1.0).max(0.0);
        self.next_at = (pause > 0.0).then(|| now + spent.mul_f64(pause));
    }

    /// Whether another fetch may begin beside `fetching` current ones.
    pub fn is_open(&mut self, now: Instant, fetching: usize) -> bool {
        let idle = self.ended_at.map(|at| now.saturating_duration_since(at));
        if fetching == 0 && idle.is_some_and(|idle| idle > OUTDATED) {
            self.size = self.size.max(OUTDATED_SIZE.min(self.most));
            self.next_at = None;
        }
        if self.next_at.is_some_and(|at| at > now) {
            return false;
        }
        fetching < self.size.max(1.0) as usize
    }
}
