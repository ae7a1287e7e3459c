//! Tests of the times of a planned stop.

use std::time::{Duration, Instant};

use larkspring_core::fleet::stop_schedule::{RecentAnswers, StopSchedule};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct TimesCase {
    grace: u64,
    /// Times in ms after the stop signal.
    accepts_until: u64,
    answers_until: u64,
    exits_at: u64,
}

/// Guards against a grace period that ends before the entry stops to accept requests.
#[test]
fn a_short_grace_period_leaves_time_for_answers() {
    let case = |grace, accepts_until, answers_until, exits_at| TimesCase {
        grace,
        accepts_until,
        answers_until,
        exits_at,
    };
    let cases = [
        case(30_000, 2500, 29_450, 29_700),
        case(8000, 2500, 7450, 7700),
        case(4000, 2000, 3450, 3700),
        case(2000, 1000, 1450, 1700),
        case(1000, 450, 450, 700),
        case(400, 0, 0, 100),
        case(0, 0, 0, 0),
    ];
    let began = Instant::now();
    for TimesCase { grace, accepts_until, answers_until, exits_at } in cases {
        let schedule = StopSchedule::new(began, ms(grace));
        assert_eq!(schedule.accepts_until() - began, ms(accepts_until), "{grace}");
        assert_eq!(schedule.answers_until() - began, ms(answers_until), "{grace}");
        assert_eq!(schedule.exits_at() - began, ms(exits_at), "{grace}");
    }
}

struct SendCase {
    name: &'static str,
    /// Durations of the recent answers in ms.
    answers: &'static [u64],
    /// Deadline in ms after the stop signal.
    deadline: u64,
    /// Latest sends in ms after the stop signal, of a request that may run once and of a
    /// repeatable one.
    once: u64,
    repeatable: u64,
}

/// Guards against a request that is sent so late that it is cut at the exit.
#[test]
fn requests_are_sent_only_if_their_answers_can_end_in_time() {
    const FAR: u64 = 60_000;
    let cases = [
        SendCase {
            name: "ends by its deadline",
            answers: &[9000],
            deadline: 7450,
            once: 7450,
            repeatable: 7450,
        },
        SendCase {
            name: "nothing known",
            answers: &[],
            deadline: 7451,
            once: 0,
            repeatable: 0,
        },
        SendCase {
            name: "quick",
            answers: &[30, 50, 40],
            deadline: FAR,
            once: 7400,
            repeatable: 7400,
        },
        SendCase {
            name: "one slow answer",
            answers: &[1000, 6000, 1000],
            deadline: FAR,
            once: 1450,
            repeatable: 2500,
        },
        SendCase {
            name: "half of them slow",
            answers: &[5450, 5450, 7000, 7000],
            deadline: FAR,
            once: 450,
            repeatable: 2000,
        },
        SendCase {
            name: "longer than the grace period",
            answers: &[8000, 20_000],
            deadline: FAR,
            once: 0,
            repeatable: 0,
        },
    ];
    let began = Instant::now();
    let schedule = StopSchedule::new(began, ms(8000));
    for c in cases {
        let mut recent = RecentAnswers::default();
        c.answers.iter().for_each(|took| recent.record(ms(*took)));
        let deadline = began + ms(c.deadline);
        let latest =
            |repeatable| schedule.latest_send(deadline, recent.durations(), repeatable);
        assert_eq!(latest(false) - began, ms(c.once), "{}", c.name);
        assert_eq!(latest(true) - began, ms(c.repeatable), "{}", c.name);
    }
}

/// Guards against one slow answer that counts for ever.
#[test]
fn old_answers_are_forgotten() {
    let mut recent = RecentAnswers::default();
    recent.record(ms(9000));
    (0..64).for_each(|_| recent.record(ms(30)));
    assert_eq!(recent.durations().map(|d| d.slowest), Some(ms(30)));
}
