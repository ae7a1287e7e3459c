//! Which endpoint is sent a request.
//!
//! Every cost is a time in milliseconds that the caller would wait, or what a price is
//! worth in such time. The endpoint with the least cost is chosen.

use std::cmp::Reverse;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::mechanisms::{Mechanism, Without};
use super::reading::TOKENS_PER_MS;
use crate::ids::{Incarnation, TargetHash};

/// What an entry knows of one endpoint when it places a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct View {
    /// Whether it stands in the entry's hall.
    pub same_hall: bool,
    /// Whether it holds what the request names.
    pub holding: Holding,
    /// Requests at the endpoint, of all entries as far as known.
    pub running: u32,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Adapters that could be taken in without waiting for a running request.
    pub free_places: u32,
    /// Loads that a new one would wait behind.
    pub loads_ahead: u32,
    /// Whether its agent can be asked to load an adapter.
    pub can_load: bool,
    /// Whether it is still being given its base model.
    pub filling: bool,
    /// Tokens of the prompt that would have to be read.
    pub prompt_tokens: u32,
    /// Tokens of other prompts that it has still to read, as far as known.
    pub reading: u32,
    /// What its recent failures cost.
    pub quality: Duration,
    /// Whether no connection to it came up a moment ago.
    pub avoided: bool,
    /// Whether it takes a limited rate of requests.
    pub rated: bool,
}

/// Whether an endpoint holds an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holding {
    /// Ready for requests.
    Resident,
    /// On its way.
    Loading,
    /// Held lately, so that a copy in the memory of its VM is loaded.
    Copied,
    /// None of these: it has to come from the weight store.
    Absent,
}

/// How requests are placed; all but the first are baselines for measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Placement {
    /// By the least cost.
    #[default]
    Cost,
    /// Any endpoint.
    Random,
    /// The endpoint with the fewest requests.
    Least,
    /// The home of the adapter, whatever its load.
    Home,
}

/// Cost of another hall: bytes between halls are charged; a short request costs about a
/// thirtieth of what its answer is worth (the deployments' price lists).
const CROSSING_MS: f64 = 25.0;
/// Time for an adapter from the weight store when few are fetched (measured: 250 to
/// 270 ms).
const LOAD_MS: f64 = 260.0;
/// Price of that fetch: a little less than half of what a short answer is worth, so it
/// pays to wait this much longer where the adapter need not be fetched.
const FETCH_MS: f64 = 150.0;
/// Tokens of a short prompt, against whose answer [`FETCH_MS`] is weighed.
const SHORT_PROMPT: f64 = 700.0;
/// Time for an adapter from the memory of the engine's VM (measured: 27 to 35 ms), and as
/// much again for the adapter that loses its place.
const COPIED_MS: f64 = 60.0;
/// Time until an engine holds its base model, half of it on average; small against what a
/// few adapters more at another endpoint would take, so that homes are waited for.
const FILLING_MS: f64 = 150.0;
/// Time until an adapter that is on its way is ready: half of a load on average.
const LOADING_MS: f64 = 130.0;
/// Each load ahead shares the store and the endpoint's link.
const LOAD_AHEAD_MS: f64 = 60.0;
/// Wait until a running request frees a place: about half of a typical answer.
const NO_PLACE_MS: f64 = 300.0;
/// Each step away from the home of an adapter, so that entries which know nothing agree.
const RANK_MS: f64 = 40.0;
/// Each request in the batch slows the others by about this much in all.
const RUNNING_MS: f64 = 1.5;
/// Time to read the prompt of a typical other request (about 600 tokens).
const OTHER_READ_MS: f64 = 15.0;
/// A typical answer of a model engine; a full batch frees places at this pace.
const ANSWER_MS: f64 = 450.0;
/// Time to read a token of a prompt.
const TOKEN_MS: f64 = 1.0 / TOKENS_PER_MS;
/// Cost of a load at an endpoint that takes a limited rate: the adapter may be of no use
/// there, and is then fetched once more elsewhere.
const RATED_LOAD_MS: f64 = 1_000.0;
/// Cost of an endpoint that no connection came up to: only taken if all are like it.
const AVOIDED_MS: f64 = 10_000.0;
/// Ranks that are told apart; far ones are alike.
const MAX_RANK: usize = 6;

