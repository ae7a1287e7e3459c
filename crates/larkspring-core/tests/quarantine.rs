//! Identification of the requests that crash endpoints.

use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::quarantine::{
    AnsweredFeatures, Crash, CrashReport, Feature, Quarantine, QuarantineStatus,
    ANSWER_RETENTION, REFUSED_FROM_CRASHES,
};

const SECOND: Duration = Duration::from_secs(1);
const HALF: Duration = Duration::from_millis(500);
const HOUR: Duration = Duration::from_secs(3600);
const DAY: Duration = Duration::from_secs(24 * 3600);

/// Running time of a fatal request.
const FATAL_RUN_TIME: Duration = Duration::from_millis(80);

fn crash(run: u64, crashed_at: Instant, ran: Duration) -> Crash {
    Crash { attempt: run, sent_at: crashed_at - ran, crashed_at, answered_at: None }
}

fn report(feature: Feature, crashes: u32, age: Duration) -> CrashReport {
    CrashReport { feature, crashes, age, span: Duration::ZERO, answered: None }
}

/// An event on one request fingerprint.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// This run crashed just after the request was sent there.
    Crashed(u64),
    /// This run crashed, this long after the request was sent there.
    CrashedAfter(u64, Duration),
    /// An answer to the request was complete.
    Answered,
    /// Another process reports this number of crashes, the last of them this long ago.
    Reported(u32, Duration),
    /// This time passes.
    Elapsed(Duration),
}

struct Case {
    name: &'static str,
    events: &'static [Event],
    standing: QuarantineStatus,
}

#[test]
fn status_follows_crashes_and_answers() {
    use Event::{Answered, Crashed, CrashedAfter, Elapsed, Reported};
    let cases = [
        Case {
            name: "one end takes all requests there with it",
            events: &[Crashed(1)],
            standing: QuarantineStatus::Unrestricted,
        },
        Case {
            name: "two may be chance",
            events: &[Crashed(1), Elapsed(SECOND), Crashed(2)],
            standing: QuarantineStatus::Suspected,
        },
        Case {
            name: "three are no chance",
            events: &[
                Crashed(1),
                Elapsed(SECOND),
                Crashed(2),
                Elapsed(SECOND),
                Crashed(3),
            ],
            standing: QuarantineStatus::Refused,
        },
        Case {
            name: "the end of one run that several entries report is one end",
            events: &[
                Crashed(1),
                Elapsed(SECOND),
                Crashed(1),
                Elapsed(SECOND),
                Crashed(1),
                Elapsed(SECOND),
                Crashed(2),
            ],
            standing: QuarantineStatus::Suspected,
        },
        Case {
            name: "endpoints that end together are one end",
            events: &[
                Crashed(1),
                CrashedAfter(2, SECOND),
                CrashedAfter(3, SECOND),
                Elapsed(HALF),
                CrashedAfter(4, SECOND),
            ],
            standing: QuarantineStatus::Unrestricted,
        },
        Case {
            name: "an answer that comes to its end clears",
            events: &[
                Crashed(1),
                Elapsed(SECOND),
                Crashed(2),
                Answered,
                Elapsed(SECOND),
                Crashed(3),
            ],
            standing: QuarantineStatus::Unrestricted,
        },
        Case {
            name: "also what is refused",
            events: &[
                Reported(REFUSED_FROM_CRASHES, Duration::ZERO),
                Elapsed(SECOND),
                Answered,
            ],
            standing: QuarantineStatus::Unrestricted,
        },
        Case {
            name: "what others found holds",
            events: &[Reported(REFUSED_FROM_CRASHES, SECOND)],
            standing: QuarantineStatus::Refused,
        },
        Case {
            name: "others' ends and one's own are not added up twice",
            events: &[
                Crashed(1),
                Reported(2, Duration::ZERO),
                Reported(2, Duration::ZERO),
            ],
            standing: QuarantineStatus::Suspected,
        },
        Case {
            name: "old news does not undo a clearing",
            events: &[
                Crashed(1),
                Elapsed(SECOND),
                Crashed(2),
                Elapsed(SECOND),
                Answered,
                Reported(REFUSED_FROM_CRASHES, SECOND),
            ],
            standing: QuarantineStatus::Unrestricted,
        },
        Case {
            name: "an old clearing does not undo later ends",
            events: &[
                Crashed(1),
                Elapsed(SECOND),
                Crashed(2),
                Elapsed(SECOND),
                Crashed(3),
                Reported(0, SECOND),
            ],
            standing: QuarantineStatus::Refused,
        },
        Case {
            name: "suspicion is forgotten after an hour",
            events: &[Reported(2, Duration::ZERO), Elapsed(HOUR)],
            standing: QuarantineStatus::Unrestricted,
        },
        Case {
            name: "a refusal is not",
            events: &[Reported(3, Duration::ZERO), Elapsed(HOUR)],
            standing: QuarantineStatus::Refused,
        },
        Case {
            name: "it is after a day",
            events: &[Reported(3, Duration::ZERO), Elapsed(DAY)],
            standing: QuarantineStatus::Unrestricted,
        },
    ];
    const CONTENT: Feature = Feature::Content(7);
    for c in cases {
        let mut now = Instant::now() + Duration::from_secs(10);
        let mut quarantine = Quarantine::default();
        for event in c.events {
            match *event {
                Crashed(run) => {
                    quarantine.record_crash(
                        now,
                        CONTENT,
                        crash(run, now, FATAL_RUN_TIME),
                    );
                }
                CrashedAfter(run, ran) => {
                    quarantine.record_crash(now, CONTENT, crash(run, now, ran));
                }
                Answered => drop(quarantine.record_answer(now, CONTENT, now)),
                Reported(crashes, age) => {
                    let report = report(CONTENT, crashes, age);
                    quarantine.apply_report(now, &report);
                }
                Elapsed(time) => now += time,
            }
        }
        assert_eq!(quarantine.status(now, CONTENT), c.standing, "{}", c.name);
    }
}

