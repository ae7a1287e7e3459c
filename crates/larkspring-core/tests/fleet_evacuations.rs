//! Evacuations of halls, over changes, complete lists and restores of the store.

use std::time::{Duration, Instant};

use larkspring_core::fleet::evacuations::{Evacuations, RESTORE_GRACE};
use larkspring_core::ids::{HallId, StorePoint};

/// An event in the state of the evacuations.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An evacuation of a hall, written at a revision of the present epoch.
    Begin(&'static str, u64),
    /// The evacuation of a hall is lifted.
    Lift(&'static str),
    /// A complete list: halls with the revisions of their evacuations.
    List(&'static [(&'static str, u64)]),
    /// The store was restored from a backup; the next list is of a new epoch.
    Restore,
    /// This time passes.
    Wait(Duration),
}

use Step::*;

struct Case {
    name: &'static str,
    steps: &'static [Step],
    evacuated: &'static [&'static str],
}

const JUST_BEFORE: Duration = RESTORE_GRACE.saturating_sub(Duration::from_millis(1));
const CASES: &[Case] = &[
    Case { name: "none", steps: &[List(&[])], evacuated: &[] },
    Case { name: "begun", steps: &[List(&[]), Begin("a", 2)], evacuated: &["a"] },
    Case { name: "in the first list", steps: &[List(&[("a", 2)])], evacuated: &["a"] },
    Case {
        name: "lifted",
        steps: &[List(&[]), Begin("a", 2), Lift("a")],
        evacuated: &[],
    },
    Case {
        name: "two that overlap, one lifted",
        steps: &[List(&[]), Begin("a", 2), Begin("b", 3), Lift("a")],
        evacuated: &["b"],
    },
    Case {
        name: "begun again",
        steps: &[List(&[]), Begin("a", 2), Lift("a"), Begin("a", 4)],
        evacuated: &["a"],
    },
    Case {
        name: "missing in a list of the same epoch",
        steps: &[List(&[("a", 2)]), List(&[])],
        evacuated: &[],
    },
    Case {
        name: "missing in a restored store",
        steps: &[List(&[]), Begin("a", 2), Restore, List(&[])],
        evacuated: &["a"],
    },
    Case {
        name: "missing in a restored store, within the grace",
        steps: &[List(&[]), Begin("a", 2), Restore, List(&[]), Wait(JUST_BEFORE)],
        evacuated: &["a"],
    },
    Case {
        name: "missing in a restored store, after the grace",
        steps: &[List(&[]), Begin("a", 2), Restore, List(&[]), Wait(RESTORE_GRACE)],
        evacuated: &[],
    },
    Case {
        name: "repeated after a restore",
        steps: &[
            List(&[]),
            Begin("a", 2),
            Restore,
            List(&[]),
            Begin("a", 3),
            Wait(RESTORE_GRACE),
        ],
        evacuated: &["a"],
    },
    Case {
        name: "lifted, and back in a restored store",
        steps: &[List(&[("a", 2)]), Lift("a"), Restore, List(&[("a", 2)])],
        evacuated: &[],
    },
    Case {
        name: "lifted, then begun anew before the restored store is read",
        steps: &[List(&[("a", 2)]), Lift("a"), Restore, List(&[("a", 3)])],
        evacuated: &["a"],
    },
    Case {
        name: "lifting is repeated after a restore",
        steps: &[List(&[("a", 2)]), Restore, List(&[("a", 2)]), Lift("a")],
        evacuated: &[],
    },
];

#[test]
fn evacuations_follow_the_store() {
    for c in CASES {
        let (mut evacuations, mut now) = (Evacuations::default(), Instant::now());
        let mut epoch = 1;
        for step in c.steps {
            match *step {
                Begin(hall, revision) => {
                    evacuations.begin(hall.into(), StorePoint::new(epoch, revision));
                }
                Lift(hall) => evacuations.lift(&HallId::from(hall)),
                List(halls) => {
                    let point = |revision| StorePoint::new(epoch, revision);
                    let listed =
                        halls.iter().map(|(hall, at)| ((*hall).into(), point(*at)));
                    evacuations.replace(now, point(100), listed.collect());
                }
                Restore => epoch += 1,
                Wait(time) => now += time,
            }
            evacuations.expire(now);
        }
        let mut halls: Vec<_> = evacuations.halls().map(|hall| &**hall).collect();
        halls.sort_unstable();
        assert_eq!(halls, c.evacuated, "{}", c.name);
        assert!(c.evacuated.iter().all(|hall| evacuations.contains(hall)), "{}", c.name);
    }
}
