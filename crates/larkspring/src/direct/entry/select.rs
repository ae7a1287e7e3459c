//! Endpoint selection for a request, and the wait for its adapter.

use std::iter;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::future;
use larkspring_core::fleet::choose::{
    batch_cost, choose_any, choose_for_adapter, rank_endpoints, AdapterLocation,
    Distance, EndpointView, PlacementPolicy,
};
use larkspring_core::fleet::endpoint_list::Endpoint;
use larkspring_core::fleet::mechanisms::Mechanism;
use larkspring_core::fleet::prefill::prefill_time;
use larkspring_core::fleet::routes::EngineCapacity;
use larkspring_core::fleet::stream_origins::StreamStart;
use larkspring_core::fleet::utility;
use larkspring_core::ids::{AdapterId, Incarnation, Target, VersionId};
use xxhash_rust::xxh3::xxh3_64;

use super::answer::{retry_after_backoff, ErrorReason};
use super::attempt::Selection;
use super::fleet::ServiceAvailability;
use super::link::{AgentStatus, HoldEnd, HoldRequest};
use super::peer::Peer;
use super::permits::{Permit, PermitOutcome};
use super::request_handler::RequestHandler;
use super::view::{holding_name, SelectionInputs};
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::ModelRequest;
use crate::exec::with_timeout;

/// The reason why no endpoint was selected, and when the caller may retry.
pub(super) type NoSelection = (ErrorReason, Option<Duration>);

/// Time left below which a request is not sent, since no answer could come in time.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// Priority of preloading an adapter: the lowest.
const PRELOAD_PRIORITY: u32 = 9;
/// How long preloading may wait for an adapter slot.
const PRELOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time-out for an agent's grant of an adapter that is resident: a few round trips
/// between halls and a scheduling delay of a busy process. An agent that takes longer may
/// be frozen or cut off.
const GRANT_TIMEOUT: Duration = Duration::from_millis(80);
/// Limits the number of permit denials before a request is refused.
const MAX_PERMIT_DENIALS: u32 = 8;
/// Limits the number of full engines that a request skips without knowing their load.
const MAX_FULL_ENGINES: u32 = 4;
/// Limits the number of endpoints at which holds are requested, one after the other.
const MAX_HOLD_REQUESTS: u32 = 3;

impl RequestHandler {
    /// Selects an endpoint and waits until the endpoint can take the request.
    ///
    /// If no endpoint is available, waits for the duration of
    /// [`RequestHandler::max_wait`]. If all are in backoff or have used up their rates,
    /// refuses the request at once unless the first becomes available within the latency
    /// objective. If all are in halls that are evacuated or not allowed, or none has the
    /// software that began the stream, refuses it at once.
    pub(super) async fn select_endpoint(&mut self) -> Result<Selection, NoSelection> {
        let mut denials = 0;
        loop {
            let change = self.entry.fleet.listen();
            let selection = match self.try_select().await {
                Ok(selection) => self.with_permit(selection).await,
                Err(e) => Err(e),
            };
            match &selection {
                Ok(selection) => self.inputs = Some(selection.inputs.clone()),
                // The next selection leaves out the endpoint whose rate is used up.
                Err((ErrorReason::RateUsedUp, _)) if denials < MAX_PERMIT_DENIALS => {
                    denials += 1;
                    continue;
                }
                Err(_) => {}
            }
            let Err((ErrorReason::NoEndpoint, _)) = selection else { return selection };
            let may_take = |endpoint: &Endpoint| self.may_take(endpoint);
            let fleet = &self.entry.fleet;
            match fleet.service_availability(&self.service.name, may_take) {
                ServiceAvailability::Excluded => return Err((self.exclusion(), None)),
                ServiceAvailability::In(time) if time > self.max_backoff_wait() => {
                    let after = retry_after_backoff(time);
                    return Err((ErrorReason::InBackoff, Some(after)));
                }
                ServiceAvailability::In(time) => {
                    // Waits for the end of the backoff or for a change of the fleet.
                    with_timeout(time, change).await;
                    continue;
                }
                ServiceAvailability::Unlimited => {}
            }
            let timeout = self.max_wait();
            if timeout.is_zero() || with_timeout(timeout, change).await.is_none() {
                return selection;
            }
        }
    }

    /// Requests a permit for the selected endpoint if it is rate-limited and there is
    /// none.
    async fn with_permit(&self, selection: Selection) -> Result<Selection, NoSelection> {
        if selection.permit.is_some_and(|permit| permit.is_valid()) {
            return Ok(selection);
        }
        let permit = self.request_permit(&selection.open_request.peer).await?;
        Ok(Selection { permit, ..selection })
    }

    /// Requests a permit to send to an endpoint; `None` if the endpoint has no rate
    /// limit.
    async fn request_permit(&self, peer: &Peer) -> Result<Option<Permit>, NoSelection> {
        match self.entry.permits.request(peer).await {
            PermitOutcome::Unlimited => Ok(None),
            PermitOutcome::Granted(permit) => Ok(Some(permit)),
            PermitOutcome::Denied(wait) => {
                peer.set_rate_used_up(wait);
                Err((ErrorReason::RateUsedUp, Some(retry_after_backoff(wait))))
            }
        }
    }

