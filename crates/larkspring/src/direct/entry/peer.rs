//! The state that an entry keeps for each endpoint: idle connections, open requests,
//! availability and quality.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use larkspring_core::fleet::availability::{
    Availability, AvailabilityChanges, Notice, RateInForce,
};
use larkspring_core::fleet::choose::Distance;
use larkspring_core::fleet::endpoint_list::Endpoint;
use larkspring_core::fleet::quality::EndpointQuality;
use larkspring_core::fleet::rate::{AdvertisedRate, Rate};
use larkspring_core::fleet::stream_outcomes::StreamOutcomes;
use larkspring_core::ids::TargetHash;
use parking_lot::Mutex;

use super::answer_times::AnswerTimes;
use super::end_check::EndChecks;
use super::engine_state::ReportedRun;
use super::features::RequestFeatures;
use super::idle_connections::IdleConnections;
use super::link::Link;
use crate::direct::platform_api::{ModelRequest, PromptPart, RequestId};

/// An endpoint and this entry's state for it.
pub(super) struct Peer {
    endpoint: ArcSwap<Endpoint>,
    placement: Mutex<PeerPlacement>,
    /// The connection to the agent beside the endpoint, if the endpoint is a model
    /// engine.
    pub link: Option<Arc<Link>>,
    /// The endpoint's notices about itself; kept while the platform does not list it.
    availability: Arc<Mutex<Availability>>,
    /// Until when the endpoint's rate limit is used up.
    rate_used_up_until: Mutex<Option<Instant>>,
    /// When this record was created.
    created: Instant,
    /// Connections without a request.
    pub idle: IdleConnections,
    open_requests: AtomicU32,
    /// Prompt tokens of this entry's requests that are in prefill.
    prefill_tokens: AtomicU32,
    /// Until when the endpoint counts as gone, after another run answered at its address.
    gone_until: Mutex<Option<Instant>>,
    quality: Mutex<EndpointQuality>,
    streams: Mutex<StreamOutcomes>,
    /// Response times, recorded for endpoints of plain services.
    pub answer_times: Arc<AnswerTimes>,
    /// Checks of whether the run lived on after the end of an answer.
    pub end_checks: EndChecks,
    cached_parts: Mutex<CachedParts>,
    /// Interrupted requests, kept until it is known whether the endpoint crashed.
    interrupted: Mutex<Vec<InterruptedRequest>>,
}

/// What the declared state says about an endpoint beside its listing.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerPlacement {
    /// Where the endpoint is, as seen from this entry.
    pub distance: Distance,
    /// Connections that the endpoint accepts from all entries together.
    pub max_connections: usize,
    /// Whether the endpoint's hall is evacuated.
    pub evacuated: bool,
    /// How long the endpoint is cold after a start or an evacuation.
    pub cold_duration: Duration,
    /// Rate at which the endpoint gets requests from all VMs together while it is cold.
    pub cold_rate: Option<Rate>,
}

/// A request whose connection to an endpoint broke before the answer was complete.
#[derive(Debug)]
pub(super) struct InterruptedRequest {
    pub features: Arc<RequestFeatures>,
    pub id: RequestId,
    /// Whether a part of the answer had arrived.
    pub has_begun: bool,
    /// When the request was sent.
    pub sent_at: Instant,
    pub crashed_at: Instant,
}

/// Counts a request at an endpoint until dropped.
pub(super) struct OpenRequest {
    pub peer: Arc<Peer>,
    /// Whether the request is for a stream.
    pub is_stream: bool,
    /// Prompt tokens of the request that count as being in prefill.
    prefill_tokens: AtomicU32,
}

/// Prompt parts that the endpoint has prefilled for this entry, the latest last.
#[derive(Default)]
struct CachedParts(VecDeque<u64>);

