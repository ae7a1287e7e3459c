//! What a process holds true of the fleet: routing, endpoints and versions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use event_listener::{Event, EventListener};
use larkspring_core::fleet::members::{Endpoint, Members, LAPSE_GRACE};
use larkspring_core::fleet::routes::Routing;
use larkspring_core::fleet::versions::Versions;
use larkspring_core::ids::{StorePoint, Target};
use parking_lot::Mutex;
use smol::Timer;

use super::edge::{Item, Kind, Listed};
use super::logs::{self, Line};
use crate::clock::Moment;

/// The state that a process goes by, with its age.
#[derive(Debug)]
pub struct Beliefs {
    routing: ArcSwapOption<Routing>,
    proofs: [Mutex<Proof>; Kind::ALL.len()],
    versions: ArcSwap<Versions>,
    members: Mutex<Members>,
    store: Mutex<StoreHealth>,
    changed: Event,
    store_back: Event,
    store_lost: Event,
}

/// What shows that the state of a kind is the newest.
#[derive(Debug, Clone, Copy, Default)]
struct Proof {
    /// A moment at which the store held nothing newer.
    at: Option<Moment>,
    /// Whether a newer one was read that makes no sense, so that nothing is proved.
    in_doubt: bool,
    /// Whether the store was restored from a copy that lacks what is in force.
    is_behind: bool,
}

/// Whether the platform's store answers this process.
#[derive(Debug, Clone, Copy, Default)]
struct StoreHealth {
    /// Since when it has not answered.
    away_since: Option<Instant>,
    /// When it last came back.
    back_at: Option<Instant>,
    /// When it last answered.
    heard_at: Option<Instant>,
}

impl Default for Beliefs {
    fn default() -> Self {
        Self {
            routing: ArcSwapOption::empty(),
            proofs: Default::default(),
            versions: ArcSwap::default(),
            members: Mutex::default(),
            store: Mutex::default(),
            changed: Event::new(),
            store_back: Event::new(),
            store_lost: Event::new(),
        }
    }
}

impl Beliefs {
    /// The routing in force, once known.
    pub fn routing(&self) -> Option<Arc<Routing>> {
        self.routing.load_full()
    }

    /// Time since the store is proved to have held nothing newer of a kind; `None` if it
    /// never was.
    pub fn proof_age(&self, kind: Kind) -> Option<Duration> {
        self.proof(kind).lock().at.map(|at| at.elapsed())
    }

    /// Records that the store held nothing newer of a kind than what was taken in, at a
    /// moment.
    pub fn proved(&self, kind: Kind, at: Moment) {
        let mut proof = self.proof(kind).lock();
        if !proof.in_doubt && !proof.is_behind {
            proof.at = proof.at.max(Some(at));
        }
    }

    /// Records whether the newest routing that was read makes no sense.
    pub fn routing_in_doubt(&self, in_doubt: bool) {
        self.proof(Kind::Routing).lock().in_doubt = in_doubt;
    }

    fn proof(&self, kind: Kind) -> &Mutex<Proof> {
        &self.proofs[kind as usize]
    }

    /// The newest versions of adapters.
    pub fn versions(&self) -> Arc<Versions> {
        self.versions.load_full()
    }

    /// Returns once no request may begin on this version of an adapter any more.
    pub async fn outdated(&self, target: &Target) {
        loop {
            let changed = self.changed();
            let begin_by = self.versions().begin_by(&target.adapter, &target.version);
            if let Some(at) = begin_by {
                Timer::at(at).await;
                return;
            }
            changed.await;
        }
    }

    /// All endpoints that are not known to be gone.
    pub fn endpoints(&self) -> Vec<Arc<Endpoint>> {
        self.members.lock().endpoints().cloned().collect()
    }

    /// Notifies of the next change.
    pub fn changed(&self) -> EventListener {
        self.changed.listen()
    }

    /// Since when the store has not answered, if it is away.
    pub fn store_away_since(&self) -> Option<Instant> {
        self.store.lock().away_since
    }

    /// Notifies when the store answers again.
    pub fn store_back(&self) -> EventListener {
        self.store_back.listen()
    }

    /// Returns once the store does not answer.
    pub async fn store_lost(&self) {
        loop {
            let lost = self.store_lost.listen();
            if self.store_away_since().is_some() {
                return;
            }
            lost.await;
        }
    }

