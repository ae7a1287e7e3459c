//! Reads the declared state once for all entries of a hall.
//!
//! Every entry needs the state, and each call to the platform's store is charged.
//! Therefore an entry reads from an agent of its hall, which keeps the store's answers
//! undecoded and states their age. The entry reads the store itself as soon as that age
//! is over the bound.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use event_listener::Event;
use larkspring_core::fleet::read_timing::StoreReadTiming;
use larkspring_core::ids::StorePoint;
use larkspring_proto::residency as wire;
use parking_lot::Mutex;
use smol::Timer;

use crate::clock::BootInstant;
use crate::direct::cfg::ProcessCfg;
use crate::direct::logs;
use crate::direct::platform_api::{
    ChangeQuery, EncodedState, ReadOutcome, StateKind, StateQuery, StateStore,
};
use crate::direct::reader::StoreReader;
use crate::direct::stats::Stats;
use crate::exec::{self, with_timeout};
use crate::platform::PlatformError;

/// The declared state kept by an agent.
pub(super) struct StateCache {
    store: StoreReader,
    stats: Arc<Stats>,
    paces: [StoreReadTiming; StateKind::ALL.len()],
    /// Age of the last list of the routing at which the routing is listed again; `None`
    /// if callers need no keys.
    max_list_age: Option<Duration>,
    feeds: [Feed; StateKind::ALL.len()],
}

/// The cached state of one kind of items, and its change notification.
#[derive(Default)]
struct Feed {
    cached: Mutex<CachedState>,
    changed: Event,
}

#[derive(Default)]
struct CachedState {
    /// The pages of the last list; `changes` holds the changes after the list.
    pages: Vec<Bytes>,
    listed_at: StorePoint,
    changes: VecDeque<Change>,
    at: StorePoint,
    /// When the store last answered; `None` before the first list.
    answered_at: Option<Instant>,
    /// When the call for that answer was sent.
    proved_at: Option<BootInstant>,
    /// When the last list was sent that was answered.
    list_sent_at: Option<BootInstant>,
    /// Whether the whole state has to be read again.
    must_list: bool,
    /// When an entry last sent a read; the store is read only while entries read.
    last_read_at: Option<Instant>,
    is_followed: bool,
}

struct Change {
    /// The point of the store's history after the change.
    to: StorePoint,
    body: Bytes,
}

/// Pause after a failed call: entries read the store themselves meanwhile, and do not use
/// an agent for 3 s.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);
/// Minimum wait of an entry's read for the first list, after an agent has begun to read
/// the store.
const MIN_FIRST_LIST_WAIT: Duration = Duration::from_millis(60);
/// Time without a read by an entry after which the store is no longer read.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Limits the kept changes; endpoints change once a second. A reader that is further
/// behind gets the whole state, and so does each reader's next read after a new list.
const MAX_KEPT_CHANGES: usize = 64;
/// Limits the bytes of the kept changes of a kind.
const MAX_KEPT_CHANGE_BYTES: usize = 4 * 1024 * 1024;

impl StateCache {
    /// Creates the state of an agent that no entry has read from.
    pub fn new(
        directory: Arc<dyn StateStore>,
        stats: Arc<Stats>,
        cfg: &ProcessCfg,
    ) -> Arc<Self> {
        let pace = |kind| {
            let changes = ProcessCfg::change_frequency(kind);
            let pace = StoreReadTiming::for_agent(cfg.max_staleness(kind), changes);
            let keys = cfg.routing_wait().filter(|_| kind == StateKind::Routing);
            let long_poll = keys.map_or(pace.long_poll, |wait| wait.min(pace.long_poll));
            StoreReadTiming { long_poll, ..pace }
        };
        Arc::new(Self {
            store: StoreReader::new(directory, stats.clone()),
            stats,
            paces: StateKind::ALL.map(pace),
            max_list_age: cfg.routing_wait(),
            feeds: Default::default(),
        })
    }

