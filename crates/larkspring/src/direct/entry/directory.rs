//! The declared state as an entry reads it: from an agent of its hall that reads it for all
//! entries there, or from the platform's store where there is none, or where what it tells
//! is too old. Where neither tells anything new, agents of other halls are asked.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::choose::ranked;
use larkspring_core::fleet::reads::{AgentPace, StorePace, MAX_AGENTS};
use larkspring_core::ids::{HallId, Incarnation, StorePoint};
use larkspring_proto::residency as wire;
use larkspring_proto::residency::residency_client::ResidencyClient;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64;

use super::fleet::Fleet;
use super::peer::Peer;
use crate::clock::Moment;
use crate::direct::cfg::ProcessCfg;
use crate::direct::edge::{After, Ask, Directory, Kind, Listed, Read, State, Via};
use crate::direct::logs;
use crate::direct::reader::StoreReader;
use crate::exec::within;
use crate::platform::{Answer, PlatformError};
use crate::rpc::channel::Pool;

/// Reads from an agent of the hall, or from the store.
pub(super) struct HallDirectory {
    store: StoreReader,
    fleet: Arc<Fleet>,
    hall: HallId,
    pool: Pool,
    store_paces: [StorePace; Kind::ALL.len()],
    agent_paces: [AgentPace; Kind::ALL.len()],
    /// Oldest routing that requests are served by; `None` for any.
    trusted: Option<Duration>,
    /// When the store is proved to have held no newer routing.
    proved: Mutex<Option<Moment>>,
    /// When the store last answered whoever answered this entry, by kind.
    heard: Mutex<[Option<Moment>; Kind::ALL.len()]>,
    /// Agents that did not answer well, and until when they are not asked.
    passed_over: Mutex<Vec<(Incarnation, Instant)>>,
}

/// Entries in a hall from which on one of its agents reads for them: below it the agent's
/// own calls are as many as it spares.
const MIN_ENTRIES: u32 = 3;
/// Time for a connection to an agent.
const CONNECT: Duration = Duration::from_millis(150);
/// Part of the time for which a routing is trusted after which a newer proof is urgent: the
/// next source is asked without waiting for a change. An agent's own reads take two fifths
/// of that time; what is left covers two agents of the hall, the store and two far agents
/// that do not answer.
const URGENT_PART: f64 = 0.55;
/// Part of that time for which an agent is asked to wait for a change of the routing.
const ROUTING_WAIT_PART: f64 = 0.1;
/// Time for the store to answer beyond its waiting before agents of other halls are asked
/// for the routing: a slow one takes 60 times the usual 4 ms.
const STORE_ANSWER: Duration = Duration::from_millis(300);
/// How long an urgent read waits for a change.
const URGENT_WAIT: Duration = Duration::from_millis(1);
/// How long an agent that did not answer well is not asked.
const PASSED_OVER: Duration = Duration::from_secs(3);
/// Agents of other halls that are asked when nothing else answers.
const MAX_FAR: usize = 2;
/// Connections to agents.
const MAX_CONNECTIONS: usize = 6;

impl HallDirectory {
    /// Creates the directory of an entry.
    pub fn new(store: StoreReader, fleet: Arc<Fleet>, cfg: &ProcessCfg) -> Self {
        Self {
            store,
            fleet,
            hall: cfg.hall.clone(),
            pool: Pool::new(MAX_CONNECTIONS, CONNECT),
            store_paces: Kind::ALL.map(|kind| {
                StorePace::of_entry(cfg.bound(kind), ProcessCfg::changes(kind))
            }),
            agent_paces: Kind::ALL.map(|kind| AgentPace::of(cfg.bound(kind))),
            trusted: cfg.trusted(),
            proved: Mutex::default(),
            heard: Mutex::default(),
            passed_over: Mutex::default(),
        }
    }

