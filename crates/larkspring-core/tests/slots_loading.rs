//! Tests of the order of an engine's adapter loads, and of the limit on concurrent
//! fetches.

use std::time::{Duration, Instant};

use larkspring_core::engine_scheduler::{
    Action, EngineLimits, EngineScheduler, EvictionPolicy, LoadOrder, QueuedRequest,
};
use larkspring_core::ids::{AttemptId, Incarnation, Target};

const MAX_LOADING: usize = 4;

/// A request that waits for an adapter.
struct Request {
    adapter: &'static str,
    /// Milliseconds until the answer is late.
    due: u64,
    worth: f64,
}

fn request(adapter: &'static str, due: u64, worth: f64) -> Request {
    Request { adapter, due, worth }
}

fn slots(
    places: usize,
    max_loading: usize,
    load_order: LoadOrder,
    limits_fetches: bool,
) -> EngineScheduler {
    EngineScheduler::new(EngineLimits {
        adapter_slots: places,
        max_running: usize::MAX,
        max_waiting: 1000,
        max_loading,
        limits_fetches,
        busy_eviction_delay: Duration::from_secs(1),
        initial_no_unload: Duration::ZERO,
        eviction: EvictionPolicy::LeastUsed,
        load_order,
    })
}

fn run() -> Incarnation {
    "run".into()
}

fn target(adapter: &str) -> Target {
    Target::new(&format!("m/{adapter}"), "1")
}

fn waiting(now: Instant, request: &Request) -> QueuedRequest {
    QueuedRequest {
        target: target(request.adapter),
        priority: 1,
        arrived_at: now,
        deadline: now + Duration::from_secs(60),
        soft_deadline: now + Duration::from_millis(request.due),
        utility: request.worth,
    }
}

fn loads(actions: &[Action]) -> Vec<Target> {
    let load = |action: &Action| match action {
        Action::Load(target) => Some(target.clone()),
        _ => None,
    };
    actions.iter().filter_map(load).collect()
}

#[test]
fn load_with_the_highest_utility_comes_first() {
    struct Case {
        name: &'static str,
        requests: Vec<Request>,
        first: &'static str,
    }
    let cases = [
        Case {
            name: "what can be in time before what is late",
            requests: vec![request("late", 0, 1.0), request("timely", 600, 1.0)],
            first: "timely",
        },
        Case {
            name: "what is late in any case counts as late",
            requests: vec![request("late", 50, 1.0), request("timely", 600, 1.0)],
            first: "timely",
        },
        Case {
            name: "a long prompt before a short one",
            requests: vec![request("short", 600, 1.2), request("long", 600, 3.7)],
            first: "long",
        },
        Case {
            name: "many late answers before a timely one",
            requests: vec![
                request("one", 600, 1.0),
                request("many", 0, 1.0),
                request("many", 0, 1.0),
                request("many", 0, 1.0),
                request("many", 0, 1.0),
            ],
            first: "many",
        },
        Case {
            name: "of equals the one that is due first",
            requests: vec![request("later", 900, 1.0), request("sooner", 600, 1.0)],
            first: "sooner",
        },
        Case {
            name: "of late ones the one that is late for longest",
            requests: vec![request("later", 20, 1.0), request("sooner", 10, 1.0)],
            first: "sooner",
        },
    ];
    for c in cases {
        let now = Instant::now();
        let mut slots = slots(4, 1, LoadOrder::Utility, false);
        slots.apply_current_report(now, &run(), &[], &[], |_| true);
        for (id, request) in c.requests.iter().enumerate() {
            let id = id as AttemptId;
            slots.admit(now, id, waiting(now, request)).expect("admitted");
        }
        assert_eq!(loads(&slots.schedule(now)), [target(c.first)], "{}", c.name);
    }
}

/// An engine that fetches adapters continuously; the duration of each fetch is given.
struct Engine {
    slots: EngineScheduler,
    now: Instant,
    /// Fetches in progress, with their ends.
    fetching: Vec<(Target, Instant)>,
    next: usize,
}

const STEP: Duration = Duration::from_millis(10);

impl Engine {
    fn new(now: Instant) -> Self {
        let mut slots = slots(1000, MAX_LOADING, LoadOrder::Utility, true);
        slots.apply_current_report(now, &run(), &[], &[], |_| true);
        Self { slots, now, fetching: Vec::new(), next: 0 }
    }

