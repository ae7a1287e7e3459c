//! Tests of the scheduling for an engine with up-to-date reports and one version of each
//! adapter.

use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::engine_scheduler::{
    Action, EngineLimits, EngineScheduler, EvictionPolicy, LoadOrder, QueuedRequest,
};
use larkspring_core::ids::{AttemptId, Incarnation, Target};

fn slots(adapter_slots: usize) -> EngineScheduler {
    EngineScheduler::new(EngineLimits {
        adapter_slots,
        max_running: usize::MAX,
        max_waiting: 100,
        max_loading: 4,
        limits_fetches: true,
        busy_eviction_delay: Duration::from_millis(100),
        initial_no_unload: Duration::ZERO,
        eviction: EvictionPolicy::LeastUsed,
        load_order: LoadOrder::Utility,
    })
}

fn waiting(now: Instant, target: &Target) -> QueuedRequest {
    QueuedRequest {
        target: target.clone(),
        priority: 1,
        arrived_at: now,
        deadline: now + Duration::from_secs(60),
        soft_deadline: now + Duration::from_secs(1),
        utility: 1.0,
    }
}

fn a(version: u64) -> Target {
    Target::new("m/a", &version.to_string())
}

fn run() -> Incarnation {
    "run".into()
}

#[test]
fn old_version_is_unloaded_before_the_new_one_loads() {
    let now = Instant::now();
    let mut slots = slots(4);
    slots.apply_current_report(now, &run(), &[a(1)], &[], |_| true);
    slots.admit(now, 1, waiting(now, &a(1))).expect("admitted");
    assert_eq!(slots.schedule(now), [Action::Start(1)]);
    slots.admit(now, 2, waiting(now, &a(2))).expect("admitted");
    assert_eq!(slots.schedule(now), [], "the old version is in use");
    slots.admit(now, 3, waiting(now, &a(1))).expect("admitted");
    assert_eq!(slots.schedule(now), [], "no new use of the old version");
    slots.record_request_end(now, 1);
    assert_eq!(slots.schedule(now), [Action::Unload(a(1))]);
    slots.record_unload_end(now, &a(1), true);
    let actions = slots.schedule(now);
    assert!(actions.contains(&Action::Load(a(2))), "{actions:?}");
    assert!(!actions.contains(&Action::Load(a(1))), "{actions:?}");
}

struct Case {
    name: &'static str,
    holds: &'static [u64],
    pending: &'static [u64],
    ordered: bool,
    failed: usize,
    resident: usize,
    loading: usize,
}

#[test]
fn current_report_decides_the_result_of_a_load() {
    let cases = [
        Case {
            name: "held",
            holds: &[1],
            pending: &[],
            ordered: true,
            failed: 0,
            resident: 1,
            loading: 0,
        },
        Case {
            name: "on its way",
            holds: &[],
            pending: &[1],
            ordered: true,
            failed: 0,
            resident: 0,
            loading: 1,
        },
        Case {
            name: "vanished",
            holds: &[],
            pending: &[],
            ordered: true,
            failed: 1,
            resident: 0,
            loading: 0,
        },
        Case {
            name: "not ordered yet",
            holds: &[],
            pending: &[],
            ordered: false,
            failed: 0,
            resident: 0,
            loading: 1,
        },
    ];
    for c in cases {
        let now = Instant::now();
        let mut slots = slots(4);
        slots.apply_current_report(now, &run(), &[], &[], |_| true);
        slots.admit(now, 1, waiting(now, &a(1))).expect("admitted");
        assert_eq!(slots.schedule(now), [Action::Load(a(1))], "{}", c.name);
        let targets =
            |versions: &[u64]| versions.iter().map(|v| a(*v)).collect::<Vec<_>>();
        let (holds, pending) = (targets(c.holds), targets(c.pending));
        let failed =
            slots.apply_current_report(now, &run(), &holds, &pending, |_| c.ordered);
        assert_eq!(failed.len(), c.failed, "{}", c.name);
        let (resident, loading) = slots.resident_and_loading();
        assert_eq!(
            (resident.len(), loading.len()),
            (c.resident, c.loading),
            "{}",
            c.name
        );
    }
}

