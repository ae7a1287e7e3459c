//! The agents of the fleet: which of them the entry follows, reads from and asks.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Instant;

use larkspring_core::fleet::choose::{rank_endpoints, rendezvous_weight};
use larkspring_core::fleet::endpoint_list::Endpoint;
use larkspring_core::fleet::following::EntryCounts;
use larkspring_core::fleet::permits::RunHash;
use larkspring_core::fleet::read_timing::MAX_AGENTS_PER_READ;
use larkspring_core::fleet::routing_keepers::{OTHER_HALL_KEEPERS, OWN_HALL_KEEPERS};
use larkspring_core::fleet::stream_origins::{self, Keeper, StreamKey};
use larkspring_core::ids::{HallId, Incarnation, ServiceId};
use xxhash_rust::xxh3::xxh3_64;

use super::super::link::{AgentStatus, Link};
use super::super::peer::Peer;
use super::Fleet;

/// An agent from which entries read the declared state.
pub(in crate::direct::entry) struct Reader {
    /// The run of the engine beside it.
    pub id: Incarnation,
    /// The agent's address.
    pub addr: SocketAddr,
}

/// The agents that keep where streams began, as they are now.
pub(in crate::direct::entry) struct KeeperSet(Vec<Keeper<Arc<Link>>>);

impl KeeperSet {
    /// Returns the connections to the agents that are told where a stream began.
    pub fn told(&self, key: StreamKey) -> Vec<&Arc<Link>> {
        stream_origins::told_keepers(key, self.named())
    }

    /// Returns the connections to the agents that may know where a stream began: those
    /// that are told, and then the others.
    pub fn asked(&self, key: StreamKey) -> (Vec<Arc<Link>>, Vec<Arc<Link>>) {
        let first = stream_origins::asked_keepers(key, self.named(), Arc::ptr_eq);
        let is_first = |link: &Arc<Link>| first.iter().any(|f| Arc::ptr_eq(f, link));
        let others = self.0.iter().map(|keeper| &keeper.agent);
        let others = others.filter(|link| !is_first(link)).cloned().collect();
        (first.into_iter().cloned().collect(), others)
    }

    /// Returns the connections to all agents that keep where streams began.
    pub fn all(&self) -> Vec<&Arc<Link>> {
        self.0.iter().map(|keeper| &keeper.agent).collect()
    }

    fn named(&self) -> impl Iterator<Item = (&[u8], &Keeper<Arc<Link>>)> + Clone {
        self.0.iter().map(|keeper| (keeper.agent.addr().as_bytes(), keeper))
    }
}

/// The agents that keep the newest routing.
pub(in crate::direct::entry) struct RoutingKeepers {
    /// Those of the entry's hall.
    pub own_hall: Vec<Reader>,
    /// Those of other halls.
    pub other_halls: Vec<Reader>,
}

impl RoutingKeepers {
    /// Returns the agents of all halls.
    pub fn all(self) -> Vec<Reader> {
        self.own_hall.into_iter().chain(self.other_halls).collect()
    }
}

impl Fleet {
    /// Returns the agents of a hall from which its entries read the declared state, the
    /// first `count` in the order on which all entries agree. Leaves out agents that can't
    /// be asked or whose engines are draining.
    pub fn readers_in(&self, hall: &HallId, count: usize) -> Vec<Reader> {
        let can_ask = self.askable_links();
        let peers = self.peers.load();
        let usable = |p: &Peer| {
            p.link.as_ref().is_some_and(|link| can_ask(link))
                && p.endpoint().hall == *hall
                && p.stays_in_service()
        };
        let known = peers.by_id.values().filter(|p| usable(p)).map(|p| p.endpoint());
        let endpoints: Vec<_> = match peers.by_id.is_empty() {
            false => known.collect(),
            // No routing is known yet, by which services are told apart.
            true => self.listed_engines().filter(|e| e.hall == *hall).collect(),
        };
        self.first_ranked(hall, endpoints, count)
    }

    /// Returns the agents that keep the newest routing, whether they are live or not:
    /// some of this hall, and one of each of some other halls.
    pub fn routing_keepers(&self) -> RoutingKeepers {
        let routing = self.replicated_state.routing();
        let is_engine = |e: &Endpoint| {
            let service = routing.as_ref().and_then(|r| r.service(&e.service));
            e.runs_models || service.is_some_and(|s| s.engine.is_some())
        };
        let mut engines = self.replicated_state.endpoints();
        engines.retain(|e| !e.leaving && is_engine(e));
        let halls: BTreeSet<_> = engines.iter().map(|e| e.hall.clone()).collect();
        let others = halls.iter().filter(|hall| **hall != self.hall);
        let first = |hall: &HallId, count: usize| {
            let of_hall = engines.iter().filter(|e| e.hall == *hall);
            self.first_ranked(hall, of_hall.cloned().collect(), count)
        };
        RoutingKeepers {
            own_hall: first(&self.hall, OWN_HALL_KEEPERS),
            other_halls: others
                .take(OTHER_HALL_KEEPERS)
                .flat_map(|hall| first(hall, 1))
                .collect(),
        }
    }

