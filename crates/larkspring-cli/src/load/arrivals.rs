//! Random arrivals: a Poisson process in time, a Zipf distribution over adapters.

use std::collections::{BTreeSet, HashMap};

use fastrand::Rng;

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Requests per second.
    pub rate: f64,
    /// Length in seconds.
    pub seconds: f64,
    /// Number of adapters.
    pub adapters: usize,
    /// Exponent of the Zipf distribution over adapters; 0 for a uniform distribution.
    pub zipf: f64,
    /// Mean number of tokens of an answer.
    pub tokens: u64,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Fraction of the length after which other adapters become popular.
    pub shift_fraction: Option<f64>,
    /// Percentage of urgent requests.
    pub urgent_percent: u32,
}

/// A request of a load.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time of sending in microseconds from the start.
    pub at_us: u64,
    /// Number of its adapter.
    pub adapter: usize,
    /// Number of tokens to generate.
    pub tokens: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
}

const URGENT_PRIORITY: u32 = 0;
const ORDINARY_PRIORITY: u32 = 5;

impl Workload {
    /// Generates the arrivals in order of time.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut rng = Rng::with_seed(self.seed);
        let distribution = Zipf::new(self.adapters, self.zipf);
        let mut adapter_by_rank: Vec<_> = (0..self.adapters).collect();
        rng.shuffle(&mut adapter_by_rank);
        let mut shift = self.shift_fraction.map(|share| share * self.seconds);
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.f64()).ln() / self.rate;
            if at >= self.seconds {
                return arrivals;
            }
            if shift.take_if(|shift| at >= *shift).is_some() {
                rng.shuffle(&mut adapter_by_rank);
            }
            let urgent = rng.u32(..100) < self.urgent_percent;
            arrivals.push(Arrival {
                at_us: (at * 1e6) as u64,
                adapter: adapter_by_rank[distribution.sample(&mut rng)],
                tokens: rng.u64(1..=self.tokens * 2 - 1),
                priority: if urgent { URGENT_PRIORITY } else { ORDINARY_PRIORITY },
            });
        }
    }
}

/// Returns the fewest adapter loads with which `slots` slots in all can serve the
/// arrivals. This is a lower bound for every policy: it evicts with knowledge of the
/// future, as Belady's algorithm, and no engine is ever full.
pub fn fewest_loads(arrivals: &[Arrival], slots: usize) -> usize {
    let mut next_use = vec![usize::MAX; arrivals.len()];
    let mut last = HashMap::new();
    for (n, arrival) in arrivals.iter().enumerate().rev() {
        next_use[n] = last.insert(arrival.adapter, n).unwrap_or(usize::MAX);
    }
    // Held adapters ordered by their next use, and the next use of each.
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

/// A Zipf distribution: the probability of a rank falls as a power of the rank.
struct Zipf {
    cumulative: Vec<f64>,
}

impl Zipf {
    fn new(count: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let weight = |rank: usize| (rank as f64 + 1.0).powf(-exponent);
        let cumulative = (0..count).map(|rank| {
            sum += weight(rank);
            sum
        });
        Self { cumulative: cumulative.collect() }
    }

    fn sample(&self, rng: &mut Rng) -> usize {
        let all = self.cumulative.last().copied().unwrap_or(1.0);
        let drawn = rng.f64() * all;
        self.cumulative.partition_point(|sum| *sum < drawn).min(self.cumulative.len() - 1)
    }
}
