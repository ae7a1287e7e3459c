//! The replicated state of the fleet as this process knows it: routing, endpoints,
//! versions and evacuations.
//!
//! - [`routing_copies`]: the newest routing, for agents that keep it.
//! - [`versions`]: the newest versions of adapters.

mod routing_copies;
mod versions;

use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use event_listener::{Event, EventListener};
use larkspring_core::fleet::endpoint_list::{
    Endpoint, EndpointList, EXPIRED_LEASE_GRACE,
};
use larkspring_core::fleet::evacuations::Evacuations;
use larkspring_core::fleet::routes::{Routing, RoutingVersion};
use larkspring_core::fleet::version_records::VersionRecords;
use larkspring_core::fleet::versions::AdapterVersions;
use larkspring_core::ids::StorePoint;
use parking_lot::Mutex;

pub use self::routing_copies::RoutingCopy;
use super::logs::{self, LineKind};
use super::platform_api::{DecodedState, Item, ReadContent, ReadSource, StateKind};
use crate::clock::BootInstant;

/// The replicated state, with its age.
#[derive(Debug)]
pub struct ReplicatedState {
    routing: ArcSwapOption<Routing>,
    /// The answer that holds the routing in force.
    routing_copy: Mutex<Option<RoutingCopy>>,
    proofs: [Mutex<Proof>; StateKind::ALL.len()],
    versions: ArcSwap<AdapterVersions>,
    version_records: Mutex<VersionRecords>,
    versions_listed: AtomicBool,
    endpoint_list: Mutex<EndpointList>,
    evacuations: ArcSwap<Evacuations>,
    store: Mutex<StoreHealth>,
    changed: Event,
    store_recovered: Event,
    store_unavailable: Event,
}

/// The routing in force with its freshness proof, for the decisions on one request.
#[derive(Debug, Clone)]
pub struct RoutingView {
    /// The routing.
    pub routing: Arc<Routing>,
    /// A moment at which the store is proved to have held nothing newer.
    pub proved_at: Option<BootInstant>,
    /// A moment at which a list of the store, read by this process or by an agent, showed
    /// nothing newer.
    pub listed_at: Option<BootInstant>,
    /// The answer that the proof rests on.
    pub basis: Option<ProofBasis>,
}

impl RoutingView {
    /// Returns the time since the store is proved to have held nothing newer.
    pub fn proof_age(&self) -> Option<Duration> {
        self.proved_at.map(BootInstant::elapsed)
    }

    /// Returns the time since a list of the store showed nothing newer.
    pub fn list_age(&self) -> Option<Duration> {
        self.listed_at.map(BootInstant::elapsed)
    }

    /// Returns whether what this routing lacks is missing from every routing that may be
    /// in force, if changes are in force within `bound`.
    ///
    /// Only a list shows that: a watch that delivers no change may have missed one.
    pub fn is_absence_certain(&self, bound: Duration) -> bool {
        self.list_age().is_some_and(|age| age <= bound)
    }
}

/// The freshness proof of one kind of state.
#[derive(Debug, Clone, Copy, Default)]
struct Proof {
    /// A moment at which the store held nothing newer.
    at: Option<BootInstant>,
    /// A moment at which a list of the store showed nothing newer.
    listed_at: Option<BootInstant>,
    /// The answer that gave the proof.
    basis: Option<ProofBasis>,
    /// Whether a newer state was read that is invalid, so that nothing is proved.
    newest_is_invalid: bool,
    /// Whether the store held an older routing than the one in force when it was last
    /// read: after a late write, or restored from a backup.
    is_behind: bool,
    /// Whether agents have not been asked yet for a newer routing than the store holds.
    awaits_keepers: bool,
}

/// The answer that a freshness proof rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProofBasis {
    /// Who gave the answer.
    pub source: ReadSource,
    /// What the answer held.
    pub content: ReadContent,
    /// The point of the store's history that the answer named.
    pub point: StorePoint,
    /// When the list of the store was sent that the answer rests on, if any.
    pub listed_at: Option<BootInstant>,
    /// The version of the routing that was in force after the answer was applied.
    pub routing: Option<RoutingVersion>,
}

