//! Distribution of the declared state from process to process.
//!
//! The holders of key partitions, at most 64, watch the object API. All other processes
//! follow a holder, directly or through other followers: a process whose follower limit
//! is reached redirects the next follower to one of its own followers. The tree forms
//! without any list of its members.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::{FutureExt, Stream, StreamExt};
use larkspring_core::declared::IndexedChunk;
use larkspring_core::retry::backoff;
use larkspring_proto::config::config_client::ConfigClient;
use larkspring_proto::config::config_server::Config as ConfigRpc;
use larkspring_proto::config::{ChangedChunk, FollowRequest, Update};
use larkspring_proto::keys::KeyTable;
use parking_lot::Mutex;
use smol::channel::{bounded, Sender};
use smol::Timer;
use tonic::{Request, Response, Status, Streaming};

use crate::entry::keys::TABLE_OBJECT;
use crate::exec::{self, with_timeout};
use crate::in_force::InForce;
use crate::platform::objects::{HttpObjects, ObjectApi};
use crate::platform::vms::{HttpVms, VmList};
use crate::rpc::channel::Pool;
use crate::settings::PlatformCfg;

/// Follows the declared state and relays it to followers.
pub struct StateDistributor {
    in_force: Arc<InForce>,
    api: HttpObjects,
    /// The VM list, if the settings name an address.
    vms: Option<HttpVms>,
    pool: Pool,
    peers: Vec<String>,
    /// Address on which this process serves followers; empty if it serves none.
    relay_addr: String,
    /// Time of the last heartbeat, less its age.
    last_heartbeat: Mutex<Instant>,
    /// The address on which each follower serves others, by follower id.
    followers: Mutex<HashMap<u64, String>>,
}

/// Followers that a process serves before it redirects the next follower.
const FANOUT: usize = 12;
/// Maximum number of followers if there is no process to redirect to.
const MAX_FOLLOWERS: usize = 256;
/// Interval between reads of the VM list by each process that watches the object API.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Heartbeat interval.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Age of the last heartbeat at which another process is followed.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Initial and maximum pause before the next process is followed.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Consecutive failures after which the table is read again.
const FAILURES_PER_READ: u32 = 3;
/// Size of the chunks in one message, in bytes, after which the next message begins.
const MESSAGE_SPLIT_BYTES: usize = 256 * 1024;
const MAX_QUEUED_MESSAGES: usize = 2;
/// Redirects that a follower accepts before it starts again at the root.
const MAX_REDIRECTS: u32 = 4;

impl StateDistributor {
    /// Creates a follower; `relay_addr` is the address on which it serves others, or
    /// empty.
    pub fn new(in_force: Arc<InForce>, cfg: &PlatformCfg, relay_addr: String) -> Self {
        Self {
            in_force,
            api: HttpObjects::new(&cfg.objects, cfg.timeout),
            vms: (!cfg.vms.is_empty()).then(|| HttpVms::new(&cfg.vms, cfg.timeout)),
            pool: Pool::new(1, CONNECT_TIMEOUT),
            peers: cfg.peers.clone(),
            relay_addr,
            last_heartbeat: Mutex::new(Instant::now()),
            followers: Mutex::default(),
        }
    }

    /// Follows the declared state and watches the object API directly while `is_root`
    /// returns true; never returns.
    pub async fn run(&self, is_root: impl Fn() -> bool) {
        let mut roots = Vec::new();
        let mut failures = 0;
        loop {
            if is_root() {
                let watch = self.in_force.watch(&self.api, &is_root);
                watch.or(self.keep_heartbeat()).or(self.watch_vms()).await;
            }
            // The table is read rarely, so that the loss of a hall causes no burst of
            // reads at the object API.
            let stale = failures % FAILURES_PER_READ == FAILURES_PER_READ - 1;
            if roots.is_empty() || stale {
                roots = self.roots().await.unwrap_or(roots);
            }
            let none = roots.is_empty();
            let first = fastrand::choice(if none { &self.peers } else { &roots });
            let began = Instant::now();
            if let Some(first) = first.cloned() {
                if let Err(status) = self.follow_tree(first).await {
                    tracing::info!(%status, "following another process");
                }
            }
            let lived = *self.last_heartbeat.lock() > began;
            failures = if lived { 0 } else { failures + 1 };
            let mut rng = fastrand::Rng::new();
            Timer::after(backoff(INITIAL_BACKOFF, MAX_BACKOFF, failures, &mut rng)).await;
        }
    }

