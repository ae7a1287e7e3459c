//! The entries that request units from a bucket owner.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Identifies an entry, also after it has connected again.
pub type EntryId = u64;

/// The entries that reported to a bucket owner within the last second.
#[derive(Debug, Default)]
pub struct ReportingEntries {
    /// Time of each entry's last report.
    reports: HashMap<EntryId, Instant>,
    /// The last count and its time.
    counted: Option<(Instant, usize)>,
}

/// Time since its last report for which an entry counts: four polls of an entry.
const REPORT_VALIDITY: Duration = Duration::from_secs(1);
/// How long a count is used: a request for units must not cost time for each entry.
const COUNT_VALIDITY: Duration = Duration::from_millis(50);

impl ReportingEntries {
    /// Records an entry's report, and returns the number of reporting entries.
    pub fn record(&mut self, now: Instant, entry: EntryId) -> usize {
        let since = |at: Instant| now.saturating_duration_since(at);
        self.reports.insert(entry, now);
        if let Some((at, count)) = self.counted {
            if since(at) < COUNT_VALIDITY {
                return count;
            }
        }
        self.reports.retain(|_, at| since(*at) < REPORT_VALIDITY);
        self.counted = Some((now, self.reports.len()));
        self.reports.len()
    }
}
