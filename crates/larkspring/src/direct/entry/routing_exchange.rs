//! Exchanges the newest routing with agents, which outlive this entry.
//!
//! An entry tells every newer routing to a few agents. One that has just started asks
//! them, and takes no list of the store for proof before they have replied: the store may
//! hold an older routing than was in force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::routes::RoutingVersion;
use larkspring_core::fleet::routing_keepers::KeeperReplies;
use larkspring_core::ids::{Incarnation, StorePoint};
use larkspring_proto::residency as wire;
use larkspring_proto::residency::residency_client::ResidencyClient;
use smol::Timer;

use super::fleet::{Fleet, Reader};
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::{
    EncodedState, Item, ReadSource, StateKind, StateStore,
};
use crate::direct::replicated_state::{ReplicatedState, RoutingCopy};
use crate::exec::{self, with_timeout};
use crate::rpc::channel::Pool;

/// Exchanges the newest routing with the agents that keep it.
pub(super) struct RoutingExchange {
    store: Arc<dyn StateStore>,
    replicated_state: Arc<ReplicatedState>,
    fleet: Arc<Fleet>,
    pool: Pool,
}

/// Time-out for connecting to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time-out for both calls to an agent, connecting included.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause before agents that gave no reply are called again after the start.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Interval of exchanges without a change, for agents that were restarted or have taken
/// the place of others.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// The same soon after the start: an agent may have replied before another entry told it
/// the newest routing.
const EARLY_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the start within which the agents are asked that often.
const EARLY_PHASE: Duration = Duration::from_secs(5);
/// Limits the connections to agents.
const MAX_CONNECTIONS: usize = 6;
/// Maximum size of a routing that is told, in bytes; agents accept messages of 4 MB.
const MAX_COPY_BYTES: usize = 3 << 20;

impl RoutingExchange {
    /// Creates an exchange of the routing that a process knows. Until agents have replied
    /// to [`Self::run`], the routing has no freshness proof.
    pub fn new(
        store: Arc<dyn StateStore>,
        replicated_state: Arc<ReplicatedState>,
        fleet: Arc<Fleet>,
    ) -> Arc<Self> {
        replicated_state.await_keepers();
        let pool = Pool::new(MAX_CONNECTIONS, CONNECT_TIMEOUT);
        Arc::new(Self { store, replicated_state, fleet, pool })
    }

    /// Asks the agents for a newer routing, then tells them each newer one, without end.
    pub async fn run(self: Arc<Self>) {
        self.ask_keepers().await;
        self.replicated_state.end_keeper_wait();
        let started = Instant::now();
        let mut told: Option<RoutingVersion> = None;
        let mut told_all_at: Option<Instant> = None;
        loop {
            let changed = self.replicated_state.changed();
            let version = self.replicated_state.routing().map(|r| r.version);
            let interval = match started.elapsed() < EARLY_PHASE {
                true => EARLY_INTERVAL,
                false => EXCHANGE_INTERVAL,
            };
            if told_all_at.is_none_or(|at| at.elapsed() >= interval) {
                (told, told_all_at) = (version, Some(Instant::now()));
                self.exchange_with(self.fleet.routing_keepers().all()).await;
            } else if told != version {
                told = version;
                // The entries of other halls tell their agents at the same time.
                self.exchange_with(self.fleet.routing_keepers().own_hall).await;
            } else {
                with_timeout(interval, changed).await;
            }
        }
    }

