//! Use of the connection to an agent.

use std::time::{Duration, Instant};

use larkspring_core::fleet::following::UNUSED_TIMEOUT;

/// Why and since when a connection is open.
#[derive(Debug, Default)]
pub(super) struct LinkUsage {
    /// Whether the connection stays open without use.
    pub is_followed: bool,
    pub last_used: Option<Instant>,
    /// Whether a task keeps the connection open.
    pub is_running: bool,
    /// Whether the engine is no longer in the fleet.
    pub is_retired: bool,
    /// When the agent last failed to answer; `None` once it has answered since.
    pub failed_at: Option<Instant>,
}

/// Time after a failure in which an agent that is not connected counts as unresponsive.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);

impl LinkUsage {
    /// Returns whether the connection has to be open.
    pub fn is_needed(&self) -> bool {
        let is_used = self.last_used.is_some_and(|at| at.elapsed() < UNUSED_TIMEOUT);
        !self.is_retired && (self.is_followed || is_used)
    }

    /// Records that the agent answers; returns whether it had failed, or is followed and
    /// answers for the first time.
    pub fn record_answer(&mut self) -> bool {
        self.failed_at.take().is_some() || self.is_followed
    }

    /// Returns whether the agent failed to answer of late, and has not answered since.
    pub fn has_failed_recently(&self) -> bool {
        self.failed_at.is_some_and(|at| at.elapsed() < FAILURE_PAUSE)
    }
}
