//! Tests of the weight store's load budget: its limits and the order of loads.

use std::time::{Duration, Instant};

use larkspring_core::load_budget::{LoadBudget, LoadBudgetLimits};

const SECOND: Duration = Duration::from_secs(1);

fn budget(rate: f64, concurrency: usize) -> LoadBudget {
    LoadBudget::new(LoadBudgetLimits { rate, concurrency })
}

#[test]
fn grants_keep_the_rate_and_the_concurrency() {
    struct Case {
        rate: f64,
        concurrency: usize,
        seconds: u32,
        granted: usize,
    }
    let cases = [
        Case { rate: 9.0, concurrency: 4, seconds: 10, granted: 94 },
        Case { rate: 4.0, concurrency: 3, seconds: 10, granted: 43 },
    ];
    for case in cases {
        let mut budget = budget(case.rate, case.concurrency);
        let start = Instant::now();
        for n in 0..200 {
            budget.request(start, format!("{n:03}"), 5, 1);
        }
        let mut granted = 0;
        for step in 0..=case.seconds * 100 {
            let now = start + SECOND / 100 * step;
            let loads = budget.grant(now);
            assert!(loads.len() <= case.concurrency);
            granted += loads.len();
            loads.iter().for_each(|load| budget.done(load));
        }
        assert!(granted.abs_diff(case.granted) <= 1, "{granted}");
    }
}

#[test]
fn loads_in_progress_block_others() {
    let mut budget = budget(100.0, 2);
    let start = Instant::now();
    for load in ["a", "b", "c"] {
        budget.request(start, load.into(), 5, 1);
    }
    assert_eq!(budget.grant(start), ["a", "b"]);
    assert!(budget.grant(start + SECOND).is_empty());
    budget.done("a");
    assert_eq!(budget.grant(start + SECOND), ["c"]);
}

#[test]
fn load_of_a_dead_agent_times_out() {
    let mut budget = budget(100.0, 1);
    let start = Instant::now();
    budget.request(start, "dead".into(), 5, 1);
    assert_eq!(budget.grant(start), ["dead"]);
    budget.request(start, "next".into(), 5, 1);
    assert!(budget.grant(start + SECOND * 29).is_empty());
    assert_eq!(budget.grant(start + SECOND * 30), ["next"]);
}

#[test]
fn urgent_loads_go_first_without_starvation() {
    struct Case {
        name: &'static str,
        /// Priority, number of waiting requests and seconds waited, of the first and the
        /// second load.
        first: (u32, u32, u32),
        second: (u32, u32, u32),
    }
    let cases = [
        Case { name: "urgent", first: (0, 1, 0), second: (5, 1, 0) },
        Case { name: "many wait", first: (5, 9, 0), second: (5, 1, 0) },
        Case { name: "older", first: (5, 1, 1), second: (5, 1, 0) },
        Case { name: "very old", first: (9, 1, 60), second: (0, 50, 0) },
    ];
    for case in cases {
        let mut budget = budget(1.0, 1);
        let now = Instant::now() + SECOND * 100;
        let (priority, waiting, age) = case.second;
        budget.request(now - SECOND * age, "second".into(), priority, waiting);
        let (priority, waiting, age) = case.first;
        budget.request(now - SECOND * age, "first".into(), priority, waiting);
        assert_eq!(budget.grant(now), ["first"], "{}", case.name);
    }
}

#[test]
fn next_check_is_in_the_future() {
    let mut budget = budget(8.0, 2);
    let start = Instant::now();
    assert_eq!(budget.next_check(start), None);
    for load in ["a", "b", "c"] {
        budget.request(start, load.into(), 5, 1);
    }
    assert_eq!(budget.grant(start).len(), 2);
    // The rate would allow another load, but two are in progress: until one of them ends,
    // the next check is their time-out.
    let later = start + SECOND;
    assert!(budget.grant(later).is_empty());
    assert_eq!(budget.next_check(later), Some(start + SECOND * 30));
    budget.done("a");
    budget.done("b");
    assert_eq!(budget.grant(later).len(), 1);
    budget.done("c");
    budget.request(later, "d".into(), 5, 1);
    budget.request(later, "e".into(), 5, 1);
    assert_eq!(budget.grant(later).len(), 1);
    assert!(budget.next_check(later).is_some_and(|at| at > later));
}
