//! The store objects that name versions of adapters, with the newest version recorded
//! beside each.
//!
//! The platform may carry out a write of the operator seconds later, so an object may name
//! an older version again. A running process passes over that; one that starts afterwards
//! knows only what the store holds. So the newest version is recorded in the store.

use std::collections::hash_map::Entry;
use std::collections::HashMap;

use super::versions::{AdapterVersions, FIRST_VERSION};
use crate::ids::{AdapterId, ObjectName, StorePoint};

/// A store object that names a version of an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionObject {
    /// Name of the object.
    pub name: ObjectName,
    /// The adapter.
    pub adapter: AdapterId,
    /// Number of the version that the operator's last write names.
    pub named: u64,
    /// Number of the newest version, as recorded by larkspring; `None` if none is
    /// recorded.
    pub recorded: Option<u64>,
    /// The point at which the object was last written.
    pub written: StorePoint,
}

impl VersionObject {
    /// Returns the number of the newest version that the object shows.
    pub fn newest(&self) -> u64 {
        self.named.max(self.recorded.unwrap_or_default())
    }
}

/// All store objects that name versions, as this process knows them.
#[derive(Debug, Default)]
pub struct VersionRecords {
    objects: HashMap<ObjectName, VersionObject>,
}

impl VersionRecords {
    /// Replaces all objects by those of a list. An object that is known as of a later
    /// point stays as it is.
    pub fn replace(&mut self, listed: Vec<VersionObject>) {
        let mut known = std::mem::take(&mut self.objects);
        for object in listed {
            let later = known.remove(&object.name);
            let object = later.filter(|k| k.written > object.written).unwrap_or(object);
            self.objects.insert(object.name.clone(), object);
        }
    }

    /// Records a changed object, unless it is known as of a later point.
    pub fn update(&mut self, object: VersionObject) {
        match self.objects.entry(object.name.clone()) {
            Entry::Occupied(mut known) if known.get().written <= object.written => {
                known.insert(object);
            }
            Entry::Occupied(_) => {}
            Entry::Vacant(vacant) => drop(vacant.insert(object)),
        }
    }

    /// Removes an object that was deleted.
    pub fn remove(&mut self, name: &str) {
        self.objects.remove(name);
    }

    /// Returns the objects that lack the record of their adapter's newest version, each
    /// with that version's number.
    pub fn unrecorded(&self, versions: &AdapterVersions) -> Vec<(VersionObject, u64)> {
        let newest = |object: &VersionObject| versions.newest_number(&object.adapter);
        let objects = self.objects.values();
        objects
            .map(|object| (object, newest(object)))
            .filter(|(object, number)| object.recorded.unwrap_or(FIRST_VERSION) < *number)
            .map(|(object, number)| (object.clone(), number))
            .collect()
    }
}
