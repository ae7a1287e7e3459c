//! The halls whose endpoints get no requests, by request of an operator.
//!
//! An evacuation applies from its declaration until it is lifted. A store that was
//! restored from a backup lists the evacuations of the time of the backup, until the
//! operators repeat what they wrote since: meanwhile a missing evacuation stays in force,
//! and one that was lifted stays lifted.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::{HallId, StorePoint};

/// The evacuated halls.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    in_force: HashMap<HallId, Evacuation>,
    /// The revision of each hall's last evacuation that was lifted.
    lifted: HashMap<HallId, u64>,
    /// The point of the last complete list.
    listed_at: Option<StorePoint>,
}

/// An evacuation that is in force.
#[derive(Debug, Clone, Copy)]
struct Evacuation {
    /// When the evacuation was written.
    written: StorePoint,
    /// When an evacuation that is missing in a restored store ends.
    expires_at: Option<Instant>,
}

/// How long an evacuation that is missing in a restored store stays in force. By then
/// operators have repeated the writes that the restore lost.
pub const RESTORE_GRACE: Duration = Duration::from_secs(30);

impl Evacuations {
    /// Returns whether a hall is evacuated.
    pub fn contains(&self, hall: &str) -> bool {
        self.in_force.contains_key(hall)
    }

    /// Returns whether no hall is evacuated.
    pub fn is_empty(&self) -> bool {
        self.in_force.is_empty()
    }

    /// Returns the evacuated halls.
    pub fn halls(&self) -> impl Iterator<Item = &HallId> {
        self.in_force.keys()
    }

    /// Records an evacuation and when it was written.
    pub fn begin(&mut self, hall: HallId, written: StorePoint) {
        self.lifted.remove(&hall);
        self.in_force.insert(hall, Evacuation { written, expires_at: None });
    }

    /// Records that an evacuation was lifted.
    pub fn lift(&mut self, hall: &HallId) {
        if let Some(evacuation) = self.in_force.remove(hall) {
            self.lifted.insert(hall.clone(), evacuation.written.revision());
        }
    }

    /// Applies a complete list that was read at a point of the store's history.
    pub fn replace(
        &mut self,
        now: Instant,
        at: StorePoint,
        listed: Vec<(HallId, StorePoint)>,
    ) {
        let before = self.listed_at.replace(at);
        let is_restored = before.is_some_and(|before| before.epoch() != at.epoch());
        let missing = self.in_force.keys().filter(|hall| !contains(&listed, hall));
        let missing: Vec<_> = missing.cloned().collect();
        for hall in missing {
            match self.in_force.get_mut(&hall) {
                Some(known) if known.written.epoch() != at.epoch() => {
                    known.expires_at.get_or_insert(now + RESTORE_GRACE);
                }
                _ => self.lift(&hall),
            }
        }
        for (hall, written) in listed {
            // The same revision is the evacuation that was lifted after the backup.
            let is_lifted = self.lifted.get(&hall) == Some(&written.revision());
            if !(is_restored && is_lifted) {
                self.begin(hall, written);
            }
        }
    }

    /// Ends the evacuations that are still missing after [`RESTORE_GRACE`]; returns
    /// whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let count = self.in_force.len();
        let is_over = |e: &Evacuation| e.expires_at.is_some_and(|at| at <= now);
        self.in_force.retain(|_, evacuation| !is_over(evacuation));
        self.in_force.len() < count
    }

    /// When [`Evacuations::expire`] will next end an evacuation.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.in_force.values().filter_map(|e| e.expires_at).min()
    }
}

fn contains(listed: &[(HallId, StorePoint)], hall: &HallId) -> bool {
    listed.iter().any(|(name, _)| name == hall)
}
