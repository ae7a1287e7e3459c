//! Endpoints that break off streams, in simulated time.

use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::fleet::choose::{
    choose_for_adapter, AdapterLocation, Distance, EndpointView,
};
use larkspring_core::fleet::mechanisms::DisabledMechanisms;
use larkspring_core::fleet::quality::EndpointQuality;
use larkspring_core::fleet::stream_outcomes::{
    price_stream_losses, StreamChange, StreamLoss, StreamOutcome, StreamOutcomes,
    StreamReport,
};

/// Broken streams after which callers are sent elsewhere.
const BROKEN_BEFORE: usize = 5;
/// Share of the later callers whose stream may be broken off.
const MAX_BROKEN_SHARE: f64 = 0.1;
/// Within which an endpoint that has recovered gets its share again.
const MAX_RECOVERY: Duration = Duration::from_secs(10);
const STREAM_TIME: Duration = Duration::from_millis(450);
/// Time after which a stream is broken off.
const BREAK_TIME: Duration = Duration::from_millis(200);
const MAX_STREAMS: usize = 2_000;
const ENDPOINTS: usize = 3;
const SEEDS: std::ops::Range<u64> = 0..50;

const NO_LOSS: StreamLoss =
    StreamLoss { probability: 0.0, breaks_off: false, is_trial: false };
const RESIDENT: EndpointView = EndpointView {
    distance: Distance::SameHall,
    adapter_location: AdapterLocation::Resident,
    running: 0,
    max_concurrent: 32,
    free_adapter_slots: 4,
    loads_ahead: 0,
    can_load: true,
    loading_base: false,
    uncached_prompt_tokens: 100,
    prefill_backlog_tokens: 0,
    failure_cost: Duration::ZERO,
    stream_loss: NO_LOSS,
    connection_cost: Duration::ZERO,
    avoided: false,
    is_rate_limited: false,
};

/// What decides on the endpoint of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// The recent failures alone, each recorded at the end of its stream.
    Failures,
    /// The outcomes of streams, with trials.
    Outcomes,
}

/// A service of [`ENDPOINTS`] endpoints, of which the first holds the adapter.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    way: Way,
    /// Streams that begin in a second.
    per_sec: f64,
    /// Share of its streams that each endpoint breaks off.
    breaks: [f64; ENDPOINTS],
    /// Whether all endpoints hold the adapter.
    all_hold: bool,
    resumable: bool,
}

const ONE_BREAKS_ALL: Case = Case {
    name: "one of three",
    way: Way::Outcomes,
    per_sec: 20.0,
    breaks: [1.0, 0.0, 0.0],
    all_hold: false,
    resumable: false,
};

struct Stream {
    endpoint: usize,
    sent: Instant,
    ends: Instant,
    is_broken: bool,
}

struct Simulation {
    case: Case,
    rng: Rng,
    now: Instant,
    outcomes: [StreamOutcomes; ENDPOINTS],
    failures: [EndpointQuality; ENDPOINTS],
    holds: [bool; ENDPOINTS],
    open: Vec<Stream>,
    /// The endpoint of each stream, and whether it was broken off, in order of sending.
    sent: Vec<(usize, bool)>,
    broken: usize,
}

impl Simulation {
    fn new(case: Case, seed: u64) -> Self {
        let start = Instant::now();
        Self {
            case,
            rng: Rng::with_seed(seed),
            now: start,
            outcomes: [StreamOutcomes::new(start); ENDPOINTS],
            failures: [EndpointQuality::new(start); ENDPOINTS],
            holds: [true, case.all_hold, case.all_hold],
            open: Vec::new(),
            sent: Vec::new(),
            broken: 0,
        }
    }

    /// Runs for a time and returns the streams that were sent.
    fn run(&mut self, time: Duration) -> Vec<(usize, bool)> {
        let (begin, until) = (self.sent.len(), self.now + time);
        while self.now < until {
            self.send();
            let pause = -self.rng.f64().max(1e-9).ln() / self.case.per_sec;
            self.now += Duration::from_secs_f64(pause);
            self.end_streams();
        }
        self.sent[begin..].to_vec()
    }

