//! Chooses the endpoint for a request.
//!
//! Every cost is a time in milliseconds: an expected wait of the caller, or a price
//! converted to an equivalent wait. The endpoint with the least cost is chosen.

use std::cmp::Reverse;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::mechanisms::{DisabledMechanisms, Mechanism};
use super::prefill::PREFILL_TOKENS_PER_MS;
use super::routes::HallRegions;
use super::stream_outcomes::StreamLoss;
use crate::ids::{Incarnation, TargetHash};

/// The state of one endpoint, as an entry knows it when it places a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointView {
    /// Where the endpoint is, as seen from the entry.
    pub distance: Distance,
    /// Whether the endpoint holds the adapter that the request names.
    pub adapter_location: AdapterLocation,
    /// Known requests at the endpoint, from all entries.
    pub running: u32,
    /// Requests that the endpoint processes concurrently.
    pub max_concurrent: u32,
    /// Adapters that could be loaded without waiting for a running request to end.
    pub free_adapter_slots: u32,
    /// Loads that a new load would wait for.
    pub loads_ahead: u32,
    /// Whether the endpoint's agent can be asked to load an adapter.
    pub can_load: bool,
    /// Whether the endpoint is still loading its base model.
    pub loading_base: bool,
    /// Tokens of the request's prompt that need prefill at the endpoint.
    pub uncached_prompt_tokens: u32,
    /// Estimated prefill backlog of other requests, in tokens.
    pub prefill_backlog_tokens: u32,
    /// Expected cost of a failure, from the endpoint's recent failure rate.
    pub failure_cost: Duration,
    /// Expected loss if the request is a stream.
    pub stream_loss: StreamLoss,
    /// Cost of a new connection; zero if an idle one can be used.
    pub connection_cost: Duration,
    /// Whether a recent connection attempt to the endpoint failed.
    pub avoided: bool,
    /// Whether the endpoint advertises a rate limit.
    pub is_rate_limited: bool,
}

/// How far an endpoint is from an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Distance {
    /// In the same hall.
    SameHall,
    /// In another hall of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// Returns the distance between two halls. Halls of unknown regions are assumed to be
    /// in the same region.
    pub fn between(hall: &str, other: &str, regions: &HallRegions) -> Self {
        match (regions.get(hall), regions.get(other)) {
            _ if hall == other => Self::SameHall,
            (Some(region), Some(other)) if region != other => Self::OtherRegion,
            _ => Self::SameRegion,
        }
    }

    /// Expected cost of a request over this distance.
    fn cost(self) -> f64 {
        match self {
            Self::SameHall => 0.0,
            Self::SameRegion => OTHER_HALL_MS,
            Self::OtherRegion => OTHER_REGION_MS,
        }
    }
}

/// Where an endpoint would get an adapter from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterLocation {
    /// The adapter is loaded and ready for requests.
    Resident,
    /// The adapter is being loaded.
    Loading,
    /// The adapter was resident recently, so it can be loaded from a copy in the VM's
    /// memory.
    HostMemory,
    /// The adapter has to be fetched from the weight store.
    WeightStore,
}

/// Placement policies. All but [`PlacementPolicy::LeastCost`] are baselines for
/// benchmarks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PlacementPolicy {
    /// The endpoint with the least cost.
    #[default]
    LeastCost,
    /// A random endpoint.
    Random,
    /// The endpoint with the fewest requests.
    FewestRequests,
    /// The home endpoint of the adapter, regardless of its load.
    HomeEndpoint,
}

