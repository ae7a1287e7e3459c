//! Endpoint selection for a request, and the wait for its adapter.

mod adapter;
mod preload;

use std::iter;
use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::choose::{batch_cost, choose_any, EndpointView};
use larkspring_core::fleet::endpoint_list::Endpoint;
use larkspring_core::fleet::routes::EngineCapacity;
use larkspring_core::fleet::stream_origins::StreamStart;
use larkspring_core::fleet::stream_outcomes::price_stream_losses;
use xxhash_rust::xxh3::xxh3_64;

use super::answer::{retry_after_backoff, ErrorReason};
use super::attempt::Selection;
use super::fleet::ServiceAvailability;
use super::peer::{OpenRequest, Peer};
use super::permits::{Permit, PermitOutcome};
use super::request_handler::RequestHandler;
use super::selection_inputs::SelectionInputs;
use crate::direct::platform_api::ModelRequest;
use crate::exec::with_timeout;

/// The reason why no endpoint was selected, and when the caller may retry.
pub(super) type NoSelection = (ErrorReason, Option<Duration>);

/// Time left below which a request is not sent, since no answer could come in time.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// Limits the number of permit denials before a request is refused.
const MAX_PERMIT_DENIALS: u32 = 8;

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
        let (mut views, peers): (Vec<_>, Vec<_>) = viewed
            .filter(|(view, p)| !view.loading_base && !is_first_message_pending(p))
            .unzip();
        let suspects = price_stream_losses(&mut views);
        let chosen = choose_any(&views, Duration::ZERO);
        record_passed_over(&peers, &suspects, chosen);
        if let Some(at) = chosen {
            peers[at].record_prompt(base, model);
        }
        self.selection(&peers, &views, chosen)
    }

    /// Returns the time left until the latency objective is missed.
    fn time_to_objective(&self) -> Duration {
        self.route.first_byte_objective.saturating_sub(self.received.elapsed())
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
        Ok(Selection::new(self.open_request(&peers[at]), None, inputs, None))
    }

    /// Counts this request as open at an endpoint until the result is dropped.
    fn open_request(&self, peer: &Arc<Peer>) -> OpenRequest {
        peer.open_request(self.route.class.is_stream())
    }
}

/// Records at each endpoint that breaks streams off that another one got the stream.
pub(super) fn record_passed_over(
    peers: &[Arc<Peer>],
    suspects: &[usize],
    chosen: Option<usize>,
) {
    for at in suspects.iter().filter(|at| Some(**at) != chosen) {
        peers[*at].streams(|s| s.record_passed_over());
    }
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
