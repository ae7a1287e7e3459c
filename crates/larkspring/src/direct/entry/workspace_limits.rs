//! Limits of workspaces: this entry's reservations at the bucket owners.
//!
//! The bucket owner of a workspace is the agent that ranks first for the workspace's
//! group among the live agents, to which every entry is connected anyway. Entries agree
//! on the owner without communicating; [`larkspring_core::limits`] describes the
//! guarantees while they don't.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_lite::future;
use larkspring_core::admission::shares::Class;
use larkspring_core::fleet::choose::rank_endpoints;
use larkspring_core::fleet::routes::RoutingVersion;
use larkspring_core::ids::{WorkspaceHash, WorkspaceId};
use larkspring_core::limits::bucket_owner::{
    BucketOwner, Grant, RequestedUnits, UnitsRequest,
};
use larkspring_core::limits::reporting_entries::EntryId;
use larkspring_core::limits::reservations::{LimitDecision, WorkspaceReservations};
use larkspring_core::limits::serving_time::{ServingTime, ServingTimeTracker};
use larkspring_core::limits::{has_late_request, LimitTolerance};
use larkspring_core::workspaces::Workspace;
use parking_lot::Mutex;
use smol::channel::{self, Receiver, Sender};
use smol::Timer;

use super::fleet::Fleet;
use super::link::Link;
use crate::direct::logs;
use crate::direct::replicated_state::ReplicatedState;

/// The state of the workspaces' limits in an entry.
pub(super) struct Limits {
    replicated_state: Arc<ReplicatedState>,
    fleet: Arc<Fleet>,
    reservations: Mutex<WorkspaceReservations<Sender<LimitDecision>>>,
    /// Grants this entry an even share while no agent is live.
    local_owner: Mutex<BucketOwner>,
    grants: Receiver<Vec<Grant>>,
    /// Bucket owners that did not reply, with the time until which they get no requests.
    skipped: Mutex<Vec<(SocketAddr, Instant)>>,
    /// The current bucket owner of each group and since when it is the owner; `None` is
    /// this entry itself, while no agent is live.
    owners: Mutex<HashMap<u64, ServingTimeTracker<Option<SocketAddr>>>>,
    /// When bucket owners were last passed over.
    owners_changed_at: Mutex<Instant>,
    wake: Event,
}

/// Interval of messages to bucket owners without requested units: four fit into the time
/// after which owners remove an entry.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a bucket owner that did not reply gets no requests. An agent that is
/// unresponsive for longer is no owner for any entry.
const SKIP_DURATION: Duration = Duration::from_millis(1000);
/// Number of entries assumed while no agent is live, as otherwise each entry would grant
/// the whole limit after the loss of all agents.
const ASSUMED_ENTRIES: u32 = 64;
/// Decision on a request whose state was dropped.
const NO_ANSWER: LimitDecision =
    LimitDecision::Refused { after: Duration::ZERO, share: None };
/// This entry's id at its own buckets.
const LOCAL_ENTRY_ID: EntryId = 0;
/// Number of workspaces per bucket owner, so that an entry sends to few owners at a time.
const GROUP_SIZE: usize = 64;

