//! Which version of an adapter a request gets.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::{AdapterId, VersionId};

/// The newest versions that were named.
#[derive(Debug, Default, Clone)]
pub struct Versions {
    named: HashMap<AdapterId, Named>,
}

#[derive(Debug, Clone)]
struct Named {
    number: u64,
    version: VersionId,
    /// The version before, and when the newer one was learned of.
    before: Option<(VersionId, Instant)>,
}

/// The version of an adapter for which none was named.
const FIRST_VERSION: u64 = 1;
/// How long requests may still get the version before, if the newer one is not loaded
/// anywhere: half of the five seconds that the platform's operators allow.
const REPLACE_WITHIN: Duration = Duration::from_millis(2500);
/// How long a request that was sent on the version before may wait at its engine until it
/// begins. A second of the five that the operators allow is kept for the time in which the
/// newer version was learned of and for the way of the cancellation.
const BEGIN_WITHIN: Duration = Duration::from_millis(4000);

impl Versions {
    /// Records a named version; one that is not newer changes nothing.
    pub fn name(&mut self, now: Instant, adapter: &AdapterId, number: u64) -> bool {
        let old = self.named.get(adapter);
        let old_number = old.map_or(FIRST_VERSION, |n| n.number);
        if number <= old_number {
            return false;
        }
        let before = old.map_or_else(|| version_id(FIRST_VERSION), |n| n.version.clone());
        let named =
            Named { number, version: version_id(number), before: Some((before, now)) };
        self.named.insert(adapter.clone(), named);
        true
    }

    /// Returns the newest version of an adapter.
    pub fn newest(&self, adapter: &AdapterId) -> VersionId {
        self.named
            .get(adapter)
            .map_or_else(|| version_id(FIRST_VERSION), |n| n.version.clone())
    }

    /// Returns the version before the newest one, while requests may still get it.
    pub fn still_allowed(&self, now: Instant, adapter: &AdapterId) -> Option<VersionId> {
        let (before, since) = self.named.get(adapter)?.before.as_ref()?;
        let age = now.saturating_duration_since(*since);
        (age < REPLACE_WITHIN).then(|| before.clone())
    }

    /// Returns until when a request may begin on `version`; `None` if it is the newest.
    pub fn begin_by(&self, adapter: &AdapterId, version: &VersionId) -> Option<Instant> {
        let named = self.named.get(adapter)?;
        let (before, since) = named.before.as_ref()?;
        match version {
            v if *v == named.version => None,
            v if v == before => Some(*since + BEGIN_WITHIN),
            _ => Some(*since),
        }
    }

    /// Returns all named versions.
    pub fn all(&self) -> impl Iterator<Item = (&AdapterId, u64)> {
        self.named.iter().map(|(adapter, named)| (adapter, named.number))
    }
}

/// Returns the name of a version by its number.
pub fn version_id(number: u64) -> VersionId {
    number.to_string().into()
}