    /// Returns the agents of a hall's endpoints that come first in the order on which all
    /// entries agree.
    fn first_ranked(
        &self,
        hall: &HallId,
        endpoints: Vec<Arc<Endpoint>>,
        count: usize,
    ) -> Vec<Reader> {
        let key = xxh3_64(hall.as_bytes());
        let ranked = rank_endpoints(key, endpoints, |endpoint| &endpoint.id);
        let reader = |endpoint: Arc<Endpoint>| Reader {
            id: endpoint.id.clone(),
            addr: self.agent_addr(endpoint.addr),
        };
        ranked.into_iter().take(count).map(reader).collect()
    }

    /// Returns whether the entry follows all agents.
    pub fn follows_all(&self) -> bool {
        let agents = match self.peers.load().by_id.is_empty() {
            true => self.listed_engines().count(),
            false => self.links.lock().len(),
        };
        agents <= self.max_followed_agents
    }

    /// Returns the connection to an agent.
    pub fn link_to(&self, agent: SocketAddr) -> Option<Arc<Link>> {
        self.links.lock().get(&agent).cloned()
    }

    /// Returns the connection to the agent that ranks first for a run, whether the agent
    /// is live or not: the platform's list is the same for all entries, the set of live
    /// agents is not.
    pub fn ranked_link(
        &self,
        run: RunHash,
        without: Option<&Arc<Link>>,
    ) -> Option<Arc<Link>> {
        let links = self.links.lock();
        let weight_of = |addr: &SocketAddr| match addr.ip() {
            IpAddr::V4(ip) => rendezvous_weight(&ip.octets(), run),
            IpAddr::V6(ip) => rendezvous_weight(&ip.octets(), run),
        };
        let is_left_out =
            |link: &Arc<Link>| without.is_some_and(|w| Arc::ptr_eq(w, link));
        let ranked = links.iter().filter(|(_, link)| !is_left_out(link));
        let first = ranked.max_by_key(|(addr, _)| weight_of(addr));
        first.map(|(_, link)| link.clone())
    }

    /// Returns the agents that keep where streams began. Those that can't be told now count
    /// as leaving.
    pub fn keeper_set(&self) -> KeeperSet {
        let peers = self.peers.load();
        let current = |keeper: &Keeper<Arc<Link>>| {
            let is_leaving = keeper.is_leaving || !keeper.agent.is_usable();
            Keeper { is_leaving, ..keeper.clone() }
        };
        KeeperSet(peers.keeper_set.iter().map(current).collect())
    }

    /// Returns the addresses of all agents that can be asked, and the connections to them.
    pub fn usable_links(&self) -> Vec<(SocketAddr, Arc<Link>)> {
        let can_ask = self.askable_links();
        let links = self.links.lock();
        let usable = links.iter().filter(|(_, link)| can_ask(link));
        usable.map(|(addr, link)| (*addr, link.clone())).collect()
    }

    /// Returns a check whether an agent can be asked: it is live if all agents are
    /// followed, else nothing is known against it.
    fn askable_links(&self) -> impl Fn(&Link) -> bool {
        let follows_all = self.follows_all();
        move |link| match link.status() {
            AgentStatus::Live => true,
            AgentStatus::Unknown => !follows_all,
            AgentStatus::Unresponsive => false,
        }
    }

    /// Returns the number of entries that share the limits, by the highest count of any
    /// followed agent; at least 1.
    pub fn entry_counts(&self) -> EntryCounts {
        let followed = self.followed.load();
        let counts = followed.iter().map(|link| link.entry_counts());
        let (all, in_hall) =
            counts.fold((1, 1), |(all, hall), (a, h)| (all.max(a), hall.max(h)));
        if self.follows_all() {
            return EntryCounts { all, in_hall };
        }
        let in_hall = self.entries_in_hall.lock().record(Instant::now(), in_hall);
        let halls = match self.regions.len() {
            0 => self.halls().len(),
            declared => declared,
        };
        EntryCounts::from_hall(in_hall, halls)
    }

    /// Returns whether a followed agent has reported the number of entries.
    pub fn has_entry_counts(&self) -> bool {
        self.followed.load().iter().any(|link| link.entry_counts().0 > 0)
    }

    /// Follows all agents of a small fleet, and in a larger one those from which the hall
    /// reads the declared state.
    pub(super) fn update_followed(&self) {
        let followed: Vec<_> = match self.follows_all() {
            true => self.links.lock().values().cloned().collect(),
            false => {
                let readers = self.readers_in(&self.hall, MAX_AGENTS_PER_READ);
                readers.iter().filter_map(|reader| self.link_to(reader.addr)).collect()
            }
        };
        for link in self.links.lock().values() {
            link.set_followed(followed.iter().any(|f| Arc::ptr_eq(f, link)));
        }
        self.followed.store(Arc::new(followed));
    }

    pub(super) fn link(&self, endpoint: SocketAddr, service: &ServiceId) -> Arc<Link> {
        let addr = self.agent_addr(endpoint);
        let mut links = self.links.lock();
        let new =
            || Link::new(addr.to_string(), service.clone(), self.link_context.clone());
        links.entry(addr).or_insert_with(new).clone()
    }

    /// Returns the address of an endpoint's agent, which listens on the same VM.
    pub(super) fn agent_addr(&self, endpoint: SocketAddr) -> SocketAddr {
        SocketAddr::new(endpoint.ip(), self.agent_port)
    }
}
