//! Endpoint selection for requests that name an adapter, and the wait for its hold.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::future;
use larkspring_core::fleet::choose::{
    choose_for_adapter, rank_endpoints, AdapterLocation, EndpointView, PlacementPolicy,
};
use larkspring_core::fleet::mechanisms::Mechanism;
use larkspring_core::fleet::prefill::prefill_time;
use larkspring_core::fleet::routes::EngineCapacity;
use larkspring_core::fleet::stream_outcomes::price_stream_losses;
use larkspring_core::fleet::utility;
use larkspring_core::ids::{AdapterId, Incarnation, Target, VersionId};

use super::super::answer::ErrorReason;
use super::super::attempt::Selection;
use super::super::link::{AgentStatus, HoldEnd, HoldRequest};
use super::super::peer::Peer;
use super::super::request_handler::RequestHandler;
use super::super::selection_inputs::{holding_name, SelectionInputs};
use super::{
    choose_random, least_running, record_passed_over, NoSelection, MIN_TIME_LEFT,
};
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::ModelRequest;
use crate::exec::with_timeout;

/// Time-out for an agent's grant of an adapter that is resident: a few round trips
/// between halls and a scheduling delay of a busy process. An agent that takes longer may
/// be frozen or cut off.
const GRANT_TIMEOUT: Duration = Duration::from_millis(80);
/// Limits the number of full engines that a request skips without knowing their load.
const MAX_FULL_ENGINES: u32 = 4;
/// Limits the number of endpoints at which holds are requested, one after the other.
const MAX_HOLD_REQUESTS: u32 = 3;

/// Why an adapter is not held.
enum HoldFailure {
    /// The engine is full, which this entry did not know.
    Full,
    /// The agent refused; the reason, and when the caller may retry.
    Refused(NoSelection),
    /// The agent did not answer in time, or the endpoint takes no requests any more.
    Lost,
}

/// A selected endpoint and the adapter version that it has to hold.
struct AdapterSelection {
    peer: Arc<Peer>,
    target: Target,
    /// Whether a hold is requested from the endpoint's agent first.
    needs_hold: bool,
    inputs: SelectionInputs,
}

impl RequestHandler {
    /// Selects an endpoint and waits until it holds the adapter.
    pub(super) async fn select_for_adapter(
        &mut self,
        model: &ModelRequest,
        adapter: &AdapterId,
        engine: &EngineCapacity,
    ) -> Result<Selection, NoSelection> {
        let mut last: NoSelection = (ErrorReason::NoEndpoint, None);
        let mut excluded = Vec::new();
        let (mut holds, mut full_engines) = (0, 0);
        while holds < MAX_HOLD_REQUESTS {
            let Some(chosen) = self.select_adapter(model, adapter, engine, &excluded)
            else {
                break;
            };
            self.inputs = Some(chosen.inputs.clone());
            excluded.push(chosen.peer.endpoint().id.clone());
            // The permit comes first: without it the adapter might be loaded for nothing.
            match self.request_permit(&chosen.peer).await {
                Ok(permit) => {
                    let slots = engine.batch_slots as u32;
                    let max_holds =
                        if full_engines < MAX_FULL_ENGINES { slots } else { 0 };
                    match self.request_hold(chosen, model, max_holds).await {
                        Ok(selection) => return Ok(Selection { permit, ..selection }),
                        Err(HoldFailure::Full) => full_engines += 1,
                        Err(HoldFailure::Refused(refused)) => {
                            holds += 1;
                            last = refused;
                        }
                        Err(HoldFailure::Lost) => holds += 1,
                    }
                }
                Err(refused) => last = refused,
            }
            if self.time_left() < MIN_TIME_LEFT {
                break;
            }
        }
        Err(last)
    }

