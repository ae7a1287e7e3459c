//! Tests of the choice of an endpoint: candidates, load reports and avoided endpoints.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::declared::{DeclaredState, Endpoint, IndexedChunk};
use larkspring_core::ids::Target;
use larkspring_core::route::{LoadReport, Router, RoutingPolicy};
use larkspring_proto::declared as wire;

const BASE: &str = "base";

fn state(count: usize) -> DeclaredState {
    let endpoint = |n| wire::Endpoint {
        name: format!("engine-{n}"),
        base: BASE.into(),
        ..wire::Endpoint::default()
    };
    let endpoints = (0..count).map(endpoint).collect();
    let chunk = wire::Chunk { endpoints, ..wire::Chunk::default() };
    DeclaredState::build(1, vec![Arc::new(IndexedChunk::index("one", &chunk))])
}

fn hash(n: usize) -> u64 {
    Target::new(&format!("tenant-{n}"), "v1").hash()
}

/// A router with a few endpoints, which chooses for a fixed target.
struct Choice {
    state: DeclaredState,
    router: Router,
    now: Instant,
}

impl Choice {
    fn new() -> Self {
        let router = Router::new(RoutingPolicy::ShortestWait);
        Self { state: state(6), router, now: Instant::now() }
    }

    fn choose(&self, tried: &[Arc<Endpoint>]) -> Option<Arc<Endpoint>> {
        let tried: Vec<_> = tried.iter().map(|e| e.name.clone()).collect();
        let near = self.state.candidate_engines(BASE, hash(1));
        let mut rng = Rng::with_seed(1);
        self.router.choose(self.now, &near, Some(hash(1)), &tried, &mut rng)
    }

    fn learn(&self, endpoint: &Endpoint, hint: LoadReport) {
        self.router.record_load_report(self.now, &endpoint.name, hint);
    }
}

#[test]
fn entries_without_load_reports_agree() {
    for n in 0..20 {
        let choose = |seed| {
            let state = state(18);
            let near = state.candidate_engines(BASE, hash(n));
            let router = Router::new(RoutingPolicy::ShortestWait);
            let mut rng = Rng::with_seed(seed);
            router.choose(Instant::now(), &near, Some(hash(n)), &[], &mut rng).unwrap()
        };
        assert_eq!(choose(1).name, choose(2).name);
    }
}

#[test]
fn load_reports_decide_among_candidates() {
    let choice = Choice::new();
    let first = choice.choose(&[]).unwrap();
    let second = choice.choose(std::slice::from_ref(&first)).unwrap();
    assert_ne!(first.name, second.name);
    // An endpoint that holds the adapter is preferred to a higher-ranked one that does
    // not,
    choice
        .learn(&second, LoadReport { resident: vec![hash(1)], ..LoadReport::default() });
    assert_eq!(choice.choose(&[]).unwrap().name, second.name);
    // unless its queue is long.
    let resident = vec![hash(1)];
    choice.learn(&second, LoadReport { resident, waiting: 100, ..LoadReport::default() });
    assert_eq!(choice.choose(&[]).unwrap().name, first.name);
}

#[test]
fn draining_and_unreachable_endpoints_are_avoided_for_a_time() {
    let choice = Choice::new();
    let first = choice.choose(&[]).unwrap();
    choice.learn(&first, LoadReport { draining: true, ..LoadReport::default() });
    assert_ne!(choice.choose(&[]).unwrap().name, first.name);
    choice.learn(&first, LoadReport::default());
    assert_eq!(choice.choose(&[]).unwrap().name, first.name);
    choice.router.record_unreachable(choice.now, &first.name);
    assert_ne!(choice.choose(&[]).unwrap().name, first.name);
    let later = Choice { now: choice.now + Duration::from_secs(2), ..choice };
    assert_eq!(later.choose(&[]).unwrap().name, first.name);
}

#[test]
fn no_endpoint_is_chosen_when_all_were_tried() {
    let choice = Choice::new();
    let mut tried = Vec::new();
    while let Some(endpoint) = choice.choose(&tried) {
        tried.push(endpoint);
    }
    assert_eq!(tried.len(), 6);
}

#[test]
fn candidates_are_sufficient_distinct_and_stable() {
    struct Case {
        endpoints: usize,
        least: usize,
        most: usize,
    }
    let cases = [
        Case { endpoints: 0, least: 0, most: 0 },
        Case { endpoints: 1, least: 1, most: 1 },
        Case { endpoints: 48, least: 48, most: 48 },
        Case { endpoints: 500, least: 24, most: 160 },
        Case { endpoints: 11_000, least: 24, most: 160 },
    ];
    for case in cases {
        let state = state(case.endpoints);
        for n in 0..50 {
            let near = state.candidate_engines(BASE, hash(n));
            let names: BTreeSet<_> = near.iter().map(|e| &e.name).collect();
            assert_eq!(names.len(), near.len());
            let count = near.len();
            assert!(
                (case.least..=case.most).contains(&count),
                "{}: {count}",
                case.endpoints
            );
        }
    }
    // Adding an endpoint changes the first choice of few targets.
    let first = |state: &DeclaredState, n| {
        let router = Router::new(RoutingPolicy::Hash);
        let near = state.candidate_engines(BASE, hash(n));
        let mut rng = Rng::with_seed(1);
        router
            .choose(Instant::now(), &near, Some(hash(n)), &[], &mut rng)
            .unwrap()
            .name
            .clone()
    };
    let (before, after) = (state(300), state(301));
    let moved = (0..1000).filter(|n| first(&before, *n) != first(&after, *n)).count();
    assert!(moved < 30, "{moved} of 1000 moved");
}
