//! The endpoints of each service, kept up to date with the platform's list.

mod agents;
mod notices;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use event_listener::{Event, EventListener};
use futures_lite::future;
use larkspring_core::fleet::availability::{Availability, Notice};
use larkspring_core::fleet::build_history::{BuildHistory, ServiceBuild};
use larkspring_core::fleet::choose::Distance;
use larkspring_core::fleet::cold::{permit_rate, ColdTolerance};
use larkspring_core::fleet::endpoint_list::Endpoint;
use larkspring_core::fleet::following::RecentCount;
use larkspring_core::fleet::routes::{HallRegions, Service};
use larkspring_core::fleet::stream_origins::{self, Keeper};
use larkspring_core::ids::{BuildId, HallId, Incarnation, ServiceId, StorePoint};
use parking_lot::Mutex;
use smol::Timer;

pub(super) use self::agents::Reader;
pub(super) use self::notices::NoticeSource;
use super::link::{EntryIdentity, Link, LinkContext, MessageSinks};
use super::peer::{Peer, PeerPlacement};
use crate::direct::cfg::EntryCfg;
use crate::direct::platform_api::StateKind;
use crate::direct::replicated_state::ReplicatedState;

/// The endpoints of all services, and the connections to the agents beside them.
pub(super) struct Fleet {
    replicated_state: Arc<ReplicatedState>,
    hall: HallId,
    agent_port: u16,
    max_followed_agents: usize,
    regions: HallRegions,
    cold_tolerance: Option<ColdTolerance>,
    peers: ArcSwap<Peers>,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    /// The agents that are followed whether they are used or not.
    followed: ArcSwap<Vec<Arc<Link>>>,
    link_context: Arc<LinkContext>,
    entries_in_hall: Mutex<RecentCount>,
    availability_changed: Arc<Event>,
    /// Notified when an agent reports another run of its engine, that the engine drains,
    /// or another rate limit.
    run_changed: Arc<Event>,
    /// Notified when another run answers at an endpoint's address. Separate from
    /// `changes`, which wakes every request that waits for an endpoint.
    address_changed: Event,
    /// Availability of endpoints that are not listed now. An endpoint whose listing
    /// expired while the store was unavailable is listed again later and may still be
    /// draining.
    unlisted: Mutex<HashMap<Incarnation, Arc<Mutex<Availability>>>>,
    /// The software versions that endpoints had of late.
    builds: Mutex<BuildHistory>,
    /// Notified when a software version is listed that was not seen of late.
    builds_changed: Event,
    /// Notified when the agents that keep where streams began, or the connections to them,
    /// change.
    keepers_changed: Arc<Event>,
    /// Runs that the platform lists or has listed before.
    listed: Mutex<HashSet<Incarnation>>,
}

/// Endpoints by run and by service.
#[derive(Default)]
struct Peers {
    by_id: HashMap<Incarnation, Arc<Peer>>,
    by_service: HashMap<ServiceId, Vec<Arc<Peer>>>,
    /// The agents that keep where streams began.
    keeper_set: Vec<Keeper<Arc<Link>>>,
}

/// When an endpoint of a service may be sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ServiceAvailability {
    /// No backoff or used-up rate is in the way, though there may be no endpoint at all.
    Unlimited,
    /// After this time; until then all endpoints are in backoff or their rates used up.
    In(Duration),
    /// Not for now: all endpoints are in evacuated halls or may not take the request.
    Excluded,
}

/// Limits the number of runs remembered as listed. With 11,000 endpoints and 4,300
/// restarts a day, that covers several days.
const MAX_LISTED_RUNS: usize = 32 * 1024;
/// Greatest age of the list of endpoints by which a service has a single software
/// version.
const MAX_LIST_AGE: Duration = Duration::from_secs(2);
/// Interval between sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

