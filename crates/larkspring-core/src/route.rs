//! Which endpoint a request is sent to.
//!
//! Candidates follow from declared state alone, by rendezvous hashing, so that entries
//! agree without talking. Among them the choice is by the predicted wait, from hints
//! that agents send along with their replies.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::declared::Endpoint;
use crate::ids::{EndpointId, TargetHash};

/// What one entry has learned of its endpoints, in shards.
#[derive(Debug)]
pub struct Router {
    policy: Policy,
    shards: [Mutex<HashMap<EndpointId, Known>>; SHARDS],
}

/// How an endpoint is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The candidate with the least predicted wait.
    Predicted,
    /// Any endpoint; a baseline.
    Random,
    /// The endpoint with the fewest requests of this entry; a baseline.
    Least,
    /// The first endpoint by rendezvous hashing; a baseline.
    Hash,
}

/// What an agent said of its endpoint.
#[derive(Debug, Clone, Default)]
pub struct Hint {
    /// Requests in the endpoint.
    pub running: u32,
    /// Requests that wait at its agent.
    pub waiting: u32,
    /// Adapters that it holds or loads.
    pub resident: Vec<TargetHash>,
    /// Whether it takes no more requests.
    pub leaving: bool,
}

#[derive(Debug, Default)]
struct Known {
    hint: Hint,
    /// Requests of this entry that are with the endpoint.
    outstanding: u32,
    /// Until when the endpoint is passed over.
    avoid_until: Option<Instant>,
}

const SHARDS: usize = 16;
/// Candidates of a model request by rendezvous hashing.
const CANDIDATES: usize = 3;
/// Predicted cost of a load, in requests ahead in the queue.
const LOAD_COST: u32 = 16;
/// Cost of each candidate that is passed over, in requests ahead in the queue, so that
/// entries which know nothing of an adapter agree on where it is loaded.
const RANK_COST: u32 = 8;
/// How long an endpoint that could not be reached is passed over.
const AVOID: Duration = Duration::from_secs(1);
/// How long an endpoint that said it is leaving is passed over.
const AVOID_LEAVING: Duration = Duration::from_secs(10);

impl Policy {
    /// Reads the name used in settings.
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "" | "predicted" => Some(Self::Predicted),
            "random" => Some(Self::Random),
            "least" => Some(Self::Least),
            "hash" => Some(Self::Hash),
            _ => None,
        }
    }
}

impl Router {
    /// Creates a router that knows nothing of its endpoints.
    pub fn new(policy: Policy) -> Self {
        Self { policy, shards: Default::default() }
    }

    /// Chooses the endpoint for a target, passing over those in `tried`.
    pub fn choose(
        &self,
        now: Instant,
        endpoints: &[&Arc<Endpoint>],
        target: Option<TargetHash>,
        tried: &[EndpointId],
        rng: &mut Rng,
    ) -> Option<Arc<Endpoint>> {
        let usable = |e: &&Arc<Endpoint>| {
            !e.leaving && !tried.contains(&e.name) && !self.avoided(now, &e.name)
        };
        let open: Vec<_> = endpoints.iter().copied().filter(usable).collect();
        let chosen = match (self.policy, target) {
            (Policy::Random, _) => rng.choice(open),
            (Policy::Predicted, Some(target)) => {
                let near = ranked(open, target).into_iter().take(CANDIDATES);
                let costs = near.enumerate().map(|(rank, e)| {
                    (self.cost(&e.name, target) + RANK_COST * rank as u32, e)
                });
                costs.min_by_key(|(cost, _)| *cost).map(|(_, e)| e)
            }
            (Policy::Hash, Some(target)) => ranked(open, target).into_iter().next(),
            (_, None) | (Policy::Least, _) => self.least(open, rng),
        };
        chosen.cloned()
    }

    /// Records that a request goes to an endpoint.
    pub fn sent(&self, name: &EndpointId) {
        self.with(name, |known| known.outstanding += 1);
    }

    /// Records that a request at an endpoint ended.
    pub fn done(&self, name: &EndpointId) {
        self.with(name, |known| known.outstanding = known.outstanding.saturating_sub(1));
    }

    /// Records what an agent said.
    pub fn learn(&self, now: Instant, name: &EndpointId, hint: Hint) {
        self.with(name, |known| {
            known.avoid_until = hint.leaving.then(|| now + AVOID_LEAVING);
            known.hint = hint;
        });
    }

    /// Records that an endpoint could not be reached.
    pub fn unreachable(&self, now: Instant, name: &EndpointId) {
        self.with(name, |known| known.avoid_until = Some(now + AVOID));
    }

    /// Forgets the endpoints that are no longer declared.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        for shard in &self.shards {
            shard.lock().retain(|name, known| keep(name) || known.outstanding > 0);
        }
    }

    /// Predicted wait at an endpoint, in requests ahead.
    fn cost(&self, name: &EndpointId, target: TargetHash) -> u32 {
        self.with(name, |known| {
            let queue = known.hint.waiting + known.outstanding.max(known.hint.running);
            let resident = known.hint.resident.contains(&target);
            queue + if resident { 0 } else { LOAD_COST }
        })
    }

    fn least<'a>(
        &self,
        open: Vec<&'a Arc<Endpoint>>,
        rng: &mut Rng,
    ) -> Option<&'a Arc<Endpoint>> {
        let load = |e: &&Arc<Endpoint>| self.with(&e.name, |known| known.outstanding);
        open.into_iter().min_by_key(|e| (load(e), rng.u32(..)))
    }

    fn avoided(&self, now: Instant, name: &EndpointId) -> bool {
        self.with(name, |known| known.avoid_until.is_some_and(|until| until > now))
    }

    fn with<T>(&self, name: &EndpointId, f: impl FnOnce(&mut Known) -> T) -> T {
        let shard = xxh3_64_with_seed(name.as_bytes(), 0) as usize % SHARDS;
        let mut known = self.shards[shard].lock();
        match known.get_mut(name) {
            Some(known) => f(known),
            None => f(known.entry(name.clone()).or_default()),
        }
    }
}

/// Sorts endpoints by their rendezvous weight for a target, the first choice first.
fn ranked(mut open: Vec<&Arc<Endpoint>>, target: TargetHash) -> Vec<&Arc<Endpoint>> {
    let weight = |e: &Arc<Endpoint>| xxh3_64_with_seed(e.name.as_bytes(), target);
    open.sort_by_cached_key(|e| std::cmp::Reverse(weight(e)));
    open
}