impl Limits {
    /// Creates limits without reserved units; `grants` receives the bucket owners'
    /// grants.
    pub fn new(
        terms: LimitTolerance,
        replicated_state: Arc<ReplicatedState>,
        fleet: Arc<Fleet>,
        grants: Receiver<Vec<Grant>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            replicated_state,
            fleet,
            reservations: Mutex::new(WorkspaceReservations::new(terms)),
            local_owner: Mutex::new(BucketOwner::new(terms)),
            grants,
            skipped: Mutex::default(),
            owners: Mutex::default(),
            owners_changed_at: Mutex::new(Instant::now()),
            wake: Event::new(),
        })
    }

    /// Decides whether a request of `cost` units is within its workspace's limit. The
    /// class orders requests while the workspace exceeds the limit; without one, the
    /// request takes its turn.
    pub async fn admit(
        &self,
        workspace: &Workspace,
        version: RoutingVersion,
        cost: f64,
        class: Option<Class>,
    ) -> LimitDecision {
        let (tx, rx) = channel::bounded(1);
        let now = Instant::now();
        let (decided, due) = {
            let mut reservations = self.reservations.lock();
            let decided = reservations.admit(now, workspace, version, cost, class, tx);
            (decided, reservations.needs_units_now(now, workspace))
        };
        if due || decided.is_none() {
            self.wake.notify(usize::MAX);
        }
        match decided {
            Some(decision) => decision,
            // The sender is dropped only with the whole entry.
            None => rx.recv().await.unwrap_or(NO_ANSWER),
        }
    }

    /// Returns the units of a request that has not run.
    pub fn return_units(&self, workspace: &Workspace, cost: f64) {
        self.reservations.lock().return_units(Instant::now(), workspace, cost);
    }

    /// Returns the units reserved for each workspace.
    pub fn reserved(&self) -> Vec<(WorkspaceId, f64)> {
        self.reservations.lock().reserved_units(Instant::now())
    }

    /// Requests units from bucket owners and applies their grants, until dropped.
    pub async fn run(self: Arc<Self>) {
        let mut poll_at = Instant::now();
        loop {
            let wake = self.wake.listen();
            let now = Instant::now();
            self.give_up_unanswered(now);
            self.request_units(now, now >= poll_at);
            if now >= poll_at {
                poll_at = now + POLL_INTERVAL;
            }
            let next = self.reservations.lock().next_expiry();
            let timer = async {
                Timer::at(next.map_or(poll_at, |at| at.min(poll_at))).await;
                None
            };
            let wake = async {
                wake.await;
                None
            };
            let granted = async { self.grants.recv().await.ok() };
            if let Some(grants) = future::or(granted, future::or(wake, timer)).await {
                self.drop_late_requests(Instant::now());
                self.apply_grants(&grants);
            }
        }
    }

    /// Drops unanswered requests for units whose grants would arrive too late. This entry
    /// may have been busy itself, so the bucket owners are not passed over.
    fn drop_late_requests(&self, now: Instant) {
        let mut decided = Vec::new();
        let mut reservations = self.reservations.lock();
        if has_late_request(now, reservations.next_expiry()) {
            reservations.expire_unanswered(now, &mut decided);
        }
        drop(reservations);
        notify(decided);
    }

    fn apply_grants(&self, grants: &[Grant]) {
        let decided = self.reservations.lock().apply_grants(Instant::now(), grants);
        notify(decided);
    }

    /// Gives up unanswered requests for units, refuses callers' requests that waited too
    /// long for them, and passes over the bucket owners.
    fn give_up_unanswered(&self, now: Instant) {
        let mut decided = Vec::new();
        let requested_at = {
            let mut reservations = self.reservations.lock();
            reservations.set_entry_count(self.entries());
            reservations.expire_unanswered(now, &mut decided)
        };
        notify(decided);
        // Units requested before the last change of owners were requested from the
        // previous owners.
        let mut changed = self.owners_changed_at.lock();
        if requested_at.is_none_or(|requested_at| requested_at <= *changed) {
            return;
        }
        *changed = now;
        for group in 0..self.groups() {
            let Some((owner, _)) = self.owner(now, group) else { continue };
            if logs::is_allowed(logs::LineKind::StateChange) {
                tracing::info!(event = "home of limits passed over", agent = %owner);
            }
            self.skipped.lock().push((owner, now + SKIP_DURATION));
        }
    }

    /// Sends the requested units of each group to its bucket owner in one message.
    fn request_units(&self, now: Instant, is_poll: bool) {
        let requested = self.reservations.lock().units_to_request(now, is_poll);
        if requested.is_empty() && !is_poll {
            return;
        }
        let groups = self.groups();
        for group in 0..groups {
            let of_group = |w: &&RequestedUnits| group_of(w.workspace, groups) == group;
            let requested: Vec<_> = requested.iter().filter(of_group).cloned().collect();
            if requested.is_empty() && !is_poll {
                continue;
            }
            let owner = self.owner(now, group);
            let serving_time =
                self.serving_time(now, group, owner.as_ref().map(|(addr, _)| *addr));
            let entry_count = self.entries() as usize;
            let ask = UnitsRequest {
                entry: LOCAL_ENTRY_ID,
                serving_time,
                entry_count,
                units: &requested,
            };
            match owner {
                // A request for units that can't be sent is later treated as unanswered.
                Some((_, link)) => drop(link.request_units(&ask)),
                None => {
                    self.apply_grants(&self.local_owner.lock().grant_units(now, &ask))
                }
            }
        }
    }

    /// Returns the serving time that a request to a bucket owner reports. After a change
    /// of the owner, units from the previous owner stay usable but are not returned to
    /// the new one.
    fn serving_time(
        &self,
        now: Instant,
        group: u64,
        owner: Option<SocketAddr>,
    ) -> ServingTime {
        let serving_time =
            self.owners.lock().entry(group).or_default().record_request(now, owner);
        if serving_time.is_new_owner {
            self.reservations.lock().record_owner_change();
        }
        serving_time
    }

    /// Returns the number of entries that share the limits. Without a live agent the
    /// number is unknown and assumed high, since all entries may have started at the same
    /// moment.
    fn entries(&self) -> u32 {
        match self.fleet.usable_links().is_empty() || !self.fleet.has_entry_counts() {
            true => ASSUMED_ENTRIES,
            false => self.fleet.entry_counts().all,
        }
    }

    /// Returns the number of workspace groups, each with a bucket owner; 0 without
    /// workspaces.
    fn groups(&self) -> u64 {
        let routing = self.replicated_state.routing();
        let workspaces = routing.as_ref().and_then(|r| r.workspaces.as_ref());
        workspaces.map_or(0, |w| w.count().div_ceil(GROUP_SIZE) as u64)
    }

    fn owner(&self, now: Instant, group: u64) -> Option<(SocketAddr, Arc<Link>)> {
        let mut skipped = self.skipped.lock();
        skipped.retain(|(_, until)| *until > now);
        let links = self.fleet.usable_links().into_iter();
        let asked = links.filter(|(addr, _)| skipped.iter().all(|(out, _)| out != addr));
        let named = asked.map(|(addr, link)| (addr.to_string().into(), addr, link));
        let ranked = rank_endpoints(group, named.collect(), |(name, _, _)| name);
        ranked.into_iter().next().map(|(_, addr, link)| (addr, link))
    }
}

fn group_of(workspace: WorkspaceHash, groups: u64) -> u64 {
    workspace % groups.max(1)
}

fn notify(decided: Vec<(Sender<LimitDecision>, LimitDecision)>) {
    for (request, decision) in decided {
        // The request may have ended meanwhile; its units then expire.
        let _ = request.try_send(decision);
    }
}