    fn send(&mut self) {
        let view = |at: usize| EndpointView {
            running: self.open.iter().filter(|s| s.endpoint == at).count() as u32,
            adapter_location: match self.holds[at] {
                true => AdapterLocation::Resident,
                false => AdapterLocation::WeightStore,
            },
            failure_cost: match self.case.way {
                Way::Failures => self.failures[at].cost(self.now),
                Way::Outcomes => Duration::ZERO,
            },
            stream_loss: match self.case.way {
                Way::Failures => NO_LOSS,
                Way::Outcomes => self.outcomes[at].loss(self.now, self.case.resumable),
            },
            ..RESIDENT
        };
        let mut views: Vec<_> = (0..ENDPOINTS).map(view).collect();
        let suspects = price_stream_losses(&mut views);
        let at = choose_for_adapter(&views, DisabledMechanisms::default()).unwrap();
        for suspect in suspects.into_iter().filter(|suspect| *suspect != at) {
            self.outcomes[suspect].record_passed_over();
        }
        self.holds[at] = true;
        self.outcomes[at].open();
        let is_broken = self.rng.f64() < self.case.breaks[at];
        let time = if is_broken { BREAK_TIME } else { STREAM_TIME };
        let ends = self.now + time.mul_f64(0.5 + self.rng.f64());
        self.open.push(Stream { endpoint: at, sent: self.now, ends, is_broken });
        self.sent.push((at, is_broken));
    }

    fn end_streams(&mut self) {
        let (mut ended, open): (Vec<_>, Vec<_>) =
            self.open.drain(..).partition(|s| s.ends <= self.now);
        self.open = open;
        ended.sort_by_key(|s| s.ends);
        for s in ended {
            let outcome = match s.is_broken {
                true => StreamOutcome::Broken,
                false => StreamOutcome::Complete,
            };
            self.broken += usize::from(s.is_broken);
            let failures = &mut self.failures[s.endpoint];
            match s.is_broken {
                true => failures.record_failure(s.ends),
                false => failures.record_complete(s.ends),
            }
            self.outcomes[s.endpoint].record(s.ends, s.sent, outcome);
            self.outcomes[s.endpoint].close();
        }
    }

    /// Returns the share of broken streams after the fifth one, of some hundred callers.
    fn later_broken_share(&mut self) -> f64 {
        self.run_until_known();
        let later = self.run(Duration::from_secs_f64(600.0 / self.case.per_sec));
        let broken = later.iter().filter(|(_, is_broken)| *is_broken).count();
        broken as f64 / later.len() as f64
    }

    /// Runs until the fifth broken stream has ended.
    fn run_until_known(&mut self) {
        while self.broken < BROKEN_BEFORE && self.sent.len() < MAX_STREAMS {
            self.run(Duration::from_millis(1));
        }
        assert!(self.broken >= BROKEN_BEFORE, "of {} streams", self.sent.len());
    }
}

fn count(sent: &[(usize, bool)], endpoint: usize) -> f64 {
    sent.iter().filter(|(at, _)| *at == endpoint).count() as f64
}

/// From the fifth broken stream on, under one caller in ten meets another one while other
/// endpoints may serve.
#[test]
fn an_endpoint_that_breaks_streams_off_loses_its_share() {
    let one = ONE_BREAKS_ALL;
    let cases = [
        one,
        Case { name: "streams that may be resumed", resumable: true, ..one },
        Case { name: "the others hold the adapter", all_hold: true, ..one },
        Case { name: "two of three", breaks: [1.0, 1.0, 0.0], ..one },
        Case { name: "half of its streams", breaks: [0.5, 0.0, 0.0], ..one },
        Case { name: "few callers", per_sec: 1.0, ..one },
        Case { name: "very few callers", per_sec: 0.2, ..one },
        Case { name: "many callers", per_sec: 100.0, ..one },
    ];
    for (case, seed) in cases.into_iter().flat_map(|c| SEEDS.map(move |s| (c, s))) {
        let share = Simulation::new(case, seed).later_broken_share();
        assert!(share < MAX_BROKEN_SHARE, "{}, seed {seed}: {share}", case.name);
    }
}

/// The recent failures cost less than a load of the adapter elsewhere unless there are
/// many, and are forgotten in seconds.
#[test]
fn recent_failures_alone_leave_an_endpoint_much_of_its_share() {
    let one = Case { way: Way::Failures, ..ONE_BREAKS_ALL };
    let cases = [
        Case { name: "half of its streams", breaks: [0.5, 0.0, 0.0], ..one },
        Case { name: "few callers", per_sec: 1.0, ..one },
    ];
    for case in cases {
        let share = |seed| Simulation::new(case, seed).later_broken_share();
        let mean = SEEDS.map(share).sum::<f64>() / SEEDS.count() as f64;
        assert!(mean > MAX_BROKEN_SHARE, "{}: {mean}", case.name);
    }
}

