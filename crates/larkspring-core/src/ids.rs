//! Identifiers that are shared between processes.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

/// Name of a caller.
pub type CallerId = Arc<str>;
/// Name of a workspace.
pub type WorkspaceId = Arc<str>;
/// Hash of a workspace's name, as sent between entries and agents.
pub type WorkspaceHash = u64;
/// Name of an adapter.
pub type AdapterId = Arc<str>;
/// Name of a version of an adapter.
pub type VersionId = Arc<str>;
/// Name of a base model.
pub type BaseId = Arc<str>;
/// Name of a service.
pub type ServiceId = Arc<str>;
/// Name of a declared route.
pub type RouteId = Arc<str>;
/// Name of an endpoint.
pub type EndpointId = Arc<str>;
/// Name of a VM.
pub type VmId = Arc<str>;
/// Name of a hall.
pub type HallId = Arc<str>;
/// Name of a region, which contains halls.
pub type RegionId = Arc<str>;
/// Number of an attempt, unique within an agent.
pub type AttemptId = u64;
/// Revision of the declared state; a higher revision replaces a lower one.
pub type Revision = u64;
/// Name that an engine gives to its present run.
pub type Incarnation = Arc<str>;
/// Name of a version of an endpoint's software.
pub type BuildId = Arc<str>;
/// Start time of an endpoint's run, in Unix milliseconds of the endpoint's own clock.
pub type StartMs = u64;
/// Hash of an exact adapter, as sent in load reports.
pub type TargetHash = u64;
/// Hash of a run of an endpoint and one attempt there.
pub type AttemptHash = u64;
/// Fingerprint of a request: a hash of its content and workspace, the same for all
/// attempts.
pub type ContentHash = u64;
/// Identifies the text of a prompt part.
pub type PartId = u64;

/// Separates the adapter from the version in the name of a model.
pub const VERSION_SEPARATOR: char = '@';

/// An exact adapter: its name and version.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Target {
    /// The adapter.
    pub adapter: AdapterId,
    /// Its version.
    pub version: VersionId,
}

impl Target {
    /// Creates the target `adapter@version`.
    pub fn new(adapter: &str, version: &str) -> Self {
        Self { adapter: adapter.into(), version: version.into() }
    }

    /// Returns the hash that identifies the target in load reports.
    pub fn hash(&self) -> TargetHash {
        xxh3_64(self.to_string().as_bytes())
    }
}

impl Display for Target {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}{}", self.adapter, VERSION_SEPARATOR, self.version)
    }
}

/// Name of an object in the platform's store.
pub type ObjectName = Arc<str>;

/// Number of times that the platform's store was restored from a backup.
pub type StoreEpoch = u64;

/// A point in the history of the platform's store.
///
/// A restored store assigns the same revisions again, so a revision alone does not
/// identify a point; points are ordered by epoch first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StorePoint {
    epoch: StoreEpoch,
    revision: u64,
}

impl StorePoint {
    /// Creates the point at a revision of an epoch.
    pub fn new(epoch: StoreEpoch, revision: u64) -> Self {
        Self { epoch, revision }
    }

    /// Returns the epoch of the store's history.
    pub fn epoch(self) -> StoreEpoch {
        self.epoch
    }

    /// Returns the store's revision within the epoch.
    pub fn revision(self) -> u64 {
        self.revision
    }

    /// Returns the point just after this one.
    pub fn next(self) -> Self {
        Self { revision: self.revision + 1, ..self }
    }
}

impl Display for StorePoint {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.revision)
    }
}
