//! Tests of the versions that are still to be recorded in the store.

use std::time::Instant;

use larkspring_core::fleet::version_records::{VersionObject, VersionRecords};
use larkspring_core::fleet::versions::AdapterVersions;
use larkspring_core::ids::StorePoint;

/// An object, as (named, recorded, revision of its last change).
type Written = (u64, Option<u64>, u64);

struct Case {
    name: &'static str,
    /// States of the object, in the order in which they become known.
    states: &'static [Written],
    /// The version to record and the revision to replace, if any.
    unrecorded: Option<(u64, u64)>,
}

fn object((named, recorded, revision): Written) -> VersionObject {
    VersionObject {
        name: "m.a".into(),
        adapter: "m/a".into(),
        named,
        recorded,
        written: StorePoint::new(1, revision),
    }
}

fn versions_after(states: &[Written]) -> AdapterVersions {
    let mut versions = AdapterVersions::default();
    for state in states {
        let object = object(*state);
        versions.announce(Instant::now(), None, &object.adapter, object.newest());
    }
    versions
}

const CASES: &[Case] = &[
    Case { name: "the first version", states: &[(1, None, 5)], unrecorded: None },
    Case { name: "a new version", states: &[(2, None, 5)], unrecorded: Some((2, 5)) },
    Case { name: "a recorded one", states: &[(2, Some(2), 6)], unrecorded: None },
    Case {
        name: "a newer one than recorded",
        states: &[(2, Some(2), 6), (3, Some(2), 7)],
        unrecorded: Some((3, 7)),
    },
    Case {
        name: "an older one is written late, before the record",
        states: &[(3, None, 7), (2, None, 8)],
        unrecorded: Some((3, 8)),
    },
    Case {
        name: "an older one is written late, after the record",
        states: &[(3, Some(3), 8), (2, Some(3), 9)],
        unrecorded: None,
    },
    Case {
        name: "an earlier state is read afterwards",
        states: &[(3, Some(3), 8), (2, None, 5)],
        unrecorded: None,
    },
    Case {
        name: "the record of another version is lower",
        states: &[(3, None, 7), (2, Some(2), 8)],
        unrecorded: Some((3, 8)),
    },
];

/// Guards against a newest version that is never recorded, or recorded without end.
#[test]
fn the_newest_version_is_recorded_once() {
    for c in CASES {
        let mut records = VersionRecords::default();
        c.states.iter().for_each(|state| records.update(object(*state)));
        let unrecorded = records.unrecorded(&versions_after(c.states));
        let unrecorded: Vec<_> = unrecorded
            .iter()
            .map(|(object, number)| (*number, object.written.revision()))
            .collect();
        assert_eq!(unrecorded, Vec::from_iter(c.unrecorded), "{}", c.name);
    }
}

#[test]
fn objects_that_are_deleted_are_not_recorded() {
    let versions = versions_after(&[(3, None, 7)]);
    let mut records = VersionRecords::default();
    records.update(object((3, None, 7)));
    records.remove("m.a");
    assert!(records.unrecorded(&versions).is_empty(), "removed by a change");
    records.update(object((3, None, 7)));
    records.replace(Vec::new());
    assert!(records.unrecorded(&versions).is_empty(), "missing in a list");
}

/// Guards against a list that is older than a change, which would make the record of the
/// newest version fail for good.
#[test]
fn a_list_does_not_replace_later_states() {
    let versions = versions_after(&[(3, None, 7)]);
    let mut records = VersionRecords::default();
    records.update(object((3, Some(3), 8)));
    records.replace(vec![object((3, None, 7))]);
    assert!(records.unrecorded(&versions).is_empty());
    records.replace(vec![object((2, Some(2), 9))]);
    let [(object, 3)] = &records.unrecorded(&versions)[..] else { panic!("not listed") };
    assert_eq!(object.written.revision(), 9);
}
