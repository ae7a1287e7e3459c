//! The entry's source of the declared state: an agent of its hall, which reads the state
//! for all entries there; else the platform's store, if there is no agent or its state is
//! too old; else agents of other halls.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::read_timing::{
    AgentReadTiming, StoreReadTiming, MAX_AGENTS_PER_READ,
};
use larkspring_core::ids::{HallId, Incarnation, StorePoint};
use larkspring_proto::residency as wire;
use larkspring_proto::residency::residency_client::ResidencyClient;
use parking_lot::Mutex;

use super::fleet::{Fleet, Reader};
use crate::clock::BootInstant;
use crate::direct::cfg::ProcessCfg;
use crate::direct::logs;
use crate::direct::platform_api::{
    ChangeQuery, DecodedState, EncodedState, ReadOutcome, ReadSource, StateKind,
    StateQuery, StateStore,
};
use crate::direct::reader::StoreReader;
use crate::exec::with_timeout;
use crate::platform::{PlatformError, PlatformFuture};
use crate::rpc::channel::Pool;

/// Reads the declared state from agents or from the store.
pub(super) struct HallDirectory {
    store: StoreReader,
    fleet: Arc<Fleet>,
    hall: HallId,
    pool: Pool,
    store_paces: [StoreReadTiming; StateKind::ALL.len()],
    agent_paces: [AgentReadTiming; StateKind::ALL.len()],
    /// Maximum age of a routing by which requests are served; `None` for any age.
    max_routing_age: Option<Duration>,
    /// When the latest list of the routing that any answer rests on was sent.
    listed_at: Mutex<Option<BootInstant>>,
    /// Age of that list at which the routing is listed again, instead of watched; `None`
    /// if callers need no keys.
    max_list_age: Option<Duration>,
    /// When the store last answered the source of this entry's state, by kind.
    store_answered_at: Mutex<[Option<BootInstant>; StateKind::ALL.len()]>,
    /// Agents that failed to return a usable state, with the time until which they get no
    /// requests.
    skipped: Mutex<Vec<(Incarnation, Instant)>>,
    /// Whether the endpoints have not been read yet.
    is_first_list_pending: AtomicBool,
    /// Whether the first list of endpoints was empty, so that later ones may be partial.
    is_new_fleet: AtomicBool,
    created: Instant,
}

/// Minimum number of entries in a hall for reading through an agent. With fewer, the
/// agent makes as many calls to the store as it saves.
const MIN_ENTRIES: u32 = 3;
/// Connect time-out for agents.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Fraction of a routing's maximum age after which a newer freshness proof is urgent: the
/// next source is read without waiting for a change. An agent's own reads take two fifths
/// of the maximum age. The rest covers two agents of the hall, the store and two agents
/// of other halls that do not answer.
const URGENT_FRACTION: f64 = 0.55;
/// Fraction of a routing's maximum age for which an agent may wait for a change of the
/// routing before it replies.
const ROUTING_WAIT_FRACTION: f64 = 0.05;
/// Time-out of the store, besides its wait for a change, after which agents of other
/// halls are asked for the routing: a slow store takes 60 times the usual 4 ms.
const STORE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum wait of an urgent read for a change.
const URGENT_WAIT: Duration = Duration::from_millis(1);
/// How long an agent that failed to return a usable state gets no requests.
const SKIP_DURATION: Duration = Duration::from_secs(3);
/// How long after the entry's start no changes of other kinds are read while no endpoint
/// is listed.
/// Endpoints write their first entries once they have started, within some seconds.
const EMPTY_FLEET_WAIT: Duration = Duration::from_secs(10);
/// Limits the agents of other halls that are asked when no other source answers.
const MAX_OTHER_HALL_AGENTS: usize = 2;
/// Limits the connections to agents.
const MAX_CONNECTIONS: usize = 6;