/// Chooses among `views` for a request that needs an adapter, in the order of
/// [`ranked`]; `None` if none can serve it.
pub fn for_adapter(views: &[View], without: Without) -> Option<usize> {
    let fit = |v: &View| v.holding == Holding::Resident || v.can_load;
    let ranks = without.uses(Mechanism::HomeRank);
    let cost = |rank: usize, v: &View| adapter_cost(if ranks { rank } else { 0 }, v);
    least(views, fit, cost)
}

/// Chooses among `views` for a request that any endpoint can run.
pub fn for_any(views: &[View], answer_time: Duration) -> Option<usize> {
    let per_request = answer_time.as_secs_f64() * 1000.0;
    least(views, |_| true, |_, v| common_cost(v) + waiting_cost(v, per_request))
}

/// Cost of one more answer at a plain service.
fn waiting_cost(v: &View, per_request: f64) -> f64 {
    f64::from(v.running) * per_request / f64::from(v.slots.max(1))
}

fn adapter_cost(rank: usize, v: &View) -> f64 {
    let home = RANK_MS * rank.min(MAX_RANK) as f64;
    let load = match v.holding {
        Holding::Resident => 0.0,
        Holding::Loading => LOADING_MS,
        Holding::Copied => COPIED_MS + turn_cost(v),
        Holding::Absent => LOAD_MS + fetch_cost(v) + home + turn_cost(v),
    };
    let rated = match v.holding {
        Holding::Resident => 0.0,
        _ if v.rated => RATED_LOAD_MS,
        _ => 0.0,
    };
    common_cost(v) + load + rated + batch_cost(v)
}

/// Price of a fetch, which weighs less against the answer to a longer prompt.
fn fetch_cost(v: &View) -> f64 {
    FETCH_MS * (SHORT_PROMPT / f64::from(v.prompt_tokens.max(1))).min(1.0)
}

/// Wait until a load would begin.
fn turn_cost(v: &View) -> f64 {
    let ahead = LOAD_AHEAD_MS * f64::from(v.loads_ahead);
    let place = if v.free_places == 0 { NO_PLACE_MS } else { 0.0 };
    let filling = if v.filling { FILLING_MS } else { 0.0 };
    ahead + place + filling
}

/// Cost of a batch with one more request.
pub fn batch_cost(v: &View) -> f64 {
    let over = (v.running + 1).saturating_sub(v.slots);
    let queue = f64::from(over) * ANSWER_MS / f64::from(v.slots.max(1));
    // Those that end while the prompt is read are followed by others, which are read too.
    let follow = f64::from(v.prompt_tokens) * TOKEN_MS / ANSWER_MS;
    let reading = f64::from(v.reading) * TOKEN_MS;
    reading + queue + f64::from(v.running) * (RUNNING_MS + follow * OTHER_READ_MS)
}

fn common_cost(v: &View) -> f64 {
    let crossing = if v.same_hall { 0.0 } else { CROSSING_MS };
    let avoided = if v.avoided { AVOIDED_MS } else { 0.0 };
    let quality = v.quality.as_secs_f64() * 1000.0;
    crossing + avoided + quality + f64::from(v.prompt_tokens) * TOKEN_MS
}

fn least(
    views: &[View],
    fit: impl Fn(&View) -> bool,
    cost: impl Fn(usize, &View) -> f64,
) -> Option<usize> {
    let open = views.iter().enumerate().filter(|(_, v)| fit(v));
    let costs = open.map(|(rank, v)| (cost(rank, v), rank));
    costs.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, at)| at)
}

/// Sorts endpoints by their rendezvous weight for a target, the home first, so that all
/// entries agree on the home without talking.
pub fn ranked<T>(
    target: TargetHash,
    mut endpoints: Vec<T>,
    id: impl Fn(&T) -> &Incarnation,
) -> Vec<T> {
    endpoints.sort_by_cached_key(|e| Reverse(weight(id(e).as_bytes(), target)));
    endpoints
}

/// Rendezvous weight of what `id` names for a target; the heaviest ranks first.
pub fn weight(id: &[u8], target: TargetHash) -> u64 {
    xxh3_64_with_seed(id, target)
}

/// Whether an adapter that is held in other halls only deserves a copy in this one.
///
/// A copy costs a load, which is worth about thirteen crossings, and it lasts for about ten
/// seconds before popularity has moved on.
pub fn copy_pays(rate_in_hall: f64) -> bool {
    const CROSSINGS_A_LOAD: f64 = 13.0;
    const LASTS: Duration = Duration::from_secs(10);
    rate_in_hall * LASTS.as_secs_f64() > CROSSINGS_A_LOAD
}