/// Guards against unbounded memory with ever new fatal requests, and against the eviction
/// of refused fingerprints by them.
#[test]
fn records_of_ten_thousand_fatal_requests_stay_within_bounds() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let refused = report(Feature::Content(1), REFUSED_FROM_CRASHES, Duration::ZERO);
    quarantine.apply_report(now, &refused);
    for content in 2..10_002 {
        let feature = Feature::Content(content);
        quarantine.record_crash(now, feature, crash(content, now, FATAL_RUN_TIME));
    }
    assert!(quarantine.len() <= 8192, "{} records", quarantine.len());
    assert_eq!(quarantine.counts(now), (0, 1));
    assert_eq!(quarantine.status(now, Feature::Content(1)), QuarantineStatus::Refused);
}

/// Engines of a fleet crash by one request among many. That request is refused after
/// three crashes, and hardly any of the requests that ran beside it, which callers retry
/// once, are refused.
#[test]
fn only_the_cause_of_crashes_is_refused() {
    const FATAL: Feature = Feature::Content(0);
    const ENGINES: u64 = 11;
    const BESIDE: u64 = 30;
    const SCHEDULES: u64 = 2000;
    let mut wrongly = 0;
    for seed in 0..SCHEDULES {
        let mut rng = Rng::with_seed(seed);
        let mut now = Instant::now();
        let mut quarantine = Quarantine::default();
        let mut next = 1;
        // Retries of interrupted requests: the engine that runs them, and the request.
        let mut retries: Vec<(u64, u64)> = Vec::new();
        let mut crashes = 0;
        while quarantine.status(now, FATAL) != QuarantineStatus::Refused {
            assert!(crashes <= REFUSED_FROM_CRASHES, "seed {seed}");
            let engine = rng.u64(0..ENGINES);
            let run = 1000 * crashes as u64 + engine;
            let retried = retries.iter().filter(|(at, _)| *at == engine).map(|(_, c)| *c);
            let retried: Vec<_> = retried.collect();
            let new: Vec<u64> = (next..next + BESIDE).collect();
            next += BESIDE;
            for content in retried.iter().chain(&new).chain(&[0]) {
                let feature = Feature::Content(*content);
                quarantine.record_crash(now, feature, crash(run, now, FATAL_RUN_TIME));
            }
            // New requests are retried once by their callers and once by entries.
            retries = new.iter().map(|c| (rng.u64(0..ENGINES), *c)).collect();
            retries.extend(retried.iter().map(|c| (rng.u64(0..ENGINES), *c)));
            crashes += 1;
            now += Duration::from_millis(rng.u64(400..2000));
        }
        assert_eq!(crashes, REFUSED_FROM_CRASHES, "seed {seed}");
        wrongly += quarantine.counts(now).1 - 1;
    }
    // 30 requests at the first crash, each with a chance of 1 in 11 to be at each of the
    // next two crashes: 0.25 a schedule.
    assert!(wrongly < 600, "{wrongly} of {SCHEDULES} schedules");
}

/// Guards against names of features that operators or the store mistake for others.
#[test]
fn each_feature_has_a_single_name() {
    for feature in [
        Feature::Content(0),
        Feature::Content(u64::MAX),
        Feature::Part(0),
        Feature::Part(0xbad_c0de),
    ] {
        assert_eq!(feature.to_string().parse(), Ok(feature));
    }
    for text in [
        "",
        "x",
        "12",
        "00000000000000000",
        "00000000000000FF",
        "part-",
        "part-0bad",
        "part-BAD",
        "part-10000000000000000",
        "part-bad:10",
    ] {
        assert!(text.parse::<Feature>().is_err(), "{text}");
    }
}

