//! Tests of the availability that endpoints announce in their answers, and of when it
//! ends.

use std::time::{Duration, Instant};

use larkspring_core::fleet::availability::{
    Availability, AvailabilityChanges, Notice, MAX_BACKOFF,
};

/// An event of one run of an endpoint.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An answer says that the endpoint is draining.
    Drain,
    /// A refusal asks for a backoff of this many seconds.
    Backoff(u64),
    /// An answer without notice, or a refusal without a time.
    NoNotice,
    /// The platform lists the run with this start.
    Listed(Option<u64>),
    /// Another run of the same name has begun.
    Renewed,
    /// This many seconds pass.
    Wait(u64),
}

use Step::*;

/// The availability of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    /// Backing off for this many seconds from now.
    BackingOff(u64),
    Draining,
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    expected: State,
}

/// Applies steps without a spread of the end of a backoff.
fn simulate(steps: &[Step]) -> (Availability, Instant) {
    let (mut availability, mut now) = (Availability::default(), Instant::now());
    for step in steps {
        let apply_step = |availability: &mut Availability, notice| {
            availability.apply_notice(now, now, notice, 0.0)
        };
        match *step {
            Drain => drop(apply_step(&mut availability, Notice::DRAINING)),
            Backoff(secs) => {
                let rest = Some(Duration::from_secs(secs));
                apply_step(&mut availability, Notice { rest, ..Notice::default() });
            }
            NoNotice => drop(apply_step(&mut availability, Notice::default())),
            Listed(start) => availability.record_listed_start(start),
            Renewed => {
                now += Duration::from_nanos(1);
                availability.clear_before(now);
            }
            Wait(secs) => now += Duration::from_secs(secs),
        }
    }
    (availability, now)
}

fn state_of(availability: &Availability, now: Instant) -> State {
    match availability.remaining_backoff(now) {
        _ if availability.is_draining() => State::Draining,
        Some(left) => State::BackingOff(left.as_secs_f64().round() as u64),
        None => State::Open,
    }
}

#[test]
fn notices_apply_until_they_expire_or_the_run_ends() {
    let case = |name, steps, expected| Case { name, steps, expected };
    const HOUR: u64 = MAX_BACKOFF.as_secs();
    let cases = [
        case("nothing", &[NoNotice], State::Open),
        case("it leaves", &[Drain], State::Draining),
        case("for good", &[Drain, Wait(100_000), NoNotice], State::Draining),
        case("listed as ready again", &[Drain, Listed(None)], State::Draining),
        case("listed with its start", &[Drain, Listed(Some(5))], State::Draining),
        case(
            "the same start",
            &[Listed(Some(5)), Drain, Listed(Some(5))],
            State::Draining,
        ),
        case(
            "an older list",
            &[Listed(Some(5)), Drain, Listed(Some(4))],
            State::Draining,
        ),
        case("a later start", &[Listed(Some(5)), Drain, Listed(Some(6))], State::Open),
        case(
            "a later start after one that came with the mark",
            &[Drain, Listed(Some(5)), Listed(Some(6))],
            State::Open,
        ),
        case("its agent names another run", &[Drain, Renewed], State::Open),
        case("that one leaves too", &[Drain, Renewed, Drain], State::Draining),
        case("rest", &[Backoff(3)], State::BackingOff(3)),
        case("within it", &[Backoff(3), Wait(2)], State::BackingOff(1)),
        case("after it", &[Backoff(3), Wait(3)], State::Open),
        case("none", &[Backoff(0)], State::Open),
        case("a longer one", &[Backoff(1), Backoff(3), Wait(2)], State::BackingOff(1)),
        case("a shorter one", &[Backoff(3), Backoff(1), Wait(2)], State::BackingOff(1)),
        case(
            "a refusal without a time",
            &[Backoff(3), NoNotice, Wait(1)],
            State::BackingOff(2),
        ),
        case("rest of another run", &[Backoff(3), Renewed], State::Open),
        case("listed anew", &[Backoff(3), Listed(Some(1))], State::BackingOff(3)),
        case("a year", &[Backoff(31_536_000), Wait(10)], State::BackingOff(HOUR - 10)),
        case("no end", &[Backoff(u64::MAX / 2), Wait(HOUR)], State::Open),
        case("rests and leaves", &[Backoff(3), Drain, Wait(4)], State::Draining),
    ];
    for c in cases {
        let (availability, now) = simulate(c.steps);
        assert_eq!(state_of(&availability, now), c.expected, "{}", c.name);
        assert_eq!(availability.is_open(now), c.expected == State::Open, "{}", c.name);
    }
}

