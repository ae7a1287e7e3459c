//! A hall whose endpoints all return cold at once, while the other halls are full.
//!
//! Every entry wants to send as much as it can to each of the cold endpoints. Bound: in
//! any second an endpoint gets no more than its declared rate times the factor of the
//! tolerance plus the extra requests, over all entries, also while a part of the entries
//! does not reach the primary permit issuer.

use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::fleet::availability::{Availability, Notice};
use larkspring_core::fleet::cold::{permit_rate, ColdTolerance};
use larkspring_core::fleet::permits::{
    IssuerRole, PermitIssuer, PermitQuery, PermitResponse, PERMIT_LIFETIME,
};
use larkspring_core::fleet::rate::{AdvertisedRate, Rate};

struct Case {
    name: &'static str,
    per_sec: f64,
    tolerance: ColdTolerance,
    /// Share of the entries that reach only the secondary issuer, from this time on.
    cut_off: f64,
    cut_off_at: Duration,
}

const ENTRIES: usize = 40;
const STEP: Duration = Duration::from_millis(5);
const STEPS: u32 = 1200;
const USUAL: ColdTolerance = ColdTolerance { factor: 1.5, extra: 5.0 };
const NEVER: Duration = Duration::MAX;

const CASES: &[Case] = &[
    Case {
        name: "one issuer",
        per_sec: 36.0,
        tolerance: USUAL,
        cut_off: 0.0,
        cut_off_at: NEVER,
    },
    Case {
        name: "half of the entries lose the primary issuer",
        per_sec: 36.0,
        tolerance: USUAL,
        cut_off: 0.5,
        cut_off_at: Duration::from_secs(2),
    },
    Case {
        name: "all entries lose the primary issuer",
        per_sec: 200.0,
        tolerance: USUAL,
        cut_off: 1.0,
        cut_off_at: Duration::from_millis(2_500),
    },
    Case {
        name: "a few requests a second",
        per_sec: 3.0,
        tolerance: USUAL,
        cut_off: 0.5,
        cut_off_at: Duration::from_secs(1),
    },
    Case {
        name: "a strict tolerance",
        per_sec: 50.0,
        tolerance: ColdTolerance { factor: 1.1, extra: 3.0 },
        cut_off: 0.5,
        cut_off_at: Duration::from_secs(3),
    },
];

#[test]
fn a_cold_endpoint_gets_no_more_than_it_bears() {
    for c in CASES {
        let sent = simulate(c, 7);
        let allowed = c.per_sec * c.tolerance.factor + c.tolerance.extra;
        let most = most_in_a_second(&sent);
        assert!(most as f64 <= allowed, "{}: {most} in a second of {allowed}", c.name);
        // The endpoint is warmed by what it bears.
        let rate = sent.len() as f64 / (STEP * STEPS).as_secs_f64();
        assert!(rate > 0.4 * c.per_sec, "{}: only {rate} of {}", c.name, c.per_sec);
    }
}

/// Returns when requests reach the endpoint, each at a random time of its permit's life.
fn simulate(c: &Case, seed: u64) -> Vec<Duration> {
    let mut rng = Rng::with_seed(seed);
    let (mut primary, mut secondary) = (PermitIssuer::default(), PermitIssuer::default());
    let start = Instant::now();
    let rate = permit_rate(c.per_sec, Some(c.tolerance)).expect("a rate");
    let mut sent = Vec::new();
    for step in 0..STEPS {
        let at = STEP * step;
        for entry in 0..ENTRIES {
            let is_cut_off =
                at >= c.cut_off_at && (entry as f64) < c.cut_off * ENTRIES as f64;
            let (issuer, role) = match is_cut_off {
                true => (&mut secondary, IssuerRole::Secondary),
                false => (&mut primary, IssuerRole::Primary),
            };
            let ask = PermitQuery { run: 1, rate, age: Duration::ZERO, issuer: role };
            if issuer.request(start + at, &ask) == PermitResponse::Granted {
                sent.push(at + PERMIT_LIFETIME.mul_f64(rng.f64()));
            }
        }
    }
    sent.sort_unstable();
    sent
}

fn most_in_a_second(sent: &[Duration]) -> usize {
    let window = Duration::from_secs(1);
    let count = |from: usize| {
        sent[from..].iter().take_while(|at| **at - sent[from] < window).count()
    };
    (0..sent.len()).map(count).max().unwrap_or_default()
}

#[test]
fn without_a_declared_rate_there_is_no_limit() {
    let limits = [
        (0.0, Some(USUAL), None),
        (-1.0, Some(USUAL), None),
        (0.0, None, None),
        (18.0, None, Rate::per_sec(18.0)),
    ];
    for (per_sec, tolerance, expected) in limits {
        assert_eq!(permit_rate(per_sec, tolerance), expected, "{per_sec}");
    }
}

#[test]
fn the_longest_known_cold_time_counts() {
    let cold = |secs| Notice {
        cold: Some(Duration::from_secs(secs)),
        rate: AdvertisedRate::Invalid,
        ..Notice::default()
    };
    let start = Instant::now();
    let at = |secs| start + Duration::from_secs(secs);
    let rate = Rate::per_sec(5.0);
    let mut availability = Availability::default();
    assert_eq!(availability.rate_in_force(start, rate), None);
    assert!(availability.apply_notice(start, start, cold(3), 0.0).cold);
    assert!(!availability.apply_notice(at(1), at(1), cold(1), 0.0).cold);
    assert!(availability.is_cold(at(2)), "a shorter time does not end it");
    assert_eq!(availability.rate_in_force(at(2), rate).map(|r| r.rate), rate);
    assert!(!availability.is_cold(at(3)));
    assert_eq!(availability.rate_in_force(at(3), rate), None);
    assert!(availability.apply_notice(at(9), at(9), cold(2), 0.0).cold, "cold again");
    availability.clear_before(at(10));
    assert!(!availability.is_cold(at(10)), "another run");
}

#[test]
fn the_lower_of_two_limits_is_in_force() {
    let start = Instant::now();
    let mut availability = Availability::default();
    availability.record_cold(start, Duration::from_secs(3));
    let named = |rate| Notice::from_rate(AdvertisedRate::Limit(rate));
    let [low, high] = [2.0, 9.0].map(|rate| Rate::per_sec(rate).expect("a rate"));
    availability.apply_notice(start, start, named(high), 0.0);
    let in_force = |a: &Availability, cold| {
        a.rate_in_force(start, Some(cold)).map(|limit| limit.rate)
    };
    assert_eq!(in_force(&availability, low), Some(low));
    availability.apply_notice(start, start, named(low), 0.0);
    assert_eq!(in_force(&availability, high), Some(low));
}
