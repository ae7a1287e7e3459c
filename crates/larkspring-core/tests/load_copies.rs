//! Tests of when an adapter is also loaded in a hall that does not hold it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::fleet::choose::{should_load_in_hall, Distance};
use larkspring_core::fleet::request_rates::RequestRates;

/// The largest known deployment: 13 entries in each of 5 halls, 713 requests a second for
/// 24,000 adapters, distributed by Zipf's law with exponent 1.2.
const HALLS: usize = 5;
const ENTRIES_PER_HALL: usize = 13;
const RATE: u64 = 713;
const ADAPTERS: usize = 24_000;
const ZIPF_EXPONENT: f64 = 1.2;
const LENGTH: u64 = 20;
/// A load in the hall pays off if it saves 13 requests to other halls, the cost of a
/// fetch.
const CROSSINGS_PER_FETCH: u64 = 13;

#[derive(Debug, Default)]
struct Loads {
    made: u64,
    /// Loads that at least 13 requests used within 10 s.
    useful: u64,
}

/// How the requests for an adapter that a hall does not hold are counted.
#[derive(Clone, Copy, PartialEq)]
enum Counting {
    /// Each entry counts its own requests and multiplies them by the number of entries in
    /// its hall.
    Entries,
    /// The agent that holds the adapter counts the requests of each hall.
    Agent,
}

fn arrivals() -> Vec<(usize, usize, usize)> {
    let mut rng = Rng::with_seed(7);
    let mut sum = 0.0;
    let sums: Vec<f64> = (1..=ADAPTERS)
        .map(|n| {
            sum += (n as f64).powf(-ZIPF_EXPONENT);
            sum
        })
        .collect();
    let draw = |rng: &mut Rng| {
        let point = rng.f64() * sum;
        let adapter = sums.partition_point(|s| *s < point);
        (adapter, rng.usize(..HALLS), rng.usize(..ENTRIES_PER_HALL))
    };
    (0..RATE * LENGTH).map(|_| draw(&mut rng)).collect()
}

fn count(counting: Counting) -> Loads {
    let start = Instant::now();
    let arrivals = arrivals();
    let mut demand = RequestRates::<(usize, usize, usize)>::default();
    let mut loaded: HashMap<(usize, usize), usize> = HashMap::new();
    let mut loads = Loads::default();
    for (n, &(adapter, hall, entry)) in arrivals.iter().enumerate() {
        let now = start + Duration::from_secs_f64(n as f64 / RATE as f64);
        let (key, factor) = match counting {
            Counting::Entries => ((adapter, hall, entry), ENTRIES_PER_HALL as f64),
            Counting::Agent => ((adapter, hall, 0), 1.0),
        };
        let rate = demand.record(now, &key) * factor;
        if loaded.contains_key(&(adapter, hall))
            || !should_load_in_hall(rate, Distance::SameRegion)
        {
            continue;
        }
        loaded.insert((adapter, hall), n);
        loads.made += 1;
        let after = arrivals[n..].iter().take((RATE * 10) as usize);
        let used = after.filter(|a| (a.0, a.1) == (adapter, hall)).count() as u64;
        loads.useful += u64::from(used >= CROSSINGS_PER_FETCH);
    }
    loads
}

#[test]
fn single_request_does_not_count_as_demand_of_a_hall() {
    let (entries, agent) = (count(Counting::Entries), count(Counting::Agent));
    println!("entries count: {entries:?}\nagents count: {agent:?}");
    assert!(agent.made * 10 < entries.made, "{agent:?} {entries:?}");
    assert!(agent.useful * 2 > agent.made, "{agent:?}");
}
