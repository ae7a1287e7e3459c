//! Tests of the shared retry budget in every window.

use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::retry::{RetryTerms, RetryWindow};

const TERMS: RetryTerms =
    RetryTerms { ratio: 0.2, fixed: 52.0, window: Duration::from_secs(10) };

/// Guards against retries that amplify an overload: with random traffic of several
/// entries, the retries of all entries in each window stay within the ratio of the
/// requests plus the fixed part.
#[test]
fn entries_together_keep_the_retry_budget() {
    for seed in 0..20 {
        let mut rng = Rng::with_seed(seed);
        let entries = rng.usize(1..6);
        let mut windows: Vec<_> =
            (0..entries).map(|_| RetryWindow::new(TERMS, rng.f64())).collect();
        let start = Instant::now();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut ms = 0;
        while ms < 40_000 {
            // Bursts and pauses.
            ms += if rng.u32(..100) < 2 { rng.u64(500..4000) } else { rng.u64(0..12) };
            let now = start + Duration::from_millis(ms);
            let window = &mut windows[rng.usize(..entries)];
            window.record_request(now);
            requests.push(ms);
            if rng.bool() && window.try_retry(now, entries) {
                repeats.push(ms);
            }
        }
        assert!(repeats.len() > 20, "seed {seed}: only {} repeats", repeats.len());
        for end in (0..40_000).step_by(250) {
            let from = |end: u64| end.saturating_sub(10_000);
            let inside = |list: &[u64], end: u64| {
                list.iter().filter(|t| (from(end)..=end).contains(*t)).count() as f64
            };
            let allowed = TERMS.ratio * inside(&requests, end) + TERMS.fixed;
            assert!(inside(&repeats, end) <= allowed, "seed {seed}, window to {end}");
        }
    }
}

#[test]
fn without_requests_only_the_fixed_share_is_allowed() {
    let now = Instant::now();
    let mut alone = RetryWindow::new(TERMS, 0.0);
    let taken = (0..100).filter(|_| alone.try_retry(now, 1)).count();
    assert_eq!(taken, 31, "three fifths of 52");
    let mut one_of_ten = RetryWindow::new(TERMS, 0.0);
    let taken = (0..100).filter(|_| one_of_ten.try_retry(now, 10)).count();
    assert_eq!(taken, 3);
    let later = now + Duration::from_secs(11);
    assert!(one_of_ten.try_retry(later, 10), "the window moves on");
}

/// In a large fleet an entry's share is a retry or two, which must not be lost by
/// rounding: a few requests a second at each of 400 entries, one in seven of which fails.
#[test]
fn entries_of_a_large_fleet_use_their_whole_budget() {
    const ENTRIES: usize = 400;
    const FIXED: f64 = 1040.0;
    let terms = RetryTerms { fixed: FIXED, ..TERMS };
    for seed in 0..10 {
        let mut rng = Rng::with_seed(seed);
        let mut windows: Vec<_> =
            (0..ENTRIES).map(|_| RetryWindow::new(terms, rng.f64())).collect();
        let start = Instant::now();
        let (mut requests, mut wanted, mut taken) = (0, 0, Vec::new());
        for ms in (0..40_000).step_by(4) {
            let now = start + Duration::from_millis(ms);
            let window = &mut windows[rng.usize(..ENTRIES)];
            window.record_request(now);
            requests += 1;
            if rng.u32(..7) == 0 {
                wanted += 1;
                if window.try_retry(now, ENTRIES) {
                    taken.push(ms);
                }
            }
        }
        let served = taken.len() as f64 / f64::from(wanted);
        assert!(served > 0.8, "seed {seed}: only {served} of the retries");
        let in_window = |end: u64| {
            let from = end.saturating_sub(10_000);
            taken.iter().filter(|at| (from..=end).contains(*at)).count() as f64
        };
        let allowed = TERMS.ratio * f64::from(requests) / 4.0 + FIXED;
        assert!((0..40_000).step_by(500).all(|end| in_window(end) <= allowed));
    }
}
