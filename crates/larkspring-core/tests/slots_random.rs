//! Checks the invariants of an agent's scheduling under random events, faults and clock
//! steps.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use larkspring_core::engine_scheduler::{
    Action, EngineLimits, EngineScheduler, EvictionPolicy, LoadOrder, QueuedRequest,
    ReportedAdapter,
};
use larkspring_core::ids::{Incarnation, Target};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SLOTS: usize = 3;
const MAX_RUNNING: usize = 4;
const ADAPTERS: u8 = 6;
/// Reports show the state of the engine up to this many events ago.
const REPORT_LAG: usize = 3;

#[derive(Debug, Clone)]
enum Event {
    Request { adapter: u8, priority: u32 },
    Abandon(u8),
    End(u8),
    Load { nth: u8, ok: bool },
    Unload { nth: u8, ok: bool },
    Report { lag: u8 },
    Restart,
    Lost,
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..ADAPTERS, 0..10u32)
            .prop_map(|(adapter, priority)| Event::Request { adapter, priority }),
        1 => any::<u8>().prop_map(Event::Abandon),
        5 => any::<u8>().prop_map(Event::End),
        5 => (any::<u8>(), prop::bool::weighted(0.8))
            .prop_map(|(nth, ok)| Event::Load { nth, ok }),
        4 => (any::<u8>(), prop::bool::weighted(0.8))
            .prop_map(|(nth, ok)| Event::Unload { nth, ok }),
        3 => (0..REPORT_LAG as u8).prop_map(|lag| Event::Report { lag }),
        1 => Just(Event::Restart),
        1 => Just(Event::Lost),
        3 => (1..3000u64).prop_map(Event::Wait),
    ]
}

/// The actual state of the engine, next to the scheduling state that is based on reports.
struct Simulation {
    slots: EngineScheduler,
    now: Instant,
    run: u32,
    loaded: BTreeSet<u8>,
    history: Vec<(u32, BTreeSet<u8>)>,
    loading: Vec<u8>,
    unloading: Vec<u8>,
    waiting: BTreeMap<u64, u8>,
    running: BTreeMap<u64, (u8, u32)>,
    next: u64,
}

fn target(adapter: u8) -> Target {
    Target::new(&adapter.to_string(), "v")
}

fn adapter(target: &Target) -> u8 {
    target.adapter.parse().unwrap()
}

fn pick<T: Copy>(all: &[T], nth: u8) -> Option<T> {
    (!all.is_empty()).then(|| all[nth as usize % all.len()])
}

impl Simulation {
    fn new() -> Self {
        let limits = EngineLimits {
            adapter_slots: SLOTS,
            max_running: MAX_RUNNING,
            max_waiting: 20,
            max_loading: 2,
            limits_fetches: false,
            busy_eviction_delay: Duration::from_secs(2),
            initial_no_unload: Duration::from_secs(3),
            eviction: EvictionPolicy::LeastUsed,
            load_order: LoadOrder::Urgency,
        };
        let mut simulation = Self {
            slots: EngineScheduler::new(limits),
            now: Instant::now(),
            run: 1,
            loaded: BTreeSet::new(),
            history: Vec::new(),
            loading: Vec::new(),
            unloading: Vec::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            next: 0,
        };
        simulation.report(0);
        simulation
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Request { adapter, priority } => self.request(adapter, priority),
            Event::Abandon(nth) => {
                let ids: Vec<_> = self.waiting.keys().copied().collect();
                if let Some(id) = pick(&ids, nth) {
                    assert!(self.slots.cancel(id), "a waiting request has not started");
                    self.waiting.remove(&id);
                }
            }
            Event::End(nth) => {
                let ids: Vec<_> = self.running.keys().copied().collect();
                if let Some(id) = pick(&ids, nth) {
                    self.running.remove(&id);
                    self.slots.record_request_end(self.now, id);
                }
            }
            Event::Load { nth, ok } => {
                if let Some(a) = pick(&self.loading, nth) {
                    self.loading.retain(|b| *b != a);
                    if ok {
                        self.loaded.insert(a);
                    }
                    self.slots.record_load_end(self.now, &target(a), ok);
                }
            }
            Event::Unload { nth, ok } => {
                if let Some(a) = pick(&self.unloading, nth) {
                    self.unloading.retain(|b| *b != a);
                    if ok {
                        self.loaded.remove(&a);
                    }
                    self.slots.record_unload_end(self.now, &target(a), ok);
                }
            }
            Event::Report { lag } => self.report(lag as usize),
            Event::Restart => {
                self.run += 1;
                self.loaded.clear();
                self.loading.clear();
                self.unloading.clear();
                self.history.clear();
                self.report(0);
            }
            Event::Lost => self.slots.record_unreachable(),
            Event::Wait(ms) => self.now += Duration::from_millis(ms),
        }
        self.history.push((self.run, self.loaded.clone()));
    }

    fn request(&mut self, adapter: u8, priority: u32) {
        self.next += 1;
        let deadline = self.now + Duration::from_secs(3600);
        let req = QueuedRequest {
            target: target(adapter),
            priority,
            arrived_at: self.now,
            deadline,
            soft_deadline: deadline,
            utility: 1.0,
        };
        if self.slots.admit(self.now, self.next, req).is_ok() {
            self.waiting.insert(self.next, adapter);
        }
    }

    fn report(&mut self, lag: usize) {
        let past = self.history.iter().rev().nth(lag).cloned();
        let (run, loaded) = past.unwrap_or((self.run, self.loaded.clone()));
        let run = Incarnation::from(run.to_string());
        let held = loaded
            .iter()
            .map(|a| ReportedAdapter { target: target(*a), other_requests: 0 });
        self.slots.apply_delayed_report(self.now, &run, &held.collect::<Vec<_>>());
    }

    fn schedule(&mut self) {
        for action in self.slots.schedule(self.now) {
            match action {
                Action::Start(id) => {
                    let a = self.waiting.remove(&id).expect("only waiting ones start");
                    // The engine refuses a request for an adapter that it does not hold;
                    // the agent then records the adapter as missing.
                    if !self.loaded.contains(&a) {
                        self.slots.record_missing_adapter(&target(a));
                        self.slots.record_request_end(self.now, id);
                        continue;
                    }
                    self.running.insert(id, (a, self.run));
                }
                Action::Refuse(id, refusal) => {
                    assert!(refusal.retry_after.is_some());
                    self.waiting.remove(&id).expect("only waiting ones are refused");
                }
                Action::Load(t) => {
                    let a = adapter(&t);
                    assert!(!self.loading.contains(&a), "one load serves all");
                    self.loading.push(a);
                }
                Action::Unload(t) => {
                    let a = adapter(&t);
                    let uses = |(b, run): &&(u8, u32)| *b == a && *run == self.run;
                    assert_eq!(self.running.values().filter(uses).count(), 0, "pinned");
                    self.unloading.push(a);
                }
            }
        }
        let in_engine = self.running.values().filter(|(_, run)| *run == self.run);
        assert!(in_engine.count() <= MAX_RUNNING);
        assert_eq!(self.slots.waiting(), self.waiting.len());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(20261202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn adapters_in_use_are_kept(events in prop::collection::vec(event(), 1..150)) {
        let mut simulation = Simulation::new();
        for event in events {
            simulation.apply(event);
            simulation.schedule();
        }
    }
}
