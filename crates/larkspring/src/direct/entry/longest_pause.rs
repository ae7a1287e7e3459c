//! The longest pause in an answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::routes::Route;

use super::EntryState;

/// The longest pause between two chunks for the caller, recorded when the answer is over.
pub(super) struct LongestPause {
    pub entry: Arc<EntryState>,
    route: Arc<Route>,
    last: Instant,
    longest: Duration,
}

impl LongestPause {
    /// Begins with the answer.
    pub fn new(entry: Arc<EntryState>, route: Arc<Route>) -> Self {
        Self { entry, route, last: Instant::now(), longest: Duration::ZERO }
    }

    /// Records that a chunk was handed on.
    pub fn record(&mut self) {
        let now = Instant::now();
        self.longest = self.longest.max(now.saturating_duration_since(self.last));
        self.last = now;
    }
}

impl Drop for LongestPause {
    fn drop(&mut self) {
        self.entry.stats.observe_pause(&self.route.name, self.longest);
    }
}