    /// Takes in all items of a kind.
    pub fn replace(&self, now: Instant, kind: Kind, listed: Listed) {
        if kind != Kind::Endpoints {
            return self.update(now, listed);
        }
        if self.members.lock().begin_epoch(listed.at) {
            // What joined since the copy is listed again soon, as after an outage.
            self.store.lock().back_at = Some(now);
        }
        let keep_until = self.keep_until(now);
        let mut endpoints = Vec::new();
        for item in listed.items {
            match item {
                Item::Endpoint(endpoint, written) => endpoints.push((endpoint, written)),
                other => self.take(now, listed.at, other),
            }
        }
        let count = endpoints.len();
        self.members.lock().replace(endpoints, keep_until);
        logs::belief("endpoints listed", listed.at, count);
        self.changed.notify(usize::MAX);
    }

    /// Takes in changed items.
    pub fn update(&self, now: Instant, changes: Listed) {
        if changes.items.is_empty() {
            return;
        }
        for item in changes.items {
            self.take(now, changes.at, item);
        }
        self.changed.notify(usize::MAX);
    }

    /// Forgets endpoints whose time ran out; returns when to look again.
    pub fn expire(&self, now: Instant) -> Option<Instant> {
        let mut members = self.members.lock();
        if members.expire(now) {
            self.changed.notify(usize::MAX);
        }
        members.next_expiry()
    }

    /// Records that a call to the store got no answer.
    pub fn store_failed(&self, now: Instant, cause: &str) {
        let mut store = self.store.lock();
        if store.away_since.is_none() {
            store.away_since = Some(now);
            logs::dependency("store", false, cause);
            self.store_lost.notify(usize::MAX);
        }
    }

    /// Time since the store last answered; `None` if it never did.
    pub fn store_age(&self) -> Option<Duration> {
        self.store.lock().heard_at.map(|at| at.elapsed())
    }

    /// Records that the store answered.
    pub fn store_answered(&self, now: Instant) {
        let mut store = self.store.lock();
        store.heard_at = Some(now);
        if store.away_since.take().is_some() {
            store.back_at = Some(now);
            logs::dependency("store", true, "");
            self.store_back.notify(usize::MAX);
        }
    }

    /// Until when an endpoint that is missing now is kept; `None` if it is gone at once.
    fn keep_until(&self, now: Instant) -> Option<Instant> {
        let store = *self.store.lock();
        if store.away_since.is_some() {
            return Some(now + LAPSE_GRACE);
        }
        store.back_at.map(|back| back + LAPSE_GRACE).filter(|until| *until > now)
    }

    fn take(&self, now: Instant, at: StorePoint, item: Item) {
        let (epoch, revision) = (at.epoch(), at.revision());
        match item {
            Item::Routing(routing) => self.take_routing(*routing),
            Item::Endpoint(endpoint, written) => {
                let (id, leaving) = (endpoint.id.clone(), endpoint.leaving);
                let changed = self.members.lock().put(endpoint, written);
                if changed && leaving && logs::allows(Line::Belief) {
                    tracing::info!(event = "endpoint leaving", endpoint = %id, epoch, revision);
                }
            }
            Item::EndpointGone(id) => {
                let keep_until = self.keep_until(now);
                self.members.lock().remove(&id, keep_until);
                if logs::allows(Line::Belief) {
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
            Item::Version(adapter, number) => {
                let mut versions = Versions::clone(&self.versions.load());
                // It was named after the store last held nothing newer.
                let age = self.proof_age(Kind::Versions).unwrap_or_default();
                let since = now.checked_sub(age).unwrap_or(now);
                if versions.name(now, since, &adapter, number) {
                    self.versions.store(Arc::new(versions));
                    tracing::info!(
                        event = "version named",
                        adapter = %adapter,
                        number,
                        epoch,
                        revision,
                    );
                }
            }
            Item::Unreadable { kind, name, cause } => {
                if kind == Kind::Endpoints {
                    // Whatever wrote over it: nothing says any more where it can be reached.
                    self.members.lock().remove(&name.as_str().into(), None);
                }
                if logs::allows(Line::Belief) {
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

    fn take_routing(&self, routing: Routing) {
        let known = self.routing.load().as_ref().map(|r| r.version);
        self.proof(Kind::Routing).lock().is_behind = known > Some(routing.version);
        if known.is_some_and(|version| version >= routing.version) {
            return;
        }
        let (version, routes) = (routing.version, routing.route_count());
        self.routing.store(Some(Arc::new(routing)));
        tracing::info!(event = "routing in force", version, routes, before = known);
    }
}
