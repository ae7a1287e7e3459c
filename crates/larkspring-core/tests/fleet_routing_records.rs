//! Tests of the routing that is still to be recorded in the store.

use fastrand::Rng;
use larkspring_core::fleet::routes::{RequestLimits, Routing, RoutingVersion};
use larkspring_core::fleet::routing_records::{
    DeclaredRouting, RoutingObject, RoutingRecord, RoutingRecords,
};
use larkspring_core::ids::StorePoint;

/// Size of the largest record.
const MAX_RECORD: usize = 10;
const SMALL: usize = 1;
const LARGE: usize = MAX_RECORD + 1;

/// A routing: its version, and the size of its encoding.
type Sized = (RoutingVersion, usize);

/// What is recorded beside the object.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Recorded {
    Nothing,
    Routing(Sized),
    Garbage(Option<RoutingVersion>),
}

/// A state of the object.
#[derive(Debug, Clone, Copy, PartialEq)]
struct State {
    listed: Sized,
    recorded: Recorded,
    /// Epoch and revision of the last change.
    written: (u64, u64),
}

const fn state(listed: Sized, recorded: Recorded, written: (u64, u64)) -> State {
    State { listed, recorded, written }
}

fn declared((version, size): Sized) -> DeclaredRouting {
    let routing = Routing::new(version, [], [], RequestLimits::default());
    DeclaredRouting { routing: routing.into(), encoded: "x".repeat(size).into() }
}

fn object(state: State) -> RoutingObject {
    let record = match state.recorded {
        Nothing => RoutingRecord::Missing,
        Rec((version, _)) if version <= state.listed.0 => {
            RoutingRecord::NotNewer(version)
        }
        Rec(routing) => RoutingRecord::Newer(declared(routing)),
        Garbage(version) => {
            RoutingRecord::Undecodable { version, cause: "garbage".into() }
        }
    };
    RoutingObject {
        name: "main".into(),
        listed: declared(state.listed),
        record,
        max_record: MAX_RECORD,
        written: StorePoint::new(state.written.0, state.written.1),
    }
}

/// What a process that has read some states does.
#[derive(Debug, PartialEq)]
struct Outcome {
    /// The version in force.
    in_force: RoutingVersion,
    /// Whether the last state holds an older one.
    is_behind: bool,
    /// The version to record (`None`: the record is cleared) and the revision to replace.
    write: Option<(Option<RoutingVersion>, u64)>,
}

fn read(states: &[State]) -> Outcome {
    let mut records = RoutingRecords::default();
    let (mut in_force, mut is_behind) = (0, false);
    for state in states {
        let applied = records.apply(object(*state));
        is_behind = applied.is_behind;
        if let Some(routing) = applied.replaced_by {
            assert!(routing.version > in_force, "the routing went back");
            in_force = routing.version;
        }
    }
    let write = records.unrecorded().map(|write| {
        assert_eq!(write.version, in_force);
        let newest = write.newest.map(|newest| newest.routing.version);
        (newest, write.written.revision())
    });
    Outcome { in_force, is_behind, write }
}

struct Case {
    name: &'static str,
    /// States of the object, in the order in which they are read.
    states: &'static [State],
    outcome: Outcome,
}

use Recorded::{Garbage, Nothing, Routing as Rec};