/// Limits the prompt parts remembered for each endpoint, whose cache holds a few dozen
/// prompts.
const MAX_CACHED_PARTS: usize = 64;
/// How long an endpoint counts as gone after another run answered at its address. By then
/// the platform lists the other run.
const GONE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long an advertised rate limit counts as certain if no answer repeats it.
const RATE_CERTAINTY_TIMEOUT: Duration = Duration::from_secs(5);

impl Peer {
    /// Creates the record of an endpoint with its earlier availability.
    pub fn new(
        endpoint: Arc<Endpoint>,
        placement: PeerPlacement,
        link: Option<Arc<Link>>,
        availability: Arc<Mutex<Availability>>,
    ) -> Arc<Self> {
        record_listing(&mut availability.lock(), &endpoint);
        Arc::new(Self {
            placement: Mutex::new(placement),
            availability,
            rate_used_up_until: Mutex::default(),
            endpoint: ArcSwap::new(endpoint),
            link,
            created: Instant::now(),
            idle: IdleConnections::default(),
            open_requests: AtomicU32::new(0),
            prefill_tokens: AtomicU32::new(0),
            gone_until: Mutex::default(),
            quality: Mutex::new(EndpointQuality::new(Instant::now())),
            streams: Mutex::new(StreamOutcomes::new(Instant::now())),
            answer_times: Arc::default(),
            end_checks: EndChecks::default(),
            cached_parts: Mutex::default(),
            interrupted: Mutex::default(),
        })
    }

    /// Returns the endpoint as listed by the platform.
    pub fn endpoint(&self) -> Arc<Endpoint> {
        self.endpoint.load_full()
    }

    /// Returns what the declared state says about the endpoint.
    pub fn placement(&self) -> PeerPlacement {
        *self.placement.lock()
    }

    /// Returns whether the endpoint takes new requests, as far as known.
    pub fn is_open(&self) -> bool {
        self.is_listed_open()
            && !self.placement().evacuated
            && self
                .current_availability()
                .is_none_or(|availability| availability.is_open(Instant::now()))
    }

    /// Returns whether the endpoint is not draining, as far as known; it may be in
    /// backoff.
    pub fn stays_in_service(&self) -> bool {
        self.is_listed_open()
            && !self
                .current_availability()
                .is_some_and(|availability| availability.is_draining())
    }

    /// Returns whether the endpoint is listed as taking requests and no other run is
    /// known to have its address.
    fn is_listed_open(&self) -> bool {
        let gone = self.gone_until.lock().is_some_and(|until| until > Instant::now());
        !gone && !self.endpoint.load().leaving && self.replaced_by().is_none()
    }

    /// Applies a notice from an answer to a request sent at `sent_at`, or from the agent,
    /// and returns the changes.
    pub fn apply_notice(&self, sent_at: Instant, notice: Notice) -> AvailabilityChanges {
        self.availability.lock().apply_notice(
            Instant::now(),
            sent_at,
            notice,
            fastrand::f64(),
        )
    }

    /// Returns the rate that the endpoint takes at the moment, by its notices or because
    /// it is cold; `None` for no limit.
    pub fn rate_limit(&self) -> Option<RateInForce> {
        let cold_rate = self.placement().cold_rate;
        self.current_availability()?.rate_in_force(Instant::now(), cold_rate)
    }

    /// Assumes that the endpoint is cold, as after a start.
    pub fn assume_cold(&self) {
        let duration = self.placement().cold_duration;
        self.availability.lock().record_cold(Instant::now(), duration);
    }

    /// Returns whether the endpoint's advertised rate limit is certain: reported by a live agent, or
    /// advertised recently. An older limit may have ended, which only the next request
    /// shows if no agent reports it.
    pub fn has_certain_rate_limit(&self) -> bool {
        let availability = self.current_availability();
        let limit = availability.and_then(|a| a.rate_limit(Instant::now()));
        let Some(limit) = limit else { return false };
        let by_agent = self.link.as_ref().is_some_and(|link| link.has_advertised_rate());
        by_agent || limit.updated_at().elapsed() < RATE_CERTAINTY_TIMEOUT
    }