/// Whether the platform's store answers this process.
#[derive(Debug, Clone, Copy, Default)]
struct StoreHealth {
    /// Since when the store has been unavailable.
    unavailable_since: Option<Instant>,
    /// When the store last became available again.
    recovered_at: Option<Instant>,
    /// When the store last answered.
    answered_at: Option<Instant>,
}

impl Default for ReplicatedState {
    fn default() -> Self {
        Self {
            routing: ArcSwapOption::empty(),
            routing_copy: Mutex::default(),
            proofs: Default::default(),
            versions: ArcSwap::default(),
            version_records: Mutex::default(),
            versions_listed: AtomicBool::new(false),
            endpoint_list: Mutex::default(),
            evacuations: ArcSwap::default(),
            store: Mutex::default(),
            changed: Event::new(),
            store_recovered: Event::new(),
            store_unavailable: Event::new(),
        }
    }
}

impl ReplicatedState {
    /// Returns the routing in force, once known.
    pub fn routing(&self) -> Option<Arc<Routing>> {
        self.routing.load_full()
    }

    /// Returns the routing in force with its freshness proof, once known.
    pub fn routing_view(&self) -> Option<RoutingView> {
        // The proof is read first: the routing never goes back, so a proof also holds for
        // a routing that replaces the proved one meanwhile. The reverse is not true.
        let proof = *self.proof(StateKind::Routing).lock();
        let routing = self.routing()?;
        let Proof { at: proved_at, listed_at, basis, awaits_keepers, .. } = proof;
        Some(match awaits_keepers {
            true => RoutingView { routing, proved_at: None, listed_at: None, basis },
            false => RoutingView { routing, proved_at, listed_at, basis },
        })
    }

    /// Returns the time since the store is proved to have held nothing newer of a kind;
    /// `None` without a proof.
    pub fn proof_age(&self, kind: StateKind) -> Option<Duration> {
        self.proof(kind).lock().at.map(|at| at.elapsed())
    }

    /// Records that at a moment the store held nothing newer of a kind than the applied
    /// state.
    pub fn record_proof(&self, kind: StateKind, at: BootInstant) {
        self.record_proof_of(kind, at, None);
    }

    /// Records a proof like [`Self::record_proof`], with the answer that it rests on.
    /// Returns whether the proof counts.
    pub fn record_proof_of(
        &self,
        kind: StateKind,
        at: BootInstant,
        basis: Option<ProofBasis>,
    ) -> bool {
        let mut proof = self.proof(kind).lock();
        let counts = !proof.newest_is_invalid && !proof.is_behind;
        if !counts {
            return false;
        }
        if proof.at < Some(at) {
            proof.at = Some(at);
            proof.basis = basis;
        }
        proof.listed_at = proof.listed_at.max(basis.and_then(|basis| basis.listed_at));
        true
    }

    /// Records whether the newest routing that was read is invalid.
    pub fn set_routing_invalid(&self, is_invalid: bool) {
        self.proof(StateKind::Routing).lock().newest_is_invalid = is_invalid;
    }

    fn proof(&self, kind: StateKind) -> &Mutex<Proof> {
        &self.proofs[kind as usize]
    }

    /// Returns the evacuated halls.
    pub fn evacuations(&self) -> Arc<Evacuations> {
        self.evacuations.load_full()
    }

    /// Returns all endpoints that are not known to be gone.
    pub fn endpoints(&self) -> Vec<Arc<Endpoint>> {
        self.endpoint_list.lock().endpoints().cloned().collect()
    }

    /// Returns whether any endpoint is listed.
    pub fn has_endpoints(&self) -> bool {
        self.endpoint_list.lock().endpoints().next().is_some()
    }

    /// Notifies of the next change.
    pub fn changed(&self) -> EventListener {
        self.changed.listen()
    }