const CASES: &[Case] = &[
    Case {
        name: "a new routing",
        states: &[state((2, SMALL), Nothing, (1, 5))],
        outcome: Outcome { in_force: 2, is_behind: false, write: Some((Some(2), 5)) },
    },
    Case {
        name: "a recorded one",
        states: &[state((2, SMALL), Rec((2, SMALL)), (1, 6))],
        outcome: Outcome { in_force: 2, is_behind: false, write: None },
    },
    Case {
        name: "a newer one than recorded",
        states: &[state((3, SMALL), Rec((2, SMALL)), (1, 7))],
        outcome: Outcome { in_force: 3, is_behind: false, write: Some((Some(3), 7)) },
    },
    Case {
        name: "a late write before the record",
        states: &[state((3, SMALL), Nothing, (1, 7)), state((2, SMALL), Nothing, (1, 8))],
        outcome: Outcome { in_force: 3, is_behind: true, write: Some((Some(3), 8)) },
    },
    Case {
        name: "a late write after the record",
        states: &[
            state((3, SMALL), Rec((3, SMALL)), (1, 8)),
            state((2, SMALL), Rec((3, SMALL)), (1, 9)),
        ],
        outcome: Outcome { in_force: 3, is_behind: true, write: None },
    },
    Case {
        name: "all processes restarted after a late write",
        states: &[state((2, SMALL), Rec((3, SMALL)), (1, 9))],
        outcome: Outcome { in_force: 3, is_behind: true, write: None },
    },
    Case {
        name: "a missed routing is taken from the record",
        states: &[
            state((2, SMALL), Rec((2, SMALL)), (1, 6)),
            state((2, SMALL), Rec((3, SMALL)), (1, 9)),
        ],
        outcome: Outcome { in_force: 3, is_behind: true, write: None },
    },
    Case {
        name: "the operator writes the newest again",
        states: &[
            state((2, SMALL), Rec((3, SMALL)), (1, 9)),
            state((3, SMALL), Rec((3, SMALL)), (1, 10)),
        ],
        outcome: Outcome { in_force: 3, is_behind: false, write: None },
    },
    Case {
        name: "an earlier state is read afterwards",
        states: &[
            state((3, SMALL), Rec((3, SMALL)), (1, 8)),
            state((2, SMALL), Nothing, (1, 5)),
        ],
        outcome: Outcome { in_force: 3, is_behind: true, write: None },
    },
    Case {
        name: "another entry records an older one first",
        states: &[
            state((3, SMALL), Nothing, (1, 7)),
            state((3, SMALL), Rec((2, SMALL)), (1, 8)),
        ],
        outcome: Outcome { in_force: 3, is_behind: false, write: Some((Some(3), 8)) },
    },
    Case {
        name: "a backup without the routing is restored",
        states: &[
            state((3, SMALL), Rec((3, SMALL)), (1, 8)),
            state((2, SMALL), Rec((2, SMALL)), (2, 6)),
        ],
        outcome: Outcome { in_force: 3, is_behind: true, write: Some((Some(3), 6)) },
    },
    Case {
        name: "an answer from before a restore comes late",
        states: &[
            state((2, SMALL), Rec((2, SMALL)), (2, 6)),
            state((3, SMALL), Rec((3, SMALL)), (1, 8)),
        ],
        outcome: Outcome { in_force: 3, is_behind: false, write: Some((Some(3), 6)) },
    },
    Case {
        name: "a routing that is too large",
        states: &[state((3, LARGE), Nothing, (1, 7))],
        outcome: Outcome { in_force: 3, is_behind: false, write: None },
    },
    Case {
        name: "a routing that is too large replaces a recorded one",
        states: &[state((3, LARGE), Rec((2, SMALL)), (1, 7))],
        outcome: Outcome { in_force: 3, is_behind: false, write: Some((None, 7)) },
    },
    Case {
        name: "a late write after a routing that is too large",
        states: &[
            state((4, LARGE), Rec((3, SMALL)), (1, 7)),
            state((2, SMALL), Rec((3, SMALL)), (1, 8)),
        ],
        outcome: Outcome { in_force: 4, is_behind: true, write: None },
    },
    Case {
        name: "the record is garbage",
        states: &[state((2, SMALL), Garbage(None), (1, 7))],
        outcome: Outcome { in_force: 2, is_behind: false, write: Some((Some(2), 7)) },
    },
    Case {
        name: "the record of this version is garbage",
        states: &[
            state((3, SMALL), Rec((3, SMALL)), (1, 7)),
            state((2, SMALL), Garbage(Some(3)), (1, 8)),
        ],
        outcome: Outcome { in_force: 3, is_behind: true, write: Some((Some(3), 8)) },
    },
    Case {
        name: "the record of a later version can't be decoded",
        states: &[state((2, SMALL), Garbage(Some(3)), (1, 8))],
        outcome: Outcome { in_force: 2, is_behind: false, write: None },
    },
    Case {
        name: "the revision is unknown",
        states: &[state((2, SMALL), Nothing, (1, 0))],
        outcome: Outcome { in_force: 2, is_behind: false, write: None },
    },
];

/// Guards against a newest routing that is never recorded, recorded without end, or not
/// taken from its record.
#[test]
fn the_newest_routing_is_recorded_once() {
    for c in CASES {
        assert_eq!(read(c.states), c.outcome, "{}", c.name);
    }
}

/// Guards against a record that replaces what the operator wrote under the same version.
#[test]
fn the_operators_write_counts_before_a_record_of_the_same_version() {
    let mut written = object(state((3, 2), Nothing, (1, 8)));
    written.record = RoutingRecord::Newer(declared((3, 1)));
    assert_eq!(written.newest(), &declared((3, 2)));
    let mut records = RoutingRecords::default();
    records.apply(written);
    assert_eq!(records.unrecorded(), None, "the record has this version");
}

/// Guards against a version whose content changes while it is in force: the content that
/// was read first stays, as it does in the record.
#[test]
fn other_content_of_the_same_version_replaces_nothing() {
    let mut records = RoutingRecords::default();
    records.apply(object(state((3, 1), Nothing, (1, 7))));
    let applied = records.apply(object(state((3, 2), Nothing, (1, 8))));
    assert_eq!(applied.replaced_by, None);
    let write = records.unrecorded().unwrap();
    assert_eq!((write.written.revision(), write.newest.unwrap()), (8, declared((3, 1))));
}

/// A call to the store that is carried out when due.
#[derive(Clone, Copy)]
enum Call {
    /// The operator writes a routing.
    Write(Sized),
    /// An entry writes a record, if the object is at the revision.
    Record { revision: u64, recorded: Recorded },
}

