//! Tests of an advertised rate limit that all entries share.
//!
//! Each simulation steps through time by milliseconds. Entries are loaded unevenly and
//! send granted requests at once or, at random, as late as a permit is valid. Permit
//! issuers are killed, stop responding and are disconnected from some entries; rates
//! change and end. All arrivals are recorded and every interval of four seconds is
//! counted.

use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::fleet::permits::{
    IssuerRole, PermitIssuer, PermitQuery, PermitResponse, ISSUER_TIMEOUT,
    PERMIT_LIFETIME,
};
use larkspring_core::fleet::rate::{AdvertisedRate, Rate, RateLimit};

const RUN: u64 = 7;
const SPAN_MS: u64 = 4000;
/// Targets as fractions of the bound and of the rate.
const OF_BOUND: f64 = 0.95;
const OF_RATE: f64 = 0.95;

/// How entries limit their requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Limiter {
    /// No limit.
    Unlimited,
    /// Each entry limits itself to the whole rate.
    PerEntry,
    /// Each entry limits itself to an equal part of the rate.
    EqualPart,
    /// Permits of a shared issuer.
    Shared,
}

#[derive(Debug, Clone, Copy)]
struct Load {
    entries: usize,
    /// The advertised rate and the rate of arriving requests, both a second.
    rate: f64,
    asked: f64,
    secs: u64,
    /// Whether issuers fail and permits are used late.
    faults: bool,
}

#[derive(Debug)]
struct Outcome {
    /// Highest number of arrivals in an interval, as a fraction of the bound.
    of_bound: f64,
    /// Arrivals, as a fraction of the rate.
    of_rate: f64,
}

/// A permit issuer, which may be unresponsive.
#[derive(Default)]
struct Process {
    permits: PermitIssuer,
    unresponsive_until: u64,
}

fn simulate(limiter: Limiter, load: Load, seed: u64) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut issuers = [Process::default(), Process::default()];
    let mut own: Vec<PermitIssuer> =
        (0..load.entries).map(|_| PermitIssuer::default()).collect();
    // Until when an entry was denied, and until when it is disconnected from the primary
    // issuer.
    let mut denied_until = vec![0; load.entries];
    let mut disconnected_until = vec![0; load.entries];
    // A few entries get most of the load.
    let weights: Vec<f64> = (0..load.entries).map(|_| rng.f64().powi(3) + 0.01).collect();
    let all: f64 = weights.iter().sum();
    let mut arrivals = Vec::new();
    for ms in 0..load.secs * 1000 {
        if load.faults {
            inject_fault(&mut rng, ms, &mut issuers, &mut disconnected_until);
        }
        for entry in 0..load.entries {
            let chance = load.asked / 1000.0 * weights[entry] / all;
            if rng.f64() >= chance || denied_until[entry] > ms {
                continue;
            }
            let ask = |issuer, rate| PermitQuery {
                run: RUN,
                rate: Rate::per_sec(rate).unwrap(),
                age: Duration::ZERO,
                issuer,
            };
            let verdict = match limiter {
                Limiter::Unlimited => PermitResponse::Granted,
                Limiter::PerEntry => {
                    own[entry].request(at(ms), &ask(IssuerRole::Primary, load.rate))
                }
                Limiter::EqualPart => {
                    let part = load.rate / load.entries as f64;
                    own[entry].request(at(ms), &ask(IssuerRole::Primary, part))
                }
                Limiter::Shared => {
                    let reaches = |issuer: &Process, n| {
                        issuer.unresponsive_until <= ms
                            && (n > 0 || disconnected_until[entry] <= ms)
                    };
                    let first = issuers
                        .iter()
                        .enumerate()
                        .find(|(n, issuer)| reaches(issuer, *n));
                    match first.map(|(n, _)| n) {
                        Some(0) => issuers[0]
                            .permits
                            .request(at(ms), &ask(IssuerRole::Primary, load.rate)),
                        Some(n) => issuers[n]
                            .permits
                            .request(at(ms), &ask(IssuerRole::Secondary, load.rate)),
                        None => PermitResponse::Denied(ISSUER_TIMEOUT),
                    }
                }
            };
            match verdict {
                PermitResponse::Granted => {
                    let late = (ISSUER_TIMEOUT + PERMIT_LIFETIME).as_millis() as u64;
                    let later = if load.faults { rng.u64(0..late) } else { 1 };
                    arrivals.push(ms + later);
                }
                PermitResponse::Denied(wait) => {
                    denied_until[entry] = ms + wait.as_millis() as u64
                }
            }
        }
    }
    arrivals.sort_unstable();
    let bound = 1.5 * load.rate * SPAN_MS as f64 / 1000.0 + 5.0;
    let most = max_in_a_span(&arrivals) as f64;
    let offered = load.rate.min(load.asked) * load.secs as f64;
    Outcome { of_bound: most / bound, of_rate: arrivals.len() as f64 / offered }
}

