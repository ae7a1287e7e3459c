//! Requests that run at most once: tenures without shared births, and claims granted
//! once.

use std::time::Duration;

use larkspring_core::claims::{
    ClaimAttempt, ClaimLimits, ClaimOutcome, ClaimTable, ClaimVerdict,
};
use larkspring_core::tenure::{
    record_status, renewal, takeover, HolderState, Millis, RecordStatus, TenureSettings,
};
use larkspring_proto::keys::Tenure;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TERMS: TenureSettings = TenureSettings {
    lease: Duration::from_millis(1000),
    retention: Duration::from_millis(5000),
    max_clock_skew: Duration::from_millis(10),
};

fn run(id: u64) -> Tenure {
    Tenure { holder: format!("entry-{id}"), run: id, ..Tenure::default() }
}

fn tenure(from_ms: Millis, until_ms: Millis, since_ms: Millis) -> Tenure {
    Tenure { from_ms, until_ms, since_ms, ..run(1) }
}

#[test]
fn record_status_of_a_key() {
    struct Case {
        t: Tenure,
        now: Millis,
        birth: Millis,
        standing: RecordStatus,
    }
    let case = |t, now, birth, standing| Case { t, now, birth, standing };
    let later = || tenure(1000, 9000, 2000);
    let cases = [
        case(tenure(0, 1000, 0), 500, 400, RecordStatus::Complete),
        case(tenure(0, 1000, 0), 500, 509, RecordStatus::Complete),
        // A birth too far ahead of the clock belongs to no holder yet.
        case(tenure(0, 1000, 0), 500, 510, RecordStatus::NotHeld),
        case(tenure(0, 1000, 0), 2000, 1000, RecordStatus::NotHeld),
        // A holder that was paused still holds its own births, and no others.
        case(tenure(0, 1000, 0), 2000, 999, RecordStatus::Complete),
        // The record of a key as old as the retention may have been dropped.
        case(tenure(0, 9000, 0), 5400, 411, RecordStatus::Complete),
        case(tenure(0, 9000, 0), 5400, 410, RecordStatus::Incomplete),
        case(later(), 3000, 999, RecordStatus::Incomplete),
        case(later(), 3000, 1000, RecordStatus::Complete),
        // Without a birth only the time since the takeover counts.
        case(tenure(0, 1000, 0), 500, 0, RecordStatus::Complete),
        case(tenure(0, 1000, 0), 1000, 0, RecordStatus::NotHeld),
        case(later(), 3000, 0, RecordStatus::IncompleteUntil(7000)),
        case(later(), 7000, 0, RecordStatus::Complete),
    ];
    for (n, case) in cases.iter().enumerate() {
        let standing = record_status(&case.t, &TERMS, case.now, case.birth);
        assert_eq!(standing, case.standing, "case {n}");
    }
}

#[test]
fn takeover_waits_for_the_end_of_the_range_or_of_the_run() {
    struct Case {
        old: Tenure,
        holder: HolderState,
        now: Millis,
        from_since: Option<(Millis, Millis)>,
    }
    let case = |old, holder, now, from_since| Case { old, holder, now, from_since };
    let cases = [
        case(Tenure::default(), HolderState::MayBeRunning, 500, Some((0, 0))),
        case(tenure(0, 1000, 0), HolderState::MayBeRunning, 1009, None),
        case(tenure(0, 1000, 0), HolderState::MayBeRunning, 1010, Some((1000, 1010))),
        case(tenure(0, 1000, 0), HolderState::Ended, 500, Some((520, 500))),
    ];
    for (n, case) in cases.iter().enumerate() {
        let new = takeover(&case.old, &run(2), case.holder, &TERMS, case.now);
        let got = new.as_ref().map(|t| (t.from_ms, t.since_ms));
        assert_eq!(got, case.from_since, "case {n}");
        assert!(new.is_none_or(|t| t.run == 2 && t.until_ms == case.now + 1000));
    }
}

