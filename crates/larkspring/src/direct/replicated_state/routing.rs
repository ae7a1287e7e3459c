//! The routing in force, and its record in the store.

use larkspring_core::fleet::routing_records::{
    RoutingObject, RoutingRecord, RoutingRecordWrite,
};

use super::ReplicatedState;
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::StateKind;

impl ReplicatedState {
    /// Returns the record of the newest routing that is still to be written.
    pub fn unrecorded_routing(&self) -> Option<RoutingRecordWrite> {
        self.routing_records.lock().unrecorded()
    }

    /// Applies the object that holds the routing.
    pub(super) fn apply_routing(&self, object: RoutingObject) {
        if let RoutingRecord::Undecodable { version, cause } = &object.record {
            if logs::is_allowed(LineKind::StateChange) {
                tracing::warn!(event = "routing record left out", version, cause);
            }
        }
        let listed = object.listed.routing.version;
        let mut records = self.routing_records.lock();
        let applied = records.apply(object);
        let known = self.routing.load().as_ref().map(|r| r.version);
        let was_behind = std::mem::replace(
            &mut self.proof(StateKind::Routing).lock().is_behind,
            applied.is_behind,
        );
        if applied.is_behind && !was_behind {
            let newest = applied.replaced_by.as_ref().map(|r| r.version).or(known);
            tracing::warn!(event = "older routing listed", listed, known, newest);
        }
        let Some(routing) = applied.replaced_by else { return };
        let (version, routes) = (routing.version, routing.route_count());
        self.routing.store(Some(routing));
        let recorded = version != listed;
        tracing::info!(
            event = "routing in force",
            version,
            routes,
            before = known,
            recorded,
        );
        if records.is_too_large() {
            tracing::warn!(event = "routing too large to record", version);
        }
    }
}
