//! The serving time that an entry reports to its bucket owner.

use std::time::{Duration, Instant};

/// Measures the serving time that an entry reports with each request for units.
///
/// A bucket refills by the time that entries report, and an entry reports each second
/// once, to a single bucket owner. So the same second is never granted twice, neither by
/// two bucket owners that serve different entries at the same time nor by a bucket owner
/// that was paused while another process took over.
#[derive(Debug, Clone)]
pub struct ServingTimeTracker<H> {
    owner: Option<H>,
    reported_at: Option<Instant>,
}

/// The serving time reported with a request for units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServingTime {
    /// Time since the previous request for units.
    pub elapsed: Duration,
    /// Whether the previous request went to another bucket owner, or there was none.
    pub is_new_owner: bool,
}

/// Longest time reported at once: an entry that was paused for longer served no requests
/// meanwhile.
const MAX_REPORTED_TIME: Duration = Duration::from_millis(500);

impl<H: PartialEq> ServingTimeTracker<H> {
    /// Creates the state of an entry that has requested no units yet.
    pub fn new() -> Self {
        Self { owner: None, reported_at: None }
    }

    /// Records a request to `owner`, and returns the serving time to report with the
    /// request.
    pub fn record_request(&mut self, now: Instant, owner: H) -> ServingTime {
        let since = self.reported_at.replace(now);
        let time = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let is_new_owner = self.owner.as_ref() != Some(&owner);
        self.owner = Some(owner);
        ServingTime { elapsed: time.min(MAX_REPORTED_TIME), is_new_owner }
    }
}

impl<H: PartialEq> Default for ServingTimeTracker<H> {
    fn default() -> Self {
        Self::new()
    }
}