/// Cost of a new connection: a handshake of 2 ms and the price of a connection. It decides
/// only between endpoints of otherwise equal cost.
pub const NEW_CONNECTION_COST: Duration = Duration::from_millis(5);
/// Cost of sending to another hall: traffic between halls is charged. By the deployments'
/// price lists, a short request costs about a thirtieth of the value of its answer.
const OTHER_HALL_MS: f64 = 25.0;
/// Cost of sending to another region: the hold, the connection and the request take a
/// round trip each, of about 24 ms, and the traffic is charged as between halls or more.
const OTHER_REGION_MS: f64 = 100.0;
/// Time to load an adapter from a weight store that is not busy: 250 to 270 ms.
const LOAD_MS: f64 = 260.0;
/// Price of a fetch: a little less than half of the value of a short answer. Waiting this
/// much longer for an endpoint that needs no fetch pays off.
const FETCH_MS: f64 = 150.0;
/// Tokens of a short prompt, the reference for [`FETCH_MS`].
const SHORT_PROMPT_TOKENS: f64 = 700.0;
/// Time to load an adapter from the memory of the engine's VM (27 to 35 ms), doubled to
/// account for the adapter that is evicted.
const HOST_COPY_LOAD_MS: f64 = 60.0;
/// Mean remaining time of a base model load: half of its duration. Kept below the cost of
/// a few more adapters at another endpoint, so that requests wait for their home
/// endpoint.
const BASE_LOAD_REMAINING_MS: f64 = 150.0;
/// Mean remaining time of an adapter load: half of its duration.
const LOAD_REMAINING_MS: f64 = 130.0;
/// Cost of each load ahead, which shares the store and the endpoint's link.
const LOAD_AHEAD_MS: f64 = 60.0;
/// Wait until a running request frees an adapter slot: about half of a typical answer.
const NO_FREE_SLOT_MS: f64 = 300.0;
/// Cost of each step in the adapter's rendezvous ranking, so that entries without load
/// information choose the same endpoint.
const RANK_MS: f64 = 40.0;
/// Total slowdown that each request in the batch causes to the others.
const RUNNING_MS: f64 = 1.5;
/// Prefill time of a typical request, of about 600 tokens.
const TYPICAL_PREFILL_MS: f64 = 15.0;
/// Duration of a typical answer of a model engine, the interval at which each slot of a
/// full batch becomes free.
const ANSWER_MS: f64 = 450.0;
/// Prefill time of one prompt token.
const PREFILL_TOKEN_MS: f64 = 1.0 / PREFILL_TOKENS_PER_MS;
/// Cost of a load at a rate-limited endpoint, which may refuse the request after the
/// load, so that the adapter is fetched again elsewhere.
const RATE_LIMITED_LOAD_MS: f64 = 1_000.0;
/// Cost of an endpoint with a recent connection failure, which is chosen only if no other
/// endpoint is left.
const AVOIDED_MS: f64 = 10_000.0;
/// Response time of a plain service without recorded answers; calls of the deployed
/// services take about 30 ms.
const PLAIN_ANSWER: Duration = Duration::from_millis(30);
/// Response time below which endpoints of a plain service count as equally fast: a small
/// part of the objectives of 150 ms and more. The odds would exaggerate shorter times.
const MIN_PLAIN_ANSWER_MS: f64 = 10.0;
/// Exponent of the odds of an endpoint of a plain service. An endpoint that costs a tenth
/// more gets a fifth as many requests, one that costs half as much again next to none, so
/// that few requests leave a hall whose endpoint has room.
const COST_EXPONENT: i32 = 16;
/// Highest rank that adds cost; endpoints ranked lower cost the same.
const MAX_RANK: usize = 6;

/// Chooses the endpoint for a request that needs an adapter; `None` if no endpoint can
/// serve it. `views` is in the order of [`rank_endpoints`].
pub fn choose_for_adapter(
    views: &[EndpointView],
    disabled_mechanisms: DisabledMechanisms,
) -> Option<usize> {
    let can_serve =
        |v: &EndpointView| v.adapter_location == AdapterLocation::Resident || v.can_load;
    let ranks = disabled_mechanisms.is_enabled(Mechanism::HomeRank);
    let cost =
        |rank: usize, v: &EndpointView| adapter_cost(if ranks { rank } else { 0 }, v);
    least_cost(views, can_serve, cost)
}

/// Chooses the endpoint for a request that any endpoint can run; `None` if there is none.
pub fn choose_any(views: &[EndpointView], answer_time: Duration) -> Option<usize> {
    let per_request = answer_time.as_secs_f64() * 1000.0;
    least_cost(views, |_| true, |_, v| common_cost(v) + queue_cost(v, per_request))
}

/// Chooses the endpoint for a request to a plain service; `None` if there is none.
///
/// `response_times` holds the expected response time of each endpoint, zero if unknown;
/// it is then assumed to be the median of the others.
/// `pick` is uniformly distributed in 0..1. The odds of an endpoint fall with its cost:
/// entries that learned the same would all choose the endpoint with the least cost and
/// overload it before they learn that.
pub fn choose_plain(
    views: &[EndpointView],
    response_times: &[Duration],
    pick: f64,
) -> Option<usize> {
    let mut known: Vec<_> = response_times.iter().filter(|t| !t.is_zero()).collect();
    known.sort_unstable();
    let assumed = known.get(known.len() / 2).map_or(PLAIN_ANSWER, |time| **time);
    let cost = |(v, time): (&EndpointView, &Duration)| match time.is_zero() {
        true => plain_cost(v, assumed),
        false => plain_cost(v, *time),
    };
    let costs: Vec<_> = views.iter().zip(response_times).map(cost).collect();
    let least = costs.iter().copied().min_by(f64::total_cmp)?;
    let odds = |cost: &f64| (least / cost).powi(COST_EXPONENT);
    let mut point = pick * costs.iter().map(odds).sum::<f64>();
    let is_chosen = |cost: &f64| {
        point -= odds(cost);
        point < 0.0
    };
    costs.iter().position(is_chosen).or_else(|| costs.iter().position(|c| *c == least))
}

/// Returns the expected time to a good answer of a plain service, in milliseconds.
pub fn plain_cost(v: &EndpointView, response_time: Duration) -> f64 {
    let response_ms = response_time.as_secs_f64() * 1000.0;
    let load = f64::from(v.running) / f64::from(v.max_concurrent.max(1));
    // The cost of a new connection would hold an entry at the endpoints that it used last,
    // and spreading its requests matters more.
    common_cost(v) - connection_cost(v)
        + response_ms.max(MIN_PLAIN_ANSWER_MS) * (1.0 + load)
}

