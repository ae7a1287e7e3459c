//! The weight store's load budget, granted load by load.
//!
//! A single process grants for all agents. Two of them at the same time, as after a pause
//! of the first, reduce speed but break no guarantee: the store itself refuses loads
//! above its rate.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The waiting and the granted loads.
#[derive(Debug)]
pub struct LoadBudget {
    limits: LoadBudgetLimits,
    /// Loads that the rate allows to begin now.
    available: f64,
    refilled_at: Option<Instant>,
    waiting: HashMap<LoadId, WaitingLoad>,
    active: HashMap<LoadId, Instant>,
}

/// Limits of the weight store, for all agents together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBudgetLimits {
    /// Loads a second.
    pub rate: f64,
    /// Concurrent loads.
    pub concurrency: usize,
}

/// Name of a load.
pub type LoadId = String;

#[derive(Debug)]
struct WaitingLoad {
    since: Instant,
    priority: u32,
    waiting: u32,
}

/// Time after which a load that was not reported as ended counts as ended.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time by which each waiting request advances a load.
const ADVANCE_PER_REQUEST: Duration = Duration::from_millis(250);
/// Time by which each step of priority delays a load. The delay is finite, so that no
/// load waits for ever.
const DELAY_PER_PRIORITY: Duration = Duration::from_secs(2);

impl LoadBudget {
    /// Creates an unused budget.
    pub fn new(limits: LoadBudgetLimits) -> Self {
        Self {
            limits,
            available: 0.0,
            refilled_at: None,
            waiting: HashMap::new(),
            active: HashMap::new(),
        }
    }

    /// Adds a load that waits to begin.
    pub fn request(&mut self, now: Instant, load: LoadId, priority: u32, waiting: u32) {
        self.waiting.insert(load, WaitingLoad { since: now, priority, waiting });
    }

    /// Withdraws a load that no longer waits to begin.
    pub fn withdraw(&mut self, load: &str) {
        self.waiting.remove(load);
    }

    /// Records that a load has ended.
    pub fn done(&mut self, load: &str) {
        self.active.remove(load);
    }

    /// Returns the loads that may begin now, the most urgent first.
    pub fn grant(&mut self, now: Instant) -> Vec<LoadId> {
        self.refill(now);
        self.active
            .retain(|_, since| now.saturating_duration_since(*since) < LOAD_TIMEOUT);
        let mut granted = Vec::new();
        while self.available >= 1.0 && self.active.len() < self.limits.concurrency {
            let Some(load) = self.first() else { break };
            self.waiting.remove(&load);
            self.active.insert(load.clone(), now);
            self.available -= 1.0;
            granted.push(load);
        }
        granted
    }

    /// Returns when to call [`LoadBudget::grant`] again if no event is recorded before;
    /// `None` if no load waits. After a call of `grant` with the same `now`, the time
    /// lies in the future.
    pub fn next_check(&self, now: Instant) -> Option<Instant> {
        if self.waiting.is_empty() {
            return None;
        }
        if self.active.len() >= self.limits.concurrency {
            return self.active.values().min().map(|since| *since + LOAD_TIMEOUT);
        }
        let missing = (1.0 - self.available).max(0.0);
        Some(now + Duration::from_secs_f64(missing / self.limits.rate.max(1e-3)))
    }

    fn refill(&mut self, now: Instant) {
        let capacity = self.limits.concurrency as f64;
        let gained = match self.refilled_at.replace(now) {
            None => capacity,
            Some(at) => {
                now.saturating_duration_since(at).as_secs_f64() * self.limits.rate
            }
        };
        self.available = (self.available + gained).min(capacity);
    }

    fn first(&self) -> Option<LoadId> {
        let urgent = self.waiting.iter().min_by_key(|(load, wait)| (wait.rank(), *load));
        urgent.map(|(load, _)| load.clone())
    }
}

impl WaitingLoad {
    /// The load's position in the queue: its arrival time, adjusted for priority and
    /// waiting requests.
    fn rank(&self) -> Instant {
        let delayed = self.since + DELAY_PER_PRIORITY * self.priority;
        delayed.checked_sub(ADVANCE_PER_REQUEST * self.waiting).unwrap_or(delayed)
    }
}
