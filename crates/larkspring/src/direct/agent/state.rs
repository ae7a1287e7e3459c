//! The declared state, read once for the entries of a hall.
//!
//! Every entry needs it, and each call to the platform's store is charged: with 68 entries
//! that asked for themselves it was 3,264 calls on a quiet day, the largest price of all. An
//! entry asks an agent of its hall instead, which keeps what the store answered, undecoded,
//! and tells how old it is. The entry asks the store itself as soon as that is too old.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use event_listener::Event;
use larkspring_core::fleet::reads::StorePace;
use larkspring_core::ids::StorePoint;
use larkspring_proto::residency as wire;
use parking_lot::Mutex;
use smol::Timer;

use crate::clock::Moment;
use crate::direct::cfg::ProcessCfg;
use crate::direct::edge::{After, Ask, Directory, Kind, Read, State};
use crate::direct::logs;
use crate::direct::reader::StoreReader;
use crate::direct::stats::Stats;
use crate::exec::{self, within};
use crate::platform::PlatformError;

/// What an agent keeps of the declared state.
pub(super) struct KeptState {
    store: StoreReader,
    stats: Arc<Stats>,
    paces: [StorePace; Kind::ALL.len()],
    kinds: [Feed; Kind::ALL.len()],
}

/// One kind of items.
#[derive(Default)]
struct Feed {
    kept: Mutex<Kept>,
    changed: Event,
}

#[derive(Default)]
struct Kept {
    /// The last list, and the changes after it.
    pages: Vec<Bytes>,
    listed: StorePoint,
    changes: VecDeque<Change>,
    at: StorePoint,
    /// When the store last answered; `None` before the first list.
    heard: Option<Instant>,
    /// When the call that it answered then was sent.
    proved: Option<Moment>,
    /// Whether everything has to be read anew.
    lists: bool,
    /// When an entry last asked; the store is read while entries do.
    asked: Option<Instant>,
    is_read: bool,
}

struct Change {
    /// Point that it leads to.
    to: StorePoint,
    body: Bytes,
}

/// Pause after a call that failed: entries ask the store themselves meanwhile, and pass an
/// agent over for 3 s.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);
/// Least time in which an agent that begins to read answers the first entry.
const FIRST_LIST: Duration = Duration::from_millis(60);
/// Time without a question after which the store is not read any more.
const UNASKED: Duration = Duration::from_secs(5);
/// Changes that are kept; one a second comes for endpoints. A reader that is further behind
/// gets everything, and so does the next one after a new list.
const MAX_CHANGES: usize = 64;

impl KeptState {
    /// Creates the state of an agent that nobody has asked.
    pub fn new(
        directory: Arc<dyn Directory>,
        stats: Arc<Stats>,
        cfg: &ProcessCfg,
    ) -> Arc<Self> {
        let pace = |kind| {
            let changes = ProcessCfg::changes(kind);
            let pace = StorePace::of_agent(cfg.bound(kind), changes);
            let keys = cfg.routing_wait().filter(|_| kind == Kind::Routing);
            let wait = keys.map_or(pace.wait, |wait| wait.min(pace.wait));
            StorePace { wait, ..pace }
        };
        Arc::new(Self {
            store: StoreReader::new(directory, stats.clone()),
            stats,
            paces: Kind::ALL.map(pace),
            kinds: Default::default(),
        })
    }

    /// Answers an entry, after waiting for a change for as long as it asks.
    pub async fn read(self: &Arc<Self>, req: &wire::ReadRequest) -> wire::ReadReply {
        let received = Instant::now();
        let kind = kind_of(req.kind());
        let feed = self.feed(kind);
        let begins = {
            let mut kept = feed.kept.lock();
            kept.asked = Some(Instant::now());
            !std::mem::replace(&mut kept.is_read, true)
        };
        if begins {
            exec::spawn(self.clone().follow(kind)).detach();
        }
        let changed = feed.changed.listen();
        let (nothing_new, knows) = {
            let kept = feed.kept.lock();
            (kept.at <= kept.known_by(req), kept.heard.is_some())
        };
        if nothing_new || !knows {
            let least = if knows { Duration::ZERO } else { FIRST_LIST };
            within(Duration::from_millis(req.wait_ms).max(least), changed).await;
        }
        let now = Instant::now();
        let reply = feed.kept.lock().reply(req, now);
        let held_ms = now.saturating_duration_since(received).as_millis() as u64;
        wire::ReadReply { held_ms, ..reply }
    }