    /// Returns since when the store has been unavailable, if it is.
    pub fn store_unavailable_since(&self) -> Option<Instant> {
        self.store.lock().unavailable_since
    }

    /// Notifies when the store is available again.
    pub fn store_recovered(&self) -> EventListener {
        self.store_recovered.listen()
    }

    /// Returns once the store is unavailable.
    pub async fn wait_store_unavailable(&self) {
        loop {
            let lost = self.store_unavailable.listen();
            if self.store_unavailable_since().is_some() {
                return;
            }
            lost.await;
        }
    }

    /// Replaces all items of a kind.
    pub fn replace_all(&self, now: Instant, kind: StateKind, listed: DecodedState) {
        match kind {
            StateKind::Routing => self.apply_changes(now, listed),
            StateKind::Versions => self.replace_versions(now, listed),
            StateKind::Endpoints => self.replace_endpoints(now, listed),
            StateKind::Evacuations => self.replace_evacuations(now, listed),
        }
    }

    fn replace_evacuations(&self, now: Instant, listed: DecodedState) {
        let mut in_force = Vec::new();
        for item in listed.items {
            match item {
                Item::Evacuation(hall, written) => in_force.push((hall, written)),
                other => self.apply_item(now, listed.at, other),
            }
        }
        self.update_evacuations(listed.at, |evacuations| {
            evacuations.replace(now, listed.at, in_force);
        });
        self.changed.notify(usize::MAX);
    }

    fn replace_endpoints(&self, now: Instant, listed: DecodedState) {
        if self.endpoint_list.lock().begin_epoch(listed.at) {
            // Endpoints that joined after the backup are listed again soon, as after an
            // outage.
            self.store.lock().recovered_at = Some(now);
        }
        let keep_until = self.keep_until(now);
        let mut endpoints = Vec::new();
        for item in listed.items {
            match item {
                Item::Endpoint(endpoint, written) => endpoints.push((endpoint, written)),
                other => self.apply_item(now, listed.at, other),
            }
        }
        let count = endpoints.len();
        self.endpoint_list.lock().replace(endpoints, keep_until);
        logs::log_state_change("endpoints listed", listed.at, count);
        self.changed.notify(usize::MAX);
    }

    /// Applies changed items.
    pub fn apply_changes(&self, now: Instant, changes: DecodedState) {
        if changes.items.is_empty() {
            return;
        }
        for item in changes.items {
            self.apply_item(now, changes.at, item);
        }
        self.changed.notify(usize::MAX);
    }

    /// Removes endpoints and evacuations whose grace period has expired; returns the time
    /// of the next expiry.
    pub fn expire(&self, now: Instant) -> Option<Instant> {
        let mut endpoint_list = self.endpoint_list.lock();
        if endpoint_list.expire(now) {
            self.changed.notify(usize::MAX);
        }
        let evacuation_expiry = self.evacuations.load().next_expiry();
        if evacuation_expiry.is_some_and(|at| at <= now) {
            let mut evacuations = Evacuations::clone(&self.evacuations.load());
            evacuations.expire(now);
            self.evacuations.store(Arc::new(evacuations));
            self.changed.notify(usize::MAX);
        }
        let next_evacuation = self.evacuations.load().next_expiry();
        endpoint_list.next_expiry().into_iter().chain(next_evacuation).min()
    }

    /// Records that a call to the store failed.
    pub fn record_store_failure(&self, now: Instant, cause: &str) {
        let mut store = self.store.lock();
        if store.unavailable_since.is_none() {
            store.unavailable_since = Some(now);
            logs::log_dependency("store", false, cause);
            self.store_unavailable.notify(usize::MAX);
        }
    }

    /// Returns the time since the store last answered; `None` before its first answer.
    pub fn store_age(&self) -> Option<Duration> {
        self.store.lock().answered_at.map(|at| at.elapsed())
    }

