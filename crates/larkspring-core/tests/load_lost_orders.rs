//! Tests of lost answers to load orders while all adapters are still to be fetched.

mod load;

use std::time::Duration;

use larkspring_core::call_timeout::TimeoutBounds;
use load::{simulate, Outcome, Scene};

/// The first seconds of a day on which engines leave 3 in 10 orders unanswered. Every
/// adapter slot is empty, 9 requests a second arrive for each engine (712 for 74), and an
/// order is answered within 2 ms if at all.
fn scene(seed: u64, least: u64) -> Scene {
    let longest = Duration::from_millis(250);
    Scene {
        seed,
        engines: 20,
        rate: 180.0,
        length: 5_000,
        lost_orders: 0.3,
        answer: TimeoutBounds { shortest: Duration::from_millis(least), longest },
    }
}

fn sum(least: u64) -> Outcome {
    let runs = (1..=3).map(|seed| simulate(scene(seed, least)));
    runs.fold(Outcome::default(), |all, one| Outcome {
        in_time: all.in_time + one.in_time,
        late: all.late + one.late,
        refused: all.refused + one.refused,
        fetched: all.fetched + one.fetched,
    })
}

#[test]
fn lost_order_delays_others_only_briefly() {
    // With the shortest wait as long as the longest, the wait is fixed.
    let (fixed, learned) = (sum(250), sum(30));
    println!("fixed wait: {fixed:?}\nlearned wait: {learned:?}");
    let missed = |o: Outcome| f64::from(o.late + o.refused) / f64::from(o.all());
    assert!(missed(learned) < 0.5 * missed(fixed), "{learned:?} {fixed:?}");
}
