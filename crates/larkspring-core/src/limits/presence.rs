//! For how long an entry has asked its home.

use std::time::{Duration, Instant};

/// What an entry's next ask says of the time before it.
///
/// A bucket fills with the time of the entries that ask for it, and an entry's time is told
/// once, to one home. So homes that are asked at the same time by different entries, or one
/// that stood still while another one was asked, never give the same second twice.
#[derive(Debug, Clone)]
pub struct Presence<H> {
    home: Option<H>,
    told: Option<Instant>,
}

/// The time that an ask tells of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// Time since the last ask.
    pub time: Duration,
    /// Whether another home was asked before, or none.
    pub joined: bool,
}

/// Most time that one ask tells: an entry that stood still did not serve meanwhile.
const MOST: Duration = Duration::from_millis(500);

impl<H: PartialEq> Presence<H> {
    /// Creates the presence of an entry that has asked nobody.
    pub fn new() -> Self {
        Self { home: None, told: None }
    }

    /// Records an ask of `home`.
    pub fn ask(&mut self, now: Instant, home: H) -> Told {
        let since = self.told.replace(now);
        let time = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let joined = self.home.as_ref() != Some(&home);
        self.home = Some(home);
        Told { time: time.min(MOST), joined }
    }
}

impl<H: PartialEq> Default for Presence<H> {
    fn default() -> Self {
        Self::new()
    }
}