    /// Records that the store answered.
    pub fn record_store_answer(&self, now: Instant) {
        let mut store = self.store.lock();
        store.answered_at = Some(now);
        if store.unavailable_since.take().is_some() {
            store.recovered_at = Some(now);
            logs::log_dependency("store", true, "");
            self.store_recovered.notify(usize::MAX);
        }
    }

    /// Returns until when an endpoint that is no longer listed is kept; `None` if it is
    /// removed at once.
    fn keep_until(&self, now: Instant) -> Option<Instant> {
        let store = *self.store.lock();
        if store.unavailable_since.is_some() {
            return Some(now + EXPIRED_LEASE_GRACE);
        }
        store.recovered_at.map(|at| at + EXPIRED_LEASE_GRACE).filter(|until| *until > now)
    }

    fn apply_item(&self, now: Instant, at: StorePoint, item: Item) {
        let (epoch, revision) = (at.epoch(), at.revision());
        match item {
            Item::Routing(routing) => self.apply_routing(*routing),
            Item::Endpoint(endpoint, written) => {
                let (id, leaving) = (endpoint.id.clone(), endpoint.leaving);
                let changed = self.endpoint_list.lock().upsert(endpoint, written);
                if changed && leaving && logs::is_allowed(LineKind::StateChange) {
                    tracing::info!(event = "endpoint leaving", endpoint = %id, epoch, revision);
                }
            }
            Item::EndpointRemoved(id) => {
                let keep_until = self.keep_until(now);
                self.endpoint_list.lock().remove(&id, keep_until);
                if logs::is_allowed(LineKind::StateChange) {
                    let kept = keep_until.is_some();
                    tracing::info!(
                        event = "endpoint gone",
                        endpoint = %id,
                        epoch,
                        revision,
                        kept,
                    );
                }
            }
            Item::Evacuation(hall, written) => {
                self.update_evacuations(at, |evacuations| {
                    evacuations.begin(hall, written)
                });
            }
            Item::EvacuationLifted(hall) => {
                self.update_evacuations(at, |evacuations| evacuations.lift(&hall));
            }
            Item::Version(object) => self.apply_version(now, at, object),
            Item::VersionRemoved(name) => self.version_records.lock().remove(&name),
            Item::Invalid { kind, name, cause } => {
                if kind == StateKind::Endpoints {
                    // The endpoint's object was overwritten, so its address is unknown.
                    self.endpoint_list.lock().remove(&name.as_str().into(), None);
                }
                if logs::is_allowed(LineKind::StateChange) {
                    let kind = kind.name();
                    tracing::warn!(
                        event = "item left out",
                        kind,
                        name,
                        cause,
                        epoch,
                        revision,
                    );
                }
            }
        }
    }

    fn update_evacuations(&self, at: StorePoint, update: impl FnOnce(&mut Evacuations)) {
        let mut evacuations = Evacuations::clone(&self.evacuations.load());
        update(&mut evacuations);
        if logs::is_allowed(LineKind::StateChange) {
            let halls: Vec<_> = evacuations.halls().map(|hall| &**hall).collect();
            let (halls, epoch, revision) = (halls.join(" "), at.epoch(), at.revision());
            tracing::info!(event = "evacuations", halls, epoch, revision);
        }
        self.evacuations.store(Arc::new(evacuations));
    }

    fn apply_routing(&self, routing: Routing) {
        let known = self.routing.load().as_ref().map(|r| r.version);
        let is_behind = known > Some(routing.version);
        let was_behind = std::mem::replace(
            &mut self.proof(StateKind::Routing).lock().is_behind,
            is_behind,
        );
        if is_behind && !was_behind {
            let listed = routing.version;
            tracing::warn!(event = "older routing listed", listed, known);
        }
        if known.is_some_and(|version| version >= routing.version) {
            return;
        }
        let (version, routes) = (routing.version, routing.route_count());
        self.routing.store(Some(Arc::new(routing)));
        tracing::info!(event = "routing in force", version, routes, before = known);
    }
}
