//! Who answers for the keys of a partition, and for which births.
//!
//! A partition's tenure names a run of an entry and a range of births. Only an update of
//! the object API changes it, and no two tenures of a partition share a birth. A holder
//! that was paused can thus grant nothing that its successor also grants, whatever their
//! clocks say.

use std::time::Duration;

use larkspring_proto::keys::Tenure;

/// Partitions of the keys.
pub const PARTITIONS: usize = 64;

/// A point in time, in milliseconds since 1970, as births are given.
pub type Millis = u64;
/// Number of a run of an entry.
pub type RunId = u64;

/// Lengths of time that tenures depend on.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// How far ahead a range of births reaches.
    pub lease: Duration,
    /// How long a key without a birth is remembered at least.
    pub retention: Duration,
    /// By how much clocks may differ.
    pub skew: Duration,
}

/// Whether a key is one that the holder knows everything of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The holder knows of each attempt at the key.
    Known,
    /// Attempts may have been granted by an earlier holder, of which nothing is known.
    Lost,
    /// As `Lost` now; the holder will know at the time given.
    LostUntil(Millis),
    /// The key is not the holder's yet, or no longer.
    Foreign,
}

/// What a candidate knows of the present holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// It may act.
    MayLive,
    /// It was proved that its run has ended.
    Ended,
}

/// Says how a key stands with the holder of `t`; `birth` is 0 for a key without one.
pub fn standing(t: &Tenure, terms: &Terms, now: Millis, birth: Millis) -> Standing {
    if birth == 0 {
        return standing_without_birth(t, terms, now);
    }
    let forgotten = birth + millis(terms.retention) <= now + millis(terms.skew);
    if birth < t.from_ms || forgotten {
        return Standing::Lost;
    }
    // A successor that proves the holder's end starts at births past this bound.
    let bound = t.until_ms.min(now + millis(terms.skew));
    match birth < bound {
        true => Standing::Known,
        false => Standing::Foreign,
    }
}

fn standing_without_birth(t: &Tenure, terms: &Terms, now: Millis) -> Standing {
    if now >= t.until_ms {
        return Standing::Foreign;
    }
    let known_from = match t.since_ms {
        0 => 0,
        since => since + millis(terms.retention),
    };
    match now >= known_from {
        true => Standing::Known,
        false => Standing::LostUntil(known_from),
    }
}

/// Returns the tenure by which `me` may take a partition over, if it may now.
pub fn takeover(
    old: &Tenure,
    me: &Tenure,
    holder: Holder,
    terms: &Terms,
    now: Millis,
) -> Option<Tenure> {
    let skew = millis(terms.skew);
    let never_held = old.holder.is_empty();
    let lapsed = now >= old.until_ms + skew;
    let (from_ms, since_ms) = match holder {
        _ if never_held => (0, 0),
        _ if lapsed => (old.until_ms, now),
        // The old holder granted births up to its clock and the skew; clocks differ by
        // as much again.
        Holder::Ended => (now + 2 * skew, now),
        Holder::MayLive => return None,
    };
    let until_ms = now + millis(terms.lease);
    Some(Tenure { from_ms, since_ms, until_ms, ..me.clone() })
}

/// Returns the tenure of a successor that was told all that the holder knows.
pub fn handover(t: &Tenure, successor: &Tenure) -> Tenure {
    let Tenure { from_ms, until_ms, since_ms, .. } = *t;
    Tenure { from_ms, until_ms, since_ms, ..successor.clone() }
}

/// Returns the tenure with its range extended, if it is time to.
pub fn renewal(t: &Tenure, terms: &Terms, now: Millis) -> Option<Tenure> {
    let lease = millis(terms.lease);
    let due = t.until_ms < now + lease - lease / RENEWALS;
    // A lapsed tenure may be taken over by anyone, its holder included.
    let held = now < t.until_ms;
    (due && held).then(|| Tenure { until_ms: now + lease, ..t.clone() })
}

/// A range is extended when this part of the lease has passed.
const RENEWALS: u64 = 8;

/// Whether two tenures are the same run's.
pub fn same_run(a: &Tenure, b: &Tenure) -> bool {
    a.holder == b.holder && a.run == b.run
}

/// Returns whole milliseconds.
pub fn millis(d: Duration) -> Millis {
    d.as_millis() as Millis
}