    /// Answers an entry's read; waits for a change as long as the entry requests.
    pub async fn read(self: &Arc<Self>, req: &wire::ReadRequest) -> wire::ReadReply {
        let received = Instant::now();
        let kind = kind_of(req.kind());
        let feed = self.feed(kind);
        let starts_following = {
            let mut cached = feed.cached.lock();
            cached.last_read_at = Some(Instant::now());
            !std::mem::replace(&mut cached.is_followed, true)
        };
        if starts_following {
            exec::spawn(self.clone().follow(kind)).detach();
        }
        let changed = feed.changed.listen();
        let (is_current, is_known) = {
            let cached = feed.cached.lock();
            (cached.at <= cached.known_point(req), cached.answered_at.is_some())
        };
        if is_current || !is_known {
            let min_wait = if is_known { Duration::ZERO } else { MIN_FIRST_LIST_WAIT };
            with_timeout(Duration::from_millis(req.wait_ms).max(min_wait), changed).await;
        }
        let now = Instant::now();
        let reply = feed.cached.lock().reply(req, now);
        let held_ms = now.saturating_duration_since(received).as_millis() as u64;
        wire::ReadReply { held_ms, ..reply }
    }

    /// Writes the age of each kind's state to the metrics.
    pub fn write_metrics(&self) {
        for kind in StateKind::ALL {
            let proved_at = self.feed(kind).cached.lock().proved_at;
            self.stats.set_proof_age(kind.name(), proved_at.map(|at| at.elapsed()));
            let at = self.feed(kind).cached.lock().at;
            self.stats.set_store_point(kind.name(), at);
        }
    }

    fn feed(&self, kind: StateKind) -> &Feed {
        &self.feeds[kind as usize]
    }

    /// Reads the store as long as entries read from this agent.
    async fn follow(self: Arc<Self>, kind: StateKind) {
        let feed = self.feed(kind);
        loop {
            let changes = {
                let mut cached = feed.cached.lock();
                if cached.last_read_at.is_none_or(|at| at.elapsed() > IDLE_TIMEOUT) {
                    *cached = CachedState::default();
                    return;
                }
                let known = cached.at;
                let lists = cached.answered_at.is_none()
                    || cached.must_list
                    || cached.is_full()
                    || self.is_list_due(kind, &cached);
                (!lists)
                    .then_some(ChangeQuery { known, max_wait: self.pace(kind).long_poll })
            };
            let read =
                self.store.read(StateQuery::after(kind, changes), self.pace(kind)).await;
            self.stats.count_store_call(kind.name(), read.is_ok());
            let pause = self.apply_read(kind, read);
            Timer::after(pause).await;
        }
    }

    /// Keeps the result of a read; returns the pause before the next read.
    fn apply_read(
        &self,
        kind: StateKind,
        read: Result<ReadOutcome, PlatformError>,
    ) -> Duration {
        let feed = self.feed(kind);
        let state = match read {
            Ok(ReadOutcome::State(state)) => state,
            Ok(ReadOutcome::HistoryCompacted) => {
                let mut cached = feed.cached.lock();
                cached.must_list = true;
                if logs::is_allowed(logs::LineKind::StateChange) {
                    let (epoch, revision) = (cached.at.epoch(), cached.at.revision());
                    let kind = kind.name();
                    tracing::info!(event = "history gone", kind, epoch, revision);
                }
                return Duration::ZERO;
            }
            Err(e) => {
                if logs::is_allowed(logs::LineKind::StateChange) {
                    let proved_at = feed.cached.lock().proved_at;
                    let age = proved_at.map(|at| at.elapsed().as_millis() as u64);
                    let kind = kind.name();
                    tracing::info!(event = "read failed", kind, cause = %e, proof_age_ms = age);
                }
                feed.changed.notify(usize::MAX);
                return FAILURE_PAUSE;
            }
        };
        let now = Instant::now();
        let mut cached = feed.cached.lock();
        // The same revision may stand for other items in another epoch.
        let is_same = state.is_complete
            && !cached.is_full()
            && cached.answered_at.is_some()
            && cached.at.epoch() == state.at.epoch()
            && self.store.holds_same_items(&cached.complete_state(), &state);
        let has_changed = match is_same {
            true => {
                cached.confirm(&state, now);
                false
            }
            false => cached.apply(state, now),
        };
        drop(cached);
        if has_changed {
            feed.changed.notify(usize::MAX);
        }
        self.pace(kind).pause
    }

