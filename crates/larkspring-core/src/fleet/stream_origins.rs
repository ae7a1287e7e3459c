//! Where streams began.
//!
//! What two versions of an endpoint's software write does not fit together, so a stream
//! goes on only at the service and the version that began it. Callers take streams up at
//! any entry, by the id of the attempt that brought the first event. So that fact has to
//! outlive the entry that learned it: entries tell it to several agents, which keep it
//! for as long as callers may come back. They tell it when they send the request, so that
//! agents know it by the time at which the caller has an event.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::build_history::ServiceBuild;
use super::choose::rendezvous_weight;
use crate::ids::{BuildId, HallId, ServiceId};

/// Where a stream began.
pub type StreamOrigin = ServiceBuild;

/// Hash of the id of the attempt that brought the first event of a stream.
pub type StreamKey = u64;

/// What is known of the beginning of a request's stream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum StreamStart {
    /// The caller has no event yet, so the stream may begin anywhere.
    #[default]
    NotBegun,
    /// The stream began there and may go on at no other software.
    At(StreamOrigin),
    /// The stream began at an endpoint whose software version is not known.
    Unknown,
}

impl StreamStart {
    /// Records that the caller gets events of an endpoint.
    pub fn begin(&mut self, service: &ServiceId, build: Option<&BuildId>) {
        if *self != Self::NotBegun {
            return;
        }
        *self = match build {
            None => Self::Unknown,
            Some(build) => {
                let (service, build) = (service.clone(), build.clone());
                Self::At(StreamOrigin { service, build })
            }
        };
    }

    /// Returns whether the stream may go on at an endpoint with this software version.
    pub fn allows(&self, build: Option<&BuildId>) -> bool {
        match self {
            Self::NotBegun => true,
            Self::At(origin) => build == Some(&origin.build),
            Self::Unknown => false,
        }
    }
}

/// How far the stream of an attempt had come at a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamStage {
    /// The request was sent there, and its caller may get events of it.
    Sent,
    /// The caller gets events of it.
    Begun,
}

/// What is kept of the streams of one attempt id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeptOrigin {
    /// Nothing: the request was not sent, or that was not told or was lost.
    Unknown,
    /// The request was sent there only, so a stream that began did so there.
    Sent(StreamOrigin),
    /// The request was sent to different software, and none is known to have begun it.
    SentToSeveral,
    /// All streams that began did so there.
    Begun(StreamOrigin),
    /// Several began at different software, and can't be told apart.
    Ambiguous,
}

impl KeptOrigin {
    /// Creates what one place says.
    pub fn new(origin: StreamOrigin, stage: StreamStage) -> Self {
        match stage {
            StreamStage::Sent => Self::Sent(origin),
            StreamStage::Begun => Self::Begun(origin),
        }
    }

    /// Returns where a stream began of which the caller has events, if that is certain.
    pub fn origin(&self) -> Option<&StreamOrigin> {
        match self {
            Self::Sent(origin) | Self::Begun(origin) => Some(origin),
            Self::Unknown | Self::SentToSeveral | Self::Ambiguous => None,
        }
    }

    /// Combines what two processes keep.
    pub fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, known) | (known, Self::Unknown) => known,
            (Self::Ambiguous, _) | (_, Self::Ambiguous) => Self::Ambiguous,
            (Self::Begun(a), Self::Begun(b)) if a == b => Self::Begun(a),
            (Self::Begun(_), Self::Begun(_)) => Self::Ambiguous,
            (begun @ Self::Begun(_), _) | (_, begun @ Self::Begun(_)) => begun,
            (Self::Sent(a), Self::Sent(b)) if a == b => Self::Sent(a),
            (Self::Sent(_) | Self::SentToSeveral, _) => Self::SentToSeveral,
        }
    }
}

/// The origins of recent streams.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    origins: HashMap<StreamKey, Kept>,
    /// The keys by the end of their time.
    ends: BTreeSet<(Instant, StreamKey)>,
}

#[derive(Debug)]
struct Kept {
    origin: KeptOrigin,
    until: Instant,
}

/// Longest time for which an origin is kept.
pub const MAX_KEPT: Duration = Duration::from_secs(120);
/// Limits the origins that are kept; the ones that end first give way.
const MAX_ORIGINS: usize = 64 * 1024;

impl StreamOrigins {
    /// Keeps where a stream was sent or began until `until`, at most for [`MAX_KEPT`].
    ///
    /// Two streams with the same key can't be told apart, so neither has an origin unless
    /// both have the same.
    pub fn record(
        &mut self,
        now: Instant,
        key: StreamKey,
        origin: KeptOrigin,
        until: Instant,
    ) {
        self.expire(now);
        let until = until.min(now + MAX_KEPT);
        let kept = Kept { origin, until };
        let kept = match self.origins.remove(&key) {
            None => kept,
            Some(before) => {
                self.ends.remove(&(before.until, key));
                let origin = before.origin.merge(kept.origin);
                Kept { origin, until: until.max(before.until) }
            }
        };
        self.ends.insert((kept.until, key));
        self.origins.insert(key, kept);
        if self.origins.len() > MAX_ORIGINS {
            if let Some((_, key)) = self.ends.pop_first() {
                self.origins.remove(&key);
            }
        }
    }

