//! Tests of the choice of adapter versions.

use std::time::{Duration, Instant};

use larkspring_core::fleet::versions::AdapterVersions;

struct Case {
    name: &'static str,
    /// Announced versions, each with its time in milliseconds.
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
        let mut versions = AdapterVersions::default();
        let adapter = "m/a".into();
        for (number, ms) in c.named {
            versions.announce(at(*ms), Some(at(*ms)), &adapter, *number);
        }
        assert_eq!(&*versions.newest(&adapter), c.newest, "{}", c.name);
        let allowed = versions.previous_allowed(at(c.at), &adapter);
        assert_eq!(allowed.as_deref(), c.allowed, "{}", c.name);
    }
}

#[test]
fn older_version_may_begin_for_a_limited_time() {
    struct Case {
        name: &'static str,
        version: &'static str,
        /// Milliseconds after version 9 was announced, which followed version 7.
        begin_by: Option<u64>,
    }
    let cases = [
        Case { name: "the newest", version: "9", begin_by: None },
        Case { name: "the one before", version: "7", begin_by: Some(4000) },
        Case { name: "an older one", version: "1", begin_by: Some(0) },
    ];
    let now = Instant::now();
    let mut versions = AdapterVersions::default();
    let adapter = "m/a".into();
    assert_eq!(versions.latest_start(&adapter, &"1".into()), None, "none was named");
    versions.announce(now, Some(now), &adapter, 7);
    versions.announce(now, Some(now), &adapter, 9);
    for c in cases {
        let begin_by = c.begin_by.map(|ms| now + Duration::from_millis(ms));
        assert_eq!(
            versions.latest_start(&adapter, &c.version.into()),
            begin_by,
            "{}",
            c.name
        );
    }
}

/// Guards against requests that begin on an older version after the operators' bound
/// because the announcement of the newer version arrived late.
#[test]
fn late_announcement_shortens_the_time_of_the_previous_version() {
    const BOUND_MS: u64 = 5000;
    for late_ms in (0..6000).step_by(100) {
        let named = Instant::now();
        let learned = named + Duration::from_millis(late_ms);
        let mut versions = AdapterVersions::default();
        let adapter = "m/a".into();
        versions.announce(learned, Some(named), &adapter, 2);
        let begin_by = versions.latest_start(&adapter, &"1".into()).expect("a time");
        let bound = named + Duration::from_millis(BOUND_MS);
        assert!(begin_by < bound, "{late_ms} ms late");
        if versions.previous_allowed(learned, &adapter).is_some() {
            assert!(begin_by > learned, "{late_ms} ms late: sent and not begun");
        }
    }
}

/// Guards against a process that, just after its start, takes the version that it reads
/// for one that was announced at that moment, and still uses the previous one.
#[test]
fn a_version_announced_at_an_unknown_time_replaces_the_previous_one_at_once() {
    let now = Instant::now();
    let mut versions = AdapterVersions::default();
    let adapter = "m/a".into();
    assert!(versions.announce(now, None, &adapter, 2));
    assert_eq!(versions.previous_allowed(now, &adapter), None);
    assert_eq!(versions.latest_start(&adapter, &"1".into()), Some(now));
    assert_eq!(versions.latest_start(&adapter, &"2".into()), None);
}