    /// Requests a hold of the adapter from the selected endpoint's agent. If the engine's
    /// load is not known, it may have at most `max_holds`, unless that is 0.
    async fn request_hold(
        &mut self,
        chosen: AdapterSelection,
        model: &ModelRequest,
        max_holds: u32,
    ) -> Result<Selection, HoldFailure> {
        let AdapterSelection { peer, target, needs_hold, inputs } = chosen;
        let hash = target.hash();
        let uncached_tokens = inputs.uncached_tokens;
        let load_time_limit = self.load_time_limit(&inputs);
        let open = self.open_request(&peer);
        let selection =
            |open, hold| Selection::new(open, Some(target.clone()), inputs, hold);
        let link = peer.link.as_ref().filter(|_| needs_hold);
        let Some(link) = link else {
            peer.record_prompt(hash, model);
            return Ok(selection(open, None));
        };
        let is_load_known = link.status() == AgentStatus::Live;
        let max_holds = if is_load_known { 0 } else { max_holds };
        let requested_at = Instant::now();
        let limit = self.time_left().saturating_sub(MIN_TIME_LEFT);
        let held_before = link.holding(hash);
        let resident = held_before == Some(AdapterLocation::Resident);
        let timeout = if resident { limit.min(GRANT_TIMEOUT) } else { limit };
        let request = HoldRequest {
            priority: self.priority(),
            wait: limit,
            request_id: &self.caller.id,
            uncached_tokens,
            utility: self.utility(model),
            load_time_limit,
            max_holds,
        };
        let mut hold = link.request_hold(target.clone(), request);
        let fleet = self.entry.fleet.clone();
        let unavailable = async {
            fleet.wait_unavailable(&peer).await;
            HoldEnd::Lost
        };
        let end =
            with_timeout(timeout, future::or(unavailable, hold.wait_granted())).await;
        let took = requested_at.elapsed();
        self.waited += took;
        // The engine may have restarted meanwhile; the grant then applies to its new run.
        let current_peer = fleet.current_run(&peer);
        if !current_peer.is_open() {
            // The endpoint stopped taking requests during the wait for the adapter.
            let reason = "the endpoint is draining, in backoff or evacuated";
            self.log_not_held(&peer, reason, took);
            return Err(HoldFailure::Lost);
        }
        let open = if Arc::ptr_eq(&current_peer, &peer) {
            open
        } else {
            self.open_request(&current_peer)
        };
        let peer = current_peer;
        let (label, reason) = match end {
            Some(HoldEnd::Granted { copy_pays }) => {
                self.entry.stats.count_hold("granted");
                self.entry.stats.observe_adapter_wait(holding_name(held_before), took);
                if copy_pays {
                    self.preload_in_hall(&target, model);
                }
                peer.record_prompt(hash, model);
                return Ok(selection(open, Some(hold)));
            }
            Some(HoldEnd::Refused { reason, retry_after }) => {
                self.entry.stats.count_hold("refused");
                self.log_not_held(&peer, &reason, took);
                let refused = (ErrorReason::NoAdapterInTime, Some(retry_after));
                return Err(HoldFailure::Refused(refused));
            }
            Some(HoldEnd::Full) => {
                self.entry.stats.count_hold("full");
                self.log_not_held(&peer, "the engine is full", took);
                return Err(HoldFailure::Full);
            }
            Some(HoldEnd::Lost) => ("lost", "the agent is silent"),
            None => ("late", "the agent did not grant it in time"),
        };
        self.entry.stats.count_hold(label);
        self.log_not_held(&peer, reason, took);
        if !resident {
            return Err(HoldFailure::Lost);
        }
        // Sends without a grant: an engine that has evicted the adapter refuses the
        // request.
        peer.record_prompt(hash, model);
        Ok(selection(open, Some(hold)))
    }

    /// Returns the utility of an answer in time, relative to other requests.
    fn utility(&self, model: &ModelRequest) -> f64 {
        match self.entry.cfg().disabled_mechanisms.is_enabled(Mechanism::UtilityBySize) {
            true => utility::of_prompt(model.prompt_tokens),
            false => utility::of_prompt(0),
        }
    }

    /// Returns the load time within which the answer can still begin within the
    /// objective.
    fn load_time_limit(&self, inputs: &SelectionInputs) -> Duration {
        let prefill_tokens = inputs.backlog_tokens + inputs.uncached_tokens;
        self.time_to_objective().saturating_sub(prefill_time(prefill_tokens))
    }