    /// Records that the endpoint's rate is used up for the time `wait`.
    pub fn set_rate_used_up(&self, wait: Duration) {
        *self.rate_used_up_until.lock() = Some(Instant::now() + wait);
    }

    /// Returns whether the endpoint may be sent a request now: it takes requests, and its
    /// rate is not used up.
    pub fn is_available(&self) -> bool {
        let now = Instant::now();
        let takes = |availability: &Availability| {
            availability.is_open(now)
                && self.rate_used_up_for(now, availability).is_none()
        };
        self.is_listed_open()
            && !self.placement().evacuated
            && self.current_availability().as_ref().is_none_or(takes)
    }

    /// Returns the time for which no request may be sent, due to backoff or a used-up
    /// rate; `None` if neither applies.
    pub fn unavailable_for(&self) -> Option<Duration> {
        let (now, availability) = (Instant::now(), self.current_availability()?);
        availability.remaining_backoff(now).max(self.rate_used_up_for(now, &availability))
    }

    fn rate_used_up_for(
        &self,
        now: Instant,
        availability: &Availability,
    ) -> Option<Duration> {
        availability.rate_in_force(now, self.placement().cold_rate)?;
        let until = *self.rate_used_up_until.lock();
        let left = until?.checked_duration_since(now)?;
        (!left.is_zero()).then_some(left)
    }

    /// Takes the agent's latest change of the endpoint's advertised rate, if any.
    pub fn take_rate_change(&self) -> Option<AdvertisedRate> {
        let (run, rate) = self.link.as_ref()?.take_rate_change()?;
        (run == self.endpoint.load().id).then_some(rate)
    }

    /// Returns whether the agent reports that the endpoint is draining.
    pub fn reported_draining(&self) -> bool {
        let leaving = self.link.as_ref().and_then(|link| link.draining_run());
        leaving.is_some_and(|run| run == self.endpoint.load().id)
    }

    /// Returns the endpoint's availability, which outlives this record.
    pub fn availability(&self) -> Arc<Mutex<Availability>> {
        self.availability.clone()
    }

    /// Returns the endpoint's availability without the notices of an earlier run under
    /// the same id; `None` if no notice is in force, as for most endpoints.
    fn current_availability(&self) -> Option<Availability> {
        let mut availability = self.availability.lock();
        if availability.is_empty() {
            return None;
        }
        let run = self.link.as_ref().and_then(|link| link.reported_run());
        let restarted = run.filter(|r| r.in_place && r.id == self.endpoint.load().id);
        if let Some(run) = restarted {
            availability.clear_before(run.since);
        }
        Some(*availability)
    }

    /// Returns the run that has replaced this one at its address, as reported by the
    /// agent.
    pub fn replaced_by(&self) -> Option<ReportedRun> {
        let run = self.link.as_ref()?.reported_run()?;
        (run.id != self.endpoint.load().id && run.since > self.created).then_some(run)
    }

    /// Returns whether another run has the address, as shown by one of its answers or
    /// reported by the agent after `since`. The run may have the same id.
    pub fn has_other_run(&self, since: Instant) -> bool {
        let answered = self.gone_until.lock().is_some_and(|until| until > Instant::now());
        let reported = self.link.as_ref().and_then(|link| link.reported_run());
        answered || reported.is_some_and(|run| run.in_place && run.since > since)
    }

    /// Records that another run answered at the address.
    pub fn mark_gone(&self) {
        *self.gone_until.lock() = Some(Instant::now() + GONE_TIMEOUT);
    }

    /// Records an interrupted request; returns whether it is the first since
    /// [`Peer::take_interrupted`].
    pub fn record_interrupted(&self, request: InterruptedRequest) -> bool {
        let mut interrupted = self.interrupted.lock();
        interrupted.push(request);
        interrupted.len() == 1
    }

