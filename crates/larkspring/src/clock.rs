//! A clock that includes the time during which the VM is suspended.
//!
//! The monotonic clock of [`std::time::Instant`] stops during a suspension, so an age
//! measured with that clock does not bound the changes made elsewhere meanwhile. Checks
//! that data is fresh enough to serve by use this clock; timers that only pace work may
//! use [`std::time::Instant`].

use std::ops::Add;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

/// A point in time, as the time since the VM's boot including suspensions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

/// Milliseconds by which tests have advanced the clock.
static ADVANCED_MS: AtomicU64 = AtomicU64::new(0);

/// Advances the clock of this process, as a suspension does. For tests.
pub fn step(by: Duration) {
    ADVANCED_MS.fetch_add(by.as_millis() as u64, Ordering::Relaxed);
}

impl Moment {
    /// Returns the current time.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        // Neither field is negative for this clock.
        let since_start = Duration::new(time.tv_sec as u64, time.tv_nsec as u32);
        Self(since_start + Duration::from_millis(ADVANCED_MS.load(Ordering::Relaxed)))
    }

    /// Returns the time that has passed since this moment.
    pub fn elapsed(self) -> Duration {
        Self::now().since(self)
    }

    /// Returns the time from `earlier` to this moment; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns this moment less `time`; `None` if the result is before the VM's boot.
    pub fn checked_sub(self, time: Duration) -> Option<Self> {
        self.0.checked_sub(time).map(Self)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0 + time)
    }
}
