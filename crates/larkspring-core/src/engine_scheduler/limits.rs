//! Limits of one engine, from its agent's settings.

use std::time::Duration;

/// Limits of one engine.
#[derive(Debug, Clone)]
pub struct EngineLimits {
    /// Adapter slots of the engine.
    pub adapter_slots: usize,
    /// Requests that run in the engine concurrently.
    pub max_running: usize,
    /// Requests that may wait.
    pub max_waiting: usize,
    /// Concurrent loads.
    pub max_loading: usize,
    /// Whether fetches wait while the weight store is overloaded. Disabled where all
    /// agents share a budget for loads.
    pub limits_fetches: bool,
    /// Wait after which a request may block new uses of a busy adapter to get its slot.
    pub busy_eviction_delay: Duration,
    /// Time after the agent's start during which no adapter is unloaded, as the engine's
    /// reports are delayed.
    pub initial_no_unload: Duration,
    /// The eviction policy.
    pub eviction: EvictionPolicy,
    /// The order of loads.
    pub load_order: LoadOrder,
}

/// Selects which of the adapters that requests wait for is loaded first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadOrder {
    /// The adapter of the most urgent request.
    Urgency,
    /// The adapter whose load increases the total utility of the answers most.
    Utility,
}

/// Selects which of the unused adapters is evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// The adapter with the lowest use count, in which older uses weigh less.
    LeastUsed,
    /// The least recently used adapter; a baseline.
    Lru,
}

impl EvictionPolicy {
    /// Parses the name used in settings.
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "" | "heat" => Some(Self::LeastUsed),
            "lru" => Some(Self::Lru),
            _ => None,
        }
    }
}
