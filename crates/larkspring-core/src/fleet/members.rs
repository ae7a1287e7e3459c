//! The endpoints of a fleet, as the platform lists them.
//!
//! While the platform's store is away, leases of healthy endpoints may run out there. Such
//! an endpoint is listed again soon after the store is back, so one that is missing just
//! after an outage is kept for a while.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids::{
    HallId, Incarnation, ServiceId, StartMs, StoreEpoch, StorePoint, Target,
};

/// The endpoints that are listed, and those that may be listed again.
#[derive(Debug, Default)]
pub struct Members {
    listed: HashMap<Incarnation, Member>,
    /// The last runs that ended, with their starts.
    ended: HashMap<Incarnation, Ended>,
    ends: u64,
    /// The history that was read last.
    epoch: Option<StoreEpoch>,
    /// Where reading began in a history that a restored store went on with. What was written
    /// before may be older than what is known.
    restored: Option<StorePoint>,
}

/// A run that ended.
#[derive(Debug)]
struct Ended {
    start: Option<StartMs>,
    /// Number of the end.
    number: u64,
}

/// One run of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Name of the run; a restart brings another one.
    pub id: Incarnation,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Its hall.
    pub hall: HallId,
    /// Requests that it works on at a time.
    pub slots: usize,
    /// Whether it takes new requests.
    pub leaving: bool,
    /// Rises with each run that is listed, so that of two at one address the later is known.
    pub listed_since: StorePoint,
    /// When the run began, if it says so. Another start under the same name is another run.
    pub start: Option<StartMs>,
    /// Adapters that it said it holds.
    pub holds: Vec<Target>,
}

#[derive(Debug)]
struct Member {
    endpoint: Arc<Endpoint>,
    /// When the endpoint counts as gone, if it is missing after an outage.
    lapses_at: Option<Instant>,
}

impl Endpoint {
    /// Returns a run that came back at the same address and that the platform does not list
    /// yet: it holds nothing, and takes requests.
    pub fn next_run(&self, id: Incarnation) -> Self {
        let listed_since = self.listed_since.next();
        Self {
            id,
            leaving: false,
            listed_since,
            start: None,
            holds: Vec::new(),
            ..self.clone()
        }
    }
}

/// How long after an outage's end a missing endpoint is kept.
///
/// The platform's operators state about two seconds for the return of lapsed entries.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);
/// Ended runs that are remembered: a copy of the store is some seconds old, and lists those
/// that ended since.
const MAX_ENDED: usize = 4096;

impl Members {
    /// Records that the list is read at a point; says whether the store was restored from a
    /// copy since the last one.
    pub fn begin_epoch(&mut self, at: StorePoint) -> bool {
        let before = self.epoch.replace(at.epoch());
        let is_restored = before.is_some_and(|epoch| epoch != at.epoch());
        if is_restored {
            self.restored = Some(at);
        }
        is_restored
    }

    /// Records a listed endpoint and when its entry was written; says whether anything
    /// changed.
    ///
    /// What a copy of the store lists brings back no run that ended, none from before the
    /// one that is known, and none that leaves.
    pub fn put(&mut self, mut endpoint: Endpoint, written: StorePoint) -> bool {
        let is_copied = self.restored.is_some_and(|at| written <= at);
        let ended = self.ended.get(&endpoint.id);
        let has_ended = ended.is_some_and(|ended| endpoint.start <= ended.start);
        let listed = self.listed.get(&endpoint.id);
        let is_earlier = listed.is_some_and(|m| endpoint.start < m.endpoint.start);
        if is_copied && (has_ended || is_earlier) {
            return false;
        }
        self.ended.remove(&endpoint.id);
        if let Some(known) = self.listed.get_mut(&endpoint.id) {
            known.lapses_at = None;
            let is_same_run = known.endpoint.start == endpoint.start;
            endpoint.leaving |= is_copied && is_same_run && known.endpoint.leaving;
            if *known.endpoint == endpoint {
                return false;
            }
            known.endpoint = Arc::new(endpoint);
            return true;
        }
        let id = endpoint.id.clone();
        let member = Member { endpoint: Arc::new(endpoint), lapses_at: None };
        self.listed.insert(id, member);
        true
    }

    /// Records that an endpoint is no longer listed; it is kept until `keep_until`.
    pub fn remove(&mut self, id: &Incarnation, keep_until: Option<Instant>) {
        match (keep_until, self.listed.get_mut(id)) {
            (Some(until), Some(member)) if !member.endpoint.leaving => {
                member.lapses_at.get_or_insert(until);
            }
            (_, Some(_)) => self.end(id),
            (_, None) => {}
        }
    }

    /// Takes a whole list; what is missing there is treated as in [`Members::remove`].
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
            self.put(endpoint, written);
        }
    }

    /// Forgets the endpoints whose time has run out; says whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let is_over = |m: &Member| m.lapses_at.is_some_and(|at| at <= now);
        let over = self.listed.iter().filter(|(_, m)| is_over(m));
        let over: Vec<_> = over.map(|(id, _)| id.clone()).collect();
        over.iter().for_each(|id| self.end(id));
        !over.is_empty()
    }

    /// When [`Members::expire`] will next forget an endpoint.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.listed.values().filter_map(|m| m.lapses_at).min()
    }

    fn end(&mut self, id: &Incarnation) {
        let Some(member) = self.listed.remove(id) else { return };
        if self.ended.len() >= MAX_ENDED {
            let first = self.ended.iter().min_by_key(|(_, ended)| ended.number);
            let first = first.map(|(id, _)| id.clone());
            first.and_then(|id| self.ended.remove(&id));
        }
        self.ends += 1;
        let ended = Ended { start: member.endpoint.start, number: self.ends };
        self.ended.insert(id.clone(), ended);
    }

    /// Returns all endpoints that are not known to be gone.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.listed.values().map(|m| &m.endpoint)
    }
}
