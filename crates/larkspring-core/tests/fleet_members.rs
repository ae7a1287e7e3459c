//! Tests of endpoints that start, drain, expire in an outage and return.

use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::fleet::endpoint_list::{
    Endpoint, EndpointList, EXPIRED_LEASE_GRACE,
};
use larkspring_core::ids::{StartMs, StorePoint};

fn endpoint(id: &str, leaving: bool) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "s".into(),
        addr: "127.0.0.1:1".parse().expect("an address"),
        hall: "h".into(),
        slots: 1,
        leaving,
        listed_since: StorePoint::new(1, 1),
        start: None,
        holds: Vec::new(),
        runs_models: false,
        build: None,
        cold_left: Duration::ZERO,
    }
}

enum Step {
    Listed(&'static str, bool),
    /// An endpoint is missing; the flag: just after an outage.
    Missing(&'static str, bool),
    /// A complete list; the flag: just after an outage.
    List(&'static [&'static str], bool),
    /// This many milliseconds pass.
    Wait(u64),
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    remaining: &'static [&'static str],
}

#[test]
fn members_follow_the_list() {
    use Step::{List, Listed, Missing, Wait};
    let cases = [
        Case { name: "comes", steps: &[Listed("a", false)], remaining: &["a"] },
        Case {
            name: "goes",
            steps: &[Listed("a", false), Missing("a", false)],
            remaining: &[],
        },
        Case {
            name: "missing after an outage is kept",
            steps: &[Listed("a", false), Missing("a", true), Wait(1900)],
            remaining: &["a"],
        },
        Case {
            name: "still missing after the grace is gone",
            steps: &[Listed("a", false), Missing("a", true), Wait(2100)],
            remaining: &[],
        },
        Case {
            name: "back within the grace stays",
            steps: &[
                Listed("a", false),
                Missing("a", true),
                Wait(500),
                Listed("a", false),
                Wait(5000),
            ],
            remaining: &["a"],
        },
        Case {
            name: "a leaving one is not kept",
            steps: &[Listed("a", true), Missing("a", true)],
            remaining: &[],
        },
        Case {
            name: "a list without it",
            steps: &[Listed("a", false), Listed("b", false), List(&["b"], false)],
            remaining: &["b"],
        },
        Case {
            name: "a list without it after an outage",
            steps: &[
                Listed("a", false),
                Listed("b", false),
                List(&["b"], true),
                Wait(100),
            ],
            remaining: &["a", "b"],
        },
        Case {
            name: "lists do not prolong the grace",
            steps: &[
                Listed("a", false),
                List(&[], true),
                Wait(1500),
                List(&[], true),
                Wait(600),
            ],
            remaining: &[],
        },
    ];
    for c in cases {
        let mut now = Instant::now();
        let mut members = EndpointList::default();
        for step in c.steps {
            let keep = |outage: bool| outage.then_some(now + EXPIRED_LEASE_GRACE);
            match step {
                Listed(id, leaving) => {
                    _ = members.upsert(endpoint(id, *leaving), StorePoint::default());
                }
                Missing(id, outage) => members.remove(&(*id).into(), keep(*outage)),
                List(ids, outage) => {
                    let listed = |id: &&str| (endpoint(id, false), StorePoint::default());
                    let list = ids.iter().map(listed).collect();
                    members.replace(list, keep(*outage));
                }
                Wait(ms) => {
                    now += Duration::from_millis(*ms);
                    members.expire(now);
                }
            }
        }
        let mut remaining: Vec<_> =
            members.endpoints().map(|e| e.id.to_string()).collect();
        remaining.sort();
        assert_eq!(remaining, c.remaining, "{}", c.name);
    }
}

/// An entry of the store's list, written at a revision.
#[derive(Clone, Copy, PartialEq)]
struct Entry {
    start: StartMs,
    leaving: bool,
    written: u64,
}

/// A store of a few endpoints that may be copied and restored, with the latest state of
/// its writers, which they write again after a restore.
#[derive(Default, Clone)]
struct Store {
    epoch: u64,
    revision: u64,
    listed: [Option<Entry>; RUNS],
    /// Start and draining flag of each endpoint; `None` if it ended.
    actual: [Option<(StartMs, bool)>; RUNS],
    starts: StartMs,
    /// Revision of the copy from which the store was restored.
    copied: u64,
}

const RUNS: usize = 4;

impl Store {
    fn write(&mut self, n: usize) {
        self.revision += 1;
        let written = self.revision;
        let entry = |(start, leaving)| Entry { start, leaving, written };
        self.listed[n] = self.actual[n].map(entry);
    }

    fn begin(&mut self, n: usize) {
        self.starts += 1;
        self.actual[n] = Some((self.starts, false));
    }

    fn at(&self) -> StorePoint {
        StorePoint::new(self.epoch, self.revision)
    }

    fn list(&self) -> Vec<(Endpoint, StorePoint)> {
        let listed = self.listed.iter().enumerate();
        let found = listed.filter_map(|(n, entry)| entry.map(|entry| (n, entry)));
        found.map(|(n, entry)| self.item(n, entry)).collect()
    }

