//! Identification of the requests that crash endpoints.

use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::quarantine::{
    Crash, CrashReport, Quarantine, QuarantineStatus, REFUSED_FROM_CRASHES,
};

const SECOND: Duration = Duration::from_secs(1);
const HALF: Duration = Duration::from_millis(500);
const HOUR: Duration = Duration::from_secs(3600);
const DAY: Duration = Duration::from_secs(24 * 3600);

/// Running time of a fatal request.
const FATAL_RUN_TIME: Duration = Duration::from_millis(80);

fn crash(run: u64, crashed_at: Instant, ran: Duration) -> Crash {
    Crash { attempt: run, sent_at: crashed_at - ran, crashed_at }
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
    const CONTENT: u64 = 7;
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
                Answered => drop(quarantine.record_answer(now, CONTENT)),
                Reported(crashes, age) => {
                    let report = CrashReport { content: CONTENT, crashes, age };
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
    let refused =
        CrashReport { content: 1, crashes: REFUSED_FROM_CRASHES, age: Duration::ZERO };
    quarantine.apply_report(now, &refused);
    for content in 2..10_002 {
        quarantine.record_crash(now, content, crash(content, now, FATAL_RUN_TIME));
    }
    assert_eq!((quarantine.len(), quarantine.counts(now)), (8192, (0, 1)));
    assert_eq!(quarantine.status(now, 1), QuarantineStatus::Refused);
}

/// Engines of a fleet crash by one request among many. That request is refused after
/// three crashes, and hardly any of the requests that ran beside it, which callers retry
/// once, are refused.
#[test]
fn only_the_cause_of_crashes_is_refused() {
    const FATAL: u64 = 0;
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
            for content in retried.iter().chain(&new).chain(&[FATAL]) {
                quarantine.record_crash(now, *content, crash(run, now, FATAL_RUN_TIME));
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