impl HallDirectory {
    /// Creates the directory of an entry.
    pub fn new(store: StoreReader, fleet: Arc<Fleet>, cfg: &ProcessCfg) -> Self {
        Self {
            store,
            fleet,
            hall: cfg.hall.clone(),
            pool: Pool::new(MAX_CONNECTIONS, CONNECT_TIMEOUT),
            store_paces: StateKind::ALL.map(|kind| {
                StoreReadTiming::for_entry(
                    cfg.max_staleness(kind),
                    ProcessCfg::change_frequency(kind),
                )
            }),
            agent_paces: StateKind::ALL
                .map(|kind| AgentReadTiming::new(cfg.max_staleness(kind))),
            max_routing_age: cfg.max_key_age(),
            listed_at: Mutex::default(),
            max_list_age: cfg.routing_wait(),
            store_answered_at: Mutex::default(),
            skipped: Mutex::default(),
            is_first_list_pending: AtomicBool::new(true),
            is_new_fleet: AtomicBool::new(false),
            created: Instant::now(),
        }
    }

    async fn read_any(&self, ask: StateQuery) -> Result<ReadOutcome, PlatformError> {
        let read = self.read_sources(ask).await;
        if ask.kind == StateKind::Endpoints {
            self.is_first_list_pending.store(false, Ordering::Relaxed);
        }
        if let Ok(ReadOutcome::State(state)) = &read {
            self.store_answered_at.lock()[ask.kind as usize] =
                BootInstant::now().checked_sub(state.age);
        }
        if let (StateKind::Routing, Ok(ReadOutcome::State(state))) = (ask.kind, &read) {
            let mut listed_at = self.listed_at.lock();
            *listed_at = (*listed_at).max(state.listed_at);
        }
        read
    }

    async fn read_sources(&self, ask: StateQuery) -> Result<ReadOutcome, PlatformError> {
        if ask.kind != StateKind::Endpoints && ask.changes.is_some() {
            self.wait_for_endpoints().await;
        }
        let agents = self.agents();
        for reader in &agents {
            match self.read_from(reader, self.without_wait_if_urgent(ask)).await {
                Ok(state) => return Ok(ReadOutcome::State(state)),
                Err(cause) => self.skip(reader, ask.kind, &cause),
            }
        }
        // Failed reads from agents have used up the time to wait for a change.
        let ask = if agents.is_empty() {
            self.without_wait_if_urgent(ask)
        } else {
            without_wait(ask)
        };
        let failure = match self.read_store(ask).await {
            Ok(read) => return Ok(read),
            Err(e) => e,
        };
        for reader in self.other_hall_agents() {
            match self.read_from(&reader, without_wait(ask)).await {
                Ok(state) => return Ok(ReadOutcome::State(state)),
                Err(cause) => self.skip(&reader, ask.kind, &cause),
            }
        }
        Err(failure)
    }

    /// Waits for the first listed endpoints of a new fleet, which show the agents to read
    /// from. Its VMs start before the endpoints write their first entries, and would read
    /// every change from the store meanwhile.
    async fn wait_for_endpoints(&self) {
        while let Some(left) = EMPTY_FLEET_WAIT.checked_sub(self.created.elapsed()) {
            let changed = self.fleet.endpoints_changed();
            if self.is_first_list() || self.fleet.has_listed_endpoints() {
                return;
            }
            self.is_new_fleet.store(true, Ordering::Relaxed);
            with_timeout(left, changed).await;
        }
    }

    /// Returns whether the endpoints have not been read yet.
    fn is_first_list(&self) -> bool {
        self.is_first_list_pending.load(Ordering::Relaxed)
    }

    async fn read_store(&self, ask: StateQuery) -> Result<ReadOutcome, PlatformError> {
        let pace = &self.store_paces[ask.kind as usize];
        if ask.kind != StateKind::Routing || self.max_routing_age.is_none() {
            return self.store.read(ask, pace).await;
        }
        let ask = match self.is_list_due() {
            true => StateQuery::whole(ask.kind),
            false => ask,
        };
        let wait = ask.changes.map_or(Duration::ZERO, |after| after.max_wait);
        let read = self.store.read(ask, pace);
        let read = with_timeout(wait + pace.answer_timeout + STORE_TIMEOUT, read).await;
        let timed_out = || PlatformError::NoEffect("read objects", "no answer".into());
        read.unwrap_or_else(|| Err(timed_out()))
    }