impl Fleet {
    /// Creates a fleet without endpoints.
    pub fn new(
        replicated_state: Arc<ReplicatedState>,
        cfg: &EntryCfg,
        sinks: MessageSinks,
    ) -> Arc<Self> {
        let max_followed_agents = cfg.max_followed_agents;
        let cfg = &cfg.process;
        let link_context = Arc::new(LinkContext {
            identity: EntryIdentity { vm: cfg.vm.clone(), hall: cfg.hall.clone() },
            replicated_state: replicated_state.clone(),
            availability_changed: Arc::default(),
            run_changed: Arc::default(),
            keepers_changed: Arc::default(),
            sinks,
        });
        Arc::new(Self {
            replicated_state,
            hall: cfg.hall.clone(),
            agent_port: cfg.agent_port,
            max_followed_agents,
            regions: cfg.regions.clone(),
            cold_tolerance: cfg.cold_tolerance,
            peers: ArcSwap::default(),
            links: Mutex::default(),
            followed: ArcSwap::default(),
            entries_in_hall: Mutex::default(),
            availability_changed: link_context.availability_changed.clone(),
            run_changed: link_context.run_changed.clone(),
            address_changed: Event::new(),
            unlisted: Mutex::default(),
            builds: Mutex::default(),
            builds_changed: Event::new(),
            keepers_changed: link_context.keepers_changed.clone(),
            link_context,
            listed: Mutex::default(),
        })
    }

    /// Applies changes of the platform's list and of the agents' reports, until dropped.
    pub async fn follow(self: Arc<Self>) {
        loop {
            let (changed, run_changed) =
                (self.replicated_state.changed(), self.run_changed.listen());
            self.rebuild();
            future::or(changed, run_changed).await;
        }
    }

    /// Returns the run that has replaced `peer` at its address, or `peer` itself.
    pub fn current_run(&self, peer: &Arc<Peer>) -> Arc<Peer> {
        let next = peer.replaced_by();
        let next = next.and_then(|run| self.peers.load().by_id.get(&run.id).cloned());
        next.unwrap_or_else(|| peer.clone())
    }

    /// Periodically closes connections that were idle for too long, and checks whether the
    /// list of the endpoints is fresh, until dropped.
    pub async fn sweep(self: Arc<Self>) {
        loop {
            Timer::after(SWEEP_INTERVAL).await;
            let entries = self.entry_counts().all as usize;
            self.builds.lock().observe(Instant::now(), self.has_fresh_list());
            for peer in self.peers.load().by_id.values() {
                peer.idle.close_expired(peer.placement().max_connections, entries);
            }
        }
    }

    /// Returns the endpoints of a service that may be sent a request now.
    pub fn available(&self, service: &str) -> Vec<Arc<Peer>> {
        let peers = self.peers.load();
        let all = peers.by_service.get(service).map_or(&[][..], |all| all);
        all.iter().filter(|p| p.is_available()).cloned().collect()
    }

    /// Returns when the endpoints of a service that `may_take` a request may be sent it.
    pub fn service_availability(
        &self,
        service: &str,
        may_take: impl Fn(&Endpoint) -> bool,
    ) -> ServiceAvailability {
        let peers = self.peers.load();
        let all = peers.by_service.get(service).map_or(&[][..], |all| all);
        let in_service: Vec<_> = all.iter().filter(|p| p.stays_in_service()).collect();
        let is_usable = |p: &Peer| !p.placement().evacuated && may_take(&p.endpoint());
        let usable: Vec<_> = in_service.iter().filter(|p| is_usable(p)).collect();
        if usable.is_empty() && !in_service.is_empty() {
            return ServiceAvailability::Excluded;
        }
        let available_in: Option<Vec<_>> =
            usable.iter().map(|p| p.unavailable_for()).collect();
        match available_in.and_then(|times| times.into_iter().min()) {
            Some(time) => ServiceAvailability::In(time),
            None => ServiceAvailability::Unlimited,
        }
    }

    /// Returns whether the platform lists any endpoint.
    pub fn has_listed_endpoints(&self) -> bool {
        self.replicated_state.has_endpoints()
    }