    /// Takes the recorded interrupted requests.
    pub fn take_interrupted(&self) -> Vec<InterruptedRequest> {
        std::mem::take(&mut *self.interrupted.lock())
    }

    /// Updates the endpoint as listed by the platform. An endpoint whose hall is no longer
    /// evacuated counts as cold.
    pub fn update(&self, endpoint: Arc<Endpoint>, placement: PeerPlacement) {
        let before = std::mem::replace(&mut *self.placement.lock(), placement);
        let known = self.endpoint.swap(endpoint.clone());
        if !Arc::ptr_eq(&known, &endpoint) {
            record_listing(&mut self.availability.lock(), &endpoint);
        }
        if before.evacuated && !placement.evacuated {
            self.assume_cold();
        }
    }

    /// Returns the number of this entry's requests that are open at the endpoint.
    pub fn open_requests(&self) -> u32 {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Counts a request as open until the result is dropped.
    pub fn open_request(self: &Arc<Self>, is_stream: bool) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        if is_stream {
            self.streams(|s| s.open());
        }
        OpenRequest { peer: self.clone(), is_stream, prefill_tokens: AtomicU32::new(0) }
    }

    /// Returns the prompt tokens of this entry's requests that are in prefill.
    pub fn prefill_tokens(&self) -> u32 {
        self.prefill_tokens.load(Ordering::Relaxed)
    }

    /// Reads or updates the quality record that is kept from the results of attempts.
    pub fn quality<T>(&self, f: impl FnOnce(&mut EndpointQuality) -> T) -> T {
        f(&mut self.quality.lock())
    }

    /// Reads or updates the record of how the endpoint's streams end.
    pub fn streams<T>(&self, f: impl FnOnce(&mut StreamOutcomes) -> T) -> T {
        f(&mut self.streams.lock())
    }

    /// Returns the tokens of a prompt that are probably not in the endpoint's cache.
    pub fn uncached_tokens(&self, target: TargetHash, req: &ModelRequest) -> u32 {
        let cached = self.cached_parts.lock();
        let known = req.parts.iter().take_while(|p| cached.contains(target, p));
        let known: u32 = known.map(|p| p.tokens).sum();
        req.prompt_tokens.saturating_sub(known)
    }

    /// Records that the endpoint prefills a prompt.
    pub fn record_prompt(&self, target: TargetHash, req: &ModelRequest) {
        let mut cached = self.cached_parts.lock();
        let shared = req.parts.len().saturating_sub(1);
        for part in &req.parts[..shared] {
            cached.add(target, part);
        }
    }
}

impl OpenRequest {
    /// Counts tokens of the prompt as in prefill until the answer begins.
    pub fn begin_prefill(&self, tokens: u32) {
        self.prefill_tokens.fetch_add(tokens, Ordering::Relaxed);
        self.peer.prefill_tokens.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Records the end of the prefill.
    pub fn end_prefill(&self) {
        let tokens = self.prefill_tokens.swap(0, Ordering::Relaxed);
        self.peer.prefill_tokens.fetch_sub(tokens, Ordering::Relaxed);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.end_prefill();
        self.peer.open_requests.fetch_sub(1, Ordering::Relaxed);
        if self.is_stream {
            self.peer.streams(|s| s.close());
        }
    }
}

impl CachedParts {
    fn contains(&self, target: TargetHash, part: &PromptPart) -> bool {
        self.0.contains(&(target ^ part.id))
    }

    fn add(&mut self, target: TargetHash, part: &PromptPart) {
        let key = target ^ part.id;
        self.0.retain(|k| *k != key);
        if self.0.len() >= MAX_CACHED_PARTS {
            self.0.pop_front();
        }
        self.0.push_back(key);
    }
}

/// Applies what a listed endpoint says of itself.
fn record_listing(availability: &mut Availability, endpoint: &Endpoint) {
    availability.record_listed_start(endpoint.start);
    availability.record_cold(Instant::now(), endpoint.cold_left);
}
