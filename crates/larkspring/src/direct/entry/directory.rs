//! The declared state as an entry reads it: from an agent of its hall that reads it for all
//! entries there, or from the platform's store where there is none, or where what it tells
//! is too old.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::choose::ranked;
use larkspring_core::ids::{HallId, Incarnation};
use larkspring_proto::residency as wire;
use larkspring_proto::residency::residency_client::ResidencyClient;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64;

use super::fleet::Fleet;
use super::peer::Peer;
use crate::direct::edge::{Ask, Directory, Kind, Listed, Read, State, Via};
use crate::direct::logs;
use crate::exec::within;
use crate::platform::{Answer, PlatformError};
use crate::rpc::channel::Pool;

/// Reads from an agent of the hall, or from the store.
pub(super) struct HallDirectory {
    store: Arc<dyn Directory>,
    fleet: Arc<Fleet>,
    hall: HallId,
    pool: Pool,
    /// Oldest state that is gone by.
    oldest: Duration,
    /// Agents that did not answer well, and until when they are not asked.
    passed_over: Mutex<Vec<(Incarnation, Instant)>>,
}

/// Entries in a hall from which on one of its agents reads for them: below it the agent's
/// own calls are as many as it spares.
const MIN_ENTRIES: u32 = 3;
/// Part of the shortest time within which declared changes have to be in force that the
/// state may be old, when the store was heard last. Half of it is left for a call of the
/// entry's own and for the change itself.
const OLDEST_PART: f64 = 0.5;
/// Time for a connection to an agent of the hall, and for its answer beyond its waiting.
const ANSWER: Duration = Duration::from_millis(150);
/// How long an agent that did not answer well is not asked.
const PASSED_OVER: Duration = Duration::from_secs(3);
/// Agents of the hall that read the store for its entries: one, and one to go to.
const MAX_ASKED: usize = 2;
/// Connections to agents of the hall.
const MAX_CONNECTIONS: usize = 4;

impl HallDirectory {
    /// Creates the directory of an entry; `bound` is the shortest time within which declared
    /// changes have to be in force.
    pub fn new(
        store: Arc<dyn Directory>,
        fleet: Arc<Fleet>,
        hall: HallId,
        bound: Duration,
    ) -> Self {
        Self {
            store,
            fleet,
            hall,
            pool: Pool::new(MAX_CONNECTIONS, ANSWER),
            oldest: bound.mul_f64(OLDEST_PART),
            passed_over: Mutex::default(),
        }
    }

    async fn read_any(&self, ask: Ask) -> Result<Read, PlatformError> {
        for peer in self.agents() {
            match self.read_from(&peer, ask).await {
                Ok(state) => return Ok(Read::State(state)),
                Err(cause) => self.pass_over(&peer, ask.kind, &cause),
            }
        }
        self.store.read(ask).await
    }

    /// The agents to ask, the one that all entries of the hall agree on first.
    ///
    /// Those that are passed over are not replaced by the next ones: each agent that is
    /// asked reads the store by itself, and while the store is away no agent answers well.
    fn agents(&self) -> Vec<Arc<Peer>> {
        if self.fleet.entries().1 < MIN_ENTRIES {
            return Vec::new();
        }
        let now = Instant::now();
        let mut passed_over = self.passed_over.lock();
        passed_over.retain(|(_, until)| *until > now);
        let is_out = |id: &Incarnation| passed_over.iter().any(|(out, _)| out == id);
        let peers = self.fleet.agents_in(&self.hall);
        let peers = peers.into_iter().map(|p| (p.endpoint().id.clone(), p)).collect();
        let ranked = ranked(xxh3_64(self.hall.as_bytes()), peers, |(id, _)| id);
        let first = ranked.into_iter().take(MAX_ASKED);
        first.filter(|(id, _)| !is_out(id)).map(|(_, p)| p).collect()
    }

    async fn read_from(&self, peer: &Peer, ask: Ask) -> Result<State, String> {
        let link = peer.link.as_ref().ok_or("no agent is beside it")?;
        // An answer comes before the state that it tells of is too old.
        let wait = self.oldest / 2;
        let known = ask.after.map_or(0, |after| after.revision);
        let req = wire::ReadRequest {
            kind: kind_of(ask.kind).into(),
            after: known,
            wait_ms: ask.after.map_or(wait, |after| after.wait.min(wait)).as_millis()
                as u64,
        };
        let call = async {
            let channel = self.pool.get(link.addr()).await.map_err(|e| e.to_string())?;
            let origin = channel.origin();
            let mut client = ResidencyClient::with_origin(channel, origin);
            client.read(req).await.map_err(|e| e.to_string())
        };
        let reply = within(wait + ANSWER, call).await.ok_or("no answer in time")??;
        let reply = reply.into_inner();
        let age = Duration::from_millis(reply.age_ms);
        if reply.revision == 0 {
            return Err("it has not read the store yet".into());
        }
        if age > self.oldest {
            return Err(format!("its state is {} ms old", age.as_millis()));
        }
        Ok(State {
            // An agent that is behind has nothing new, and will have what comes after.
            revision: reply.revision.max(known),
            whole: reply.whole,
            pages: reply.pages,
            changes: reply.changes,
            age,
            via: Via::Agent,
        })
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

fn kind_of(kind: Kind) -> wire::Kind {
    match kind {
        Kind::Routing => wire::Kind::Routing,
        Kind::Endpoints => wire::Kind::Endpoints,
        Kind::Versions => wire::Kind::Versions,
    }
}