    fn item(&self, n: usize, entry: Entry) -> (Endpoint, StorePoint) {
        let start = Some(entry.start);
        let endpoint = Endpoint { start, ..endpoint(&n.to_string(), entry.leaving) };
        (endpoint, StorePoint::new(self.epoch, entry.written))
    }
}

/// Guards against using a run again that is known to be draining or to have ended, when a
/// restored store lists it as ready. Random series of starts, drains, ends, copies,
/// restores and reads.
#[test]
fn random_restores_never_bring_back_ended_or_draining_runs() {
    let mut copied = 0;
    for seed in 0..20_000 {
        let mut rng = Rng::with_seed(seed);
        let mut store = Store { epoch: 1, ..Store::default() };
        let mut copy = store.clone();
        let mut members = EndpointList::default();
        // Runs that were read as draining or, after they had been known, as ended.
        let mut stopped: Vec<(usize, StartMs)> = Vec::new();
        let mut known: [Option<StartMs>; RUNS] = [None; RUNS];
        for _ in 0..rng.usize(10..60) {
            let n = rng.usize(..RUNS);
            match rng.u32(..10) {
                0 | 1 if store.actual[n].is_none() => {
                    store.begin(n);
                    store.write(n);
                }
                0..=2 => {
                    if let Some((start, _)) = store.actual[n] {
                        store.actual[n] = Some((start, true));
                        store.write(n);
                    }
                }
                3 => {
                    store.actual[n] = None;
                    store.write(n);
                }
                4 => copy = store.clone(),
                5 => {
                    let now = store.clone();
                    store = Store {
                        epoch: now.epoch + 1,
                        actual: now.actual,
                        ..copy.clone()
                    };
                    store.starts = now.starts;
                    store.copied = store.revision;
                    copy = store.clone();
                    copied += 1;
                }
                // Writers restore entries that the copy lacks.
                6 => store.write(n),
                _ => {
                    let restored = members.begin_epoch(store.at());
                    let keep = restored.then(|| Instant::now() + EXPIRED_LEASE_GRACE);
                    let list = store.list();
                    for (n, known) in known.iter_mut().enumerate() {
                        let is_listed = list.iter().any(|(e, _)| *e.id == *n.to_string());
                        let ended = known.filter(|_| !is_listed && !restored);
                        stopped.extend(ended.map(|start| (n, start)));
                        if let Some(entry) = store.listed[n] {
                            *known = Some(entry.start);
                            let is_copied = entry.written <= store.copied;
                            match entry.leaving {
                                true => stopped.push((n, entry.start)),
                                false if is_copied => {}
                                // The run was missing for longer than the grace period
                                // and is alive.
                                false => stopped.retain(|run| *run != (n, entry.start)),
                            }
                        } else if !restored {
                            *known = None;
                        }
                    }
                    members.replace(list, keep);
                }
            }
            let used = members.endpoints().filter(|e| !e.leaving);
            for endpoint in used {
                let run = (endpoint.id.parse().expect("a number"), endpoint.start);
                let has_stopped =
                    stopped.iter().any(|(n, start)| (*n, Some(*start)) == run);
                let is_ready = store.actual[run.0] == endpoint.start.map(|s| (s, false));
                assert!(!has_stopped || is_ready, "seed {seed}: {run:?} is used again");
            }
        }
    }
    assert!(copied > 10_000, "{copied} restores");
}

/// Guards against dropping endpoints that joined after the copy was taken, and against
/// keeping them for ever.
#[test]
fn endpoints_missing_in_a_restored_copy_are_kept_for_the_grace_period() {
    struct Row {
        name: &'static str,
        /// When the entry is written again, in milliseconds after the restore.
        again_ms: Option<u64>,
        pass_ms: u64,
        is_kept: bool,
    }
    let rows = [
        Row { name: "at once", again_ms: None, pass_ms: 10, is_kept: true },
        Row { name: "not again", again_ms: None, pass_ms: 2100, is_kept: false },
        Row { name: "again", again_ms: Some(1500), pass_ms: 9000, is_kept: true },
    ];
    for row in rows {
        let now = Instant::now();
        let after = |ms| now + Duration::from_millis(ms);
        let mut members = EndpointList::default();
        assert!(!members.begin_epoch(StorePoint::new(1, 7)));
        members.replace(vec![(endpoint("a", false), StorePoint::new(1, 7))], None);
        assert!(members.begin_epoch(StorePoint::new(2, 5)));
        members.replace(Vec::new(), Some(now + EXPIRED_LEASE_GRACE));
        if let Some(ms) = row.again_ms {
            members.expire(after(ms));
            members.upsert(endpoint("a", false), StorePoint::new(2, 6));
        }
        members.expire(after(row.pass_ms));
        assert_eq!(members.endpoints().count() == 1, row.is_kept, "{}", row.name);
    }
}

/// Guards against comparing revisions of two epochs of the store.
#[test]
fn points_are_ordered_by_their_epoch_first() {
    let points = [(1, 9), (2, 1), (2, 8), (3, 0)].map(|(e, r)| StorePoint::new(e, r));
    assert!(points.is_sorted());
    assert_eq!(points[1].next(), StorePoint::new(2, 2));
}