/// Expected queueing time at a plain service.
fn queue_cost(v: &EndpointView, per_request: f64) -> f64 {
    f64::from(v.running) * per_request / f64::from(v.max_concurrent.max(1))
}

fn adapter_cost(rank: usize, v: &EndpointView) -> f64 {
    let rank_cost = RANK_MS * rank.min(MAX_RANK) as f64;
    let load = match v.adapter_location {
        AdapterLocation::Resident => 0.0,
        AdapterLocation::Loading => LOAD_REMAINING_MS,
        AdapterLocation::HostMemory => HOST_COPY_LOAD_MS + load_wait_cost(v),
        AdapterLocation::WeightStore => {
            LOAD_MS + fetch_cost(v) + rank_cost + load_wait_cost(v)
        }
    };
    let rated = match v.adapter_location {
        AdapterLocation::Resident => 0.0,
        _ if v.is_rate_limited => RATE_LIMITED_LOAD_MS,
        _ => 0.0,
    };
    common_cost(v) + load + rated + batch_cost(v)
}

/// Price of a fetch in proportion to the value of the answer, which is higher for longer
/// prompts.
fn fetch_cost(v: &EndpointView) -> f64 {
    FETCH_MS * (SHORT_PROMPT_TOKENS / f64::from(v.uncached_prompt_tokens.max(1))).min(1.0)
}

/// Wait until a load would begin.
fn load_wait_cost(v: &EndpointView) -> f64 {
    let ahead = LOAD_AHEAD_MS * f64::from(v.loads_ahead);
    let slot_wait = if v.free_adapter_slots == 0 { NO_FREE_SLOT_MS } else { 0.0 };
    let base_load = if v.loading_base { BASE_LOAD_REMAINING_MS } else { 0.0 };
    ahead + slot_wait + base_load
}

/// Returns the cost of adding the request to the endpoint's batch.
pub fn batch_cost(v: &EndpointView) -> f64 {
    let excess = (v.running + 1).saturating_sub(v.max_concurrent);
    let queue = f64::from(excess) * ANSWER_MS / f64::from(v.max_concurrent.max(1));
    // Requests that end during the prefill are replaced by others, which need prefill
    // too.
    let replacements = f64::from(v.uncached_prompt_tokens) * PREFILL_TOKEN_MS / ANSWER_MS;
    let backlog = f64::from(v.prefill_backlog_tokens) * PREFILL_TOKEN_MS;
    backlog
        + queue
        + f64::from(v.running) * (RUNNING_MS + replacements * TYPICAL_PREFILL_MS)
}

fn common_cost(v: &EndpointView) -> f64 {
    let avoided = if v.avoided { AVOIDED_MS } else { 0.0 };
    let quality = v.failure_cost.as_secs_f64() * 1000.0;
    v.distance.cost()
        + avoided
        + quality
        + connection_cost(v)
        + f64::from(v.uncached_prompt_tokens) * PREFILL_TOKEN_MS
}

fn connection_cost(v: &EndpointView) -> f64 {
    v.connection_cost.as_secs_f64() * 1000.0
}

fn least_cost(
    views: &[EndpointView],
    can_serve: impl Fn(&EndpointView) -> bool,
    cost: impl Fn(usize, &EndpointView) -> f64,
) -> Option<usize> {
    let candidates = views.iter().enumerate().filter(|(_, v)| can_serve(v));
    let costs = candidates.map(|(rank, v)| (cost(rank, v), rank));
    costs.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, at)| at)
}

/// Sorts endpoints by their rendezvous weight for a target, the home endpoint first, so
/// that all entries agree on the order without communication.
pub fn rank_endpoints<T>(
    target: TargetHash,
    mut endpoints: Vec<T>,
    id: impl Fn(&T) -> &Incarnation,
) -> Vec<T> {
    endpoints
        .sort_by_cached_key(|e| Reverse(rendezvous_weight(id(e).as_bytes(), target)));
    endpoints
}

/// Returns the rendezvous weight of `id` for a target; the highest weight ranks first.
pub fn rendezvous_weight(id: &[u8], target: TargetHash) -> u64 {
    xxh3_64_with_seed(id, target)
}

/// Returns whether an adapter that is resident only in other halls should also be loaded
/// in this hall.
///
/// A load costs about as much as thirteen requests to another hall of the region, and
/// demand for an adapter lasts about ten seconds. `distance` is that of the requests.
pub fn should_load_in_hall(rate_in_hall: f64, distance: Distance) -> bool {
    const LOAD_COST: f64 = 13.0 * OTHER_HALL_MS;
    const DEMAND_LIFETIME: Duration = Duration::from_secs(10);
    rate_in_hall * DEMAND_LIFETIME.as_secs_f64() * distance.cost() > LOAD_COST
}
