//! Chooses the adapter version for a request.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::{AdapterId, VersionId};

/// The newest announced version of each adapter.
#[derive(Debug, Default, Clone)]
pub struct AdapterVersions {
    announced: HashMap<AdapterId, AnnouncedVersion>,
}

#[derive(Debug, Clone)]
struct AnnouncedVersion {
    number: u64,
    version: VersionId,
    /// The previous version, which remains in use for some time.
    previous: Option<PreviousVersion>,
}

/// A version that was replaced by a newer one.
#[derive(Debug, Clone)]
struct PreviousVersion {
    version: VersionId,
    /// When the newer version became known.
    replaced_at: Instant,
    /// Until when requests may be sent with this version.
    send_by: Instant,
    /// Until when these requests may begin.
    begin_by: Instant,
}

/// The version of an adapter without announced versions.
pub(super) const FIRST_VERSION: u64 = 1;
/// How long requests may still get the previous version if the newer one is not loaded
/// anywhere: half of the five seconds that the platform's operators allow.
const PREVIOUS_SEND_WINDOW: Duration = Duration::from_millis(2500);
/// How long a request that was sent with the previous version may wait at its engine
/// until it begins.
const PREVIOUS_START_WINDOW: Duration = Duration::from_millis(4000);
/// The same limit, counted from the earliest time at which the newer version can have
/// been announced, as the announcement may arrive late. The rest of the five seconds is
/// for the transmission of the cancellation.
const MAX_START_DELAY: Duration = Duration::from_millis(4700);
/// Time that a request has to begin once it is sent.
const TIME_TO_START: Duration = Duration::from_millis(1500);

impl AdapterVersions {
    /// Records a version that was announced after `since`, or at any time if that is not
    /// known, so that the previous version is no longer allowed. Returns whether the
    /// version is newer than the known one; otherwise nothing changes.
    pub fn announce(
        &mut self,
        now: Instant,
        since: Option<Instant>,
        adapter: &AdapterId,
        number: u64,
    ) -> bool {
        if number <= self.newest_number(adapter) {
            return false;
        }
        let old = self.announced.get(adapter);
        let (send_by, begin_by) = match since.map(|since| since + MAX_START_DELAY) {
            Some(latest) => (
                (now + PREVIOUS_SEND_WINDOW).min(latest - TIME_TO_START),
                (now + PREVIOUS_START_WINDOW).min(latest),
            ),
            None => (now, now),
        };
        let previous = PreviousVersion {
            version: old
                .map_or_else(|| format_version(FIRST_VERSION), |n| n.version.clone()),
            replaced_at: now,
            send_by,
            begin_by,
        };
        let announced = AnnouncedVersion {
            number,
            version: format_version(number),
            previous: Some(previous),
        };
        self.announced.insert(adapter.clone(), announced);
        true
    }

    /// Returns the newest version of an adapter.
    pub fn newest(&self, adapter: &AdapterId) -> VersionId {
        self.announced
            .get(adapter)
            .map_or_else(|| format_version(FIRST_VERSION), |n| n.version.clone())
    }

    /// Returns the number of the newest version of an adapter.
    pub fn newest_number(&self, adapter: &AdapterId) -> u64 {
        self.announced.get(adapter).map_or(FIRST_VERSION, |n| n.number)
    }

    /// Returns the previous version of an adapter, while requests may still get it.
    pub fn previous_allowed(
        &self,
        now: Instant,
        adapter: &AdapterId,
    ) -> Option<VersionId> {
        let previous = self.announced.get(adapter)?.previous.as_ref()?;
        (now < previous.send_by).then(|| previous.version.clone())
    }

    /// Returns until when a request may begin on `version`; `None` if it is the newest.
    pub fn latest_start(
        &self,
        adapter: &AdapterId,
        version: &VersionId,
    ) -> Option<Instant> {
        let announced = self.announced.get(adapter)?;
        let previous = announced.previous.as_ref()?;
        match version {
            v if *v == announced.version => None,
            v if *v == previous.version => Some(previous.begin_by),
            _ => Some(previous.replaced_at),
        }
    }

    /// Returns all announced versions.
    pub fn all(&self) -> impl Iterator<Item = (&AdapterId, u64)> {
        self.announced.iter().map(|(adapter, announced)| (adapter, announced.number))
    }
}

/// Returns the name of a version by its number.
pub fn format_version(number: u64) -> VersionId {
    number.to_string().into()
}