#[test]
fn renewal_extends_only_an_unexpired_range() {
    let t = tenure(0, 1000, 0);
    assert_eq!(renewal(&t, &TERMS, 100), None);
    assert_eq!(renewal(&t, &TERMS, 200).map(|t| t.until_ms), Some(1200));
    assert_eq!(renewal(&t, &TERMS, 1000), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(20261202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a birth that two runs may both grant, under any order of renewals,
    /// expiries, ends and pauses of runs, and any clocks within their skew.
    #[test]
    fn no_birth_has_two_holders(
        steps in prop::collection::vec((0..3u8, 1..400u64, 0..10u64), 1..40),
        probes in prop::collection::vec((1..8000u64, 0..9000u64), 1..20),
    ) {
        let mut now = 10;
        let mut present = takeover(&Tenure::default(), &run(1), HolderState::MayBeRunning, &TERMS, now)
            .expect("a partition never held is free");
        // Each run's last tenure, and the last time at which it could act.
        let mut past: Vec<(Tenure, Millis)> = Vec::new();
        for (kind, time, clock) in steps {
            now += time;
            let seen = now + clock;
            let next = match kind {
                0 => renewal(&present, &TERMS, seen),
                1 => None,
                _ => {
                    let me = run(present.run + 1);
                    let taken = takeover(&present, &me, HolderState::Ended, &TERMS, seen);
                    // The old holder's clock may be ahead by the skew.
                    past.push((present.clone(), now + 10));
                    taken
                }
            };
            if let Some(next) = next {
                present = next;
            }
            let me = run(present.run + 1);
            if kind == 1 {
                if let Some(next) = takeover(&present, &me, HolderState::MayBeRunning, &TERMS, seen) {
                    // The paused holder may act at any later time.
                    past.push((present.clone(), Millis::MAX / 2));
                    present = next;
                }
            }
        }
        past.push((present, Millis::MAX / 2));
        for (birth, at) in probes {
            let knows = |(t, end): &&(Tenure, Millis)| {
                let acts = at.min(*end);
                record_status(t, &TERMS, acts, birth) == RecordStatus::Complete
            };
            prop_assert!(past.iter().filter(knows).count() <= 1, "{birth} {at} {past:?}");
        }
    }
}

fn claims() -> ClaimTable<&'static str> {
    let limits =
        ClaimLimits { retention: TERMS.retention, max_keys: 3, max_answer_bytes: 10 };
    ClaimTable::new(limits)
}

fn ask(key: u128, attempt: &str) -> ClaimAttempt {
    ClaimAttempt { key, request: 1, attempt: attempt.into(), deadline: 100 }
}

#[test]
fn claim_is_granted_once() {
    let mut claims = claims();
    assert_eq!(claims.claim(0, ask(1, "a")).0, ClaimVerdict::Granted);
    assert_eq!(claims.claim(0, ask(1, "a")).0, ClaimVerdict::Granted);
    assert_eq!(claims.claim(0, ask(1, "b")).0, ClaimVerdict::Running);
    assert_eq!(claims.claim(100, ask(1, "b")).0, ClaimVerdict::Unknown);
    let other = ClaimAttempt { request: 2, ..ask(1, "b") };
    assert_eq!(claims.claim(0, other).0, ClaimVerdict::Mismatch);
}

#[test]
fn settled_claim_answers_a_retry() {
    struct Case {
        settled: ClaimOutcome,
        retry: ClaimVerdict,
        answer: Option<&'static str>,
    }
    let cases = [
        Case { settled: ClaimOutcome::Ran, retry: ClaimVerdict::Ran, answer: Some("x") },
        Case {
            settled: ClaimOutcome::Unknown,
            retry: ClaimVerdict::Unknown,
            answer: None,
        },
        Case {
            settled: ClaimOutcome::NotRun,
            retry: ClaimVerdict::Granted,
            answer: None,
        },
    ];
    for case in cases {
        let mut claims = claims();
        claims.claim(0, ask(1, "a"));
        claims.settle(1, "b", ClaimOutcome::NotRun, None);
        assert_eq!(claims.claim(0, ask(1, "c")).0, ClaimVerdict::Running);
        claims.settle(1, "a", case.settled, case.answer.map(|a| (a, 1)));
        claims.settle(1, "a", ClaimOutcome::NotRun, None);
        let retry = claims.claim(1, ask(1, "d"));
        assert_eq!(retry, (case.retry, case.answer), "{:?}", case.settled);
    }
}

#[test]
fn keys_are_kept_for_the_retention_and_answers_up_to_the_limit() {
    let mut claims = claims();
    for key in 1..=3 {
        assert_eq!(claims.claim(0, ask(key, "a")).0, ClaimVerdict::Granted);
        claims.settle(key, "a", ClaimOutcome::Ran, Some(("x", 5)));
    }
    assert_eq!(claims.claim(1, ask(1, "b")), (ClaimVerdict::Ran, None));
    assert_eq!(claims.claim(1, ask(3, "b")), (ClaimVerdict::Ran, Some("x")));
    assert_eq!(claims.claim(1, ask(4, "b")).0, ClaimVerdict::Full);
    assert_eq!(claims.claim(4999, ask(1, "b")).0, ClaimVerdict::Ran);
    assert_eq!(claims.claim(5000, ask(4, "b")).0, ClaimVerdict::Granted);
    assert_eq!(claims.len(), 1);
}

#[test]
fn retention_of_a_reclaimed_key_starts_at_the_last_claim() {
    let mut claims = claims();
    claims.claim(0, ask(1, "a"));
    claims.settle(1, "a", ClaimOutcome::NotRun, None);
    assert_eq!(claims.claim(4000, ask(1, "b")).0, ClaimVerdict::Granted);
    assert_ne!(claims.claim(6000, ask(1, "c")).0, ClaimVerdict::Granted);
}

#[test]
fn claims_survive_a_handover() {
    let mut old = claims();
    old.claim(0, ask(1, "a"));
    old.settle(1, "a", ClaimOutcome::Ran, Some(("x", 1)));
    old.claim(10, ask(2, "a"));
    let mut new = claims();
    new.import(old.export());
    assert_eq!(new.claim(11, ask(1, "b")), (ClaimVerdict::Ran, Some("x")));
    assert_eq!(new.claim(11, ask(2, "b")).0, ClaimVerdict::Running);
    new.settle(2, "a", ClaimOutcome::NotRun, None);
    assert_eq!(new.claim(12, ask(2, "b")).0, ClaimVerdict::Granted);
    // The retention counts from the first claim.
    assert_eq!(new.claim(5000, ask(1, "b")).0, ClaimVerdict::Granted);
}
