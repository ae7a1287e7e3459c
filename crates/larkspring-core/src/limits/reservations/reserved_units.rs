//! Units that an entry has reserved for a workspace.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The reservations of one workspace, the oldest first.
#[derive(Debug, Default)]
pub(super) struct ReservedUnits {
    reservations: VecDeque<Reservation>,
    /// Expired units of the present bucket owner, to be returned with the next request.
    expired: f64,
    /// Number of changes of the bucket owner so far.
    owner_changes: u64,
}

#[derive(Debug)]
struct Reservation {
    units: f64,
    until: Instant,
    /// The bucket owner that granted the units, as the number of changes before it.
    owner_changes: u64,
}

impl ReservedUnits {
    /// Records that another bucket owner is used from now on.
    pub fn record_owner_change(&mut self) {
        self.owner_changes += 1;
        self.expired = 0.0;
    }

    /// Adds units that expire after `lifetime`.
    pub fn add(&mut self, now: Instant, units: f64, lifetime: Duration) {
        if units > 0.0 {
            let (until, owner_changes) = (now + lifetime, self.owner_changes);
            self.reservations.push_back(Reservation { units, until, owner_changes });
        }
    }

    /// Takes units, the oldest first; takes none if they do not suffice.
    pub fn take(&mut self, now: Instant, cost: f64) -> bool {
        self.drop_expired(now);
        let all: f64 = self.reservations.iter().map(|r| r.units).sum();
        if all < cost {
            return false;
        }
        let mut left = cost;
        while let Some(oldest) = self.reservations.front_mut() {
            if oldest.units > left {
                oldest.units -= left;
                break;
            }
            left -= oldest.units;
            self.reservations.pop_front();
        }
        true
    }

    /// Drops expired reservations.
    pub fn drop_expired(&mut self, now: Instant) {
        while let Some(oldest) = self.reservations.front().filter(|r| r.until < now) {
            if oldest.owner_changes == self.owner_changes {
                self.expired += oldest.units;
            }
            self.reservations.pop_front();
        }
    }

    /// Returns the units that have not expired.
    pub fn available(&self, now: Instant) -> f64 {
        self.reservations.iter().filter(|r| r.until >= now).map(|r| r.units).sum()
    }

    /// Returns the expired units that are to be returned to the bucket owner.
    pub fn expired(&self) -> f64 {
        self.expired
    }

    /// Takes the expired units to return them to the bucket owner.
    pub fn take_expired(&mut self) -> f64 {
        std::mem::take(&mut self.expired)
    }
}