    /// Returns whether the keys need a newer list: only a list proves that no key was
    /// revoked.
    fn is_list_due(&self) -> bool {
        let listed_at = *self.listed_at.lock();
        self.max_list_age
            .is_some_and(|max_age| listed_at.is_none_or(|at| at.elapsed() >= max_age))
    }

    /// Returns whether the routing's latest list is so old that the routing soon exceeds
    /// its maximum age.
    fn is_urgent(&self, kind: StateKind) -> bool {
        let Some(max_age) = self.max_routing_age.filter(|_| kind == StateKind::Routing)
        else {
            return false;
        };
        let urgent = max_age.mul_f64(URGENT_FRACTION);
        self.listed_at.lock().is_none_or(|at| at.elapsed() > urgent)
    }

    /// Limits a read's wait for a change to [`URGENT_WAIT`] if the read is urgent.
    fn without_wait_if_urgent(&self, ask: StateQuery) -> StateQuery {
        match self.is_urgent(ask.kind) {
            true => without_wait(ask),
            false => ask,
        }
    }

    /// Returns the time since the store answered the latest read of a kind, as reported
    /// by the source.
    fn age(&self, kind: StateKind) -> Option<Duration> {
        self.store_answered_at.lock()[kind as usize].map(|at| at.elapsed())
    }

    /// Returns the agents of the hall to ask, first the one on which all its entries
    /// agree. None in a small hall; just after the start of a fleet the size is not known.
    ///
    /// Agents that are passed over are not replaced by the next in rank: each agent that
    /// is asked reads the store by itself, and while the store is unavailable no agent
    /// has a usable state.
    fn agents(&self) -> Vec<Reader> {
        let is_starting = self.is_new_fleet.load(Ordering::Relaxed)
            && self.created.elapsed() < EMPTY_FLEET_WAIT;
        let is_small = self.fleet.follows_all() && !is_starting;
        let is_counted = self.fleet.has_entry_counts() || is_small;
        if is_counted && self.fleet.entry_counts().in_hall < MIN_ENTRIES {
            return Vec::new();
        }
        self.top_ranked(&self.hall, MAX_AGENTS_PER_READ)
    }

    /// Returns the agent of each other hall that reads the store for its own entries, for
    /// up to [`MAX_OTHER_HALL_AGENTS`] halls.
    fn other_hall_agents(&self) -> Vec<Reader> {
        let halls = self.fleet.halls();
        let others = halls.iter().filter(|hall| **hall != self.hall);
        others
            .flat_map(|hall| self.top_ranked(hall, 1))
            .take(MAX_OTHER_HALL_AGENTS)
            .collect()
    }

    fn top_ranked(&self, hall: &HallId, count: usize) -> Vec<Reader> {
        let mut readers = self.fleet.readers_in(hall, count);
        let now = Instant::now();
        let mut skipped = self.skipped.lock();
        skipped.retain(|(_, until)| *until > now);
        readers.retain(|reader| skipped.iter().all(|(id, _)| *id != reader.id));
        readers
    }

