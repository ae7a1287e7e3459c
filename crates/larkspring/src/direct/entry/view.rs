//! Views of endpoints, the inputs of endpoint selection.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::choose::{
    AdapterLocation, EndpointView, NEW_CONNECTION_COST,
};
use larkspring_core::fleet::mechanisms::Mechanism;
use larkspring_core::fleet::routes::{EngineCapacity, RouteClass};
use larkspring_core::fleet::stream_outcomes::StreamLoss;
use larkspring_core::ids::TargetHash;
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
