//! Where streams began.
//!
//! What two versions of an endpoint's software write does not fit together, so a stream
//! goes on only at the service and the version that began it. Callers take streams up at
//! any entry, by the id of the attempt that brought the first event. So that fact has to
//! outlive the entry that learned it: entries tell it to several agents, which keep it
//! for as long as callers may come back.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::ids::{BuildId, ServiceId};

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The service of the endpoint.
    pub service: ServiceId,
    /// The version of the endpoint's software.
    pub build: BuildId,
}

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

/// The origins of recent streams.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    /// `None` if several streams of one attempt id began at different software.
    origins: HashMap<StreamKey, Kept>,
    /// The keys by the end of their time.
    ends: BTreeSet<(Instant, StreamKey)>,
}

#[derive(Debug)]
struct Kept {
    origin: Option<StreamOrigin>,
    until: Instant,
}

/// Longest time for which an origin is kept.
pub const MAX_KEPT: Duration = Duration::from_secs(120);
/// Limits the origins that are kept; the ones that end first give way.
const MAX_ORIGINS: usize = 64 * 1024;

impl StreamOrigins {
    /// Keeps where a stream began until `until`, at most for [`MAX_KEPT`].
    ///
    /// Two streams with the same key can't be told apart, so neither has an origin unless
    /// both have the same.
    pub fn record(
        &mut self,
        now: Instant,
        key: StreamKey,
        origin: StreamOrigin,
        until: Instant,
    ) {
        self.expire(now);
        let until = until.min(now + MAX_KEPT);
        let kept = Kept { origin: Some(origin), until };
        let kept = match self.origins.remove(&key) {
            None => kept,
            Some(before) => {
                self.ends.remove(&(before.until, key));
                let is_same = before.origin == kept.origin;
                Kept {
                    origin: kept.origin.filter(|_| is_same),
                    until: until.max(before.until),
                }
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

    /// Returns where a stream began; `None` if that is not known.
    pub fn get(&mut self, now: Instant, key: StreamKey) -> Option<StreamOrigin> {
        self.expire(now);
        self.origins.get(&key)?.origin.clone()
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
