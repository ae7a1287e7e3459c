//! The inputs of an endpoint selection, for logs and later decisions.

use std::time::Duration;

use larkspring_core::fleet::choose::{AdapterLocation, Distance, EndpointView};
use larkspring_core::ids::Incarnation;

use super::peer::Peer;

/// The inputs of an endpoint selection, for logs.
#[derive(Debug, Clone)]
pub(super) struct SelectionInputs {
    /// The selected endpoint.
    pub endpoint: Incarnation,
    /// Whether the endpoint is in the entry's hall.
    pub same_hall: bool,
    /// Whether the endpoint held the adapter, as far as known.
    pub holding: &'static str,
    /// Requests known to be open at the endpoint.
    pub running: u32,
    /// Adapter loads known to be queued at the endpoint.
    pub loads_ahead: u32,
    /// Tokens of the prompt that were probably not in the endpoint's cache.
    pub uncached_tokens: u32,
    /// The endpoint's known prefill backlog from other requests, in tokens.
    pub backlog_tokens: u32,
    /// Free adapter slots, as far as known.
    pub free_adapter_slots: u32,
    /// Number of endpoints that held the adapter, as far as known.
    pub holders: usize,
    /// The cost of the endpoint's recent failures in the selection.
    pub failure_cost: Duration,
    /// The expected response time of an endpoint of a plain service, if known.
    pub expected: Option<Duration>,
    /// Number of candidates.
    pub candidates: usize,
    /// Number of candidates to be avoided, such as those that could not be connected to.
    pub avoided: usize,
}

impl SelectionInputs {
    /// Records the inputs of the selection of `views[at]`.
    pub fn new(peer: &Peer, views: &[EndpointView], at: usize) -> Self {
        let view = &views[at];
        Self {
            endpoint: peer.endpoint().id.clone(),
            same_hall: view.distance == Distance::SameHall,
            holding: holding_name(Some(view.adapter_location)),
            running: view.running,
            loads_ahead: view.loads_ahead,
            uncached_tokens: view.uncached_prompt_tokens,
            backlog_tokens: view.prefill_backlog_tokens,
            free_adapter_slots: view.free_adapter_slots,
            holders: views
                .iter()
                .filter(|v| v.adapter_location == AdapterLocation::Resident)
                .count(),
            failure_cost: view.failure_cost,
            expected: None,
            candidates: views.len(),
            avoided: views.iter().filter(|v| v.avoided).count(),
        }
    }
}

/// Returns the name of a holding in logs and metrics.
pub(super) fn holding_name(holding: Option<AdapterLocation>) -> &'static str {
    match holding {
        Some(AdapterLocation::Resident) => "resident",
        Some(AdapterLocation::Loading) => "loading",
        Some(AdapterLocation::HostMemory) => "copied",
        Some(AdapterLocation::WeightStore) | None => "absent",
    }
}
