//! Preloading of adapters where later requests will need them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::choose::{
    choose_for_adapter, rank_endpoints, AdapterLocation, Distance, EndpointView,
};
use larkspring_core::fleet::mechanisms::Mechanism;
use larkspring_core::fleet::utility;
use larkspring_core::ids::Target;

use super::super::link::HoldRequest;
use super::super::peer::Peer;
use super::super::request_handler::RequestHandler;
use crate::direct::platform_api::ModelRequest;
use crate::exec::with_timeout;

/// Priority of preloading an adapter: the lowest.
const PRELOAD_PRIORITY: u32 = 9;
/// How long preloading may wait for an adapter slot.
const PRELOAD_TIMEOUT: Duration = Duration::from_secs(5);

impl RequestHandler {
    /// Preloads an adapter at the endpoint that would be selected for its new version.
    pub(super) fn preload_ahead(
        &self,
        peers: &[Arc<Peer>],
        views: &[EndpointView],
        target: &Target,
    ) {
        let at = choose_for_adapter(views, self.entry.cfg().disabled_mechanisms);
        self.preload(at.map(|at| &peers[at]), target);
    }

    /// Preloads an adapter at the highest-ranked suitable endpoint of this hall, unless
    /// an endpoint of the hall holds or loads it.
    pub(super) fn preload_in_hall(&self, target: &Target, model: &ModelRequest) {
        let Some(engine) = &self.service.engine else { return };
        let (now, hash) = (Instant::now(), target.hash());
        let hall = &self.entry.cfg().process.hall;
        let mut peers = self.entry.fleet.available(&self.service.name);
        peers.retain(|p| p.endpoint().hall == *hall && self.may_take(&p.endpoint()));
        let peers = rank_endpoints(
            hash,
            peers.into_iter().map(|p| (p.endpoint(), p)).collect(),
            |e| &e.0.id,
        );
        let peers: Vec<_> = peers.into_iter().map(|(_, p)| p).collect();
        let views: Vec<_> =
            peers.iter().map(|p| self.engine_view(now, p, hash, model, engine)).collect();
        let held = |v: &EndpointView| {
            matches!(
                v.adapter_location,
                AdapterLocation::Resident | AdapterLocation::Loading
            )
        };
        if views.iter().any(held) {
            return;
        }
        // Preloads only where the load delays no request.
        let fit = |v: &EndpointView| {
            let is_free = v.free_adapter_slots > 0 && v.loads_ahead == 0;
            let is_near = v.distance == Distance::SameHall;
            is_near && v.can_load && !v.is_rate_limited && is_free
        };
        let copied = |v: &EndpointView| {
            v.adapter_location == AdapterLocation::HostMemory && fit(v)
        };
        let at = views.iter().position(copied).or_else(|| views.iter().position(fit));
        self.preload(at.map(|at| &peers[at]), target);
    }

    fn preload(&self, peer: Option<&Arc<Peer>>, target: &Target) {
        if !self.entry.cfg().disabled_mechanisms.is_enabled(Mechanism::LoadAhead) {
            return;
        }
        let link = peer.and_then(|p| p.link.clone());
        let Some(link) = link.filter(|_| self.entry.start_preload(target.hash())) else {
            return;
        };
        let request = HoldRequest {
            priority: PRELOAD_PRIORITY,
            wait: PRELOAD_TIMEOUT,
            request_id: "",
            uncached_tokens: 0,
            utility: utility::LOAD_AHEAD_UTILITY,
            load_time_limit: PRELOAD_TIMEOUT,
            max_holds: 0,
        };
        let mut hold = link.request_hold(target.clone(), request);
        let stats = self.entry.stats.clone();
        crate::exec::spawn(async move {
            let end = with_timeout(PRELOAD_TIMEOUT, hold.wait_granted()).await;
            let granted = end.is_some_and(|end| end.is_granted());
            stats.count_hold(if granted { "copied" } else { "not copied" });
        })
        .detach();
    }
}
