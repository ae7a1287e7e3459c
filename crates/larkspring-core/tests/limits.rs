//! Limits over all entries under load: what is refused falsely, and what a window lets in.
//!
//! The pattern: 16 workspaces by size whose callers reach few of 26 entries, as the screening
//! agency's sheet tells them (limits 1.8 times the usual, a second of burst, 718 tokens a
//! request), one or two of them at many times their usual. The bound is the users': a tenth
//! on top of the limit and 110,000 tokens in every 8 s.

mod limited;

use std::time::{Duration, Instant};

use larkspring_core::limits::account::{Accounts, Verdict};
use larkspring_core::limits::home::{Ask, Home};
use larkspring_core::limits::presence::Told;
use larkspring_core::limits::LimitTerms;
use larkspring_core::workspaces::{Limit, Unit, Workspace};
use limited::{Fault, Shape, Way};

const SEEDS: [u64; 3] = [1, 2, 3];

#[test]
fn reservations_refuse_hardly_any_request_that_is_owed() {
    struct Case {
        name: &'static str,
        hot: &'static [usize],
        most: f64,
    }
    let cases = [
        Case { name: "usual", hot: &[], most: 0.005 },
        Case { name: "two hot workspaces", hot: &[1, 4], most: 0.06 },
    ];
    for c in cases {
        for seed in SEEDS {
            let mut shape = Shape::sheet(seed);
            for of in c.hot {
                shape.workspaces[*of].1 = 7.5;
            }
            let even = Shape { way: Way::Even, ..shape.clone() }.play();
            let home = shape.play();
            let part = |s: &limited::Seen| s.falsely_refused / s.owed;
            println!(
                "{} seed {seed}: even {:.3}, home {:.4} of what is owed refused; worst \
                 window {:.2}; {} messages",
                c.name,
                part(&even),
                part(&home),
                home.worst_window,
                home.messages,
            );
            assert!(part(&home) < c.most, "{} seed {seed}", c.name);
            assert!(part(&home) < part(&even) / 4.0, "{} seed {seed}", c.name);
            assert!(home.worst_window <= 1.0, "{} seed {seed}", c.name);
        }
    }
}

/// Whatever happens to homes and to the ways to them, no window lets in more than allowed,
/// and most of what is owed goes through.
#[test]
fn no_fault_lets_a_window_exceed_its_bound() {
    struct Case {
        name: &'static str,
        faults: Vec<(u64, u64, Fault)>,
        /// Most of what is owed that may be refused.
        most: f64,
    }
    let cuts = |entries: std::ops::Range<usize>, home| {
        entries.map(move |entry| (6000, 16_000, Fault::Cut { entry, home }))
    };
    let cases = [
        Case {
            name: "the home is lost and comes back",
            faults: vec![(6000, 9000, Fault::HomeLost(0))],
            most: 0.08,
        },
        Case {
            name: "the home stands still and goes on",
            faults: vec![(6000, 9500, Fault::HomeFrozen(0))],
            most: 0.08,
        },
        Case {
            name: "homes are lost one after the other",
            faults: vec![
                (6000, 8000, Fault::HomeLost(0)),
                (8000, 10_000, Fault::HomeLost(1)),
                (10_000, 12_000, Fault::HomeLost(0)),
                (12_000, 14_000, Fault::HomeLost(1)),
            ],
            most: 0.15,
        },
        Case {
            name: "a third of the entries is cut from the home",
            faults: cuts(0..9, 0).collect(),
            most: 0.15,
        },
        Case {
            name: "one entry is cut from the home",
            faults: cuts(3..4, 0).collect(),
            most: 0.08,
        },
        Case {
            name: "all processes are lost",
            faults: vec![(8000, 10_000, Fault::AllLost)],
            most: 0.25,
        },
    ];
    for c in cases {
        for seed in SEEDS {
            let mut shape = Shape::sheet(seed);
            shape.workspaces[0].1 = 4.0;
            shape.workspaces[3].1 = 7.5;
            shape.faults = c.faults.clone();
            let seen = shape.play();
            let part = seen.falsely_refused / seen.owed;
            let worst = seen.worst_window;
            println!("{} seed {seed}: {part:.3} refused, window {worst:.2}", c.name);
            assert!(worst <= 1.0, "{} seed {seed}: a window at {worst:.2}", c.name);
            assert!(part < c.most, "{} seed {seed}: {part:.3} refused", c.name);
        }
    }
}

/// Without any slack nothing may be out when a window begins, so each request asks for
/// itself, and is let in by what its own ask brings.
#[test]
fn a_limit_without_slack_is_served_request_by_request() {
    // Longer than a home without units is left alone.
    const STEP: Duration = Duration::from_millis(200);
    let terms = LimitTerms { overage: 0.0, tolerance: 0.0, ..limited::TERMS };
    let limit = Limit { per_sec: 1000.0, burst: 1000.0, unit: Unit::Requests };
    let workspace = Workspace { name: "w".into(), priority: None, limit: Some(limit) };
    let (mut home, mut accounts) = (Home::new(terms), Accounts::new(terms));
    let start = Instant::now();
    let mut admitted = 0;
    for step in 0..100_u32 {
        let now = start + STEP * step;
        let entered = accounts.enter(now, &workspace, 1, 10.0, step);
        assert_eq!(entered, None, "step {step}: it waits for its own ask");
        let wants = accounts.wants(now, false);
        let time = if step == 0 { Duration::ZERO } else { STEP };
        let told = Told { time, joined: step == 0 };
        let grants = home.ask(now, &Ask { told, entries: 1, wants: &wants });
        for (request, verdict) in accounts.granted(now, &grants) {
            assert_eq!(request, step);
            admitted += usize::from(verdict == Verdict::Admitted);
        }
    }
    // 200 units come with each step and 10 are asked; the first step finds nothing.
    assert_eq!(admitted, 99);
}

/// Faults drawn at random: up to four of any kind, each for up to 4 s, with three hot
/// workspaces.
#[test]
fn no_drawn_series_of_faults_lets_a_window_exceed_its_bound() {
    for seed in 0..DRAWN {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut shape = Shape::sheet(seed);
        shape.secs = 12;
        for _ in 0..3 {
            shape.workspaces[rng.usize(..16)].1 = 2.0 + 6.0 * rng.f64();
        }
        for _ in 0..rng.usize(1..=4) {
            let from = rng.u64(3000..10_000);
            let fault = match rng.u8(..4) {
                0 => Fault::HomeLost(rng.usize(..2)),
                1 => Fault::HomeFrozen(rng.usize(..2)),
                2 => Fault::Cut { entry: rng.usize(..26), home: rng.usize(..2) },
                _ => Fault::AllLost,
            };
            shape.faults.push((from, from + rng.u64(300..4000), fault));
        }
        let worst = shape.play().worst_window;
        assert!(worst <= 1.0, "seed {seed}: a window at {worst:.3}: {:?}", shape.faults);
    }
}

/// Series of faults that are drawn.
const DRAWN: u64 = 60;