/// An event on one prompt part.
#[derive(Debug, Clone, Copy)]
enum PartEvent {
    /// This run crashed; the entry that reports it remembers an answer this long before.
    Crashed(u64, Option<Duration>),
    /// An answer was complete this long ago.
    Answered(Duration),
    /// Another process reports this number of crashes within the last second, and an
    /// answer this long ago.
    Reported(u32, Option<Duration>),
    Elapsed(Duration),
}

struct PartCase {
    name: &'static str,
    events: &'static [PartEvent],
    status: QuarantineStatus,
}

/// Guards against a verdict on a part that many sound requests have, and against a fatal
/// part that passes for one of these.
#[test]
fn status_of_a_part_follows_crashes_and_answers() {
    use PartEvent::{Answered, Crashed, Elapsed, Reported};
    use QuarantineStatus::{Refused, Suspected, Unrestricted};
    const NOT_RECENT: Duration = ANSWER_RETENTION;
    const NINE_SECONDS: Duration = Duration::from_secs(9);
    let cases = [
        PartCase {
            name: "three crashes one after the other",
            events: &[
                Crashed(1, None),
                Elapsed(SECOND),
                Crashed(2, None),
                Elapsed(SECOND),
                Crashed(3, None),
            ],
            status: Refused,
        },
        PartCase {
            name: "crashes at the same time count once",
            events: &[Crashed(1, None), Crashed(2, None), Crashed(3, None)],
            status: Unrestricted,
        },
        PartCase {
            name: "answered shortly before the first crash",
            events: &[
                Crashed(1, Some(SECOND)),
                Elapsed(SECOND),
                Crashed(2, None),
                Elapsed(SECOND),
                Crashed(3, None),
            ],
            status: Suspected,
        },
        PartCase {
            name: "answered shortly before the first of five crashes",
            events: &[
                Crashed(1, Some(SECOND)),
                Elapsed(SECOND),
                Crashed(2, None),
                Elapsed(SECOND),
                Crashed(3, None),
                Elapsed(SECOND),
                Crashed(4, None),
                Elapsed(SECOND),
                Crashed(5, None),
            ],
            status: Refused,
        },
        PartCase {
            name: "answered long before",
            events: &[
                Crashed(1, Some(NOT_RECENT)),
                Elapsed(SECOND),
                Crashed(2, None),
                Elapsed(SECOND),
                Crashed(3, None),
            ],
            status: Refused,
        },
        PartCase {
            name: "answered between the crashes, as another entry remembers",
            events: &[
                Crashed(1, None),
                Elapsed(SECOND),
                Crashed(2, Some(HALF)),
                Elapsed(SECOND),
                Crashed(3, Some(HALF)),
            ],
            status: Unrestricted,
        },
        PartCase {
            name: "an answer from between two crashes that is known late",
            events: &[
                Crashed(1, None),
                Elapsed(SECOND),
                Crashed(2, None),
                Elapsed(SECOND),
                Crashed(3, None),
                Answered(HALF),
            ],
            status: Unrestricted,
        },
        PartCase {
            name: "an answer after the last crash",
            events: &[Reported(3, None), Answered(Duration::ZERO)],
            status: Unrestricted,
        },
        PartCase {
            name: "the report names an answer shortly before",
            events: &[Reported(3, Some(DAY)), Reported(4, Some(NINE_SECONDS))],
            status: Suspected,
        },
        PartCase {
            name: "the answer is known before the report",
            events: &[Crashed(1, None), Answered(Duration::ZERO), Reported(3, None)],
            status: Unrestricted,
        },
    ];
    const PART: Feature = Feature::Part(7);
    for c in cases {
        let mut now = Instant::now() + 2 * DAY;
        let mut quarantine = Quarantine::default();
        for event in c.events {
            match *event {
                Crashed(run, answered) => {
                    let answered_at = answered.map(|age| now - age);
                    let end = Crash { answered_at, ..crash(run, now, FATAL_RUN_TIME) };
                    quarantine.record_crash(now, PART, end);
                }
                Answered(age) => drop(quarantine.record_answer(now, PART, now - age)),
                Reported(crashes, answered) => {
                    let found = CrashReport {
                        span: SECOND,
                        answered,
                        ..report(PART, crashes, Duration::ZERO)
                    };
                    quarantine.apply_report(now, &found);
                }
                Elapsed(time) => now += time,
            }
        }
        assert_eq!(quarantine.status(now, PART), c.status, "{}", c.name);
    }
}

