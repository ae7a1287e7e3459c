//! The endpoints of a fleet, as the platform lists them.
//!
//! While the platform's store is unavailable, leases of healthy endpoints may expire
//! there. These endpoints are listed again soon after the store recovers, so an endpoint
//! that is missing just after an outage is kept for a grace period.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids::{
    BuildId, HallId, Incarnation, ServiceId, StartMs, StoreEpoch, StorePoint, Target,
};

/// The endpoints that are listed, and those that are kept for a grace period.
#[derive(Debug, Default)]
pub struct EndpointList {
    listed: HashMap<Incarnation, Member>,
    /// The last runs that ended.
    ended: HashMap<Incarnation, EndedRun>,
    ended_count: u64,
    /// The epoch of the last read.
    epoch: Option<StoreEpoch>,
    /// The point at which reading began after the store was restored from a copy. Entries
    /// written before may be outdated.
    restored_at: Option<StorePoint>,
}

/// A run that ended.
#[derive(Debug)]
struct EndedRun {
    start: Option<StartMs>,
    /// Sequence number of the end, by which the oldest one is dropped.
    number: u64,
}

/// One run of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Name of the run; each restart has a new name.
    pub id: Incarnation,
    /// The service that the endpoint belongs to.
    pub service: ServiceId,
    /// The address at which the endpoint accepts requests.
    pub addr: SocketAddr,
    /// The hall of the endpoint.
    pub hall: HallId,
    /// Requests that the endpoint processes concurrently.
    pub slots: usize,
    /// Whether the endpoint is draining, so takes no new requests.
    pub leaving: bool,
    /// Increases with each listed run, so that the later of two runs at the same address
    /// is known.
    pub listed_since: StorePoint,
    /// Start of the run, if reported. The same name with another start is another run.
    pub start: Option<StartMs>,
    /// Adapters that the endpoint reported as resident.
    pub holds: Vec<Target>,
    /// Whether the endpoint listed a base model, so has an agent.
    pub runs_models: bool,
    /// Version of the endpoint's software, by which the streams of endpoints differ; `None`
    /// if it is not known.
    pub build: Option<BuildId>,
    /// How much longer the endpoint was cold when it was last listed; zero if it was not
    /// cold.
    pub cold_left: Duration,
}

#[derive(Debug)]
struct Member {
    endpoint: Arc<Endpoint>,
    /// When an endpoint that is missing after an outage is removed.
    expires_at: Option<Instant>,
}

impl Endpoint {
    /// Returns a new run at the same address that the platform does not list yet. The run
    /// holds no adapters and accepts requests. Its software may be of another version.
    pub fn next_run(&self, id: Incarnation) -> Self {
        let listed_since = self.listed_since.next();
        Self {
            id,
            leaving: false,
            listed_since,
            start: None,
            holds: Vec::new(),
            build: None,
            cold_left: Duration::ZERO,
            ..self.clone()
        }
    }
}

/// How long after the end of an outage a missing endpoint is kept.
///
/// The platform's operators state about two seconds for the return of expired entries.
pub const EXPIRED_LEASE_GRACE: Duration = Duration::from_secs(2);
/// Ended runs that are kept: a restored copy of the store is some seconds old, and still
/// lists the runs that ended since.
const MAX_ENDED: usize = 4096;

impl EndpointList {
    /// Records that the list is read at a point. Returns whether the store was restored
    /// from a copy since the previous read.
    pub fn begin_epoch(&mut self, at: StorePoint) -> bool {
        let before = self.epoch.replace(at.epoch());
        let is_restored = before.is_some_and(|epoch| epoch != at.epoch());
        if is_restored {
            self.restored_at = Some(at);
        }
        is_restored
    }

    /// Records a listed endpoint and when its entry was written. Returns whether anything
    /// changed.
    ///
    /// An entry from a restored copy of the store brings back neither a run that ended
    /// nor a run older than the known one, and does not show a draining endpoint as
    /// ready.
    pub fn upsert(&mut self, mut endpoint: Endpoint, written: StorePoint) -> bool {
        let is_copied = self.restored_at.is_some_and(|at| written <= at);
        let ended = self.ended.get(&endpoint.id);
        let has_ended = ended.is_some_and(|ended| endpoint.start <= ended.start);
        let listed = self.listed.get(&endpoint.id);
        let is_earlier = listed.is_some_and(|m| endpoint.start < m.endpoint.start);
        if is_copied && (has_ended || is_earlier) {
            return false;
        }
        self.ended.remove(&endpoint.id);
        if let Some(known) = self.listed.get_mut(&endpoint.id) {
            known.expires_at = None;
            let is_same_run = known.endpoint.start == endpoint.start;
            endpoint.leaving |= is_copied && is_same_run && known.endpoint.leaving;
            if *known.endpoint == endpoint {
                return false;
            }
            known.endpoint = Arc::new(endpoint);
            return true;
        }
        let id = endpoint.id.clone();
        let member = Member { endpoint: Arc::new(endpoint), expires_at: None };
        self.listed.insert(id, member);
        true
    }

    /// Records that an endpoint is no longer listed. The endpoint is kept until
    /// `keep_until`, unless it is draining.
    pub fn remove(&mut self, id: &Incarnation, keep_until: Option<Instant>) {
        match (keep_until, self.listed.get_mut(id)) {
            (Some(until), Some(member)) if !member.endpoint.leaving => {
                member.expires_at.get_or_insert(until);
            }
            (_, Some(_)) => self.end(id),
            (_, None) => {}
        }
    }

    /// Applies a complete list. Endpoints that are missing in the list are handled as in
    /// [`EndpointList::remove`].
    pub fn replace(
        &mut self,
        list: Vec<(Endpoint, StorePoint)>,
        keep_until: Option<Instant>,
    ) {
        let names: HashSet<_> = list.iter().map(|(e, _)| e.id.clone()).collect();
        let missing = self.listed.keys().filter(|id| !names.contains(*id));
        let missing: Vec<_> = missing.cloned().collect();
        for id in missing {
            self.remove(&id, keep_until);
        }
        for (endpoint, written) in list {
            self.upsert(endpoint, written);
        }
    }

    /// Removes the endpoints whose grace period is over. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_over = |m: &Member| m.expires_at.is_some_and(|at| at <= now);
        let over = self.listed.iter().filter(|(_, m)| is_over(m));
        let over: Vec<_> = over.map(|(id, _)| id.clone()).collect();
        over.iter().for_each(|id| self.end(id));
        !over.is_empty()
    }

    /// When [`EndpointList::expire`] will next remove an endpoint.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.listed.values().filter_map(|m| m.expires_at).min()
    }

    fn end(&mut self, id: &Incarnation) {
        let Some(member) = self.listed.remove(id) else { return };
        if self.ended.len() >= MAX_ENDED {
            let first = self.ended.iter().min_by_key(|(_, ended)| ended.number);
            let first = first.map(|(id, _)| id.clone());
            first.and_then(|id| self.ended.remove(&id));
        }
        self.ended_count += 1;
        let ended = EndedRun { start: member.endpoint.start, number: self.ended_count };
        self.ended.insert(id.clone(), ended);
    }

    /// Returns all endpoints that are listed or in their grace period.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.listed.values().map(|m| &m.endpoint)
    }
}
