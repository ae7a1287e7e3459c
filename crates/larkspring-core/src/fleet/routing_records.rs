//! The store object that holds the routing, with the newest routing recorded beside it.
//!
//! The platform may carry out a write of the operator seconds later, so the object may
//! hold an older routing again. A running process passes over that; one that starts
//! afterwards knows only what the store holds. The content of the newest routing is in
//! no other place, so it is recorded as a whole.

use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;

use super::routes::{Routing, RoutingVersion};
use crate::ids::{ObjectName, StorePoint};

/// A routing, with the encoding in which it is recorded.
#[derive(Clone, PartialEq)]
pub struct DeclaredRouting {
    /// The routing.
    pub routing: Arc<Routing>,
    /// Its encoding, which holds no keys but their hashes.
    pub encoded: Arc<str>,
}

impl Debug for DeclaredRouting {
    /// Leaves out the encoding, as it identifies keys.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "DeclaredRouting({})", self.routing.version)
    }
}

/// The record beside the object that holds the routing.
#[derive(Debug, Clone, PartialEq)]
pub enum RoutingRecord {
    /// Nothing is recorded.
    Missing,
    /// The routing of this version, which the object itself holds or has replaced.
    NotNewer(RoutingVersion),
    /// A newer routing than the object holds.
    Newer(DeclaredRouting),
    /// A record that can't be decoded.
    Undecodable {
        /// Its version, if that is stated.
        version: Option<RoutingVersion>,
        /// Why it can't be decoded.
        cause: String,
    },
}

impl RoutingRecord {
    /// Returns the version that is recorded; `None` if the record may be replaced by any.
    fn version(&self, newest: RoutingVersion) -> Option<RoutingVersion> {
        match self {
            Self::Missing => None,
            Self::NotNewer(version) => Some(*version),
            Self::Newer(declared) => Some(declared.routing.version),
            // Processes of a later build may know how to decode a newer one.
            Self::Undecodable { version, .. } => version.filter(|v| *v > newest),
        }
    }
}

/// The store object that holds the routing.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingObject {
    /// Name of the object.
    pub name: ObjectName,
    /// The routing of the operator's last write.
    pub listed: DeclaredRouting,
    /// The record beside it.
    pub record: RoutingRecord,
    /// Maximum size of a record beside this routing, in bytes.
    pub max_record: usize,
    /// The point at which the object was last written.
    pub written: StorePoint,
}

impl RoutingObject {
    /// Returns the newest routing that the object shows. Of the same version, the
    /// operator's write counts.
    pub fn newest(&self) -> &DeclaredRouting {
        match &self.record {
            RoutingRecord::Newer(recorded)
                if recorded.routing.version > self.listed.routing.version =>
            {
                recorded
            }
            _ => &self.listed,
        }
    }
}

/// The newest routing and the object that holds it, as this process knows them.
#[derive(Debug, Default)]
pub struct RoutingRecords {
    newest: Option<DeclaredRouting>,
    object: Option<RoutingObject>,
}

/// What an object changed.
#[derive(Debug, Clone, PartialEq)]
pub struct AppliedRouting {
    /// The routing that comes into force, if it is another one.
    pub replaced_by: Option<Arc<Routing>>,
    /// Whether the object holds an older routing than the one in force. The operator may
    /// have written yet another one, so the object proves nothing of it.
    pub is_behind: bool,
}

/// A record to write beside the object that holds the routing.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingRecordWrite {
    /// Name of the object.
    pub name: ObjectName,
    /// The point at which the object must have been last written.
    pub written: StorePoint,
    /// The version of the newest routing.
    pub version: RoutingVersion,
    /// The newest routing; `None` clears the record.
    pub newest: Option<DeclaredRouting>,
}

impl RoutingRecords {
    /// Applies an object that was read.
    pub fn apply(&mut self, object: RoutingObject) -> AppliedRouting {
        let version = |d: &DeclaredRouting| d.routing.version;
        let read = object.newest();
        let replaces = self.newest.as_ref().map(version) < Some(version(read));
        if replaces {
            self.newest = Some(read.clone());
        }
        let newest = self.newest.as_ref().map(version);
        let is_behind = newest > Some(version(&object.listed));
        if self.object.as_ref().is_none_or(|known| known.written <= object.written) {
            self.object = Some(object);
        }
        let replaced_by = self.newest.as_ref().filter(|_| replaces);
        AppliedRouting { replaced_by: replaced_by.map(|d| d.routing.clone()), is_behind }
    }

    /// Returns whether the newest routing is too large to be recorded.
    pub fn is_too_large(&self) -> bool {
        let (Some(newest), Some(object)) = (&self.newest, &self.object) else {
            return false;
        };
        newest.encoded.len() > object.max_record
    }

    /// Returns the record that is still to be written.
    ///
    /// A newest routing that is too large clears the record once the object holds it, so
    /// that an old record takes no room from the operator's next write.
    pub fn unrecorded(&self) -> Option<RoutingRecordWrite> {
        let (newest, object) = (self.newest.as_ref()?, self.object.as_ref()?);
        let version = newest.routing.version;
        let recorded = object.record.version(version);
        // The write has a condition on the revision, which is 0 if unknown.
        if recorded >= Some(version) || object.written.revision() == 0 {
            return None;
        }
        let newest = match self.is_too_large() {
            false => Some(newest.clone()),
            true if recorded.is_none() || object.listed.routing.version < version => {
                return None
            }
            true => None,
        };
        let (name, written) = (object.name.clone(), object.written);
        Some(RoutingRecordWrite { name, written, version, newest })
    }
}
