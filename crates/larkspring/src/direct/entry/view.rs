//! Views of endpoints, the inputs of endpoint selection.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::choose::{
    AdapterLocation, Distance, EndpointView, NEW_CONNECTION_COST,
};
use larkspring_core::fleet::mechanisms::Mechanism;
use larkspring_core::fleet::routes::{EngineCapacity, RouteClass};
use larkspring_core::fleet::stream_outcomes::StreamLoss;
use larkspring_core::ids::{Incarnation, TargetHash};
use larkspring_proto::residency::Engagement;

use super::link::AgentStatus;
use super::peer::Peer;
use super::request_handler::RequestHandler;
use crate::direct::platform_api::ModelRequest;

impl RequestHandler {
    /// Returns the view of an endpoint without regard to adapters.
    pub(super) fn plain_view(&self, now: Instant, peer: &Arc<Peer>) -> EndpointView {
        let endpoint = peer.endpoint();
        let disabled_mechanisms = self.entry.cfg().disabled_mechanisms;
        let quality = peer.quality(|q| q.cost(now));
        EndpointView {
            distance: peer.placement().distance,
            adapter_location: AdapterLocation::Resident,
            running: peer.open_requests(),
            max_concurrent: endpoint.slots as u32,
            free_adapter_slots: 0,
            loads_ahead: 0,
            can_load: false,
            loading_base: false,
            uncached_prompt_tokens: 0,
            prefill_backlog_tokens: peer.prefill_tokens(),
            failure_cost: if disabled_mechanisms.is_enabled(Mechanism::Quality) {
                quality
            } else {
                Duration::ZERO
            },
            stream_loss: self.stream_loss(now, peer),
            connection_cost: match peer.idle.has_any(now, self.reuse()) {
                true => Duration::ZERO,
                false => NEW_CONNECTION_COST,
            },
            avoided: peer.quality(|q| q.is_avoided(now)),
            is_rate_limited: peer.has_certain_rate_limit(),
        }
    }

    /// Returns the expected loss of this request at an endpoint, if it is a stream.
    fn stream_loss(&self, now: Instant, peer: &Peer) -> StreamLoss {
        let mechanisms = self.entry.cfg().disabled_mechanisms;
        match self.route.class {
            RouteClass::Stream { resumable }
                if mechanisms.is_enabled(Mechanism::Quality) =>
            {
                let run = &peer.endpoint().id;
                let report = peer.link.as_ref().and_then(|l| l.stream_report(run));
                peer.streams(|s| {
                    s.apply_report(now, report);
                    s.loss(now, resumable)
                })
            }
            _ => StreamLoss::default(),
        }
    }

    /// Returns the view of an endpoint of a plain service for this request. A failure
    /// costs less if the request may be retried.
    pub(super) fn plain_service_view(
        &self,
        now: Instant,
        peer: &Arc<Peer>,
    ) -> EndpointView {
        let mut view = self.plain_view(now, peer);
        let mechanisms = self.entry.cfg().disabled_mechanisms;
        let uses_quality = mechanisms.is_enabled(Mechanism::Quality);
        let is_retried = self.service.engine.is_none() && self.route.class.is_retryable();
        if uses_quality && is_retried {
            view.failure_cost = peer.quality(|q| q.retried_cost(now));
        }
        view
    }

    /// Returns the view of a model engine for a request that needs `target`.
    pub(super) fn engine_view(
        &self,
        now: Instant,
        peer: &Arc<Peer>,
        target: TargetHash,
        model: &ModelRequest,
        engine: &EngineCapacity,
    ) -> EndpointView {
        let mut view = self.plain_view(now, peer);
        view.max_concurrent = engine.batch_slots as u32;
        view.uncached_prompt_tokens = peer.uncached_tokens(target, model);
        let Some(link) = &peer.link else { return view };
        let known = link.view();
        let endpoint = peer.endpoint();
        view.running = view.running.max(known.running);
        view.free_adapter_slots = known.free_adapter_slots;
        view.loads_ahead = known.loads_ahead;
        let disabled_mechanisms = self.entry.cfg().disabled_mechanisms;
        if disabled_mechanisms.is_enabled(Mechanism::BacklogReports) {
            view.prefill_backlog_tokens =
                view.prefill_backlog_tokens.max(known.prefill_backlog_tokens);
        }
        let engaged = known.live.then_some(known.engagement);
        view.loading_base = engaged == Some(Engagement::Filling);
        view.can_load = view.loading_base || engaged == Some(Engagement::Serving);
        view.avoided |= engaged == Some(Engagement::Away);
        if link.status() == AgentStatus::Unknown {
            // The agent is asked, and its answer shows the engine's state.
            view.can_load = true;
            view.free_adapter_slots = 1;
        }
        let listed = || match endpoint.holds.iter().any(|t| t.hash() == target) {
            true => AdapterLocation::Resident,
            false => AdapterLocation::WeightStore,
        };
        view.adapter_location = match link.holding(target) {
            Some(AdapterLocation::HostMemory)
                if !disabled_mechanisms.is_enabled(Mechanism::HostCopies) =>
            {
                AdapterLocation::WeightStore
            }
            Some(holding) => holding,
            None if link.is_first_message_pending() => AdapterLocation::WeightStore,
            None => listed(),
        };
        view
    }
}

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