    async fn read_any(&self, ask: Ask) -> Result<Read, PlatformError> {
        let read = self.read_in_turn(ask).await;
        if let Ok(Read::State(state)) = &read {
            self.heard.lock()[ask.kind as usize] = Moment::now().checked_sub(state.age);
        }
        if let (Kind::Routing, Ok(Read::State(state))) = (ask.kind, &read) {
            let mut proved = self.proved.lock();
            *proved = (*proved).max(state.proved);
        }
        read
    }

    async fn read_in_turn(&self, ask: Ask) -> Result<Read, PlatformError> {
        let agents = self.agents();
        for peer in &agents {
            match self.read_from(peer, self.paced(ask)).await {
                Ok(state) => return Ok(Read::State(state)),
                Err(cause) => self.pass_over(peer, ask.kind, &cause),
            }
        }
        // Agents that did not answer have used up the time to wait for a change.
        let ask = if agents.is_empty() { self.paced(ask) } else { at_once(ask) };
        let failure = match self.read_store(ask).await {
            Ok(read) => return Ok(read),
            Err(e) => e,
        };
        for peer in self.far_agents() {
            match self.read_from(&peer, at_once(ask)).await {
                Ok(state) => return Ok(Read::State(state)),
                Err(cause) => self.pass_over(&peer, ask.kind, &cause),
            }
        }
        Err(failure)
    }

    async fn read_store(&self, ask: Ask) -> Result<Read, PlatformError> {
        let pace = &self.store_paces[ask.kind as usize];
        if ask.kind != Kind::Routing || self.trusted.is_none() {
            return self.store.read(ask, pace).await;
        }
        let wait = ask.after.map_or(Duration::ZERO, |after| after.wait);
        let read = self.store.read(ask, pace);
        let read = within(wait + pace.answer + STORE_ANSWER, read).await;
        let silent = || PlatformError::NoEffect("read objects", "no answer".into());
        read.unwrap_or_else(|| Err(silent()))
    }

    /// Whether the routing was not proved new for so long that requests may soon not be
    /// served by it.
    fn is_urgent(&self, kind: Kind) -> bool {
        let Some(trusted) = self.trusted.filter(|_| kind == Kind::Routing) else {
            return false;
        };
        let urgent = trusted.mul_f64(URGENT_PART);
        self.proved.lock().is_none_or(|at| at.elapsed() > urgent)
    }

    /// Has an urgent read answered at once.
    fn paced(&self, ask: Ask) -> Ask {
        match self.is_urgent(ask.kind) {
            true => at_once(ask),
            false => ask,
        }
    }

    /// Time since the store answered a read of a kind that this entry was told of.
    fn age(&self, kind: Kind) -> Option<Duration> {
        self.heard.lock()[kind as usize].map(|at| at.elapsed())
    }

    /// The agents to ask, the one that all entries of the hall agree on first.
    ///
    /// Those that are passed over are not replaced by the next ones: each agent that is
    /// asked reads the store by itself, and while the store is away no agent answers well.
    fn agents(&self) -> Vec<Arc<Peer>> {
        if self.fleet.entries().1 < MIN_ENTRIES {
            return Vec::new();
        }
        self.first_of(&self.hall, MAX_AGENTS)
    }

    /// Of each other hall the agent that reads the store for its own entries.
    fn far_agents(&self) -> Vec<Arc<Peer>> {
        let halls = self.fleet.halls();
        let far = halls.iter().filter(|hall| **hall != self.hall);
        far.flat_map(|hall| self.first_of(hall, 1)).take(MAX_FAR).collect()
    }

    fn first_of(&self, hall: &HallId, count: usize) -> Vec<Arc<Peer>> {
        let peers = self.fleet.agents_in(hall);
        let now = Instant::now();
        let mut passed_over = self.passed_over.lock();
        passed_over.retain(|(_, until)| *until > now);
        let is_out = |id: &Incarnation| passed_over.iter().any(|(out, _)| out == id);
        let peers = peers.into_iter().map(|p| (p.endpoint().id.clone(), p)).collect();
        let ranked = ranked(xxh3_64(hall.as_bytes()), peers, |(id, _)| id);
        let first = ranked.into_iter().take(count);
        first.filter(|(id, _)| !is_out(id)).map(|(_, p)| p).collect()
    }