    /// Notifies of the next change of the declared state.
    pub fn endpoints_changed(&self) -> EventListener {
        self.replicated_state.changed()
    }

    fn listed_engines(&self) -> impl Iterator<Item = Arc<Endpoint>> {
        let endpoints = self.replicated_state.endpoints().into_iter();
        endpoints.filter(|e| e.runs_models && !e.leaving)
    }

    /// Returns the only software version at which a stream of a service can have begun
    /// within `window`, by the versions that were `recorded`.
    ///
    /// The list of the endpoints has to be fresh: a version that was listed since may have
    /// begun streams at other entries.
    pub fn only_build(
        &self,
        service: &ServiceId,
        window: Duration,
        recorded: &[ServiceBuild],
    ) -> Option<BuildId> {
        if !self.has_fresh_list() {
            return None;
        }
        let peers = self.peers.load();
        let present = peers.by_service.get(service).map_or(&[][..], |all| all);
        let present: Vec<_> = present.iter().map(|p| p.endpoint()).collect();
        let present: Vec<_> = present.iter().map(|e| e.build.as_ref()).collect();
        let builds = self.builds.lock();
        builds.only(Instant::now(), service, window, &present, recorded)
    }

    /// Returns the software versions that were listed for as long as streams are kept, and
    /// those of `recorded` that were not.
    pub fn seen_builds(
        &self,
        recorded: &BTreeSet<ServiceBuild>,
    ) -> (BTreeSet<ServiceBuild>, Vec<ServiceBuild>) {
        let (builds, now) = (self.builds.lock(), Instant::now());
        let past = recorded.iter().filter(|build| builds.is_past(now, build)).cloned();
        (builds.seen().collect(), past.collect())
    }

    fn has_fresh_list(&self) -> bool {
        let age = self.replicated_state.proof_age(StateKind::Endpoints);
        age.is_some_and(|age| age <= MAX_LIST_AGE)
    }

    /// Returns a listener for the next software version that is listed.
    pub fn builds_changed(&self) -> EventListener {
        self.builds_changed.listen()
    }

    /// Returns a listener for the next change of the agents that keep where streams began
    /// or of the connections to them.
    pub fn keepers_changed(&self) -> EventListener {
        self.keepers_changed.listen()
    }

    /// Returns the halls that have endpoints, sorted.
    pub fn halls(&self) -> Vec<HallId> {
        let peers = self.peers.load();
        let halls: BTreeSet<_> =
            peers.by_id.values().map(|p| p.endpoint().hall.clone()).collect();
        halls.into_iter().collect()
    }

    /// Returns a listener for the next change that may make an endpoint usable.
    pub fn listen(&self) -> EventListener {
        self.availability_changed.listen()
    }

    /// Waits until an endpoint takes no new requests.
    pub async fn wait_unavailable(&self, peer: &Peer) {
        loop {
            let change = self.availability_changed.listen();
            if !peer.is_open() {
                return;
            }
            change.await;
        }
    }

    /// Returns whether a run is among the known endpoints.
    pub fn contains(&self, run: &Incarnation) -> bool {
        self.peers.load().by_id.contains_key(run)
    }

    /// Waits until another run is known to have taken an endpoint's address after
    /// `since`.
    pub async fn wait_replaced(&self, peer: &Peer, since: Instant) {
        loop {
            let (change, address_changed) =
                (self.availability_changed.listen(), self.address_changed.listen());
            if peer.has_other_run(since) || self.is_replaced(peer) {
                return;
            }
            future::or(change, address_changed).await;
        }
    }

    /// Records that another run answered at an endpoint's address.
    pub fn mark_gone(&self, peer: &Peer) {
        peer.mark_gone();
        self.address_changed.notify(usize::MAX);
    }