    /// Shows on the metrics how old what is kept of each kind is.
    pub fn show(&self) {
        for kind in Kind::ALL {
            let proved = self.feed(kind).kept.lock().proved;
            self.stats.proof_age(kind.name(), proved.map(|at| at.elapsed()));
            let at = self.feed(kind).kept.lock().at;
            self.stats.store_point(kind.name(), at);
        }
    }

    fn feed(&self, kind: Kind) -> &Feed {
        &self.kinds[kind as usize]
    }

    /// Reads the store for as long as entries ask.
    async fn follow(self: Arc<Self>, kind: Kind) {
        let feed = self.feed(kind);
        loop {
            let after = {
                let mut kept = feed.kept.lock();
                if kept.asked.is_none_or(|at| at.elapsed() > UNASKED) {
                    *kept = Kept::default();
                    return;
                }
                let at = kept.at;
                let is_full = kept.changes.len() >= MAX_CHANGES;
                let lists = kept.heard.is_none() || kept.lists || is_full;
                (!lists).then_some(After { at, wait: self.pace(kind).wait })
            };
            let read = self.store.read(Ask { kind, after }, self.pace(kind)).await;
            self.stats.store_call(kind.name(), read.is_ok());
            let pause = self.take(kind, read);
            Timer::after(pause).await;
        }
    }

    /// Keeps what was read; returns the pause before the next read.
    fn take(&self, kind: Kind, read: Result<Read, PlatformError>) -> Duration {
        let feed = self.feed(kind);
        let state = match read {
            Ok(Read::State(state)) => state,
            Ok(Read::HistoryGone) => {
                let mut kept = feed.kept.lock();
                kept.lists = true;
                if logs::allows(logs::Line::Belief) {
                    let (epoch, revision) = (kept.at.epoch(), kept.at.revision());
                    let kind = kind.name();
                    tracing::info!(event = "history gone", kind, epoch, revision);
                }
                return Duration::ZERO;
            }
            Err(e) => {
                if logs::allows(logs::Line::Belief) {
                    let kept = feed.kept.lock().proved;
                    let age = kept.map(|at| at.elapsed().as_millis() as u64);
                    let kind = kind.name();
                    tracing::info!(event = "read failed", kind, cause = %e, proof_age_ms = age);
                }
                feed.changed.notify(usize::MAX);
                return FAILURE_PAUSE;
            }
        };
        let now = Instant::now();
        if feed.kept.lock().take(state, now) {
            feed.changed.notify(usize::MAX);
        }
        self.pace(kind).pause
    }

    fn pace(&self, kind: Kind) -> &StorePace {
        &self.paces[kind as usize]
    }
}

impl Kept {
    /// Takes in what the store answered; whether anything changed.
    fn take(&mut self, state: State, now: Instant) -> bool {
        self.heard = Some(now);
        self.proved = state.proved;
        if state.whole {
            self.lists = false;
            self.pages = state.pages;
            self.listed = state.at;
            self.changes.clear();
        }
        let changed = state.whole || !state.changes.is_empty();
        let to = state.at;
        self.changes.extend(state.changes.into_iter().map(|body| Change { to, body }));
        self.at = state.at;
        changed
    }

    /// The point that an entry knows; one that names no epoch means the present one.
    fn known_by(&self, req: &wire::ReadRequest) -> StorePoint {
        StorePoint::new(req.epoch.unwrap_or(self.at.epoch()), req.after)
    }

    /// What an entry gets.
    fn reply(&self, req: &wire::ReadRequest, now: Instant) -> wire::ReadReply {
        let after = self.known_by(req);
        let Some(heard) = self.heard else {
            // Revision 0 tells that nothing is known.
            return wire::ReadReply::default();
        };
        let whole = after < self.listed;
        let age = now.saturating_duration_since(heard);
        let newer = self.changes.iter().filter(|c| whole || c.to > after);
        wire::ReadReply {
            epoch: self.at.epoch(),
            revision: self.at.revision(),
            whole,
            pages: if whole { self.pages.clone() } else { Vec::new() },
            changes: newer.map(|c| c.body.clone()).collect(),
            age_ms: age.as_millis() as u64,
            // A store that answered without a proof proves nothing.
            proof_age_ms: self
                .proved
                .map_or(u64::MAX, |at| at.elapsed().as_millis() as u64 + 1),
            held_ms: 0,
        }
    }
}

fn kind_of(kind: wire::Kind) -> Kind {
    match kind {
        wire::Kind::Routing => Kind::Routing,
        wire::Kind::Endpoints => Kind::Endpoints,
        wire::Kind::Versions => Kind::Versions,
    }
}