    async fn read_from(&self, peer: &Peer, ask: Ask) -> Result<State, String> {
        let link = peer.link.as_ref().ok_or("no agent is beside it")?;
        let pace = &self.agent_paces[ask.kind as usize];
        let wait = pace.wait_at(self.age(ask.kind).unwrap_or_default());
        let keys = self.trusted.filter(|_| ask.kind == Kind::Routing);
        let wait = keys.map_or(wait, |age| wait.min(age.mul_f64(ROUTING_WAIT_PART)));
        let known = ask.after.map_or(StorePoint::default(), |after| after.at);
        let wait = ask.after.map_or(wait, |after| after.wait.min(wait));
        let req = wire::ReadRequest {
            kind: kind_of(ask.kind).into(),
            after: known.revision(),
            epoch: Some(known.epoch()),
            wait_ms: wait.as_millis() as u64,
        };
        let call = async {
            let channel = self.pool.get(link.addr()).await.map_err(|e| e.to_string())?;
            let origin = channel.origin();
            let mut client = ResidencyClient::with_origin(channel, origin);
            client.read(req).await.map_err(|e| e.to_string())
        };
        let sent = Moment::now();
        let reply =
            within(wait + pace.answer, call).await.ok_or("no answer in time")??;
        let reply = reply.into_inner();
        let age = Duration::from_millis(reply.age_ms);
        if reply.revision == 0 {
            return Err("it has not read the store yet".into());
        }
        if age > pace.oldest {
            return Err(format!("its state is {} ms old", age.as_millis()));
        }
        let at = StorePoint::new(reply.epoch, reply.revision);
        if at.epoch() < known.epoch() {
            return Err(format!("its state is of epoch {}", at.epoch()));
        }
        let proof_age = Duration::from_millis(reply.proof_age_ms);
        if self.is_unproved(ask.kind, proof_age) {
            return Err(format!("its proof is {} ms old", proof_age.as_millis()));
        }
        // However long the reply was on its way, it was made this long after the question.
        let made = sent + Duration::from_millis(reply.held_ms);
        Ok(State {
            // An agent that is behind has nothing new, and will have what comes after.
            at: if at < known { known } else { at },
            whole: reply.whole,
            pages: reply.pages,
            changes: reply.changes,
            age,
            proved: made.checked_sub(proof_age),
            via: Via::Agent,
        })
    }

    /// Whether a proof of this age is so old that another source is asked.
    fn is_unproved(&self, kind: Kind, age: Duration) -> bool {
        let trusted = self.trusted.filter(|_| kind == Kind::Routing);
        trusted.is_some_and(|trusted| age > trusted.mul_f64(URGENT_PART))
    }

    fn pass_over(&self, peer: &Peer, kind: Kind, cause: &str) {
        let id = peer.endpoint().id.clone();
        let agent = peer.link.as_ref().map(|link| link.addr()).unwrap_or_default();
        if logs::allows(logs::Line::Belief) {
            tracing::info!(event = "agent not asked", agent, kind = kind.name(), cause);
        }
        self.passed_over.lock().push((id, Instant::now() + PASSED_OVER));
    }
}

impl Directory for HallDirectory {
    fn read(&self, ask: Ask) -> Answer<'_, Read> {
        Box::pin(self.read_any(ask))
    }

    fn decode(&self, kind: Kind, state: &State) -> Result<Listed, PlatformError> {
        self.store.decode(kind, state)
    }
}

/// Has a read wait for no change.
fn at_once(ask: Ask) -> Ask {
    let after = ask.after.map(|a| After { wait: a.wait.min(URGENT_WAIT), ..a });
    Ask { after, ..ask }
}

fn kind_of(kind: Kind) -> wire::Kind {
    match kind {
        Kind::Routing => wire::Kind::Routing,
        Kind::Endpoints => wire::Kind::Endpoints,
        Kind::Versions => wire::Kind::Versions,
    }
}
