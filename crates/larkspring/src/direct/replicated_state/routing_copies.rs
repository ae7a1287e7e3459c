//! The newest routing as the store returned it, for agents that keep it, and routings
//! that agents have kept.

use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;

use larkspring_core::fleet::routes::{Routing, RoutingVersion};

use super::ReplicatedState;
use crate::direct::platform_api::{EncodedState, StateKind};

/// A routing, not decoded.
#[derive(Clone)]
pub struct RoutingCopy {
    /// Its version.
    pub version: RoutingVersion,
    /// The answer of the store that holds it.
    pub state: EncodedState,
}

impl Debug for RoutingCopy {
    /// Leaves out the state, which holds API keys.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "RoutingCopy({})", self.version)
    }
}

impl ReplicatedState {
    /// Withholds the freshness proof of the routing until [`Self::end_keeper_wait`]: agents
    /// may keep a newer routing than the store holds.
    pub fn await_keepers(&self) {
        self.proof(StateKind::Routing).lock().awaits_keepers = true;
    }

    /// Ends the wait for agents that keep the routing.
    pub fn end_keeper_wait(&self) {
        self.proof(StateKind::Routing).lock().awaits_keepers = false;
        self.changed.notify(usize::MAX);
    }

    /// Returns whether agents have not been asked yet for a newer routing than the store
    /// holds.
    pub fn awaits_keepers(&self) -> bool {
        self.proof(StateKind::Routing).lock().awaits_keepers
    }

    /// Returns the newest routing as the store returned it, once known.
    pub fn routing_copy(&self) -> Option<RoutingCopy> {
        self.routing_copy.lock().clone()
    }

    /// Keeps the answer that holds the routing in force, if that is newer than the kept
    /// one.
    pub fn keep_routing_copy(&self, state: &EncodedState) {
        let Some(version) = self.routing().map(|routing| routing.version) else { return };
        let mut kept = self.routing_copy.lock();
        if kept.as_ref().is_none_or(|kept| kept.version < version) {
            *kept = Some(RoutingCopy { version, state: state.clone() });
        }
    }

    /// Puts a routing in force that an agent has kept, if it is newer than the one in
    /// force. It proves nothing, and neither does the store until it holds that routing.
    pub fn apply_kept_routing(&self, routing: Routing, state: &EncodedState) {
        let before = self.routing().map(|routing| routing.version);
        let (version, routes) = (routing.version, routing.route_count());
        if before >= Some(version) {
            return;
        }
        let mut proof = self.proof(StateKind::Routing).lock();
        proof.is_behind = true;
        if proof.awaits_keepers {
            // The lists that were read so far held an older routing.
            (proof.at, proof.listed_at, proof.basis) = (None, None, None);
        }
        drop(proof);
        self.routing.store(Some(Arc::new(routing)));
        self.keep_routing_copy(state);
        tracing::info!(event = "routing in force", version, routes, before, kept = true);
        self.changed.notify(usize::MAX);
    }
}
