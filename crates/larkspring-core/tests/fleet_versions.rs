//! Versions of adapters.

use std::time::{Duration, Instant};

use larkspring_core::fleet::versions::Versions;

struct Case {
    name: &'static str,
    /// Versions as they are named, and when, in milliseconds.
    named: &'static [(u64, u64)],
    at: u64,
    newest: &'static str,
    allowed: Option<&'static str>,
}

#[test]
fn requests_get_the_newest_version_in_time() {
    let cases = [
        Case { name: "none named", named: &[], at: 0, newest: "1", allowed: None },
        Case {
            name: "just named",
            named: &[(7, 0)],
            at: 100,
            newest: "7",
            allowed: Some("1"),
        },
        Case {
            name: "named long ago",
            named: &[(7, 0)],
            at: 2600,
            newest: "7",
            allowed: None,
        },
        Case {
            name: "an older one changes nothing",
            named: &[(7, 0), (5, 2000)],
            at: 2600,
            newest: "7",
            allowed: None,
        },
        Case {
            name: "the same again changes nothing",
            named: &[(7, 0), (7, 2000)],
            at: 2600,
            newest: "7",
            allowed: None,
        },
        Case {
            name: "named twice",
            named: &[(7, 0), (9, 2000)],
            at: 2100,
            newest: "9",
            allowed: Some("7"),
        },
    ];
    for c in cases {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let mut versions = Versions::default();
        let adapter = "m/a".into();
        for (number, ms) in c.named {
            versions.name(at(*ms), &adapter, *number);
        }
        assert_eq!(&*versions.newest(&adapter), c.newest, "{}", c.name);
        let allowed = versions.still_allowed(at(c.at), &adapter);
        assert_eq!(allowed.as_deref(), c.allowed, "{}", c.name);
    }
}