    async fn read_from(
        &self,
        reader: &Reader,
        ask: StateQuery,
    ) -> Result<EncodedState, String> {
        let pace = &self.agent_paces[ask.kind as usize];
        let wait = pace.long_poll_at(self.age(ask.kind).unwrap_or_default());
        let max_age = self.max_routing_age.filter(|_| ask.kind == StateKind::Routing);
        let wait =
            max_age.map_or(wait, |age| wait.min(age.mul_f64(ROUTING_WAIT_FRACTION)));
        let known = ask.changes.map_or(StorePoint::default(), |after| after.known);
        let wait = ask.changes.map_or(wait, |after| after.max_wait.min(wait));
        let req = wire::ReadRequest {
            kind: wire_kind(ask.kind).into(),
            after: known.revision(),
            epoch: Some(known.epoch()),
            wait_ms: wait.as_millis() as u64,
        };
        let call = async {
            let addr = reader.addr.to_string();
            let channel = self.pool.get(&addr).await.map_err(|e| e.to_string())?;
            let origin = channel.origin();
            let mut client = ResidencyClient::with_origin(channel, origin);
            client.read(req).await.map_err(|e| e.to_string())
        };
        let sent = BootInstant::now();
        let reply = with_timeout(wait + pace.answer_timeout, call)
            .await
            .ok_or("no answer in time")??;
        let reply = reply.into_inner();
        let age = Duration::from_millis(reply.age_ms);
        // Agents of an earlier build name no kind, and know no evacuations.
        let is_requested = reply.kind() == wire_kind(ask.kind);
        if ask.kind == StateKind::Evacuations && !is_requested {
            return Err("it does not know this kind of state".into());
        }
        if reply.revision == 0 {
            return Err("it has not read the store yet".into());
        }
        if age > pace.max_age {
            return Err(format!("its state is {} ms old", age.as_millis()));
        }
        let at = StorePoint::new(reply.epoch, reply.revision);
        if at.epoch() < known.epoch() {
            return Err(format!("its state is of epoch {}", at.epoch()));
        }
        let proof_age = Duration::from_millis(reply.proof_age_ms);
        let list_age = reply.list_age_ms.map(Duration::from_millis);
        if self.is_list_too_old(ask.kind, list_age) {
            let age = list_age.map(|age| age.as_millis());
            return Err(format!("its list is {age:?} ms old"));
        }
        // The proof's age is as of the reply, which the agent made `held_ms` after it got
        // the request. Counted from the sending of the request, the proof is dated no
        // later than its true time, however long request and reply were on their way.
        let made = sent + Duration::from_millis(reply.held_ms);
        Ok(EncodedState {
            // An agent that is behind has no changes to report, and its older point must
            // not replace the known one.
            at: if at < known { known } else { at },
            is_complete: reply.whole,
            pages: reply.pages,
            changes: reply.changes,
            age,
            proved_at: made.checked_sub(proof_age),
            listed_at: list_age.and_then(|age| made.checked_sub(age)),
            source: ReadSource::Agent,
        })
    }

    /// Returns whether an agent's last list is so old that another source is asked.
    fn is_list_too_old(&self, kind: StateKind, age: Option<Duration>) -> bool {
        let max_age = self.max_routing_age.filter(|_| kind == StateKind::Routing);
        max_age.is_some_and(|max_age| {
            age.is_none_or(|age| age > max_age.mul_f64(URGENT_FRACTION))
        })
    }

    fn skip(&self, reader: &Reader, kind: StateKind, cause: &str) {
        let (id, agent) = (reader.id.clone(), reader.addr);
        if logs::is_allowed(logs::LineKind::StateChange) {
            tracing::info!(event = "agent not asked", %agent, kind = kind.name(), cause);
        }
        self.skipped.lock().push((id, Instant::now() + SKIP_DURATION));
    }
}

impl StateStore for HallDirectory {
    fn read(&self, ask: StateQuery) -> PlatformFuture<'_, ReadOutcome> {
        Box::pin(self.read_any(ask))
    }

    fn decode(
        &self,
        kind: StateKind,
        state: &EncodedState,
    ) -> Result<DecodedState, PlatformError> {
        self.store.decode(kind, state)
    }

    fn holds_same_items(&self, a: &EncodedState, b: &EncodedState) -> bool {
        self.store.holds_same_items(a, b)
    }
}

/// Limits a read's wait for a change to [`URGENT_WAIT`].
fn without_wait(ask: StateQuery) -> StateQuery {
    let changes =
        ask.changes.map(|a| ChangeQuery { max_wait: a.max_wait.min(URGENT_WAIT), ..a });
    StateQuery { changes, ..ask }
}

fn wire_kind(kind: StateKind) -> wire::Kind {
    match kind {
        StateKind::Routing => wire::Kind::Routing,
        StateKind::Endpoints => wire::Kind::Endpoints,
        StateKind::Versions => wire::Kind::Versions,
        StateKind::Evacuations => wire::Kind::Evacuations,
    }
}
