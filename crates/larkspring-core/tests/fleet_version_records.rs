//! Tests of the versions that are still to be recorded in the store.

use std::time::Instant;

use fastrand::Rng;
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

/// A call to the store that is carried out when due.
#[derive(Clone, Copy)]
enum Call {
    /// The operator names a version.
    Name(u64),
    /// An entry records a newest version, if the object is at the revision.
    Record { revision: u64, newest: u64 },
}

/// The store with one object, which carries out some calls late.
struct Store {
    states: Vec<Written>,
    late: Vec<(u32, Call)>,
}

impl Store {
    fn current(&self) -> Written {
        *self.states.last().unwrap()
    }

    fn carry_out(&mut self, call: Call) {
        let (named, recorded, revision) = self.current();
        let (now_named, now_recorded) = match call {
            Call::Name(number) => (number, recorded),
            Call::Record { revision: at, newest } if at == revision => {
                (named, Some(newest))
            }
            Call::Record { .. } => return,
        };
        assert!(now_recorded >= recorded, "the record went back");
        if (now_named, now_recorded) != (named, recorded) {
            self.states.push((now_named, now_recorded, revision + 1));
        }
    }

    /// Makes a call that is carried out at once, late, or not at all.
    fn call(&mut self, rng: &mut Rng, now: u32, call: Call) {
        match rng.u32(..10) {
            0..=2 => self.late.push((now + rng.u32(1..20), call)),
            3 => {}
            _ => self.carry_out(call),
        }
    }

    fn carry_out_due(&mut self, now: u32) {
        let due: Vec<_> = self.late.extract_if(.., |(at, _)| *at <= now).collect();
        due.into_iter().for_each(|(_, call)| self.carry_out(call));
    }
}

/// An entry, as far as it knows versions.
#[derive(Default)]
struct Knowledge {
    versions: AdapterVersions,
    records: VersionRecords,
}

impl Knowledge {
    fn read(&mut self, state: Written) {
        let object = object(state);
        self.versions.announce(Instant::now(), None, &object.adapter, object.newest());
        self.records.update(object);
    }

    fn newest(&self) -> u64 {
        self.versions.newest_number(&"m/a".into())
    }

    fn record(&self) -> Option<Call> {
        let unrecorded = self.records.unrecorded(&self.versions);
        let (object, newest) = unrecorded.first()?;
        Some(Call::Record { revision: object.written.revision(), newest: *newest })
    }
}

/// Guards against a version that goes back at restarted entries, in any order of late
/// writes of the operator, late and lost records, reads of earlier states and restarts.
#[test]
fn random_late_writes_and_restarts_lower_no_recorded_version() {
    for seed in 0..20_000 {
        let mut rng = Rng::with_seed(seed);
        let mut store = Store { states: vec![(1, None, 1)], late: Vec::new() };
        let mut entries: [Knowledge; 3] = Default::default();
        entries.iter_mut().for_each(|entry| entry.read(store.current()));
        let mut named = 1;
        for now in 0..60 {
            store.carry_out_due(now);
            let at = rng.usize(..entries.len());
            match rng.u32(..10) {
                0 => {
                    named += 1;
                    store.call(&mut rng, now, Call::Name(named));
                }
                1 => {
                    entries[at] = Knowledge::default();
                    entries[at].read(store.current());
                }
                2 => {
                    let behind = rng.usize(..store.states.len());
                    entries[at].read(store.states[behind]);
                }
                3..=5 => {
                    if let Some(call) = entries[at].record() {
                        store.call(&mut rng, now, call);
                    }
                }
                _ => entries[at].read(store.current()),
            }
            let (_, recorded, _) = store.current();
            entries[at].read(store.current());
            assert!(entries[at].newest() >= recorded.unwrap_or(1), "seed {seed}");
        }
        store.carry_out_due(u32::MAX);
        let known = entries.iter().map(Knowledge::newest).max().unwrap();
        for _ in 0..entries.len() {
            for entry in &mut entries {
                entry.read(store.current());
                entry.record().into_iter().for_each(|call| store.carry_out(call));
            }
        }
        let mut started = Knowledge::default();
        started.read(store.current());
        assert!(started.newest() >= known, "seed {seed}: lost version {known}");
    }
}