/// Occasionally kills an issuer, makes one unresponsive, or disconnects an entry.
fn inject_fault(
    rng: &mut Rng,
    ms: u64,
    issuers: &mut [Process; 2],
    disconnected_until: &mut [u64],
) {
    if rng.u32(..1500) > 0 {
        return;
    }
    let until = ms + rng.u64(50..3000);
    let issuer = &mut issuers[rng.usize(..2)];
    match rng.u32(..3) {
        0 => *issuer = Process { unresponsive_until: until, ..Process::default() },
        1 => issuer.unresponsive_until = until,
        _ => {
            let entry = rng.usize(..disconnected_until.len());
            disconnected_until[entry] = until;
        }
    }
}

fn max_in_a_span(arrivals: &[u64]) -> usize {
    let mut from = 0;
    let mut most = 0;
    for (n, at) in arrivals.iter().enumerate() {
        while arrivals[from] + SPAN_MS <= *at {
            from += 1;
        }
        most = most.max(n + 1 - from);
    }
    most
}

fn load(entries: usize, rate: f64, asked: f64) -> Load {
    Load { entries, rate, asked, secs: 60, faults: false }
}

/// Compares the ways to limit requests; without any limit, the load must exceed the
/// bound.
#[test]
fn shared_issuer_keeps_the_bound_and_uses_the_rate() {
    let cases = [
        load(2, 3.2, 13.0),
        load(4, 3.2, 13.0),
        load(4, 7.4, 20.0),
        load(26, 3.2, 13.0),
        load(26, 0.2, 3.0),
        load(120, 50.0, 200.0),
        load(1200, 0.5, 2.4),
        load(1200, 3.2, 13.0),
    ];
    println!(
        "entries, rate, asked: part of the bound, of the rate; free, each, even, home"
    );
    for load in cases {
        let limiters =
            [Limiter::Unlimited, Limiter::PerEntry, Limiter::EqualPart, Limiter::Shared];
        let got = limiters.map(|limiter| simulate(limiter, load, 1));
        let shown = got.iter().map(|o| format!("{:.2} {:.2}", o.of_bound, o.of_rate));
        let shown: Vec<_> = shown.collect();
        println!("{}, {}, {}: {}", load.entries, load.rate, load.asked, shown.join("; "));
        let home = &got[3];
        assert!(home.of_bound <= OF_BOUND, "{load:?}: {home:?}");
        assert!(home.of_rate >= OF_RATE, "{load:?}: {home:?}");
        assert!(got[0].of_bound > 1.0, "{load:?}: the load does not reach the bound");
    }
}

/// Random series with issuers that are killed, unresponsive or disconnected, and with
/// permits that are used as late as they are valid.
#[test]
fn random_faults_keep_the_bound() {
    let mut rng = Rng::with_seed(11);
    let (mut worst, mut used) = (0.0_f64, 0.0);
    const SERIES: u64 = 400;
    for seed in 0..SERIES {
        let entries = [2, 4, 26, 120][rng.usize(..4)];
        let rate = 0.2 * 250_f64.powf(rng.f64());
        let load =
            Load { secs: 20, faults: true, ..load(entries, rate, rate * 4.0 + 2.0) };
        let outcome = simulate(Limiter::Shared, load, seed);
        worst = worst.max(outcome.of_bound);
        used += outcome.of_rate / SERIES as f64;
        assert!(outcome.of_bound <= 1.0, "seed {seed}, {load:?}: {outcome:?}");
    }
    println!("worst part of the bound {worst:.3}, mean part of the rate {used:.3}");
}