#[test]
fn only_changes_are_reported() {
    let now = Instant::now();
    let mut availability = Availability::default();
    let backoff = Notice { rest: Some(Duration::from_secs(2)), ..Notice::default() };
    assert_eq!(
        availability.apply_notice(now, now, backoff, 0.0),
        AvailabilityChanges { backoff: true, ..AvailabilityChanges::default() }
    );
    assert_eq!(
        availability.apply_notice(now, now, backoff, 1.0),
        AvailabilityChanges::default()
    );
    let draining =
        AvailabilityChanges { draining: true, ..AvailabilityChanges::default() };
    assert_eq!(availability.apply_notice(now, now, Notice::DRAINING, 0.0), draining);
    assert_eq!(
        availability.apply_notice(now, now, Notice::DRAINING, 0.0),
        AvailabilityChanges::default()
    );
}

/// VMs return one after the other: none before the end of the backoff, all soon after.
#[test]
fn end_of_a_backoff_is_spread() {
    let now = Instant::now();
    let backoff = Duration::from_secs(10);
    let backoff_ends = [0.0, 0.25, 0.5, 1.0].map(|share| {
        let mut availability = Availability::default();
        let notice = Notice { rest: Some(backoff), ..Notice::default() };
        availability.apply_notice(now, now, notice, share);
        availability.remaining_backoff(now).unwrap()
    });
    assert!(
        backoff_ends.is_sorted()
            && backoff_ends[0] == backoff
            && backoff_ends[3] <= backoff.mul_f64(1.1)
    );
    assert!(backoff_ends.windows(2).all(|two| two[0] < two[1]));
}

/// Random steps, compared with a plain record of all notices.
#[test]
fn random_notices_agree_with_a_full_record() {
    let mut rng = fastrand::Rng::with_seed(7);
    for series in 0..20_000 {
        let steps: Vec<_> = (0..rng.usize(1..12))
            .map(|_| match rng.u32(..10) {
                0 => Drain,
                1 | 2 => Backoff(rng.u64(..5)),
                3 => NoNotice,
                4 => Listed(None),
                5 => Listed(Some(rng.u64(1..4))),
                6 => Renewed,
                _ => Wait(rng.u64(..4)),
            })
            .collect();
        let (availability, now) = simulate(&steps);
        assert_eq!(
            state_of(&availability, now),
            expected(&steps),
            "series {series}: {steps:?}"
        );
    }
}

/// Computes the same state from all notices since the last run began.
fn expected(steps: &[Step]) -> State {
    let (mut at, mut start, mut is_draining) = (0, None, false);
    let mut backoff_ends = vec![0];
    for step in steps {
        match *step {
            Drain => is_draining = true,
            Backoff(secs) => backoff_ends.push(at + secs),
            Wait(secs) => at += secs,
            Listed(Some(now)) => {
                if start.is_some_and(|before| now > before) {
                    (is_draining, backoff_ends) = (false, vec![0]);
                }
                start = start.max(Some(now));
            }
            Renewed => (is_draining, backoff_ends) = (false, vec![0]),
            NoNotice | Listed(None) => {}
        }
    }
    let end = backoff_ends.into_iter().max().unwrap_or_default();
    match end.checked_sub(at) {
        _ if is_draining => State::Draining,
        Some(left @ 1..) => State::BackingOff(left),
        _ => State::Open,
    }
}