    /// Returns once no agent has to be waited for.
    async fn ask_keepers(self: &Arc<Self>) {
        let mut replies = KeeperReplies::default();
        loop {
            let changed = self.replicated_state.changed();
            // The endpoints show the agents.
            if self.replicated_state.proof_age(StateKind::Endpoints).is_none() {
                with_timeout(RETRY_PAUSE, changed).await;
                continue;
            }
            let mut keepers = self.fleet.routing_keepers().all();
            if replies.is_settled(keepers.iter().map(|keeper| &keeper.id)) {
                return;
            }
            keepers.retain(|keeper| replies.is_open(&keeper.id));
            let called = self.exchange_with(keepers).await;
            let has_failed = called.iter().any(|(_, reply)| reply.is_none());
            for (agent, reply) in called {
                replies.record(agent, reply);
            }
            if has_failed {
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }

    /// Exchanges the routing with some agents at once; returns the version that each had
    /// kept, or `None` without a reply.
    async fn exchange_with(
        self: &Arc<Self>,
        keepers: Vec<Reader>,
    ) -> Vec<(Incarnation, Option<RoutingVersion>)> {
        let start = |keeper: Reader| {
            let exchange = self.clone();
            exec::spawn(async move {
                let kept = exchange.exchange(&keeper).await;
                (keeper.id, kept)
            })
        };
        let calls: Vec<_> = keepers.into_iter().map(start).collect();
        let mut replies = Vec::with_capacity(calls.len());
        for call in calls {
            replies.push(call.await);
        }
        replies
    }

    async fn exchange(&self, keeper: &Reader) -> Option<RoutingVersion> {
        let exchanged = with_timeout(EXCHANGE_TIMEOUT, self.call(keeper)).await;
        match exchanged.unwrap_or_else(|| Err("no answer in time".into())) {
            Ok(version) => Some(version),
            Err(cause) => {
                if logs::is_allowed(LineKind::StateChange) {
                    let agent = keeper.addr;
                    tracing::info!(event = "routing not exchanged", %agent, cause);
                }
                None
            }
        }
    }

    async fn call(&self, keeper: &Reader) -> Result<RoutingVersion, String> {
        let channel = self.pool.get(&keeper.addr.to_string()).await;
        let channel = channel.map_err(|e| e.to_string())?;
        let origin = channel.origin();
        let mut client = ResidencyClient::with_origin(channel, origin);
        let copy = self.replicated_state.routing_copy();
        let version = copy.as_ref().map_or(0, |copy| copy.version);
        let told = wire::RoutingCopy { version, ..wire::RoutingCopy::default() };
        let reply = client.exchange_routing(told).await.map_err(|e| e.to_string())?;
        let reply = reply.into_inner();
        let kept = reply.version;
        match copy {
            Some(copy) if kept < version => {
                if size_of_copy(&copy) > MAX_COPY_BYTES {
                    return Err("the routing is too large".into());
                }
                let told = client.exchange_routing(encode(copy)).await;
                told.map_err(|e| e.to_string())?;
            }
            _ if kept > version => self.apply(reply)?,
            _ => {}
        }
        Ok(kept)
    }

    /// Applies a newer routing that an agent has kept.
    fn apply(&self, kept: wire::RoutingCopy) -> Result<(), String> {
        let version = kept.version;
        let state = decode(kept);
        let decoded = self.store.decode(StateKind::Routing, &state);
        let decoded = decoded.map_err(|e| e.to_string())?;
        let newest = decoded.items.into_iter().filter_map(|item| match item {
            Item::Routing(routing) if routing.version == version => Some(routing),
            _ => None,
        });
        let Some(routing) = newest.last() else {
            return Err(format!("the kept routing is not of version {version}"));
        };
        self.replicated_state.apply_kept_routing(*routing, &state);
        Ok(())
    }
}

fn size_of_copy(copy: &RoutingCopy) -> usize {
    copy.state.pages.iter().chain(&copy.state.changes).map(|body| body.len()).sum()
}

fn encode(copy: RoutingCopy) -> wire::RoutingCopy {
    let RoutingCopy { version, state } = copy;
    let (epoch, revision) = (state.at.epoch(), state.at.revision());
    let EncodedState { pages, changes, .. } = state;
    wire::RoutingCopy { version, epoch, revision, pages, changes }
}

fn decode(copy: wire::RoutingCopy) -> EncodedState {
    EncodedState {
        at: StorePoint::new(copy.epoch, copy.revision),
        is_complete: !copy.pages.is_empty(),
        pages: copy.pages,
        changes: copy.changes,
        source: ReadSource::Agent,
        ..EncodedState::default()
    }
}
