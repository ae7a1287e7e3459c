//! The endpoints of a fleet, as the platform lists them.
//!
//! While the platform's store is away, leases of healthy endpoints may run out there. Such
//! an endpoint is listed again soon after the store is back, so one that is missing just
//! after an outage is kept for a while.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids::{HallId, Incarnation, ServiceId, StartMs, Target};

/// The endpoints that are listed, and those that may be listed again.
#[derive(Debug, Default)]
pub struct Members {
    listed: HashMap<Incarnation, Member>,
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
    pub listed_since: u64,
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
        let listed_since = self.listed_since + 1;
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

impl Members {
    /// Records a listed endpoint; says whether anything changed.
    pub fn put(&mut self, endpoint: Endpoint) -> bool {
        if let Some(known) = self.listed.get_mut(&endpoint.id) {
            known.lapses_at = None;
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
            (_, Some(_)) => drop(self.listed.remove(id)),
            (_, None) => {}
        }
    }

    /// Takes a whole list; what is missing there is treated as in [`Members::remove`].
    pub fn replace(&mut self, list: Vec<Endpoint>, keep_until: Option<Instant>) {
        let missing = self.listed.keys().filter(|id| list.iter().all(|e| e.id != **id));
        let missing: Vec<_> = missing.cloned().collect();
        for id in missing {
            self.remove(&id, keep_until);
        }
        for endpoint in list {
            self.put(endpoint);
        }
    }

    /// Forgets the endpoints whose time has run out; says whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.listed.len();
        self.listed.retain(|_, m| m.lapses_at.is_none_or(|at| at > now));
        self.listed.len() != before
    }

    /// When [`Members::expire`] will next forget an endpoint.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.listed.values().filter_map(|m| m.lapses_at).min()
    }

    /// Returns all endpoints that are not known to be gone.
    pub fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.listed.values().map(|m| &m.endpoint)
    }
}
