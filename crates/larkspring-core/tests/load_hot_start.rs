//! One adapter that becomes popular in a large fleet whose entries follow no reports.
//!
//! Load: 160 requests a second for one adapter from 400 entries, answers of 500 ms, engines
//! of 12 slots that queue 6 more, loads of 250 ms. All entries turn to the adapter's home
//! at first. Without a limit the home gets all requests and sheds most of them; with it the
//! endpoints next in rank load the adapter within the first second.

use std::collections::HashSet;

use fastrand::Rng;
use larkspring_core::fleet::following::accepts_unaware;

const ENTRIES: usize = 400;
const ENGINES: usize = 60;
const REQUESTS_PER_SEC: u32 = 160;
const SLOTS: usize = 12;
const QUEUE: usize = 6;
const ANSWER_MS: u64 = 500;
const LOAD_MS: u64 = 250;
const MAX_REFUSALS: usize = 4;
const SECONDS: u64 = 4;

#[derive(Debug, Default)]
struct Engine {
    /// When the adapter is resident; `None` if it was never asked for.
    resident_at: Option<u64>,
    /// When each hold ends.
    holds: Vec<u64>,
}

/// Returns how many requests an engine shed, and how many engines hold the adapter.
fn simulate(max_holds: usize, seed: u64) -> (usize, usize) {
    let mut rng = Rng::with_seed(seed);
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    // What each entry knows: engines whose agents it has asked.
    let mut known: Vec<HashSet<usize>> = vec![HashSet::new(); ENTRIES];
    let mut shed = 0;
    for ms in 0..SECONDS * 1000 {
        engines.iter_mut().for_each(|e| e.holds.retain(|end| *end > ms));
        if rng.u32(..1000) >= REQUESTS_PER_SEC {
            continue;
        }
        let entry = rng.usize(..ENTRIES);
        let (mut chosen, mut refusals) = (0, 0);
        for (rank, engine) in engines.iter().enumerate() {
            chosen = rank;
            // An entry that is connected to the agent has its reports.
            let is_known = !known[entry].insert(rank);
            let takes = match is_known && max_holds > 0 {
                true => engine.holds.len() < SLOTS,
                false if refusals < MAX_REFUSALS => {
                    accepts_unaware(engine.holds.len(), max_holds)
                }
                false => true,
            };
            if takes {
                break;
            }
            refusals += usize::from(!is_known);
        }
        let engine = &mut engines[chosen];
        let resident_at = *engine.resident_at.get_or_insert(ms + LOAD_MS);
        shed += usize::from(engine.holds.len() >= SLOTS + QUEUE);
        engine.holds.push(ms.max(resident_at) + ANSWER_MS);
    }
    (shed, engines.iter().filter(|e| e.resident_at.is_some()).count())
}

#[test]
fn entries_that_know_no_load_spread_over_the_ranks() {
    for seed in 0..10 {
        let (shed, engines) = simulate(0, seed);
        assert!(shed > 200 && engines == 1, "without a limit: {shed}, {engines}");
        let (shed_limited, engines) = simulate(SLOTS, seed);
        assert!(shed_limited * 4 < shed, "seed {seed}: {shed_limited} of {shed} shed");
        assert!(engines > 3, "seed {seed}: only {engines} engines");
    }
}