/// Applies the rate headers of consecutive answers and checks the rate in force.
#[test]
fn rate_limit_applies_while_advertised() {
    /// An answer that arrives now to a request sent this many milliseconds ago, or time
    /// that passes.
    #[derive(Clone, Copy)]
    enum Step {
        Advertises(f64, u64),
        Silent(u64),
        Unreadable,
        Wait(u64),
    }
    use Step::*;
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        /// The rate in force, and whether it is advertised.
        rate: Option<f64>,
        named: bool,
    }
    let case = |name, steps, rate, named| Case { name, steps, rate, named };
    let cases = [
        case("nothing", &[Silent(0)], None, false),
        case("named", &[Advertises(3.2, 0)], Some(3.2), true),
        case("for ever", &[Advertises(3.2, 0), Wait(100_000)], Some(3.2), true),
        case(
            "what can't be read ends nothing",
            &[Advertises(3.2, 0), Wait(9), Unreadable],
            Some(3.2),
            true,
        ),
        case(
            "a later silence ends it",
            &[Advertises(3.2, 0), Wait(9), Silent(5)],
            Some(3.2),
            false,
        ),
        case(
            "an overtaken one doesn't",
            &[Advertises(3.2, 0), Wait(9), Silent(20)],
            Some(3.2),
            true,
        ),
        case(
            "it grows after its end",
            &[Advertises(3.2, 0), Wait(9), Silent(5), Wait(500)],
            Some(6.4),
            false,
        ),
        case(
            "from one at least",
            &[Advertises(0.0, 0), Wait(9), Silent(5), Wait(1000)],
            Some(4.0),
            false,
        ),
        case(
            "and is forgotten",
            &[Advertises(3.2, 0), Wait(9), Silent(5), Wait(3000)],
            None,
            false,
        ),
        case(
            "raised",
            &[Advertises(3.2, 0), Wait(9), Advertises(7.4, 5)],
            Some(7.4),
            true,
        ),
        case(
            "not by an overtaken answer",
            &[Advertises(3.2, 0), Wait(9), Advertises(7.4, 20)],
            Some(3.2),
            true,
        ),
        case(
            "lowered by any",
            &[Advertises(7.4, 0), Wait(9), Advertises(3.2, 20)],
            Some(3.2),
            true,
        ),
        case(
            "named, ended, named",
            &[
                Advertises(1.0, 0),
                Wait(9),
                Silent(5),
                Wait(9),
                Advertises(1.0, 5),
                Wait(5000),
            ],
            Some(1.0),
            true,
        ),
        case("more than any endpoint gets", &[Advertises(1e12, 0)], None, true),
    ];
    for c in cases {
        let (mut limit, mut now) = (None, Instant::now());
        for step in c.steps {
            let advertised = match *step {
                Advertises(rate, _) => {
                    AdvertisedRate::Limit(Rate::per_sec(rate).unwrap())
                }
                Silent(_) => AdvertisedRate::Missing,
                Unreadable => AdvertisedRate::Invalid,
                Wait(ms) => {
                    now += Duration::from_millis(ms);
                    continue;
                }
            };
            let ago = match *step {
                Advertises(_, ago) | Silent(ago) => ago,
                Unreadable | Wait(_) => 0,
            };
            let asked = now.checked_sub(Duration::from_millis(ago)).unwrap();
            limit = RateLimit::updated(limit, now, asked, advertised);
        }
        let rate = limit.and_then(|limit| limit.in_force(now)).map(Rate::as_per_sec);
        assert_eq!(rate, c.rate, "{}", c.name);
        assert_eq!(
            limit.is_some_and(|l| l.advertised().is_some()),
            c.named,
            "{}",
            c.name
        );
    }
}

/// An issuer applies the latest rate, and the lower one of two of about the same age.
#[test]
fn issuer_applies_the_latest_rate() {
    struct Case {
        name: &'static str,
        /// Rates, each with its age in milliseconds, recorded at intervals of one second.
        told: &'static [(f64, u64)],
        /// Permits in the following ten seconds.
        granted: usize,
    }
    let case = |name, told, granted| Case { name, told, granted };
    let cases = [
        case("one", &[(2.0, 0)], 20),
        case("raised", &[(2.0, 0), (4.0, 0)], 40),
        case("lowered", &[(4.0, 0), (2.0, 0)], 20),
        case("an older and higher one", &[(2.0, 0), (4.0, 5000)], 20),
        case("an older and lower one", &[(4.0, 0), (2.0, 5000)], 40),
        case("a lower one that is a little older", &[(4.0, 0), (2.0, 1010)], 20),
        case("nothing is probed", &[(0.0, 0)], 2),
    ];
    for c in cases {
        let (mut permits, mut now) = (PermitIssuer::default(), Instant::now());
        for (rate, age) in c.told {
            now += Duration::from_secs(1);
            let rate = Rate::per_sec(*rate).unwrap();
            permits.update_rate(now, RUN, rate, Duration::from_millis(*age));
        }
        // The requests for permits carry no newer rate.
        let age = Duration::from_secs(3600);
        let rate = Rate::per_sec(1.0).unwrap();
        let ask = PermitQuery { run: RUN, rate, age, issuer: IssuerRole::Primary };
        // Empties the bucket first.
        while permits.request(now, &ask) == PermitResponse::Granted {}
        let granted = (0..10_000).filter(|ms| {
            permits.request(now + Duration::from_millis(ms + 1), &ask)
                == PermitResponse::Granted
        });
        let granted = granted.count();
        assert!(granted.abs_diff(c.granted) <= 1, "{}: {granted}", c.name);
    }
}