#[test]
fn adopted_requests_pin_their_adapter() {
    let now = Instant::now();
    let mut slots = slots(1);
    assert!(!slots.adopt_running(now, 1, &a(1)), "not reported yet");
    slots.apply_current_report(now, &run(), &[a(1)], &[], |_| true);
    assert!(slots.adopt_running(now, 1, &a(1)));
    let b = Target::new("m/b", "1");
    slots.admit(now, 2, waiting(now, &b)).expect("admitted");
    assert_eq!(slots.schedule(now), [], "the only place is in use");
    slots.record_request_end(now, 1);
    assert_eq!(slots.schedule(now), [Action::Unload(a(1))]);
}

#[test]
fn new_run_has_no_adapters() {
    let now = Instant::now();
    let mut slots = slots(2);
    slots.apply_current_report(now, &run(), &[a(1)], &[], |_| true);
    slots.apply_current_report(now, &"other run".into(), &[], &[], |_| true);
    assert_eq!(slots.resident_and_loading().0.len(), 0);
    assert_eq!(slots.free_adapter_slots(), 2);
}

/// Guards against orders that an engine can't carry out. With random requests, failed
/// loads and restarts, the engine is never ordered to hold more adapters than it has
/// slots or two versions of an adapter, nor to unload an adapter in use.
#[test]
fn no_order_violates_the_engine_limits() {
    for seed in 0..200 {
        let mut engine = Engine::new(seed);
        for _ in 0..400 {
            engine.step();
        }
    }
}

const ADAPTER_SLOTS: usize = 3;

struct Engine {
    rng: Rng,
    seed: u64,
    now: Instant,
    slots: EngineScheduler,
    holds: Vec<Target>,
    pending: Vec<Target>,
    runs: u64,
    next: AttemptId,
    running: Vec<(AttemptId, Target)>,
    waiting: Vec<(AttemptId, Target)>,
}

impl Engine {
    fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            seed,
            now: Instant::now(),
            slots: slots(ADAPTER_SLOTS),
            holds: Vec::new(),
            pending: Vec::new(),
            runs: 0,
            next: 1,
            running: Vec::new(),
            waiting: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.u64(0..200));
        match self.rng.u32(..10) {
            0..=3 => self.request(),
            4..=6 => self.end_one(),
            7..=8 => self.report(),
            _ => self.fault(),
        }
        let actions = self.slots.schedule(self.now);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn request(&mut self) {
        let adapter = format!("m/{}", self.rng.u32(..5));
        let target = Target::new(&adapter, &self.rng.u32(1..3).to_string());
        let id = self.next;
        self.next += 1;
        if self.slots.admit(self.now, id, waiting(self.now, &target)).is_ok() {
            self.waiting.push((id, target));
        }
    }

    fn end_one(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let at = self.rng.usize(..self.running.len());
        let (id, _) = self.running.swap_remove(at);
        self.slots.record_request_end(self.now, id);
    }

    fn report(&mut self) {
        self.holds.append(&mut self.pending);
        let run = format!("run {}", self.runs);
        self.slots.apply_current_report(
            self.now,
            &run.as_str().into(),
            &self.holds,
            &self.pending,
            |_| true,
        );
    }

    fn fault(&mut self) {
        if self.rng.bool() {
            // Pending loads fail.
            self.pending.clear();
        } else {
            self.runs += 1;
            self.holds.clear();
            self.pending.clear();
            self.running.clear();
        }
        self.report();
    }

    fn carry_out(&mut self, action: Action) {
        let seed = self.seed;
        match action {
            Action::Start(id) => {
                let at = self.waiting.iter().position(|(w, _)| *w == id);
                let (id, target) = self.waiting.swap_remove(at.expect("it waits"));
                assert!(
                    self.holds.contains(&target),
                    "seed {seed}: not loaded: {target}"
                );
                self.running.push((id, target));
            }
            Action::Refuse(id, _) => self.waiting.retain(|(w, _)| *w != id),
            Action::Load(target) => {
                let all = self.holds.iter().chain(&self.pending);
                let same = all.clone().filter(|t| t.adapter == target.adapter).count();
                assert_eq!(same, 0, "seed {seed}: two versions of {target}");
                let held = all.count();
                assert!(
                    held < ADAPTER_SLOTS,
                    "seed {seed}: {held} held, {target} ordered"
                );
                self.pending.push(target);
            }
            Action::Unload(target) => {
                let used = self.running.iter().any(|(_, t)| *t == target);
                assert!(!used, "seed {seed}: {target} is in use");
                self.holds.retain(|t| *t != target);
                self.slots.record_unload_end(self.now, &target, true);
            }
        }
    }
}
