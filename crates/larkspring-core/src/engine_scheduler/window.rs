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
    max_size: f64,
    /// Recent shortest fetch.
    shortest: Option<Duration>,
    /// When the next fetch may begin, while `size` is below one.
    next_start: Option<Instant>,
    last_end: Option<Instant>,
    /// When a long fetch last reduced the window.
    reduced_at: Option<Instant>,
}

/// Initial window. After a power failure of the whole fleet all engines begin at once,
/// and one fetch each is enough to saturate the store.
const INITIAL_SIZE: f64 = 1.0;
/// Shortest duration that counts as a fetch, which takes 250 ms or more. Faster loads (27
/// to 35 ms) came from a copy in the VM's memory, of which only the most recent are known
/// here; counted as a fetch, one such load would make all others look slow.
const MIN_FETCH_TIME: Duration = Duration::from_millis(100);
/// Smallest window. The share of an engine in a store that many engines use is less than
/// one fetch.
const MIN_SIZE: f64 = 0.5;
/// Ratio to the shortest fetch above which the store counts as overloaded. It allows a
/// queue of a quarter of the store's concurrency, so that the store is never idle.
const OVERLOAD_RATIO: f64 = 1.25;
/// Smallest factor by which one long fetch reduces the window.
const MIN_REDUCTION_FACTOR: f64 = 0.5;
/// Increase of the window after a short fetch.
const SIZE_INCREASE: f64 = 0.5;
/// Factor by which the shortest duration grows with each longer fetch, so that an
/// unusually short fetch loses its effect after some hundred fetches.
const SHORTEST_GROWTH_FACTOR: f64 = 1.002;
/// Time without a fetch after which the estimate of the store's load is outdated.
const ESTIMATE_LIFETIME: Duration = Duration::from_secs(1);
/// Smallest window after [`ESTIMATE_LIFETIME`].
const MIN_SIZE_AFTER_IDLE: f64 = 2.0;

impl FetchWindow {
    /// Creates the window of an engine with up to `max_size` concurrent loads.
    pub fn new(max_size: usize) -> Self {
        Self {
            size: INITIAL_SIZE,
            max_size: max_size as f64,
            shortest: None,
            next_start: None,
            last_end: None,
            reduced_at: None,
        }
    }

    /// Records a fetch that took `duration`.
    pub fn record_fetch(&mut self, now: Instant, duration: Duration) {
        if duration < MIN_FETCH_TIME {
            return;
        }
        let shortest = match self.shortest {
            Some(shortest) if shortest < duration => {
                shortest.mul_f64(SHORTEST_GROWTH_FACTOR)
            }
            _ => duration,
        };
        self.shortest = Some(shortest);
        self.last_end = Some(now);
        let ratio = duration.as_secs_f64() / shortest.as_secs_f64().max(f64::EPSILON);
        if ratio <= OVERLOAD_RATIO {
            self.size = (self.size + SIZE_INCREASE).min(self.max_size);
        } else if self.began_after_reduction(now, duration) {
            let factor = (OVERLOAD_RATIO / ratio).max(MIN_REDUCTION_FACTOR);
            self.size = (self.size * factor).max(MIN_SIZE);
            self.reduced_at = Some(now);
        }
        let pause = (1.0 / self.size - 1.0).max(0.0);
        self.next_start = (pause > 0.0).then(|| now + duration.mul_f64(pause));
    }

    /// Whether a fetch that took `duration` began after the last reduction. Fetches that
    /// were in progress at that time were slow for the same reason; if each of them reduced
    /// the window, a short overload would leave the store idle.
    fn began_after_reduction(&self, now: Instant, duration: Duration) -> bool {
        self.reduced_at.is_none_or(|at| now.saturating_duration_since(at) >= duration)
    }

    /// Whether another fetch may begin beside `fetching` current ones.
    pub fn is_open(&mut self, now: Instant, fetching: usize) -> bool {
        let idle = self.last_end.map(|at| now.saturating_duration_since(at));
        if fetching == 0 && idle.is_some_and(|idle| idle > ESTIMATE_LIFETIME) {
            self.size = self.size.max(MIN_SIZE_AFTER_IDLE.min(self.max_size));
            self.next_start = None;
        }
        if self.next_start.is_some_and(|at| at > now) {
            return false;
        }
        fetching < self.size.max(1.0) as usize
    }
}