    /// Returns where a stream began.
    pub fn get(&mut self, now: Instant, key: StreamKey) -> KeptOrigin {
        self.expire(now);
        let kept = self.origins.get(&key);
        kept.map_or(KeptOrigin::Unknown, |kept| kept.origin.clone())
    }

    /// Returns the number of streams that are kept.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&(until, key)) = self.ends.first() {
            if until > now {
                return;
            }
            self.ends.pop_first();
            self.origins.remove(&key);
        }
    }
}

/// Number of agents that keep where a stream began.
pub const KEEPERS: usize = 3;

/// Limits the agents of a fleet that keep origins, and so the connections of an entry for
/// them.
pub const MAX_KEEPER_SET: usize = 64;
/// Key by which the agents of [`keeper_set`] are ranked.
const KEEPER_SET_KEY: u64 = 0;

/// Returns the agents of a fleet that keep origins of streams, at most
/// [`MAX_KEEPER_SET`]. Entries that list the same agents agree on them.
///
/// `agents` are the agents' names and a value; one agent may come twice.
pub fn keeper_set<'a, T>(agents: impl Iterator<Item = (&'a [u8], T)>) -> Vec<T> {
    let weighted = agents.map(|(name, it)| (rendezvous_weight(name, KEEPER_SET_KEY), it));
    let mut ranked: Vec<_> = weighted.collect();
    ranked.sort_by_key(|(weight, _)| Reverse(*weight));
    ranked.dedup_by_key(|(weight, _)| *weight);
    ranked.into_iter().take(MAX_KEEPER_SET).map(|(_, agent)| agent).collect()
}

/// An agent that may keep where streams began.
#[derive(Debug, Clone)]
pub struct Keeper<T> {
    /// The hall of its VM.
    pub hall: HallId,
    /// Whether its engine is draining, so that the agent will leave with it.
    pub is_leaving: bool,
    /// The agent.
    pub agent: T,
}

/// Returns the agents that are told where a stream began, at most [`KEEPERS`]: those that
/// stay come before those that leave. Entries that list the same agents agree on them.
///
/// `agents` are the agents' names with the agents; one agent may come twice.
pub fn told_keepers<'a, T>(
    key: StreamKey,
    agents: impl Iterator<Item = (&'a [u8], &'a Keeper<T>)> + Clone,
) -> Vec<&'a T> {
    let ranked = |is_leaving: bool| {
        let some =
            agents.clone().filter(move |(_, keeper)| keeper.is_leaving == is_leaving);
        keepers(key, some.map(|(name, keeper)| (name, &keeper.hall, &keeper.agent)))
    };
    let mut told = ranked(false);
    told.extend(ranked(true));
    told.truncate(KEEPERS);
    told
}

/// Returns the agents that are asked where a stream began: those that are told, and those
/// that were told before agents began to leave.
pub fn asked_keepers<'a, T>(
    key: StreamKey,
    agents: impl Iterator<Item = (&'a [u8], &'a Keeper<T>)> + Clone,
    is_same: impl Fn(&T, &T) -> bool,
) -> Vec<&'a T> {
    let mut asked = told_keepers(key, agents.clone());
    let all = agents.map(|(name, keeper)| (name, &keeper.hall, &keeper.agent));
    for former in keepers(key, all) {
        if !asked.iter().any(|known| is_same(known, former)) {
            asked.push(former);
        }
    }
    asked
}

/// Returns the agents that keep the origin of a stream, at most [`KEEPERS`], in several
/// halls if there are. Entries that list the same agents agree on them.
///
/// `agents` are the agents' names with their halls and a value; one agent may come twice.
pub fn keepers<'a, T>(
    key: StreamKey,
    agents: impl Iterator<Item = (&'a [u8], &'a HallId, T)>,
) -> Vec<T> {
    let mut halls: Vec<(&HallId, Vec<(u64, T)>)> = Vec::new();
    for (name, hall, agent) in agents {
        let weight = rendezvous_weight(name, key);
        let at = halls.iter().position(|(known, _)| *known == hall);
        let at = at.unwrap_or_else(|| {
            halls.push((hall, Vec::new()));
            halls.len() - 1
        });
        let first = &mut halls[at].1;
        let place = first.partition_point(|(known, _)| *known > weight);
        let is_known = first.get(place).is_some_and(|(known, _)| *known == weight);
        if place < KEEPERS && !is_known {
            first.insert(place, (weight, agent));
            first.truncate(KEEPERS);
        }
    }
    // The first of each hall come before the second of any.
    let mut ranked: Vec<_> = halls
        .into_iter()
        .flat_map(|(_, first)| first.into_iter().enumerate())
        .map(|(place, (weight, agent))| (place, Reverse(weight), agent))
        .collect();
    ranked.sort_by_key(|(place, weight, _)| (*place, *weight));
    ranked.into_iter().take(KEEPERS).map(|(_, _, agent)| agent).collect()
}