/// The store with one object, which carries out some calls late and is restored from
/// backups.
struct Store {
    states: Vec<State>,
    late: Vec<(u32, Call)>,
}

impl Store {
    fn new() -> Self {
        Self { states: vec![state((1, SMALL), Nothing, (1, 1))], late: Vec::new() }
    }

    fn current(&self) -> State {
        *self.states.last().unwrap()
    }

    fn carry_out(&mut self, call: Call) {
        let current = self.current();
        let next = match call {
            Call::Write(listed) => State { listed, ..current },
            Call::Record { revision, recorded } if revision == current.written.1 => {
                State { recorded, ..current }
            }
            Call::Record { .. } => return,
        };
        if next != current {
            let (epoch, revision) = current.written;
            self.states.push(State { written: (epoch, revision + 1), ..next });
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

    fn restore(&mut self, rng: &mut Rng) {
        let backup = self.states[rng.usize(..self.states.len())];
        let (epoch, revision) = (self.current().written.0 + 1, backup.written.1);
        self.states.push(State { written: (epoch, revision), ..backup });
    }
}

/// An entry, as far as it knows the routing.
#[derive(Default)]
struct Knowledge {
    records: RoutingRecords,
    newest: RoutingVersion,
}

impl Knowledge {
    fn read(&mut self, state: State) {
        let applied = self.records.apply(object(state));
        if let Some(routing) = applied.replaced_by {
            assert!(routing.version > self.newest, "the routing went back");
            self.newest = routing.version;
        }
        assert_eq!(applied.is_behind, state.listed.0 < self.newest);
    }

    fn record(&self) -> Option<Call> {
        let write = self.records.unrecorded()?;
        let newest = write.newest.map(|d| (d.routing.version, d.encoded.len()));
        let revision = write.written.revision();
        Some(Call::Record { revision, recorded: newest.map_or(Nothing, Rec) })
    }
}

/// Runs a random series; returns the store and the entries.
fn play(seed: u64, sizes: &[usize], restores: bool) -> (Store, [Knowledge; 3]) {
    let mut rng = Rng::with_seed(seed);
    let mut store = Store::new();
    let mut entries: [Knowledge; 3] = Default::default();
    entries.iter_mut().for_each(|entry| entry.read(store.current()));
    let mut version = 1;
    let mut recorded = 0;
    for now in 0..60 {
        store.carry_out_due(now);
        let at = rng.usize(..entries.len());
        match rng.u32(..12) {
            0 => {
                version += 1;
                let size = sizes[rng.usize(..sizes.len())];
                store.call(&mut rng, now, Call::Write((version, size)));
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
            6 if restores => store.restore(&mut rng),
            _ => entries[at].read(store.current()),
        }
        let current = match store.current().recorded {
            Rec((version, size)) => {
                assert!(size <= MAX_RECORD, "seed {seed}: too large a record");
                version
            }
            _ => 0,
        };
        // A routing that is too large clears the record. In another epoch a revision may
        // stand for another state, and a record that is carried out late may replace a
        // newer one until it is read.
        let may_go_back = restores || sizes.contains(&LARGE);
        assert!(may_go_back || current >= recorded, "seed {seed}: the record went back");
        recorded = current;
        entries[at].read(store.current());
        assert!(entries[at].newest >= recorded, "seed {seed}");
    }
    store.carry_out_due(u32::MAX);
    (store, entries)
}

/// Lets every entry read and record in turn, and returns what a started entry knows.
fn settle(store: &mut Store, entries: &mut [Knowledge]) -> RoutingVersion {
    for _ in 0..entries.len() {
        for entry in &mut *entries {
            entry.read(store.current());
            entry.record().into_iter().for_each(|call| store.carry_out(call));
        }
    }
    let settled = store.current();
    for entry in &mut *entries {
        entry.read(settled);
        entry.record().into_iter().for_each(|call| store.carry_out(call));
    }
    assert_eq!(store.current(), settled, "records are written without end");
    let mut started = Knowledge::default();
    started.read(settled);
    started.newest
}

/// Guards against a routing that goes back at restarted entries, in any order of late
/// writes of the operator, late and lost records, reads of earlier states and restarts,
/// with the store restored from backups in half of the series.
#[test]
fn random_late_writes_and_restarts_lower_no_recorded_routing() {
    for seed in 0..20_000 {
        let (mut store, mut entries) = play(seed, &[SMALL], seed % 2 == 1);
        let known = entries.iter().map(|entry| entry.newest).max().unwrap();
        let started = settle(&mut store, &mut entries);
        assert!(started >= known, "seed {seed}: lost version {known}");
    }
}

/// Guards against records that are written without end, or are too large, if some
/// routings can't be recorded.
#[test]
fn random_routings_too_large_to_record_end_no_series_in_repeated_writes() {
    for seed in 0..20_000 {
        let sizes = [SMALL, SMALL, LARGE];
        let (mut store, mut entries) = play(seed, &sizes, seed % 2 == 1);
        settle(&mut store, &mut entries);
    }
}