/// An endpoint that breaks nothing off any more gets a third of the streams again.
#[test]
fn a_recovered_endpoint_is_back_in_seconds() {
    let one = Case { all_hold: true, ..ONE_BREAKS_ALL };
    let cases = [
        one,
        Case { name: "few callers", per_sec: 5.0, ..one },
        Case { name: "many callers", per_sec: 100.0, ..one },
        Case { name: "streams that may be resumed", resumable: true, ..one },
    ];
    for (case, seed) in cases.into_iter().flat_map(|c| SEEDS.map(move |s| (c, s))) {
        let mut sim = Simulation::new(case, seed);
        sim.run_until_known();
        sim.run(Duration::from_secs(30));
        sim.case.breaks = [0.0; ENDPOINTS];
        sim.run(MAX_RECOVERY);
        let sent = sim.run(Duration::from_secs(20));
        let share = count(&sent, 0) / sent.len() as f64;
        let even = 1.0 / ENDPOINTS as f64;
        assert!(share > 0.8 * even, "{}, seed {seed}: {share}", case.name);
    }
}

/// Where all endpoints break off alike, none is better, and the share of each stays.
#[test]
fn endpoints_that_break_off_alike_keep_their_shares() {
    for breaks in [0.02, 0.1, 0.4, 1.0] {
        let breaks = [breaks; ENDPOINTS];
        let case = Case { breaks, all_hold: true, ..ONE_BREAKS_ALL };
        for seed in SEEDS {
            let sent = Simulation::new(case, seed).run(Duration::from_secs(60));
            for endpoint in 0..ENDPOINTS {
                let share = count(&sent, endpoint) / sent.len() as f64;
                let even = 1.0 / ENDPOINTS as f64;
                let deviation = (share / even - 1.0).abs();
                assert!(deviation < 0.5, "seed {seed}: {share}, {case:?}");
            }
        }
    }
}

/// An end that says nothing about its endpoint, or many with one cause.
struct Ends {
    name: &'static str,
    outcome: StreamOutcome,
    /// Whether the streams are open at the same time and end together.
    together: bool,
}

#[test]
fn ends_that_are_not_the_endpoints_doing_count_little() {
    let ends = |name, outcome, together| Ends { name, outcome, together };
    let cases = [
        ends("callers that leave", StreamOutcome::Unknown, false),
        ends("one cause for all open streams", StreamOutcome::Broken, true),
    ];
    for c in cases {
        let start = Instant::now();
        let mut outcomes = StreamOutcomes::new(start);
        for n in 0..30 {
            let now = match c.together {
                true => start + Duration::from_millis(1000 + n),
                false => start + Duration::from_secs(n),
            };
            let sent = if c.together { start } else { now };
            assert_eq!(outcomes.record(now, sent, c.outcome), None, "{}", c.name);
        }
    }
}

#[test]
fn breaks_in_a_row_are_reported_once_and_forgotten_with_the_process() {
    let start = Instant::now();
    let mut outcomes = StreamOutcomes::new(start);
    let at = |n| start + Duration::from_secs(n);
    let mut record = |n, outcome| outcomes.record(at(n), at(n), outcome);
    let changes: Vec<_> =
        (0..8).filter_map(|n| record(n, StreamOutcome::Broken)).collect();
    assert_eq!(changes, [StreamChange::BreaksOff]);
    let changes: Vec<_> =
        (8..20).filter_map(|n| record(n, StreamOutcome::Complete)).collect();
    assert_eq!(changes, [StreamChange::Recovered]);
    for n in 20..30 {
        record(n, StreamOutcome::Broken);
    }
    assert!(outcomes.break_probability(at(30)) > 0.3);
    outcomes.forget(at(30));
    assert_eq!(outcomes.break_probability(at(30)), 0.0);
}

/// An entry that has sent no stream to an endpoint learns from the endpoint's agent that it
/// breaks streams off, and that it has recovered.
#[test]
fn a_report_of_the_agent_holds_until_the_endpoint_has_recovered() {
    let start = Instant::now();
    let at = |secs| start + Duration::from_secs(secs);
    let report = |probability, breaks_off| Some(StreamReport { probability, breaks_off });
    let mut outcomes = StreamOutcomes::new(start);
    outcomes.apply_report(start, report(0.5, true));
    let loss = outcomes.loss(start, true);
    assert!(loss.breaks_off && loss.probability == 0.5 && !loss.is_trial, "{loss:?}");
    assert!(outcomes.loss(at(2), true).is_trial, "a stream that may be resumed");
    assert!(!outcomes.loss(at(2), false).is_trial, "a stream that would be lost");
    (0..40).for_each(|_| outcomes.record_passed_over());
    outcomes.apply_report(at(2), report(0.5, true));
    assert!(outcomes.loss(at(2), false).is_trial, "the same report again");
    for n in 2..6 {
        outcomes.record(at(n), at(n), StreamOutcome::Broken);
    }
    outcomes.apply_report(at(6), report(0.09, false));
    let loss = outcomes.loss(at(6), false);
    assert!(!loss.breaks_off && loss.probability == 0.09, "{loss:?}");
    outcomes.apply_report(at(7), None);
    assert_eq!(outcomes.loss(at(7), false).probability, 0.0);
}
