//! Endpoints that come, leave, lapse in an outage and return.

use std::time::{Duration, Instant};

use larkspring_core::fleet::members::{Endpoint, Members, LAPSE_GRACE};

fn endpoint(id: &str, leaving: bool) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "s".into(),
        addr: "127.0.0.1:1".parse().expect("an address"),
        hall: "h".into(),
        slots: 1,
        leaving,
        listed_since: 1,
        start: None,
        holds: Vec::new(),
    }
}

enum Step {
    Put(&'static str, bool),
    /// An endpoint is missing; whether just after an outage.
    Gone(&'static str, bool),
    /// The whole list; whether just after an outage.
    List(&'static [&'static str], bool),
    /// Time passes, in milliseconds.
    Pass(u64),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    left: &'static [&'static str],
}

#[test]
fn members_follow_the_list() {
    use Step::{Gone, List, Pass, Put};
    let cases = [
        Case { name: "comes", steps: &[Put("a", false)], left: &["a"] },
        Case { name: "goes", steps: &[Put("a", false), Gone("a", false)], left: &[] },
        Case {
            name: "missing after an outage is kept",
            steps: &[Put("a", false), Gone("a", true), Pass(1900)],
            left: &["a"],
        },
        Case {
            name: "still missing after the grace is gone",
            steps: &[Put("a", false), Gone("a", true), Pass(2100)],
            left: &[],
        },
        Case {
            name: "back within the grace stays",
            steps: &[
                Put("a", false),
                Gone("a", true),
                Pass(500),
                Put("a", false),
                Pass(5000),
            ],
            left: &["a"],
        },
        Case {
            name: "a leaving one is not kept",
            steps: &[Put("a", true), Gone("a", true)],
            left: &[],
        },
        Case {
            name: "a list without it",
            steps: &[Put("a", false), Put("b", false), List(&["b"], false)],
            left: &["b"],
        },
        Case {
            name: "a list without it after an outage",
            steps: &[Put("a", false), Put("b", false), List(&["b"], true), Pass(100)],
            left: &["a", "b"],
        },
        Case {
            name: "lists do not prolong the grace",
            steps: &[
                Put("a", false),
                List(&[], true),
                Pass(1500),
                List(&[], true),
                Pass(600),
            ],
            left: &[],
        },
    ];
    for c in cases {
        let mut now = Instant::now();
        let mut members = Members::default();
        for step in c.steps {
            let keep = |outage: bool| outage.then_some(now + LAPSE_GRACE);
            match step {
                Put(id, leaving) => drop(members.put(endpoint(id, *leaving))),
                Gone(id, outage) => members.remove(&(*id).into(), keep(*outage)),
                List(ids, outage) => {
                    let list = ids.iter().map(|id| endpoint(id, false)).collect();
                    members.replace(list, keep(*outage));
                }
                Pass(ms) => {
                    now += Duration::from_millis(*ms);
                    members.expire(now);
                }
            }
        }
        let mut left: Vec<_> = members.endpoints().map(|e| e.id.to_string()).collect();
        left.sort();
        assert_eq!(left, c.left, "{}", c.name);
    }
}
