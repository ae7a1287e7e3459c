//! Arrivals drawn from a seed: Poisson in time, Zipf over adapters.

use std::collections::{BTreeSet, HashMap};

use fastrand::Rng;

/// What a load consists of.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Requests a second.
    pub rate: f64,
    /// Length in seconds.
    pub seconds: f64,
    /// Number of adapters.
    pub adapters: usize,
    /// Exponent of the skew; 0 for none.
    pub zipf: f64,
    /// Mean number of tokens of an answer.
    pub tokens: u64,
    /// Seed of everything drawn.
    pub seed: u64,
    /// Share of the time after which the popular adapters are others.
    pub shift_at: Option<f64>,
    /// Percentage of urgent requests.
    pub urgent_percent: u32,
}

/// One request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it is sent, in microseconds from the start.
    pub at_us: u64,
    /// Number of its adapter.
    pub adapter: usize,
    /// Tokens that it asks for.
    pub tokens: u64,
    /// 0 is the most urgent.
    pub priority: u32,
}

const URGENT: u32 = 0;
const ORDINARY: u32 = 5;

impl Workload {
    /// Draws the arrivals.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut rng = Rng::with_seed(self.seed);
        let skew = Skew::new(self.adapters, self.zipf);
        let mut places: Vec<_> = (0..self.adapters).collect();
        rng.shuffle(&mut places);
        let mut shift = self.shift_at.map(|share| share * self.seconds);
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.f64()).ln() / self.rate;
            if at >= self.seconds {
                return arrivals;
            }
            if shift.take_if(|shift| at >= *shift).is_some() {
                rng.shuffle(&mut places);
            }
            let urgent = rng.u32(..100) < self.urgent_percent;
            arrivals.push(Arrival {
                at_us: (at * 1e6) as u64,
                adapter: places[skew.draw(&mut rng)],
                tokens: rng.u64(1..=self.tokens * 2 - 1),
                priority: if urgent { URGENT } else { ORDINARY },
            });
        }
    }
}

/// Returns the fewest loads with which `slots` slots in all can serve the arrivals, if
/// the future is known and no engine is ever full: a bound that no policy passes.
pub fn fewest_loads(arrivals: &[Arrival], slots: usize) -> usize {
    let mut next_use = vec![usize::MAX; arrivals.len()];
    let mut last = HashMap::new();
    for (n, arrival) in arrivals.iter().enumerate().rev() {
        next_use[n] = last.insert(arrival.adapter, n).unwrap_or(usize::MAX);
    }
    // Held adapters by their next use, and the next use of each.
    let mut by_use = BTreeSet::new();
    let mut held = HashMap::new();
    let mut loads = 0;
    for (n, arrival) in arrivals.iter().enumerate() {
        match held.remove(&arrival.adapter) {
            Some(used) => drop(by_use.remove(&(used, arrival.adapter))),
            None => loads += 1,
        }
        held.insert(arrival.adapter, next_use[n]);
        by_use.insert((next_use[n], arrival.adapter));
        if held.len() > slots {
            if let Some((_, adapter)) = by_use.pop_last() {
                held.remove(&adapter);
            }
        }
    }
    loads
}

/// Draws places with probability falling as a power of the place.
struct Skew {
    cumulative: Vec<f64>,
}

impl Skew {
    fn new(count: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let weight = |place: usize| (place as f64 + 1.0).powf(-exponent);
        let cumulative = (0..count).map(|place| {
            sum += weight(place);
            sum
        });
        Self { cumulative: cumulative.collect() }
    }

    fn draw(&self, rng: &mut Rng) -> usize {
        let all = self.cumulative.last().copied().unwrap_or(1.0);
        let drawn = rng.f64() * all;
        self.cumulative.partition_point(|sum| *sum < drawn).min(self.cumulative.len() - 1)
    }
}
