//! The weight store's load budget, granted load by load.
//!
//! One process grants for all agents. Two of them at the same time, as after a pause of
//! one, reduce speed but break no guarantee: the store itself refuses loads above its
//! rate.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The waiting and the granted loads.
#[derive(Debug)]
pub struct Budget {
    limits: BudgetLimits,
    /// Loads that the rate allows to begin now.
    saved: f64,
    filled: Option<Instant>,
    waiting: HashMap<LoadId, Wait>,
    active: HashMap<LoadId, Instant>,
}

/// Limits of the weight store, for all agents together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Loads a second.
    pub rate: f64,
    /// Concurrent loads.
    pub concurrency: usize,
}

/// Name of a load.
pub type LoadId = String;

#[derive(Debug)]
struct Wait {
    since: Instant,
    priority: u32,
    waiting: u32,
}

/// Time after which a load that was not reported as ended counts as ended.
const LOST: Duration = Duration::from_secs(30);
/// Time by which each waiting request advances a load.
const FORWARD: Duration = Duration::from_millis(250);
/// Time by which each step of priority delays a load. The delay is finite, so that no
/// load waits for ever.
const BACK: Duration = Duration::from_secs(2);

impl Budget {
    /// Creates an unused budget.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            saved: 0.0,
            filled: None,
            waiting: HashMap::new(),
            active: HashMap::new(),
        }
    }

    /// Adds a load that waits to begin.
    pub fn ask(&mut self, now: Instant, load: LoadId, priority: u32, waiting: u32) {
        self.waiting.insert(load, Wait { since: now, priority, waiting });
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
        self.fill(now);
        self.active.retain(|_, since| now.saturating_duration_since(*since) < LOST);
        let mut granted = Vec::new();
        while self.saved >= 1.0 && self.active.len() < self.limits.concurrency {
            let Some(load) = self.first() else { break };
            self.waiting.remove(&load);
            self.active.insert(load.clone(), now);
            self.saved -= 1.0;
            granted.push(load);
        }
        granted
    }

    /// Returns when to call [`Budget::grant`] again if no event is recorded before;
    /// `None` if no load waits. After a call of `grant` with the same `now`, the time
    /// lies in the future.
    pub fn next(&self, now: Instant) -> Option<Instant> {
        if self.waiting.is_empty() {
            return None;
        }
        if self.active.len() >= self.limits.concurrency {
            return self.active.values().min().map(|since| *since + LOST);
        }
        let missing = (1.0 - self.saved).max(0.0);
        Some(now + Duration::from_secs_f64(missing / self.limits.rate.max(1e-3)))
    }

    fn fill(&mut self, now: Instant) {
        let most = self.limits.concurrency as f64;
        let gained = match self.filled.replace(now) {
            None => most,
            Some(at) => {
                now.saturating_duration_since(at).as_secs_f64() * self.limits.rate
            }
        };
        self.saved = (self.saved + gained).min(most);
    }

    fn first(&self) -> Option<LoadId> {
        let pressing =
            self.waiting.iter().min_by_key(|(load, wait)| (wait.rank(), *load));
        pressing.map(|(load, _)| load.clone())
    }
}

impl Wait {
    /// The load's position in the queue: its arrival time, adjusted for priority and
    /// waiting requests.
    fn rank(&self) -> Instant {
        let put_back = self.since + BACK * self.priority;
        put_back.checked_sub(FORWARD * self.waiting).unwrap_or(put_back)
    }
}
