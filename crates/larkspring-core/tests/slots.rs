//! Tests of an agent's scheduling of one engine, event by event, on a simulated clock.

use std::time::{Duration, Instant};

use larkspring_core::engine_scheduler::{
    Action, EngineLimits, EngineScheduler, EvictionPolicy, LoadOrder, QueuedRequest,
    ReportedAdapter,
};
use larkspring_core::ids::{Incarnation, Target};
use larkspring_core::outcome::{Outcome, Step};

const MINUTE: Duration = Duration::from_secs(60);
const SETTLE: Duration = Duration::from_secs(3);
const PATIENCE: Duration = Duration::from_secs(2);

/// The scheduling state with its clock.
struct Agent {
    slots: EngineScheduler,
    now: Instant,
    next: u64,
}

impl Agent {
    /// An agent that may already unload, whose engine holds `held`.
    fn new(slots: usize, held: &[&str]) -> Self {
        let mut agent = Self::unsettled(slots, held);
        agent.advance(SETTLE);
        agent
    }

    fn unsettled(adapter_slots: usize, held: &[&str]) -> Self {
        let limits = EngineLimits {
            adapter_slots,
            max_running: 2,
            max_waiting: 4,
            max_loading: 1,
            limits_fetches: false,
            busy_eviction_delay: PATIENCE,
            initial_no_unload: SETTLE,
            eviction: EvictionPolicy::LeastUsed,
            load_order: LoadOrder::Urgency,
        };
        let slots = EngineScheduler::new(limits);
        let mut agent = Self { slots, now: Instant::now(), next: 0 };
        agent.report("run-1", held);
        agent
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    fn report(&mut self, run: &str, held: &[&str]) {
        let held: Vec<_> = held
            .iter()
            .map(|name| ReportedAdapter { target: target(name), other_requests: 0 })
            .collect();
        self.slots.apply_delayed_report(self.now, &Incarnation::from(run), &held);
    }

    /// Admits a request; returns its number.
    fn ask(&mut self, name: &str) -> u64 {
        self.ask_with(name, 5)
    }

    fn ask_with(&mut self, name: &str, priority: u32) -> u64 {
        self.next += 1;
        let req = self.request(name, priority, MINUTE);
        self.slots.admit(self.now, self.next, req).unwrap();
        self.next
    }

    fn request(&self, name: &str, priority: u32, limit: Duration) -> QueuedRequest {
        let deadline = self.now + limit;
        QueuedRequest {
            target: target(name),
            priority,
            arrived_at: self.now,
            deadline,
            soft_deadline: deadline,
            utility: 1.0,
        }
    }

    fn schedule(&mut self) -> Vec<Action> {
        self.slots.schedule(self.now)
    }

    fn loaded(&mut self, name: &str, ok: bool) {
        self.slots.record_load_end(self.now, &target(name), ok);
    }

    fn unloaded(&mut self, name: &str) {
        self.slots.record_unload_end(self.now, &target(name), true);
    }

    fn ended(&mut self, id: u64) {
        self.slots.record_request_end(self.now, id);
    }
}

fn target(name: &str) -> Target {
    Target::new(name, "v1")
}

fn load(name: &str) -> Action {
    Action::Load(target(name))
}

fn unload(name: &str) -> Action {
    Action::Unload(target(name))
}

#[test]
fn resident_adapter_starts_at_once() {
    let mut agent = Agent::new(2, &["a"]);
    let id = agent.ask("a");
    assert_eq!(agent.schedule(), [Action::Start(id)]);
    assert_eq!(agent.slots.pins(&target("a")), 1);
}

#[test]
fn one_load_serves_all_waiting_requests() {
    let mut agent = Agent::new(2, &[]);
    let (first, second) = (agent.ask("a"), agent.ask("a"));
    assert_eq!(agent.schedule(), [load("a")]);
    assert_eq!(agent.schedule(), []);
    agent.loaded("a", true);
    assert_eq!(agent.schedule(), [Action::Start(first), Action::Start(second)]);
}

#[test]
fn pinned_adapter_is_not_unloaded() {
    let mut agent = Agent::new(1, &["a"]);
    let user = agent.ask("a");
    assert_eq!(agent.schedule(), [Action::Start(user)]);
    let next = agent.ask("b");
    assert_eq!(agent.schedule(), []);
    agent.ended(user);
    assert_eq!(agent.schedule(), [unload("a")]);
    agent.unloaded("a");
    assert_eq!(agent.schedule(), [load("b")]);
    agent.loaded("b", true);
    assert_eq!(agent.schedule(), [Action::Start(next)]);
}

#[test]
fn adapter_used_by_an_earlier_agent_is_not_unloaded() {
    let mut agent = Agent::new(1, &["a"]);
    let run = Incarnation::from("run-1");
    let used = [ReportedAdapter { target: target("a"), other_requests: 1 }];
    agent.slots.apply_delayed_report(agent.now, &run, &used);
    agent.ask("b");
    assert_eq!(agent.schedule(), []);
    agent.report("run-1", &["a"]);
    assert_eq!(agent.schedule(), [unload("a")]);
}

#[test]
fn new_agent_unloads_nothing_during_its_settling_time() {
    let mut agent = Agent::unsettled(1, &["a"]);
    agent.ask("b");
    assert_eq!(agent.schedule(), []);
    agent.advance(SETTLE);
    assert_eq!(agent.schedule(), [unload("a")]);
}

#[test]
fn late_report_does_not_bring_back_an_unloaded_adapter() {
    let mut agent = Agent::new(1, &["a"]);
    agent.ask("b");
    assert_eq!(agent.schedule(), [unload("a")]);
    agent.unloaded("a");
    agent.report("run-1", &["a"]);
    agent.ask("a");
    assert_eq!(agent.schedule(), [load("b")]);
}

#[test]
fn busy_adapter_is_evicted_after_a_long_wait() {
    let mut agent = Agent::new(1, &["a"]);
    let first = agent.ask("a");
    assert_eq!(agent.schedule(), [Action::Start(first)]);
    let cold = agent.ask("b");
    agent.advance(PATIENCE);
    assert_eq!(agent.schedule(), []);
    // From now on no request for `a` starts, so that its last pin is released.
    agent.ask("a");
    assert_eq!(agent.schedule(), []);
    agent.ended(first);
    assert_eq!(agent.schedule(), [unload("a")]);
    agent.unloaded("a");
    assert_eq!(agent.schedule(), [load("b")]);
    agent.loaded("b", true);
    assert_eq!(agent.schedule()[0], Action::Start(cold));
}

#[test]
fn urgent_requests_go_first() {
    let mut agent = Agent::new(4, &["a", "b"]);
    let ids = [agent.ask_with("a", 7), agent.ask_with("b", 1), agent.ask_with("a", 3)];
    assert_eq!(agent.schedule(), [Action::Start(ids[1]), Action::Start(ids[2])]);
}

#[test]
fn least_used_adapter_is_unloaded_first() {
    let mut agent = Agent::new(2, &["a", "b"]);
    for name in ["a", "a", "b"] {
        let id = agent.ask(name);
        assert_eq!(agent.schedule(), [Action::Start(id)]);
        agent.ended(id);
    }
    agent.ask("c");
    assert_eq!(agent.schedule(), [unload("b")]);
}

#[test]
fn new_run_of_the_engine_has_no_adapters() {
    let mut agent = Agent::new(2, &["a"]);
    let user = agent.ask("a");
    assert_eq!(agent.schedule(), [Action::Start(user)]);
    agent.report("run-2", &[]);
    let other = agent.ask("a");
    assert_eq!(agent.schedule(), [load("a")]);
    agent.loaded("a", true);
    // The end of a request of the old run releases no pin in the new run.
    assert_eq!(agent.schedule(), [Action::Start(other)]);
    agent.ended(user);
    assert_eq!(agent.slots.pins(&target("a")), 1);
}

#[test]
fn failed_load_refuses_waiting_requests_and_backs_off() {
    let mut agent = Agent::new(2, &[]);
    let id = agent.ask("a");
    assert_eq!(agent.schedule(), [load("a")]);
    agent.loaded("a", false);
    let actions = agent.schedule();
    let [Action::Refuse(refused, refusal)] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!((*refused, refusal.outcome), (id, Outcome::NotRun));
    assert_eq!(refusal.step, Step::Load);
    assert!(refusal.elsewhere);
    let again = agent.slots.admit(agent.now, 9, agent.request("a", 5, MINUTE));
    assert!(again.unwrap_err().retry_after.is_some());
    agent.advance(MINUTE);
    agent.ask("a");
    assert_eq!(agent.schedule(), [load("a")]);
}

#[test]
fn requests_that_cannot_be_served_are_refused_at_once() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut Agent),
        limit: Duration,
    }
    let fill = |agent: &mut Agent| {
        for _ in 0..4 {
            agent.ask("a");
        }
    };
    let case = |name, prepare, limit| Case { name, prepare, limit };
    let cases = [
        case("draining", |a: &mut Agent| a.slots.set_draining(true), MINUTE),
        case("unreachable", |a: &mut Agent| a.slots.record_unreachable(), MINUTE),
        case("full", fill, MINUTE),
        case("too late", |_: &mut Agent| (), Duration::from_millis(1)),
    ];
    for case in cases {
        let mut agent = Agent::new(2, &[]);
        (case.prepare)(&mut agent);
        let req = agent.request("b", 5, case.limit);
        let refusal = agent.slots.admit(agent.now, 99, req).unwrap_err();
        assert_eq!(refusal.outcome, Outcome::NotRun, "{}", case.name);
        assert_eq!(refusal.step, Step::Queue, "{}", case.name);
        assert!(refusal.retry_after.is_some(), "{}", case.name);
    }
}

