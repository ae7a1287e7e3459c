//! The weight store's budget, given out load by load.
//!
//! One process grants for all agents. Two of them at a time, as after a pause, cost speed
//! and no promise: the store itself refuses what is over its rate.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Loads that wait and loads that were granted.
#[derive(Debug)]
pub struct Budget {
    limits: BudgetLimits,
    /// Loads that may begin now, by the rate.
    saved: f64,
    filled: Option<Instant>,
    waiting: HashMap<LoadId, Wait>,
    active: HashMap<LoadId, Instant>,
}

/// What the weight store gives in all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Loads a second.
    pub rate: f64,
    /// Loads at a time.
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

/// A load not reported as ended counts as ended after this time.
const LOST: Duration = Duration::from_secs(30);
/// Each request that waits puts a load forward by this much.
const FORWARD: Duration = Duration::from_millis(250);
/// Each step of priority puts a load back by this much, so that none waits for ever.
const BACK: Duration = Duration::from_secs(2);

impl Budget {
    /// Creates a budget of which nothing is in use.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            saved: 0.0,
            filled: None,
            waiting: HashMap::new(),
            active: HashMap::new(),
        }
    }

    /// Takes in a load that wants to begin.
    pub fn ask(&mut self, now: Instant, load: LoadId, priority: u32, waiting: u32) {
        self.waiting.insert(load, Wait { since: now, priority, waiting });
    }

    /// Takes back a load that no longer wants to begin.
    pub fn withdraw(&mut self, load: &str) {
        self.waiting.remove(load);
    }

    /// Records that a load has ended.
    pub fn done(&mut self, load: &str) {
        self.active.remove(load);
    }

    /// Returns the loads that may begin now, the most pressing first.
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

    /// Returns when to look again if nothing is reported till then; `None` if no load
    /// waits. After a look at the same time it lies in the future.
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
    /// The time at which a load of the least pressing kind would be as pressing.
    fn rank(&self) -> Instant {
        let put_back = self.since + BACK * self.priority;
        put_back.checked_sub(FORWARD * self.waiting).unwrap_or(put_back)
    }
}
