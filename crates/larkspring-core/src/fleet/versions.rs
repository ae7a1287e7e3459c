//! Chooses the adapter version for a request.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::{AdapterId, VersionId};

/// The newest announced version of each adapter.
#[derive(Debug, Default, Clone)]
pub struct Versions {
    named: HashMap<AdapterId, Named>,
}

#[derive(Debug, Clone)]
struct Named {
    number: u64,
    version: VersionId,
    /// The previous version, which remains in use for some time.
    before: Option<Before>,
}

/// A version that was replaced by a newer one.
#[derive(Debug, Clone)]
struct Before {
    version: VersionId,
    /// When the newer version became known.
    replaced: Instant,
    /// Until when requests may be sent with this version.
    send_by: Instant,
    /// Until when these requests may begin.
    begin_by: Instant,
}

/// The version of an adapter without announced versions.
const FIRST_VERSION: u64 = 1;
/// How long requests may still get the previous version if the newer one is not loaded
/// anywhere: half of the five seconds that the platform's operators allow.
const REPLACE_WITHIN: Duration = Duration::from_millis(2500);
/// How long a request that was sent with the previous version may wait at its engine
/// until it begins.
const BEGIN_WITHIN: Duration = Duration::from_millis(4000);
/// The same limit, counted from the earliest time at which the newer version can have
/// been announced, as the announcement may arrive late. The rest of the five seconds is
/// for the transmission of the cancellation.
const LATEST_BEGIN: Duration = Duration::from_millis(4700);
/// Time that a request has to begin once it is sent.
const TO_BEGIN: Duration = Duration::from_millis(1500);

impl Versions {
    /// Records a version that was announced after `since`. Returns whether the version is
    /// newer than the known one; otherwise nothing changes.
    pub fn name(
        &mut self,
        now: Instant,
        since: Instant,
        adapter: &AdapterId,
        number: u64,
    ) -> bool {
        let old = self.named.get(adapter);
        let old_number = old.map_or(FIRST_VERSION, |n| n.number);
        if number <= old_number {
            return false;
        }
        let latest = since + LATEST_BEGIN;
        let before = Before {
            version: old.map_or_else(|| version_id(FIRST_VERSION), |n| n.version.clone()),
            replaced: now,
            send_by: (now + REPLACE_WITHIN).min(latest - TO_BEGIN),
            begin_by: (now + BEGIN_WITHIN).min(latest),
        };
        let named = Named { number, version: version_id(number), before: Some(before) };
        self.named.insert(adapter.clone(), named);
        true
    }

    /// Returns the newest version of an adapter.
    pub fn newest(&self, adapter: &AdapterId) -> VersionId {
        self.named
            .get(adapter)
            .map_or_else(|| version_id(FIRST_VERSION), |n| n.version.clone())
    }

    /// Returns the previous version of an adapter, while requests may still get it.
    pub fn still_allowed(&self, now: Instant, adapter: &AdapterId) -> Option<VersionId> {
        let before = self.named.get(adapter)?.before.as_ref()?;
        (now < before.send_by).then(|| before.version.clone())
    }

    /// Returns until when a request may begin on `version`; `None` if it is the newest.
    pub fn begin_by(&self, adapter: &AdapterId, version: &VersionId) -> Option<Instant> {
        let named = self.named.get(adapter)?;
        let before = named.before.as_ref()?;
        match version {
            v if *v == named.version => None,
            v if *v == before.version => Some(before.begin_by),
            _ => Some(before.replaced),
        }
    }

    /// Returns all announced versions.
    pub fn all(&self) -> impl Iterator<Item = (&AdapterId, u64)> {
        self.named.iter().map(|(adapter, named)| (adapter, named.number))
    }
}

/// Returns the name of a version by its number.
pub fn version_id(number: u64) -> VersionId {
    number.to_string().into()
}