#[test]
fn draining_refuses_waiting_and_finishes_running_requests() {
    let mut agent = Agent::new(1, &["a"]);
    let runs = agent.ask("a");
    assert_eq!(agent.schedule(), [Action::Start(runs)]);
    let waits = agent.ask("b");
    agent.slots.set_draining(true);
    let actions = agent.schedule();
    assert!(matches!(actions[..], [Action::Refuse(id, _)] if id == waits), "{actions:?}");
    assert!(!agent.slots.is_idle());
    agent.ended(runs);
    assert!(agent.slots.is_idle());
    agent.slots.set_draining(false);
    let again = agent.ask("a");
    assert_eq!(agent.schedule(), [Action::Start(again)]);
}

#[test]
fn reloaded_adapter_keeps_its_use_count() {
    let mut agent = Agent::new(2, &["often", "other"]);
    for _ in 0..3 {
        let id = agent.ask("often");
        assert_eq!(agent.schedule(), [Action::Start(id)]);
        agent.ended(id);
    }
    // The adapter is unloaded, as the other one is in use, and is loaded again.
    let user = agent.ask("other");
    assert_eq!(agent.schedule(), [Action::Start(user)]);
    agent.ask("third");
    assert_eq!(agent.schedule(), [unload("often")]);
    agent.unloaded("often");
    assert_eq!(agent.schedule(), [load("third")]);
    agent.loaded("third", true);
    let third = agent.next;
    assert_eq!(agent.schedule(), [Action::Start(third)]);
    agent.ended(user);
    let back = agent.ask("often");
    assert_eq!(agent.schedule(), [unload("other")]);
    agent.unloaded("other");
    assert_eq!(agent.schedule(), [load("often")]);
    agent.loaded("often", true);
    agent.ended(third);
    assert_eq!(agent.schedule(), [Action::Start(back)]);
    agent.ended(back);
    agent.ask("fourth");
    assert_eq!(agent.schedule(), [unload("third")]);
}
