//! Which agents an entry follows, and how often an agent reports to the entries that
//! follow it.
//!
//! An agent reports its engine's state to each connected entry several times a second. In
//! a small fleet every entry follows every agent, so that it knows the load of all
//! engines. In a larger one the reports would grow with the product of entries and
//! engines. There an entry follows the agents that it uses, and the two agents from which
//! the entries of its hall read the declared state; what it needs to know of another
//! engine comes with the first answer of that engine's agent.

use std::time::{Duration, Instant};

/// Largest number of agents that an entry follows whether it uses them or not. Their
/// reports take about 25 KB a second.
pub const MAX_FOLLOWED_AGENTS: usize = 80;
/// Time without use after which an entry stops following an agent.
pub const UNUSED_TIMEOUT: Duration = Duration::from_secs(10);
/// Limits the state changes that an agent sends, in messages a second to all entries
/// together: about one percent of a core.
const MAX_CHANGE_MESSAGES_PER_SEC: u32 = 500;
/// Minimum interval between two reports of changes.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(40);
/// How long the highest number of entries counts. Agents of a hall that take the place of
/// others count the entries anew.
const COUNT_LIFETIME: Duration = Duration::from_secs(10);

/// Returns the minimum interval between two reports of changes to `entries` entries. It
/// does not exceed `max`, the interval of reports without changes.
pub fn report_interval(entries: usize, max: Duration) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    let interval = Duration::from_secs(1).saturating_mul(entries);
    (interval / MAX_CHANGE_MESSAGES_PER_SEC).max(MIN_REPORT_INTERVAL).min(max)
}

/// Returns whether an engine with `holds` granted or waiting holds accepts another one from
/// an entry that knows nothing of its load and allows `max_holds`; 0 for no limit.
///
/// All entries turn to the home of an adapter whose demand rises, and those that follow no
/// reports do so until they have asked once. A refusal sends them to the next endpoint in
/// rank, which loads the adapter too.
pub fn accepts_unaware(holds: usize, max_holds: usize) -> bool {
    max_holds == 0 || holds < max_holds
}

/// The number of entries that share a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryCounts {
    /// All entries.
    pub all: u32,
    /// Entries of this hall.
    pub in_hall: u32,
}

impl EntryCounts {
    /// Returns the counts by which an entry takes its share if only the entries of its
    /// own hall are counted: an equal part of the limit for each hall, whether its
    /// number of entries is equal or not. The parts of all entries add up to the limit.
    pub fn from_hall(in_hall: u32, halls: usize) -> Self {
        let halls = u32::try_from(halls).unwrap_or(u32::MAX).max(1);
        Self { all: in_hall.saturating_mul(halls), in_hall }
    }
}

/// The highest number of entries that agents reported recently.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentCount {
    highest: Option<(u32, Instant)>,
}

impl RecentCount {
    /// Records a reported number and returns the highest recent one.
    pub fn record(&mut self, now: Instant, count: u32) -> u32 {
        let is_old = |at: Instant| now.saturating_duration_since(at) > COUNT_LIFETIME;
        match self.highest {
            Some((highest, at)) if highest > count && !is_old(at) => highest,
            _ => {
                self.highest = Some((count, now));
                count
            }
        }
    }
}
