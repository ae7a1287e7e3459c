//! The command `decisions`: measures the time to choose an endpoint.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use larkspring::operate::publish::split_chunks;
use larkspring_core::declared::{key_hash, DeclaredState, IndexedChunk};
use larkspring_core::route::{LoadReport, Router, RoutingPolicy};
use larkspring_proto::declared::{Adapter, Caller, Chunk, Endpoint, Version};

use crate::AnyError;

const SIZES: [(usize, usize); 8] = [
    (3_000, 18),
    (12_000, 18),
    (24_000, 18),
    (49_000, 18),
    (49_000, 180),
    (49_000, 1_800),
    (49_000, 5_500),
    (49_000, 11_000),
];
const CALLER_KEY: &str = "key";
const BASE: &str = "base";
const CHOICE_COUNT: usize = 20_000;
/// Number of adapters that each endpoint holds, by its load report.
const RESIDENT_ADAPTERS: u64 = 8;

/// Prints the mean time from the name of a model to the chosen endpoint, for each size.
pub fn run() -> Result<(), AnyError> {
    for (adapters, endpoints) in SIZES {
        let built = Instant::now();
        let state = state(adapters, endpoints);
        let built = built.elapsed();
        let micros = time_choices(&state, adapters)?;
        println!(
            "{adapters} adapters, {endpoints} endpoints: {micros:.2} us a choice, \
             state built in {} ms",
            built.as_millis()
        );
    }
    Ok(())
}

fn state(adapters: usize, endpoints: usize) -> DeclaredState {
    let version = || Version { name: "v1".into(), weights: "w".into(), retired: false };
    let all = Chunk {
        adapters: (0..adapters)
            .map(|n| Adapter {
                name: format!("tenant-{n}"),
                base: BASE.into(),
                versions: vec![version()],
                default_version: "v1".into(),
                ..Adapter::default()
            })
            .collect(),
        callers: vec![Caller {
            name: "c".into(),
            key_sha256: key_hash(CALLER_KEY),
            ..Caller::default()
        }],
        endpoints: (0..endpoints)
            .map(|n| Endpoint {
                name: format!("engine-{n}"),
                base: BASE.into(),
                ..Endpoint::default()
            })
            .collect(),
        ..Chunk::default()
    };
    let chunks = split_chunks(&all);
    let index = |(n, chunk): (usize, &Chunk)| {
        Arc::new(IndexedChunk::index(&n.to_string(), chunk))
    };
    DeclaredState::build(1, chunks.iter().enumerate().map(index).collect())
}

fn time_choices(state: &DeclaredState, adapters: usize) -> Result<f64, AnyError> {
    let router = Router::new(RoutingPolicy::ShortestWait);
    let now = Instant::now();
    let mut rng = fastrand::Rng::with_seed(1);
    for endpoint in state.endpoints() {
        let resident = (0..RESIDENT_ADAPTERS).map(|_| rng.u64(..)).collect();
        router.record_load_report(
            now,
            &endpoint.name,
            LoadReport { resident, ..LoadReport::default() },
        );
    }
    let caller = state.caller(CALLER_KEY).ok_or("the caller is missing")?;
    let names: Vec<_> =
        (0..CHOICE_COUNT).map(|_| format!("tenant-{}", rng.usize(..adapters))).collect();
    let began = Instant::now();
    for name in &names {
        let choice = state.resolve(name, &caller)?;
        let target = choice.target.hash();
        let near = state.candidate_engines(&choice.base, target);
        black_box(router.choose(now, &near, Some(target), &[], &mut rng));
    }
    Ok(began.elapsed().as_secs_f64() * 1e6 / CHOICE_COUNT as f64)
}
