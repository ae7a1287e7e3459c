//! Bounds of one engine, by its agent's settings.

use std::time::Duration;

/// Bounds of one engine.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Adapter slots of the engine.
    pub slots: usize,
    /// Requests in the engine at a time.
    pub max_running: usize,
    /// Requests that may wait.
    pub max_waiting: usize,
    /// Loads under way at a time.
    pub max_loading: usize,
    /// Whether fetches wait while the weight store is full. Not where a budget for loads is
    /// agreed on among all agents.
    pub paced: bool,
    /// Wait after which a request may stop new use of a busy adapter to get its slot.
    pub patience: Duration,
    /// Time after the agent's start before it unloads, as the engine's reports lag.
    pub settle: Duration,
    /// Which adapter is unloaded first.
    pub eviction: Eviction,
    /// Which adapter is loaded first.
    pub order: LoadOrder,
}

/// Which of the adapters that requests wait for is loaded first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadOrder {
    /// The one of the most urgent request.
    Urgency,
    /// The one that makes the most answers worth the most.
    Worth,
}

/// Which of the adapters that nobody uses is unloaded first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eviction {
    /// The one with the fewest uses, of which older ones count less.
    Heat,
    /// The one used longest ago; a baseline.
    Lru,
}

impl Eviction {
    /// Reads the name used in settings.
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "" | "heat" => Some(Self::Heat),
            "lru" => Some(Self::Lru),
            _ => None,
        }
    }
}
