//! An adapter that is resident in an engine, or being loaded or unloaded.

use std::time::{Duration, Instant};

#[derive(Debug)]
pub(super) struct Residency {
    pub phase: Phase,
    /// Requests of this agent that use the adapter.
    pub pins: usize,
    /// Requests of earlier agents that use the adapter.
    pub other_requests: usize,
    pub last_used: Instant,
    pub uses: UseCount,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    Loading {
        since: Instant,
    },
    Resident,
    /// Resident, but no new request may start; unloaded when the last pin is released.
    Retiring,
    Unloading,
}

/// Decaying use count of an adapter, with a half-life of [`HALF_LIFE`].
#[derive(Debug, Clone, Copy)]
pub(super) struct UseCount {
    value: f64,
    at: Instant,
}

const HALF_LIFE: Duration = Duration::from_secs(100);

impl Residency {
    pub fn new(now: Instant, phase: Phase) -> Self {
        let uses = UseCount { value: 0.0, at: now };
        Self { phase, pins: 0, other_requests: 0, last_used: now, uses }
    }

    pub fn is_resident(&self) -> bool {
        matches!(self.phase, Phase::Resident | Phase::Retiring)
    }

    pub fn is_loading(&self) -> bool {
        matches!(self.phase, Phase::Loading { .. })
    }

    /// Whether a request that arrives now needs no other load.
    pub fn is_available(&self) -> bool {
        matches!(self.phase, Phase::Resident | Phase::Loading { .. })
    }
}

impl UseCount {
    pub fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.value * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    pub fn add(&mut self, now: Instant) {
        self.value = self.at(now) + 1.0;
        self.at = now;
    }
}