    /// Returns whether another run of the service is known at an endpoint's address.
    pub fn is_replaced(&self, peer: &Peer) -> bool {
        let (former, peers) = (peer.endpoint(), self.peers.load());
        let of_service = peers.by_service.get(&former.service);
        let all = of_service.map_or(&[][..], |all| all);
        let endpoints = all.iter().map(|p| p.endpoint());
        endpoints.into_iter().any(|e| e.addr == former.addr && e.id != former.id)
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.peers.load().by_id.is_empty()
    }

    /// Returns the number of known endpoints.
    pub fn len(&self) -> usize {
        self.peers.load().by_id.len()
    }

    fn rebuild(&self) {
        let routing = self.replicated_state.routing();
        let before = self.peers.load();
        // A peer is updated in place, also to another software version.
        let former: Vec<_> = before.by_id.values().map(|p| p.endpoint()).collect();
        let mut now = Peers::default();
        for endpoint in self.endpoints(&before) {
            let service = routing.as_ref().and_then(|r| r.service(&endpoint.service));
            let is_engine = service.is_some_and(|s| s.engine.is_some());
            let placement = self.placement(&endpoint, service.map(|s| &**s));
            let known = before.by_id.get(&endpoint.id);
            let known = known.filter(|p| p.link.is_some() == is_engine);
            let peer = match known {
                Some(peer) => {
                    peer.update(endpoint.clone(), placement);
                    peer.clone()
                }
                None => {
                    let link =
                        is_engine.then(|| self.link(endpoint.addr, &endpoint.service));
                    let availability = self.known_availability(&before, &endpoint.id);
                    let peer = Peer::new(endpoint.clone(), placement, link, availability);
                    if !before.by_id.is_empty() {
                        // A run that joins the fleet has just started.
                        peer.assume_cold();
                    }
                    peer
                }
            };
            if peer.reported_draining() {
                self.apply_notice(
                    &peer,
                    Instant::now(),
                    Notice::DRAINING,
                    NoticeSource::Agent,
                );
            }
            if let Some(rate) = peer.take_rate_change() {
                self.apply_notice(
                    &peer,
                    Instant::now(),
                    Notice::from_rate(rate),
                    NoticeSource::Agent,
                );
            }
            now.by_id.insert(endpoint.id.clone(), peer.clone());
            now.by_service.entry(endpoint.service.clone()).or_default().push(peer);
        }
        now.keeper_set = keeper_set(&now.by_id);
        for peers in now.by_service.values_mut() {
            peers.sort_by(|a, b| a.endpoint().id.cmp(&b.endpoint().id));
        }
        let addrs = now.by_id.values().map(|p| self.agent_addr(p.endpoint().addr));
        let used: HashSet<_> = addrs.collect();
        self.links.lock().retain(|addr, link| {
            let is_used = used.contains(addr);
            if !is_used {
                link.retire();
            }
            is_used
        });
        let runs: Vec<_> = now.by_id.values().map(|p| p.endpoint()).collect();
        let runs = former.iter().chain(&runs).map(|run| &**run);
        let has_new_build = self.builds.lock().record(Instant::now(), runs);
        let has_new_keepers = !is_same_set(&before.keeper_set, &now.keeper_set);
        self.keep_unlisted(&before, &now);
        self.peers.store(Arc::new(now));
        self.update_followed();
        if has_new_build {
            self.builds_changed.notify(usize::MAX);
        }
        if has_new_keepers {
            self.keepers_changed.notify(usize::MAX);
        }
        self.availability_changed.notify(usize::MAX);
    }

    fn placement(&self, endpoint: &Endpoint, service: Option<&Service>) -> PeerPlacement {
        let cold = service.map(|s| s.cold).unwrap_or_default();
        let (own, hall) = (&self.hall, &endpoint.hall);
        PeerPlacement {
            distance: Distance::between(own, hall, &self.regions),
            max_connections: service.map_or(usize::MAX, |s| s.max_connections),
            evacuated: self.replicated_state.evacuations().contains(hall),
            cold_duration: cold.duration,
            cold_rate: permit_rate(cold.max_per_sec, self.cold_tolerance),
        }
    }

