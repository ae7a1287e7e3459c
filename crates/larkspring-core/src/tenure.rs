//! Tenures: the entry that holds a partition of the idempotency keys, and for which
//! births.
//!
//! The birth of a key is the creation time in its UUID (version 7); other keys have none.
//! A partition's tenure names a run of an entry and a range of births. A tenure changes
//! only by an update in the object API, and no birth belongs to two tenures of a
//! partition. So a holder that was paused never grants a key that its successor also
//! grants, whatever their clocks say.

use std::time::Duration;

use larkspring_proto::keys::Tenure;

/// Number of partitions of the keys.
pub const PARTITIONS: usize = 64;

/// A point in time in Unix milliseconds, also used for births.
pub type Millis = u64;
/// Identifies a run of an entry.
pub type RunId = u64;

/// Durations that tenures depend on.
#[derive(Debug, Clone, Copy)]
pub struct TenureSettings {
    /// How far ahead a range of births reaches.
    pub lease: Duration,
    /// Shortest time for which a key without a birth is kept.
    pub retention: Duration,
    /// Largest difference between two clocks.
    pub max_clock_skew: Duration,
}

/// Whether the holder's records of a key are complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordStatus {
    /// The holder has a record of each attempt at the key.
    Complete,
    /// An earlier holder may have granted attempts of which the holder has no record.
    Incomplete,
    /// As `Incomplete` until the given time, and as `Complete` from then on.
    IncompleteUntil(Millis),
    /// The holder does not hold the key yet, or no longer.
    NotHeld,
}

/// Knowledge of a candidate about the present holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderState {
    /// The holder may still act.
    MayBeRunning,
    /// It was proved that the holder's run has ended.
    Ended,
}

/// Returns whether the holder of `t` has complete records of a key; `birth` is 0 for a
/// key without a birth.
pub fn record_status(
    t: &Tenure,
    terms: &TenureSettings,
    now: Millis,
    birth: Millis,
) -> RecordStatus {
    if birth == 0 {
        return record_status_without_birth(t, terms, now);
    }
    let retention_over =
        birth + millis(terms.retention) <= now + millis(terms.max_clock_skew);
    if birth < t.from_ms || retention_over {
        return RecordStatus::Incomplete;
    }
    // A successor that proves the holder's end starts at births past this bound.
    let bound = t.until_ms.min(now + millis(terms.max_clock_skew));
    match birth < bound {
        true => RecordStatus::Complete,
        false => RecordStatus::NotHeld,
    }
}

fn record_status_without_birth(
    t: &Tenure,
    terms: &TenureSettings,
    now: Millis,
) -> RecordStatus {
    if now >= t.until_ms {
        return RecordStatus::NotHeld;
    }
    let known_from = match t.since_ms {
        0 => 0,
        since => since + millis(terms.retention),
    };
    match now >= known_from {
        true => RecordStatus::Complete,
        false => RecordStatus::IncompleteUntil(known_from),
    }
}

/// Returns the tenure with which `me` may take over a partition, if that is allowed now.
pub fn takeover(
    old: &Tenure,
    me: &Tenure,
    holder: HolderState,
    terms: &TenureSettings,
    now: Millis,
) -> Option<Tenure> {
    let skew = millis(terms.max_clock_skew);
    let never_held = old.holder.is_empty();
    let expired = now >= old.until_ms + skew;
    let (from_ms, since_ms) = match holder {
        _ if never_held => (0, 0),
        _ if expired => (old.until_ms, now),
        // The old holder granted births up to the skew past its clock, and its clock may
        // be ahead by the skew as well.
        HolderState::Ended => (now + 2 * skew, now),
        HolderState::MayBeRunning => return None,
    };
    let until_ms = now + millis(terms.lease);
    Some(Tenure { from_ms, since_ms, until_ms, ..me.clone() })
}

/// Returns the tenure of a successor that has received all records of the holder.
pub fn handover(t: &Tenure, successor: &Tenure) -> Tenure {
    let Tenure { from_ms, until_ms, since_ms, .. } = *t;
    Tenure { from_ms, until_ms, since_ms, ..successor.clone() }
}

/// Returns the tenure with an extended range, if a renewal is due.
pub fn renewal(t: &Tenure, terms: &TenureSettings, now: Millis) -> Option<Tenure> {
    let lease = millis(terms.lease);
    let due = t.until_ms < now + lease - lease / RENEWALS_PER_LEASE;
    // An expired tenure may be taken over by any entry, including its holder.
    let held = now < t.until_ms;
    (due && held).then(|| Tenure { until_ms: now + lease, ..t.clone() })
}

/// Renewals in a lease: a range is extended when one eighth of the lease has passed.
const RENEWALS_PER_LEASE: u64 = 8;

/// Whether two tenures belong to the same run.
pub fn same_run(a: &Tenure, b: &Tenure) -> bool {
    a.holder == b.holder && a.run == b.run
}

/// Returns whole milliseconds.
pub fn millis(d: Duration) -> Millis {
    d.as_millis() as Millis
}