    /// Advances time while fetches take `duration`; returns the mean number of concurrent
    /// fetches.
    fn advance(&mut self, time: Duration, duration: Duration) -> f64 {
        let (mut sum, mut steps) = (0, 0);
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.ask();
            let now = self.now;
            for (target, _) in self.fetching.extract_if(.., |(_, end)| *end <= now) {
                self.slots.record_load_end(now, &target, true);
            }
            let loads = loads(&self.slots.schedule(now));
            self.fetching
                .extend(loads.into_iter().map(|target| (target, now + duration)));
            sum += self.fetching.len();
            steps += 1;
        }
        f64::from(sum as u32) / f64::from(steps)
    }

    /// Keeps some requests waiting, each for another adapter.
    fn ask(&mut self) {
        while self.slots.waiting() < 2 * MAX_LOADING {
            let now = self.now;
            let req = QueuedRequest {
                target: target(&self.next.to_string()),
                ..waiting(now, &request("", 600, 1.0))
            };
            self.slots.admit(now, self.next as AttemptId, req).expect("admitted");
            self.next += 1;
        }
    }
}

#[test]
fn concurrent_fetches_follow_the_speed_of_the_store() {
    let quick = Duration::from_millis(250);
    let second = Duration::from_secs(1);
    let mut engine = Engine::new(Instant::now());
    engine.ask();
    let first = loads(&engine.slots.schedule(engine.now));
    assert_eq!(first.len(), 1, "nothing is known of the store");
    engine.fetching.push((first[0].clone(), engine.now + quick));
    engine.advance(5 * second, quick);
    let open = engine.advance(2 * second, quick);
    assert!(open > 3.5, "a store that is not full is used: {open}");
    engine.advance(5 * second, 4 * quick);
    let full = engine.advance(4 * second, 4 * quick);
    assert!(full < 0.7, "fetches wait here while the store is full: {full}");
    engine.advance(3 * second, quick);
    let again = engine.advance(2 * second, quick);
    assert!(again > 3.5, "the store has room again: {again}");
}

#[test]
fn loads_from_host_memory_do_not_wait_for_the_store() {
    let quick = Duration::from_millis(250);
    let mut engine = Engine::new(Instant::now());
    let copied = target("copied");
    let held = [copied.clone()];
    engine.slots.apply_current_report(engine.now, &run(), &held, &[], |_| true);
    // The store is overloaded, and the engine's only permitted fetch is in progress.
    engine.advance(Duration::from_secs(2), quick);
    engine.advance(Duration::from_secs(4), 8 * quick);
    let now = engine.now;
    let fetching: Vec<_> = engine.fetching.iter().map(|(t, _)| t.clone()).collect();
    let resident: Vec<_> = engine
        .slots
        .resident_and_loading()
        .0
        .into_iter()
        .filter(|t| **t != copied)
        .cloned()
        .collect();
    // The engine has unloaded the adapter meanwhile, but its VM still has the host-memory
    // copy.
    engine.slots.apply_current_report(now, &run(), &resident, &fetching, |_| true);
    let req = waiting(now, &request("copied", 600, 100.0));
    engine.slots.admit(now, AttemptId::MAX, req).expect("admitted");
    assert_eq!(loads(&engine.slots.schedule(now)), [copied]);
}

#[test]
fn unknown_host_copies_do_not_make_fetches_look_slow() {
    let quick = Duration::from_millis(250);
    let mut engine = Engine::new(Instant::now());
    engine.advance(Duration::from_secs(1), Duration::from_millis(30));
    engine.advance(Duration::from_secs(5), quick);
    let open = engine.advance(Duration::from_secs(2), quick);
    assert!(open > 3.5, "a store that is not full is used: {open}");
}

#[test]
fn wait_for_an_order_does_not_count_as_store_overload() {
    let quick = Duration::from_millis(250);
    let lost = Duration::from_millis(600);
    let mut engine = Engine::new(Instant::now());
    engine.advance(Duration::from_secs(5), quick);
    let mut ordered: Vec<_> = engine.fetching.drain(..).map(|(t, _)| t).collect();
    // Every order is answered late, and each load takes as long as before from there.
    for _ in 0..8 {
        assert!(!ordered.is_empty(), "fetches go on");
        for target in &ordered {
            engine.slots.record_load_order(engine.now + lost, target);
        }
        engine.now += lost + quick;
        for target in ordered {
            engine.slots.record_load_end(engine.now, &target, true);
        }
        engine.ask();
        ordered = loads(&engine.slots.schedule(engine.now));
    }
    assert_eq!(ordered.len(), MAX_LOADING, "fetches are not held back");
}
