//! The gate of an entry: admits a share of each class of a workspace's requests.

use std::time::{Duration, Instant};

use super::shares::{Class, CLASSES};

/// Shares of one workspace's classes at an entry, and the units that arrived.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    shares: [Option<f64>; CLASSES],
    /// Until when the shares hold.
    until: Option<Instant>,
    /// Units by which the admitted units of each class fall short of its share.
    credit: [f64; CLASSES],
    /// Units that arrived in each class since they were last taken.
    demand: [f64; CLASSES],
}

/// How long shares hold: two polls of an entry may go without an answer. Longer would
/// refuse requests after the overload, when the owner of the limit is lost.
pub const SHARE_LIFETIME: Duration = Duration::from_millis(600);
/// Retry time of a class that is admitted in part. A caller that retries sooner is admitted
/// as often as one that retries later, and can still be answered in time.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Share below which a retry is hardly ever admitted. The retry time then grows with the
/// number of attempts that one admission takes.
const MIN_RETRY_SHARE: f64 = 0.1;
/// Longest retry time. Callers retry within a third of their deadline, which is at most
/// 10 s, so a longer time makes no difference to them.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

impl Gate {
    /// Replaces the shares; classes that are not named are open.
    pub fn set(&mut self, now: Instant, shares: &[(Class, f64)]) {
        self.shares = [None; CLASSES];
        self.until = Some(now + SHARE_LIFETIME);
        for (class, share) in shares {
            if let Some(entry) = self.shares.get_mut(usize::from(*class)) {
                *entry = Some(share.clamp(0.0, 1.0));
            }
        }
    }

    /// Decides on a request of `cost` units; the error is the retry time. Counts the
    /// units as demand in either case.
    pub fn admit(
        &mut self,
        now: Instant,
        class: Class,
        cost: f64,
    ) -> Result<(), Duration> {
        let index = usize::from(class).min(CLASSES - 1);
        self.demand[index] += cost;
        let Some(share) = self.share(now, class) else { return Ok(()) };
        let credit = &mut self.credit[index];
        *credit += share * cost;
        // Rounds to the nearest request, so that many entries with few requests each
        // admit the share in all.
        if *credit >= cost / 2.0 {
            *credit -= cost;
            return Ok(());
        }
        Err(retry_after(share))
    }

    /// Returns the share of a class; `None` while all of its requests pass.
    pub fn share(&self, now: Instant, class: Class) -> Option<f64> {
        let share = self.shares[usize::from(class).min(CLASSES - 1)];
        share.filter(|_| self.until.is_some_and(|until| now < until))
    }

    /// Whether the share of a class is below 1.
    pub fn is_closed(&self, now: Instant) -> bool {
        (0..CLASSES).any(|class| self.share(now, class as Class).is_some())
    }

    /// Whether units arrived since the demand was last taken.
    pub fn has_demand(&self) -> bool {
        self.demand.iter().any(|units| *units > 0.0)
    }

    /// Takes the units that arrived in each class since the last call.
    pub fn take_demand(&mut self) -> Vec<(Class, f64)> {
        let demand = std::mem::take(&mut self.demand);
        (0..).zip(demand).filter(|(_, units)| *units > 0.0).collect()
    }
}

fn retry_after(share: f64) -> Duration {
    if share >= MIN_RETRY_SHARE {
        return RETRY_AFTER;
    }
    let longest_ratio = MAX_RETRY_AFTER.as_secs_f64() / RETRY_AFTER.as_secs_f64();
    RETRY_AFTER.mul_f64((1.0 / share).min(longest_ratio))
}
