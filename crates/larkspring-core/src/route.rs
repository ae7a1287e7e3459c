//! Chooses the endpoint for a request.
//!
//! Candidates follow from declared state alone, by rendezvous hashing, so that entries
//! agree without communication. Among the candidates the choice is by predicted wait,
//! from the load reports that agents send with their replies.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::declared::Endpoint;
use crate::ids::{EndpointId, TargetHash};

/// The endpoint states that one entry knows, in shards.
#[derive(Debug)]
pub struct Router {
    policy: Policy,
    shards: [Mutex<HashMap<EndpointId, Known>>; SHARDS],
}

/// The policy by which an endpoint is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The candidate with the shortest predicted wait.
    Predicted,
    /// A random endpoint; a baseline.
    Random,
    /// The endpoint with the fewest requests of this entry; a baseline.
    Least,
    /// The first endpoint by rendezvous hashing; a baseline.
    Hash,
}

/// An agent's load report on its endpoint.
#[derive(Debug, Clone, Default)]
pub struct Hint {
    /// Requests that run in the endpoint.
    pub running: u32,
    /// Requests that wait at the endpoint's agent.
    pub waiting: u32,
    /// Adapters that are resident or being loaded.
    pub resident: Vec<TargetHash>,
    /// Whether the endpoint is draining.
    pub leaving: bool,
}

#[derive(Debug, Default)]
struct Known {
    hint: Hint,
    /// Requests of this entry in progress at the endpoint.
    outstanding: u32,
    /// Until when the endpoint is avoided.
    avoid_until: Option<Instant>,
}

const SHARDS: usize = 16;
/// Number of candidates of a model request by rendezvous hashing.
const CANDIDATES: usize = 3;
/// Predicted cost of a load, in requests ahead in the queue.
const LOAD_COST: u32 = 16;
/// Cost of each higher-ranked candidate that is skipped, in requests ahead in the queue,
/// so that entries without information about an adapter agree on where it is loaded.
const RANK_COST: u32 = 8;
/// How long an endpoint that could not be reached is avoided.
const AVOID: Duration = Duration::from_secs(1);
/// How long a draining endpoint is avoided.
const AVOID_LEAVING: Duration = Duration::from_secs(10);

impl Policy {
    /// Parses the name used in settings.
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
    /// Creates a router without endpoint states.
    pub fn new(policy: Policy) -> Self {
        Self { policy, shards: Default::default() }
    }

    /// Chooses the endpoint for a target, excluding those in `tried`.
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

    /// Records that a request is sent to an endpoint.
    pub fn sent(&self, name: &EndpointId) {
        self.with(name, |known| known.outstanding += 1);
    }

    /// Records that a request at an endpoint ended.
    pub fn done(&self, name: &EndpointId) {
        self.with(name, |known| known.outstanding = known.outstanding.saturating_sub(1));
    }

    /// Records an agent's load report.
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

    /// Removes the endpoints that are no longer declared.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        for shard in &self.shards {
            shard.lock().retain(|name, known| keep(name) || known.outstanding > 0);
        }
    }

    /// Predicted wait at an endpoint, in requests ahead in the queue.
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