    /// Selects an endpoint and the version of the adapter to run there.
    fn select_adapter(
        &self,
        model: &ModelRequest,
        adapter: &AdapterId,
        engine: &EngineCapacity,
        excluded: &[Incarnation],
    ) -> Option<AdapterSelection> {
        let now = Instant::now();
        let versions = self.entry.replicated_state.versions();
        let newest = versions.newest(adapter);
        let target = Target { adapter: adapter.clone(), version: newest };
        let hash = target.hash();
        let mut peers = self.candidates();
        peers.retain(|p| !excluded.contains(&p.endpoint().id));
        let peers = rank_endpoints(
            hash,
            peers.into_iter().map(|p| (p.endpoint(), p)).collect(),
            |e| &e.0.id,
        );
        let peers: Vec<_> = peers.into_iter().map(|(_, p)| p).collect();
        let mut views: Vec<_> =
            peers.iter().map(|p| self.engine_view(now, p, hash, model, engine)).collect();
        let suspects = price_stream_losses(&mut views);
        let resident =
            views.iter().any(|v| v.adapter_location == AdapterLocation::Resident);
        if !resident {
            // A request that must not run twice can't be withdrawn, so it must not be
            // queued at an engine when use of the previous version ends.
            let repeatable = self.route.class.is_retryable();
            let old = versions.previous_allowed(now, adapter).filter(|_| repeatable);
            if let Some(chosen) = old.and_then(|v| {
                self.select_previous_version(&peers, adapter, v, model, engine)
            }) {
                self.preload_ahead(&peers, &views, &target);
                return Some(chosen);
            }
        }
        let disabled_mechanisms = self.entry.cfg().disabled_mechanisms;
        let at = match self.entry.cfg().placement {
            PlacementPolicy::LeastCost => {
                choose_for_adapter(&views, disabled_mechanisms)?
            }
            PlacementPolicy::HomeEndpoint => views.iter().position(|v| v.can_load)?,
            PlacementPolicy::Random => choose_random(&views)?,
            PlacementPolicy::FewestRequests => least_running(&views)?,
        };
        record_passed_over(&peers, &suspects, Some(at));
        let needs_hold = views[at].can_load;
        let inputs = SelectionInputs::new(&peers[at], &views, at);
        Some(AdapterSelection { peer: peers[at].clone(), target, needs_hold, inputs })
    }

    /// Selects among the endpoints that hold the previous version, while it is allowed.
    fn select_previous_version(
        &self,
        peers: &[Arc<Peer>],
        adapter: &AdapterId,
        version: VersionId,
        model: &ModelRequest,
        engine: &EngineCapacity,
    ) -> Option<AdapterSelection> {
        let now = Instant::now();
        let target = Target { adapter: adapter.clone(), version };
        let hash = target.hash();
        let view = |p: &Arc<Peer>| self.engine_view(now, p, hash, model, engine);
        let holds = |v: &EndpointView| v.adapter_location == AdapterLocation::Resident;
        let mut views: Vec<_> = peers.iter().map(view).collect();
        if !views.iter().any(holds) {
            return None;
        }
        price_stream_losses(&mut views);
        let open: Vec<_> = views
            .iter()
            .map(|v| if holds(v) { *v } else { EndpointView { can_load: false, ..*v } })
            .collect();
        let at = choose_for_adapter(&open, self.entry.cfg().disabled_mechanisms)?;
        let inputs = SelectionInputs::new(&peers[at], &views, at);
        Some(AdapterSelection {
            peer: peers[at].clone(),
            target,
            needs_hold: views[at].can_load,
            inputs,
        })
    }

    fn log_not_held(&self, peer: &Peer, reason: &str, took: Duration) {
        if logs::is_allowed(LineKind::Attempt) {
            tracing::info!(
                event = "adapter not held",
                request = self.caller.id,
                endpoint = %peer.endpoint().id,
                reason,
                took_ms = took.as_millis() as u64,
            );
        }
    }
}