/// Guards against a verdict that a lost hall brings about: engines crash at the same time
/// under the same parts, and twice again while their streams are resumed elsewhere.
#[test]
fn lost_halls_refuse_no_part() {
    const FIRST: Feature = Feature::Part(1);
    const ENGINES: u64 = 12;
    for seed in 0..500 {
        let mut rng = Rng::with_seed(seed);
        let mut now = Instant::now() + DAY;
        let mut quarantine = Quarantine::default();
        // Entries remember an answer, unless they have just started.
        let answered = (seed % 2 == 0).then_some(HALF);
        for hall in 0..2 {
            let lost_at = now;
            for engine in 0..ENGINES {
                now += Duration::from_micros(rng.u64(0..200));
                let end = Crash {
                    attempt: hall * ENGINES + engine,
                    sent_at: lost_at - Duration::from_millis(rng.u64(1..2000)),
                    crashed_at: now,
                    answered_at: answered.map(|age| lost_at - age),
                };
                quarantine.record_crash(now, FIRST, end);
                assert_ne!(
                    quarantine.status(now, FIRST),
                    QuarantineStatus::Refused,
                    "seed {seed}"
                );
            }
            now += Duration::from_millis(rng.u64(10..3000));
        }
    }
}

/// A fatal part is refused, and neither the first part of its prompts nor a companion
/// that sound requests have less often, in random schedules of crashes and answers.
#[test]
fn only_the_fatal_part_is_refused() {
    const FATAL: Feature = Feature::Part(0);
    const FIRST: Feature = Feature::Part(1);
    const COMPANION: Feature = Feature::Part(2);
    const SCHEDULES: u64 = 2000;
    let (mut wrongly, mut most_crashes) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut rng = Rng::with_seed(seed);
        let mut now = Instant::now() + DAY;
        let mut quarantine = Quarantine::default();
        let mut answered = [AnsweredFeatures::default(), AnsweredFeatures::default()];
        // Sound requests run before the first crash: the first part is in each, the
        // companion in one of ten.
        let answer = |now, rng: &mut Rng, answered: &mut [AnsweredFeatures; 2]| {
            let entry = &mut answered[rng.usize(0..2)];
            entry.record(now, FIRST);
            if rng.u64(0..10) == 0 {
                entry.record(now, COMPANION);
            }
        };
        for _ in 0..200 {
            now += Duration::from_millis(rng.u64(0..100));
            answer(now, &mut rng, &mut answered);
        }
        let mut crashes = 0;
        while quarantine.status(now, FATAL) != QuarantineStatus::Refused {
            crashes += 1;
            let crashed_at = now;
            for feature in [FATAL, FIRST, COMPANION] {
                let reporter = &answered[rng.usize(0..2)];
                let end = Crash {
                    answered_at: reporter.last(now, feature),
                    ..crash(crashes, crashed_at, FATAL_RUN_TIME)
                };
                if let Some(found) = quarantine.record_crash(now, feature, end) {
                    // Every entry that remembers a later answer says so.
                    for entry in &answered {
                        let Some(at) = entry.last(now, feature) else { continue };
                        let age = now - at;
                        let reply = CrashReport { answered: Some(age), ..found };
                        let reply = CrashReport { crashes: 0, age, ..reply };
                        quarantine.apply_report(now, &reply);
                    }
                }
            }
            let next = now + Duration::from_millis(rng.u64(100..2000));
            while now < next {
                now += Duration::from_millis(rng.u64(20..200));
                answer(now, &mut rng, &mut answered);
            }
        }
        most_crashes = most_crashes.max(crashes);
        for feature in [FIRST, COMPANION] {
            let is_refused = quarantine.status(now, feature) == QuarantineStatus::Refused;
            wrongly += usize::from(is_refused);
        }
    }
    assert_eq!(most_crashes, u64::from(REFUSED_FROM_CRASHES));
    assert_eq!(wrongly, 0, "of {SCHEDULES} schedules");
}

/// Guards against memory that grows with requests of which no two have a part in common.
#[test]
fn answered_parts_stay_within_bounds_and_keep_the_recent() {
    let mut now = Instant::now();
    let mut answered = AnsweredFeatures::default();
    for id in 0..20_000 {
        now += Duration::from_micros(10);
        answered.record(now, Feature::Part(id));
        answered.record(now, Feature::Part(u64::MAX));
    }
    assert!(answered.len() <= 8192, "{} features", answered.len());
    assert_eq!(answered.last(now, Feature::Part(u64::MAX)), Some(now));
    assert_eq!(answered.last(now, Feature::Part(0)), None);
}