    /// Keeps the heartbeat of a root current; never returns.
    async fn keep_heartbeat(&self) {
        loop {
            *self.last_heartbeat.lock() = Instant::now();
            Timer::after(HEARTBEAT_INTERVAL / 2).await;
        }
    }

    /// Polls the VM list; while reads fail the last list stays in effect. Never returns.
    async fn watch_vms(&self) {
        let Some(vms) = &self.vms else { return std::future::pending().await };
        loop {
            match vms.list().await {
                Ok(list) => {
                    let leaving = list.into_iter().filter(|vm| vm.leaving);
                    let names = leaving.map(|vm| vm.name).collect();
                    self.in_force.set_leaving_vms(names);
                }
                Err(e) => {
                    tracing::warn!(error = %e, "VM list not read, keeping the last one")
                }
            }
            Timer::after(VM_LIST_INTERVAL).await;
        }
    }

    /// Returns the addresses of the processes that watch the object API.
    async fn roots(&self) -> Option<Vec<String>> {
        let object = self.api.get(TABLE_OBJECT).await.ok()??;
        let table: KeyTable = serde_json::from_slice(&object.value).ok()?;
        let roots = table.partitions.into_iter().map(|t| t.holder);
        let mut roots: Vec<_> =
            roots.filter(|addr| !addr.is_empty() && *addr != self.relay_addr).collect();
        roots.sort();
        roots.dedup();
        Some(roots)
    }

    /// Follows a process, or one to which it redirects, until the stream ends or fails.
    async fn follow_tree(&self, first: String) -> Result<(), Status> {
        let mut addr = first;
        for _ in 0..=MAX_REDIRECTS {
            let mut down = self.open_stream(&addr).await?;
            match self.receive(&mut down).await? {
                Some(next) => addr = next,
                None => return Ok(()),
            }
        }
        Err(Status::resource_exhausted("sent on too often"))
    }

    async fn open_stream(&self, addr: &str) -> Result<Streaming<Update>, Status> {
        let unavailable = |e: String| Status::unavailable(format!("{addr}: {e}"));
        let channel = self.pool.get(addr).await;
        let channel = channel.map_err(|e| unavailable(e.to_string()))?;
        let origin = channel.origin();
        let state = self.in_force.state();
        let chunks = state.chunks().iter().map(|part| part.hash.clone()).collect();
        let req = FollowRequest { relay: self.relay_addr.clone(), chunks };
        let mut client = ConfigClient::with_origin(channel, origin);
        let late = || Err(Status::deadline_exceeded("no answer in time"));
        let reply = with_timeout(HEARTBEAT_TIMEOUT, client.follow(req))
            .await
            .unwrap_or_else(late)?;
        Ok(reply.into_inner())
    }

    /// Applies updates until the stream ends; returns the address to follow instead, if
    /// redirected.
    async fn receive(
        &self,
        down: &mut Streaming<Update>,
    ) -> Result<Option<String>, Status> {
        let mut changed = HashMap::new();
        loop {
            let late = || Some(Err(Status::deadline_exceeded("no sign of life")));
            let next =
                with_timeout(HEARTBEAT_TIMEOUT, down.next()).await.unwrap_or_else(late);
            let Some(update) = next else { return Ok(None) };
            let update = update?;
            if !update.redirect.is_empty() {
                return Ok(fastrand::choice(update.redirect));
            }
            let age = Duration::from_millis(update.age_ms);
            if age > HEARTBEAT_TIMEOUT {
                return Err(Status::unavailable("it follows nobody that is alive"));
            }
            *self.last_heartbeat.lock() =
                Instant::now().checked_sub(age).unwrap_or_else(Instant::now);
            self.in_force.set_leaving_vms(update.leaving_vms);
            for chunk in update.changed {
                let part = IndexedChunk::decode(&chunk.hash, chunk.chunk);
                let part = part.map_err(|e| Status::data_loss(e.to_string()))?;
                changed.insert(chunk.place as usize, Arc::new(part));
            }
            if update.complete {
                self.apply(update.revision, update.count, std::mem::take(&mut changed))?;
            }
        }
    }

