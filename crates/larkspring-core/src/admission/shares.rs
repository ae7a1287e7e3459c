//! Shares of the classes of requests in the units that a limit supplies.

use std::time::{Duration, Instant};

use super::smoothed_rate::SmoothedRate;

/// Class of requests by their utility per unit; 0 has the highest.
pub type Class = u8;

/// Number of classes.
pub const CLASSES: usize = 8;
/// Units per unit of utility at the lower bound of class 0: the requests with the fewest
/// tokens in the deployments' lists have about 200.
const BASE_COST: f64 = 100.0;
/// Part of the supply that is divided among all classes with demand, so that callers of
/// each class get some answers and keep sending the requests by which their demand is
/// known.
const FLOOR_FRACTION: f64 = 0.1;
/// Time constant of the demand, slightly less than the poll interval of entries, so that
/// the reports of a single entry don't show as swings.
pub(crate) const TIME_CONSTANT: Duration = Duration::from_millis(200);
/// Demand below which a class has none, in units a second; a smoothed rate decays but
/// never reaches zero.
const MIN_DEMAND: f64 = 1e-3;

/// Ratio of the costs per utility at which a class ends and begins. Utility is an estimate
/// from the size of the prompt, so requests whose estimates differ by less are equals.
const CLASS_RATIO: f64 = 4.0;

/// Returns the class of a request with a cost in units, by the logarithm of its cost per
/// utility.
pub fn class_of(utility: f64, cost: f64) -> Class {
    let ratio = cost / utility.max(f64::MIN_POSITIVE) / BASE_COST;
    // The logarithm of zero is negative infinity, which the cast turns into 0.
    ratio.log(CLASS_RATIO).floor().clamp(0.0, (CLASSES - 1) as f64) as Class
}

/// Demand of one workspace by class, at its bucket owner.
#[derive(Debug, Clone)]
pub struct ShareTable {
    demand: [SmoothedRate; CLASSES],
}

impl ShareTable {
    /// Creates a table without demand.
    pub fn new(now: Instant) -> Self {
        Self { demand: [SmoothedRate::new(now, TIME_CONSTANT); CLASSES] }
    }

    /// Records units that arrived at an entry in each class over `period` until `now`.
    /// Unknown classes are ignored.
    pub fn record(&mut self, now: Instant, demand: &[(Class, f64)], period: Duration) {
        for (class, units) in demand {
            if let Some(rate) = self.demand.get_mut(usize::from(*class)) {
                rate.add_over(now, *units, period);
            }
        }
    }

    /// Returns the shares below 1 of the classes at a supply in units a second.
    ///
    /// Each class with demand gets a part of the floor in proportion to its demand. The
    /// remaining supply goes to the classes in order.
    pub fn shares(&self, now: Instant, supply_per_sec: f64) -> Vec<(Class, f64)> {
        let demand = self.demand.map(|rate| rate.at(now));
        let all: f64 = demand.iter().sum();
        let supply = supply_per_sec.max(0.0);
        if all <= supply {
            return Vec::new();
        }
        let floor = FLOOR_FRACTION * supply / all;
        let mut rest = supply * (1.0 - FLOOR_FRACTION);
        let mut shares = Vec::new();
        for (class, units) in (0..).zip(demand) {
            let more = (units * (1.0 - floor)).min(rest);
            rest -= more;
            let share = floor + more / units.max(f64::MIN_POSITIVE);
            if units > MIN_DEMAND && share < 1.0 - f64::EPSILON * CLASSES as f64 {
                shares.push((class, share));
            }
        }
        shares
    }
}