    /// Returns whether the keys need a newer list: only a list proves that no key was
    /// revoked.
    fn is_list_due(&self, kind: StateKind, cached: &CachedState) -> bool {
        let Some(max_age) = self.max_list_age.filter(|_| kind == StateKind::Routing)
        else {
            return false;
        };
        cached.list_sent_at.is_none_or(|at| at.elapsed() >= max_age)
    }

    fn pace(&self, kind: StateKind) -> &StoreReadTiming {
        &self.paces[kind as usize]
    }
}

impl CachedState {
    /// Applies an answer of the store; returns whether anything changed.
    fn apply(&mut self, state: EncodedState, now: Instant) -> bool {
        self.answered_at = Some(now);
        self.proved_at = state.proved_at;
        if state.is_complete {
            self.must_list = false;
            self.pages = state.pages;
            self.listed_at = state.at;
            self.list_sent_at = state.listed_at;
            self.changes.clear();
        }
        let changed = state.is_complete || !state.changes.is_empty();
        let to = state.at;
        self.changes.extend(state.changes.into_iter().map(|body| Change { to, body }));
        self.at = state.at;
        changed
    }

    /// Returns whether the changes have to be replaced by a new list.
    fn is_full(&self) -> bool {
        let bytes: usize = self.changes.iter().map(|change| change.body.len()).sum();
        self.changes.len() >= MAX_KEPT_CHANGES || bytes >= MAX_KEPT_CHANGE_BYTES
    }

    /// Returns the whole cached state.
    fn complete_state(&self) -> EncodedState {
        EncodedState {
            at: self.at,
            is_complete: true,
            pages: self.pages.clone(),
            changes: self.changes.iter().map(|change| change.body.clone()).collect(),
            ..EncodedState::default()
        }
    }

    /// Keeps the cached state, which a list has shown to be current, so that entries
    /// don't get the whole state again.
    fn confirm(&mut self, list: &EncodedState, now: Instant) {
        self.answered_at = Some(now);
        self.proved_at = list.proved_at;
        self.list_sent_at = list.listed_at;
        self.must_list = false;
        self.at = list.at;
    }

    /// Returns the point up to which an entry knows the state; a request without an epoch
    /// means the present epoch.
    fn known_point(&self, req: &wire::ReadRequest) -> StorePoint {
        StorePoint::new(req.epoch.unwrap_or(self.at.epoch()), req.after)
    }

    /// Builds the reply to an entry's read.
    fn reply(&self, req: &wire::ReadRequest, now: Instant) -> wire::ReadReply {
        let after = self.known_point(req);
        let Some(answered_at) = self.answered_at else {
            // Revision 0 means that nothing is known.
            return wire::ReadReply::default();
        };
        let whole = after < self.listed_at;
        let age = now.saturating_duration_since(answered_at);
        let newer = self.changes.iter().filter(|c| whole || c.to > after);
        wire::ReadReply {
            epoch: self.at.epoch(),
            revision: self.at.revision(),
            whole,
            pages: if whole { self.pages.clone() } else { Vec::new() },
            changes: newer.map(|c| c.body.clone()).collect(),
            age_ms: age.as_millis() as u64,
            // Without a freshness proof from the store the state counts as never proved.
            proof_age_ms: self
                .proved_at
                .map_or(u64::MAX, |at| at.elapsed().as_millis() as u64 + 1),
            held_ms: 0,
            kind: req.kind,
            list_age_ms: self.list_sent_at.map(|at| at.elapsed().as_millis() as u64 + 1),
        }
    }
}

fn kind_of(kind: wire::Kind) -> StateKind {
    match kind {
        wire::Kind::Routing => StateKind::Routing,
        wire::Kind::Endpoints => StateKind::Endpoints,
        wire::Kind::Versions => StateKind::Versions,
        wire::Kind::Evacuations => StateKind::Evacuations,
    }
}