    fn apply(
        &self,
        revision: u64,
        count: u32,
        mut changed: HashMap<usize, Arc<IndexedChunk>>,
    ) -> Result<(), Status> {
        let state = self.in_force.state();
        let part = |place: usize| {
            changed.remove(&place).or_else(|| state.chunks().get(place).cloned())
        };
        let parts: Option<Vec<_>> = (0..count as usize).map(part).collect();
        let parts = parts.ok_or_else(|| Status::data_loss("a chunk is missing"))?;
        if self.in_force.apply(revision, parts) {
            tracing::info!(revision, "in force");
        }
        Ok(())
    }

    /// Registers a follower and returns its id, or returns the addresses to redirect to.
    fn register(&self, relay: &str) -> Result<u64, Vec<String>> {
        let mut followers = self.followers.lock();
        let onward: Vec<_> = followers
            .values()
            .filter(|addr| !addr.is_empty() && *addr != relay)
            .cloned()
            .collect();
        let full = followers.len() >= FANOUT && !onward.is_empty();
        if full || followers.len() >= MAX_FOLLOWERS {
            return Err(onward);
        }
        let id = fastrand::u64(..);
        followers.insert(id, relay.into());
        Ok(id)
    }
}

/// Serves followers of a process.
pub struct DistributionService {
    /// The follower whose state is relayed.
    pub follower: Arc<StateDistributor>,
}

#[tonic::async_trait]
impl ConfigRpc for DistributionService {
    type FollowStream = Pin<Box<dyn Stream<Item = Result<Update, Status>> + Send>>;

    async fn follow(
        &self,
        req: Request<FollowRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let req = req.into_inner();
        let (tx, rx) = bounded(MAX_QUEUED_MESSAGES);
        match self.follower.register(&req.relay) {
            Ok(id) => {
                let follower = self.follower.clone();
                exec::spawn(serve_follower(follower, id, req.chunks, tx)).detach();
            }
            Err(redirect) if redirect.is_empty() => {
                return Err(Status::resource_exhausted("too many followers"));
            }
            Err(redirect) => {
                let _ = tx.try_send(Ok(Update { redirect, ..Update::default() }));
            }
        }
        Ok(Response::new(Box::pin(rx)))
    }
}

/// Sends a follower each change and heartbeats until the follower disconnects.
async fn serve_follower(
    follower: Arc<StateDistributor>,
    id: u64,
    mut held: Vec<String>,
    tx: Sender<Result<Update, Status>>,
) {
    let mut sent = 0;
    loop {
        let changed = follower.in_force.changed();
        let state = follower.in_force.state();
        let messages = match state.revision == sent {
            true => vec![Update::default()],
            false => updates(&state, &mut held),
        };
        sent = state.revision;
        drop(state);
        let age = follower.last_heartbeat.lock().elapsed().as_millis() as u64;
        for mut message in messages {
            message.age_ms = age;
            message.leaving_vms = follower.in_force.leaving_vms().to_vec();
            if tx.send(Ok(message)).await.is_err() {
                follower.followers.lock().remove(&id);
                return;
            }
        }
        with_timeout(HEARTBEAT_INTERVAL, changed).await;
    }
}

/// Returns the messages that update a follower from the chunks `held` to `state`.
fn updates(
    state: &larkspring_core::declared::DeclaredState,
    held: &mut Vec<String>,
) -> Vec<Update> {
    let count = state.chunks().len();
    held.resize(count, String::new());
    let mut messages = vec![Update::default()];
    let mut bytes = 0;
    for (place, part) in state.chunks().iter().enumerate() {
        if held[place] == part.hash {
            continue;
        }
        held[place] = part.hash.clone();
        if bytes > MESSAGE_SPLIT_BYTES {
            messages.push(Update::default());
            bytes = 0;
        }
        bytes += part.encoded.len();
        let changed = ChangedChunk {
            place: place as u32,
            hash: part.hash.clone(),
            chunk: part.encoded.clone(),
        };
        if let Some(message) = messages.last_mut() {
            message.changed.push(changed);
        }
    }
    if let Some(last) = messages.last_mut() {
        last.revision = state.revision;
        last.count = count as u32;
        last.complete = state.revision > 0;
    }
    messages
}
