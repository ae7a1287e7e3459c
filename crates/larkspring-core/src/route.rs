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
    policy: RoutingPolicy,
    shards: [Mutex<HashMap<EndpointId, EndpointState>>; SHARDS],
}

/// The policy by which an endpoint is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// The candidate with the shortest predicted wait.
    ShortestWait,
    /// A random endpoint; a baseline.
    Random,
    /// The endpoint with the fewest requests of this entry; a baseline.
    FewestRequests,
    /// The first endpoint by rendezvous hashing; a baseline.
    Hash,
}

/// An agent's load report on its endpoint.
#[derive(Debug, Clone, Default)]
pub struct LoadReport {
    /// Requests that run in the endpoint.
    pub running: u32,
    /// Requests that wait at the endpoint's agent.
    pub waiting: u32,
    /// Adapters that are resident or being loaded.
    pub resident: Vec<TargetHash>,
    /// Whether the endpoint is draining.
    pub draining: bool,
}

#[derive(Debug, Default)]
struct EndpointState {
    load_report: LoadReport,
    /// Requests of this entry in progress at the endpoint.
    outstanding: u32,
    /// Until when the endpoint is avoided.
    avoid_until: Option<Instant>,
}

const SHARDS: usize = 16;
/// Number of candidates of a model request by rendezvous hashing.
const MAX_CANDIDATES: usize = 3;
/// Predicted cost of a load, in requests ahead in the queue.
const LOAD_COST: u32 = 16;
/// Cost of each higher-ranked candidate that is skipped, in requests ahead in the queue,
/// so that entries without information about an adapter agree on where it is loaded.
const RANK_COST: u32 = 8;
/// How long an endpoint that could not be reached is avoided.
const UNREACHABLE_AVOIDANCE: Duration = Duration::from_secs(1);
/// How long a draining endpoint is avoided.
const DRAINING_AVOIDANCE: Duration = Duration::from_secs(10);

impl RoutingPolicy {
    /// Parses the name used in settings.
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "" | "predicted" => Some(Self::ShortestWait),
            "random" => Some(Self::Random),
            "least" => Some(Self::FewestRequests),
            "hash" => Some(Self::Hash),
            _ => None,
        }
    }
}

impl Router {
    /// Creates a router without endpoint states.
    pub fn new(policy: RoutingPolicy) -> Self {
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
        let is_usable = |e: &&Arc<Endpoint>| {
            !e.draining && !tried.contains(&e.name) && !self.is_avoided(now, &e.name)
        };
        let usable: Vec<_> = endpoints.iter().copied().filter(is_usable).collect();
        let chosen = match (self.policy, target) {
            (RoutingPolicy::Random, _) => rng.choice(usable),
            (RoutingPolicy::ShortestWait, Some(target)) => {
                let candidates =
                    rank_endpoints(usable, target).into_iter().take(MAX_CANDIDATES);
                let costs = candidates.enumerate().map(|(rank, e)| {
                    (self.cost(&e.name, target) + RANK_COST * rank as u32, e)
                });
                costs.min_by_key(|(cost, _)| *cost).map(|(_, e)| e)
            }
            (RoutingPolicy::Hash, Some(target)) => {
                rank_endpoints(usable, target).into_iter().next()
            }
            (_, None) | (RoutingPolicy::FewestRequests, _) => {
                self.fewest_requests(usable, rng)
            }
        };
        chosen.cloned()
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_sent(&self, name: &EndpointId) {
        self.with_state(name, |known| known.outstanding += 1);
    }

    /// Records that a request at an endpoint ended.
    pub fn record_done(&self, name: &EndpointId) {
        self.with_state(name, |known| {
            known.outstanding = known.outstanding.saturating_sub(1)
        });
    }

    /// Records an agent's load report.
    pub fn record_load_report(&self, now: Instant, name: &EndpointId, hint: LoadReport) {
        self.with_state(name, |known| {
            known.avoid_until = hint.draining.then(|| now + DRAINING_AVOIDANCE);
            known.load_report = hint;
        });
    }

    /// Records that an endpoint could not be reached.
    pub fn record_unreachable(&self, now: Instant, name: &EndpointId) {
        self.with_state(name, |known| {
            known.avoid_until = Some(now + UNREACHABLE_AVOIDANCE)
        });
    }

    /// Removes the endpoints that are no longer declared.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        for shard in &self.shards {
            shard.lock().retain(|name, known| keep(name) || known.outstanding > 0);
        }
    }

    /// Predicted wait at an endpoint, in requests ahead in the queue.
    fn cost(&self, name: &EndpointId, target: TargetHash) -> u32 {
        self.with_state(name, |known| {
            let queue = known.load_report.waiting
                + known.outstanding.max(known.load_report.running);
            let resident = known.load_report.resident.contains(&target);
            queue + if resident { 0 } else { LOAD_COST }
        })
    }

    fn fewest_requests<'a>(
        &self,
        usable: Vec<&'a Arc<Endpoint>>,
        rng: &mut Rng,
    ) -> Option<&'a Arc<Endpoint>> {
        let load =
            |e: &&Arc<Endpoint>| self.with_state(&e.name, |known| known.outstanding);
        usable.into_iter().min_by_key(|e| (load(e), rng.u32(..)))
    }

    fn is_avoided(&self, now: Instant, name: &EndpointId) -> bool {
        self.with_state(name, |known| known.avoid_until.is_some_and(|until| until > now))
    }

    fn with_state<T>(
        &self,
        name: &EndpointId,
        f: impl FnOnce(&mut EndpointState) -> T,
    ) -> T {
        let shard = xxh3_64_with_seed(name.as_bytes(), 0) as usize % SHARDS;
        let mut known = self.shards[shard].lock();
        match known.get_mut(name) {
            Some(known) => f(known),
            None => f(known.entry(name.clone()).or_default()),
        }
    }
}

/// Sorts endpoints by their rendezvous weight for a target, the first choice first.
fn rank_endpoints(
    mut usable: Vec<&Arc<Endpoint>>,
    target: TargetHash,
) -> Vec<&Arc<Endpoint>> {
    let weight = |e: &Arc<Endpoint>| xxh3_64_with_seed(e.name.as_bytes(), target);
    usable.sort_by_cached_key(|e| std::cmp::Reverse(weight(e)));
    usable
}