    /// Returns the recorded availability of an endpoint, listed or not, or a new record.
    fn known_availability(
        &self,
        before: &Peers,
        id: &Incarnation,
    ) -> Arc<Mutex<Availability>> {
        let known = before.by_id.get(id).map(|peer| peer.availability());
        known.or_else(|| self.unlisted.lock().remove(id)).unwrap_or_default()
    }

    /// Keeps the availability of endpoints that are not listed any more.
    fn keep_unlisted(&self, before: &Peers, now: &Peers) {
        let mut unlisted = self.unlisted.lock();
        if unlisted.len() >= MAX_LISTED_RUNS {
            unlisted.clear();
        }
        let missing = before.by_id.iter().filter(|(id, _)| !now.by_id.contains_key(*id));
        for (id, peer) in missing {
            let availability = peer.availability();
            if !availability.lock().is_empty() {
                unlisted.insert(id.clone(), availability);
            }
        }
    }

    /// Returns the endpoints that the platform lists, and the runs that agents report and
    /// the platform does not list yet.
    fn endpoints(&self, before: &Peers) -> Vec<Arc<Endpoint>> {
        let routing = self.replicated_state.routing();
        let mut endpoints = self.replicated_state.endpoints();
        // An endpoint of an undeclared service may have taken the address of another.
        endpoints.retain(|e| {
            routing.as_ref().is_some_and(|r| r.service(&e.service).is_some())
        });
        let mut endpoints = latest_by_addr(endpoints);
        let mut listed = self.listed.lock();
        if listed.len() >= MAX_LISTED_RUNS {
            listed.clear();
        }
        listed.extend(endpoints.iter().map(|e| e.id.clone()));
        let coming: Vec<_> = endpoints
            .iter()
            .filter_map(|e| {
                let run = before.by_id.get(&e.id)?.replaced_by()?;
                // A run that was listed before and is not now has gone, even if its agent
                // still reports the run.
                let coming = run.in_place && !listed.contains(&run.id);
                coming.then(|| Arc::new(e.next_run(run.id)))
            })
            .collect();
        endpoints.extend(coming);
        endpoints
    }
}

/// Returns the agents that keep where streams began. An agent leaves with the last run at
/// its address.
fn keeper_set(peers: &HashMap<Incarnation, Arc<Peer>>) -> Vec<Keeper<Arc<Link>>> {
    let mut agents: BTreeMap<&str, Keeper<Arc<Link>>> = BTreeMap::new();
    for (peer, link) in peers.values().filter_map(|p| Some((p, p.link.as_ref()?))) {
        let endpoint = peer.endpoint();
        let agent = agents.entry(link.addr()).or_insert_with(|| Keeper {
            hall: endpoint.hall.clone(),
            is_leaving: true,
            agent: link.clone(),
        });
        agent.is_leaving &= endpoint.leaving;
    }
    let named = agents.into_iter().map(|(addr, agent)| (addr.as_bytes(), agent));
    stream_origins::keeper_set(named)
}

fn is_same_set(a: &[Keeper<Arc<Link>>], b: &[Keeper<Arc<Link>>]) -> bool {
    let is_same = |(a, b): (&Keeper<Arc<Link>>, &Keeper<Arc<Link>>)| {
        a.is_leaving == b.is_leaving && Arc::ptr_eq(&a.agent, &b.agent)
    };
    a.len() == b.len() && a.iter().zip(b).all(is_same)
}

/// Removes runs whose address a later run has. Their listings outlive them for a while.
fn latest_by_addr(endpoints: Vec<Arc<Endpoint>>) -> Vec<Arc<Endpoint>> {
    let mut latest: HashMap<SocketAddr, StorePoint> = HashMap::new();
    for endpoint in &endpoints {
        let since = latest.entry(endpoint.addr).or_default();
        *since = endpoint.listed_since.max(*since);
    }
    let is_latest = |e: &Arc<Endpoint>| latest[&e.addr] == e.listed_since;
    endpoints.into_iter().filter(is_latest).collect()
}