    /// Returns how long the request may wait for the end of a backoff: no longer than the
    /// latency objective allows, unless the request may have run and so can't be refused.
    fn max_backoff_wait(&self) -> Duration {
        match self.history.may_have_run {
            true => self.max_wait(),
            false => self.max_wait().min(self.time_to_objective()),
        }
    }

    async fn try_select(&mut self) -> Result<Selection, NoSelection> {
        if self.time_left() < MIN_TIME_LEFT {
            return Err((ErrorReason::TimedOutNotRun, None));
        }
        let model = self.caller.model.clone();
        let engine = self.service.engine.clone();
        match (model, engine) {
            (Some(model), Some(engine)) => match model.adapter.clone() {
                Some(adapter) => self.select_for_adapter(&model, &adapter, &engine).await,
                None => self.select_for_base(&model, &engine),
            },
            _ => self.select_plain(),
        }
    }

    /// Selects an endpoint for a request to the base model alone, which every engine
    /// holds.
    fn select_for_base(
        &self,
        model: &ModelRequest,
        engine: &EngineCapacity,
    ) -> Result<Selection, NoSelection> {
        let base = xxh3_64(model.base.as_bytes());
        let now = Instant::now();
        let view = |p: &Arc<Peer>| {
            let mut view = self.engine_view(now, p, base, model, engine);
            view.failure_cost += Duration::from_secs_f64(batch_cost(&view) / 1000.0);
            view
        };
        let viewed = self.candidates().into_iter().map(|p| (view(&p), p));
        // An engine that is still loading its base model would refuse the request.
        // Engines whose agents have not reported yet may be loading theirs.
        let is_first_message_pending = |p: &Peer| {
            p.link.as_ref().is_some_and(|link| link.is_first_message_pending())
        };
        let (views, peers): (Vec<_>, Vec<_>) = viewed
            .filter(|(view, p)| !view.loading_base && !is_first_message_pending(p))
            .unzip();
        let chosen = choose_any(&views, Duration::ZERO);
        if let Some(at) = chosen {
            peers[at].record_prompt(base, model);
        }
        self.selection(&peers, &views, chosen)
    }

    async fn select_for_adapter(
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
        let open = peer.open_request();
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
            current_peer.open_request()
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

    /// Returns the time left until the latency objective is missed.
    fn time_to_objective(&self) -> Duration {
        self.route.first_byte_objective.saturating_sub(self.received.elapsed())
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
        let views: Vec<_> =
            peers.iter().map(|p| self.engine_view(now, p, hash, model, engine)).collect();
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
        let views: Vec<_> = peers.iter().map(view).collect();
        if !views.iter().any(holds) {
            return None;
        }
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

    /// Preloads an adapter at the endpoint that would be selected for its new version.
    fn preload_ahead(
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
    fn preload_in_hall(&self, target: &Target, model: &ModelRequest) {
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

    /// Returns whether an endpoint may be sent the request: it is in a hall that is
    /// allowed, and its software is that of the endpoint that began the stream.
    pub(super) fn may_take(&self, endpoint: &Endpoint) -> bool {
        self.is_allowed(&endpoint.hall) && self.start.allows(endpoint.build.as_ref())
    }

    /// Returns why no endpoint of the service may take the request.
    fn exclusion(&self) -> ErrorReason {
        match self.start {
            StreamStart::NotBegun => ErrorReason::NoAllowedHall,
            StreamStart::At(_) | StreamStart::Unknown => ErrorReason::NoSameBuild,
        }
    }

    /// Returns whether the regions of the route and of the workspace allow a hall.
    fn is_allowed(&self, hall: &str) -> bool {
        let workspace = self.workspace.as_ref().map(|workspace| &workspace.regions);
        let bound = iter::once(&self.route.regions).chain(workspace);
        let regions = &self.entry.cfg().process.regions;
        bound.into_iter().all(|allowed| allowed.contains_hall(hall, regions))
    }

    /// Returns the endpoints that may be sent the request, without those that were tried
    /// if there are others.
    pub(super) fn candidates(&self) -> Vec<Arc<Peer>> {
        let mut peers = self.entry.fleet.available(&self.service.name);
        peers.retain(|p| self.may_take(&p.endpoint()));
        let untried = |p: &Arc<Peer>| !self.tried.contains(&p.endpoint().id);
        if peers.iter().any(untried) {
            peers.retain(untried);
        }
        peers
    }

    /// Creates the selection of `peers[at]`.
    pub(super) fn selection(
        &self,
        peers: &[Arc<Peer>],
        views: &[EndpointView],
        at: Option<usize>,
    ) -> Result<Selection, NoSelection> {
        let Some(at) = at else {
            return Err((ErrorReason::NoEndpoint, None));
        };
        let inputs = SelectionInputs::new(&peers[at], views, at);
        Ok(Selection::new(peers[at].open_request(), None, inputs, None))
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

/// Chooses a random endpoint among those that are not avoided.
pub(super) fn choose_random(views: &[EndpointView]) -> Option<usize> {
    let usable: Vec<_> = (0..views.len()).filter(|at| !views[*at].avoided).collect();
    fastrand::choice(usable)
}

/// Chooses the endpoint with the fewest requests.
pub(super) fn least_running(views: &[EndpointView]) -> Option<usize> {
    (0..views.len()).min_by_key(|at| (views[*at].avoided, views[*at].running))
}
