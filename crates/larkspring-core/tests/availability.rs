//! Tests of the availability that endpoints announce in their answers, and of when it
//! ends.

use std::time::{Duration, Instant};

use larkspring_core::fleet::availability::{Availability, News, Notice, MAX_BACKOFF};

/// An event of one run of an endpoint.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An answer says that the endpoint is draining.
    Leaves,
    /// A refusal asks for a backoff of this many seconds.
    Rest(u64),
    /// An answer without notice, or a refusal without a time.
    Silent,
    /// The platform lists the run with this start.
    Listed(Option<u64>),
    /// Another run of the same name has begun.
    Renewed,
    /// This many seconds pass.
    Wait(u64),
}

use Step::*;

/// The expected state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Is {
    Open,
    /// Backing off for this many seconds from now.
    Resting(u64),
    Leaving,
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    is: Is,
}

/// Applies steps without a spread of the end of a backoff.
fn play(steps: &[Step]) -> (Availability, Instant) {
    let (mut said, mut now) = (Availability::default(), Instant::now());
    for step in steps {
        let hear = |said: &mut Availability, notice| said.hear(now, now, notice, 0.0);
        match *step {
            Leaves => drop(hear(&mut said, Notice::LEAVING)),
            Rest(secs) => {
                let rest = Some(Duration::from_secs(secs));
                hear(&mut said, Notice { rest, ..Notice::default() });
            }
            Silent => drop(hear(&mut said, Notice::default())),
            Listed(start) => said.listed(start),
            Renewed => {
                now += Duration::from_nanos(1);
                said.renewed(now);
            }
            Wait(secs) => now += Duration::from_secs(secs),
        }
    }
    (said, now)
}

fn is(said: &Availability, now: Instant) -> Is {
    match said.rests_for(now) {
        _ if said.leaves() => Is::Leaving,
        Some(left) => Is::Resting(left.as_secs_f64().round() as u64),
        None => Is::Open,
    }
}

#[test]
fn what_was_said_holds_until_it_ends_or_the_run_does() {
    let case = |name, steps, is| Case { name, steps, is };
    const HOUR: u64 = MAX_BACKOFF.as_secs();
    let cases = [
        case("nothing", &[Silent], Is::Open),
        case("it leaves", &[Leaves], Is::Leaving),
        case("for good", &[Leaves, Wait(100_000), Silent], Is::Leaving),
        case("listed as ready again", &[Leaves, Listed(None)], Is::Leaving),
        case("listed with its start", &[Leaves, Listed(Some(5))], Is::Leaving),
        case("the same start", &[Listed(Some(5)), Leaves, Listed(Some(5))], Is::Leaving),
        case("an older list", &[Listed(Some(5)), Leaves, Listed(Some(4))], Is::Leaving),
        case("a later start", &[Listed(Some(5)), Leaves, Listed(Some(6))], Is::Open),
        case(
            "a later start after one that came with the mark",
            &[Leaves, Listed(Some(5)), Listed(Some(6))],
            Is::Open,
        ),
        case("its agent names another run", &[Leaves, Renewed], Is::Open),
        case("that one leaves too", &[Leaves, Renewed, Leaves], Is::Leaving),
        case("rest", &[Rest(3)], Is::Resting(3)),
        case("within it", &[Rest(3), Wait(2)], Is::Resting(1)),
        case("after it", &[Rest(3), Wait(3)], Is::Open),
        case("none", &[Rest(0)], Is::Open),
        case("a longer one", &[Rest(1), Rest(3), Wait(2)], Is::Resting(1)),
        case("a shorter one", &[Rest(3), Rest(1), Wait(2)], Is::Resting(1)),
        case("a refusal without a time", &[Rest(3), Silent, Wait(1)], Is::Resting(2)),
        case("rest of another run", &[Rest(3), Renewed], Is::Open),
        case("listed anew", &[Rest(3), Listed(Some(1))], Is::Resting(3)),
        case("a year", &[Rest(31_536_000), Wait(10)], Is::Resting(HOUR - 10)),
        case("no end", &[Rest(u64::MAX / 2), Wait(HOUR)], Is::Open),
        case("rests and leaves", &[Rest(3), Leaves, Wait(4)], Is::Leaving),
    ];
    for c in cases {
        let (said, now) = play(c.steps);
        assert_eq!(is(&said, now), c.is, "{}", c.name);
        assert_eq!(said.is_open(now), c.is == Is::Open, "{}", c.name);
    }
}

#[test]
fn only_what_changes_is_news() {
    let now = Instant::now();
    let mut said = Availability::default();
    let rest = Notice { rest: Some(Duration::from_secs(2)), ..Notice::default() };
    assert_eq!(said.hear(now, now, rest, 0.0), News { rests: true, ..News::default() });
    assert_eq!(said.hear(now, now, rest, 1.0), News::default());
    let leaves = News { leaves: true, ..News::default() };
    assert_eq!(said.hear(now, now, Notice::LEAVING, 0.0), leaves);
    assert_eq!(said.hear(now, now, Notice::LEAVING, 0.0), News::default());
}

/// VMs return one after the other: none before the end of the backoff, all soon after.
#[test]
fn the_end_of_a_rest_is_spread() {
    let now = Instant::now();
    let rest = Duration::from_secs(10);
    let ends = [0.0, 0.25, 0.5, 1.0].map(|share| {
        let mut said = Availability::default();
        let notice = Notice { rest: Some(rest), ..Notice::default() };
        said.hear(now, now, notice, share);
        said.rests_for(now).unwrap()
    });
    assert!(ends.is_sorted() && ends[0] == rest && ends[3] <= rest.mul_f64(1.1));
    assert!(ends.windows(2).all(|two| two[0] < two[1]));
}

/// Random steps, compared with a plain record of all notices.
#[test]
fn drawn_series_of_words_agree_with_a_record_of_all() {
    let mut rng = fastrand::Rng::with_seed(7);
    for series in 0..20_000 {
        let steps: Vec<_> = (0..rng.usize(1..12))
            .map(|_| match rng.u32(..10) {
                0 => Leaves,
                1 | 2 => Rest(rng.u64(..5)),
                3 => Silent,
                4 => Listed(None),
                5 => Listed(Some(rng.u64(1..4))),
                6 => Renewed,
                _ => Wait(rng.u64(..4)),
            })
            .collect();
        let (said, now) = play(&steps);
        assert_eq!(is(&said, now), expected(&steps), "series {series}: {steps:?}");
    }
}

/// Computes the same state from all notices since the last run began.
fn expected(steps: &[Step]) -> Is {
    let (mut at, mut start, mut leaves) = (0, None, false);
    let mut ends = vec![0];
    for step in steps {
        match *step {
            Leaves => leaves = true,
            Rest(secs) => ends.push(at + secs),
            Wait(secs) => at += secs,
            Listed(Some(now)) => {
                if start.is_some_and(|before| now > before) {
                    (leaves, ends) = (false, vec![0]);
                }
                start = start.max(Some(now));
            }
            Renewed => (leaves, ends) = (false, vec![0]),
            Silent | Listed(None) => {}
        }
    }
    let end = ends.into_iter().max().unwrap_or_default();
    match end.checked_sub(at) {
        _ if leaves => Is::Leaving,
        Some(left @ 1..) => Is::Resting(left),
        _ => Is::Open,
    }
}
