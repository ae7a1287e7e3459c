//! How many adapters one engine fetches from the weight store at a time.
//!
//! The store is shared by all engines. Beyond some number of fetches, which nobody is told,
//! all take longer in proportion, and what was ordered last delays what is needed first.
//! Each agent therefore learns from its own fetches how full the store is, and keeps the
//! rest waiting here, where it is put in order of what it is worth.

use std::time::{Duration, Instant};

/// Bound on the fetches of one engine, learned from how long they take.
#[derive(Debug)]
pub(super) struct FetchWindow {
    /// Fetches at a time; under one it is the part of the time in which one is under way.
    size: f64,
    most: f64,
    /// Shortest fetch of late.
    best: Option<Duration>,
    /// When the next fetch may begin, while `size` is under one.
    next_at: Option<Instant>,
    ended_at: Option<Instant>,
}

/// Fetches at a time of an engine that nothing is known of. After a loss of power of all,
/// all begin at once, and the store is full as soon as each has one under way.
const FIRST_SIZE: f64 = 1.0;
/// What is ready sooner came from the memory of the engine's VM, of whose copies only the
/// latest are known here (measured: 27 to 35 ms; a fetch takes 250 ms and more). Taken for
/// a fetch, one such load would make all others look slow.
const LEAST_FETCH: Duration = Duration::from_millis(100);
/// Least window: with 48 engines on a store that takes 16 fetches at full speed, the share
/// of each is a third.
const LEAST_SIZE: f64 = 0.5;
/// How much longer than the shortest a fetch may take before the store counts as full. It
/// leaves a queue of a quarter of what the store works on, so that it never runs idle.
const FULL_RATIO: f64 = 1.25;
/// Most by which one long fetch lowers the window.
const MOST_CUT: f64 = 0.5;
/// By how much a short fetch raises the window.
const RAISE: f64 = 0.5;
/// By how much the shortest time is raised with each longer fetch, so that one which was
/// short by chance is forgotten after some hundred.
const BEST_DECAY: f64 = 1.002;
/// Time without a fetch after which what was learned of the store is out of date.
const OUTDATED: Duration = Duration::from_secs(1);
/// Least window after such a time.
const OUTDATED_SIZE: f64 = 2.0;

impl FetchWindow {
    /// Creates the window of an engine that may load `most` adapters at a time.
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

    /// Whether another fetch may begin beside `fetching` ones.
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
