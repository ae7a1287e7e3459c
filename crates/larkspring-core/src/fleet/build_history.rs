//! The software versions that the endpoints of each service have had of late.
//!
//! A process knows only those since its start, and those that it has seen itself. So the
//! versions are also recorded in the platform's store, where they survive the loss of all
//! processes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::endpoint_list::Endpoint;
use super::stream_origins::MAX_KEPT;
use crate::ids::{BuildId, ServiceId};

/// The software versions of listed endpoints, for as long as streams are kept.
#[derive(Debug, Default)]
pub struct BuildHistory {
    /// Since when the list of the endpoints has been fresh.
    since: Option<Instant>,
    /// When each version was last seen.
    seen: HashMap<ServiceId, HashMap<BuildId, Instant>>,
}

impl BuildHistory {
    /// Records whether the list of the endpoints is fresh. A version may come and go while
    /// it is not.
    pub fn observe(&mut self, now: Instant, is_fresh: bool) {
        match is_fresh {
            true => drop(self.since.get_or_insert(now)),
            false => self.since = None,
        }
    }

    /// Records the present endpoints, and those that were present until now. Returns
    /// whether a version is new.
    pub fn record<'a>(
        &mut self,
        now: Instant,
        endpoints: impl Iterator<Item = &'a Endpoint>,
    ) -> bool {
        let mut has_new = false;
        for endpoint in endpoints {
            let Some(build) = &endpoint.build else { continue };
            let builds = self.seen.entry(endpoint.service.clone()).or_default();
            has_new |= builds.insert(build.clone(), now).is_none();
        }
        for builds in self.seen.values_mut() {
            builds.retain(|_, at| now.saturating_duration_since(*at) < MAX_KEPT);
        }
        has_new
    }

    /// Returns the versions of each service that were seen for as long as streams are
    /// kept.
    pub fn seen(&self) -> impl Iterator<Item = ServiceBuild> + '_ {
        self.seen.iter().flat_map(|(service, builds)| {
            let of_service = |build: &BuildId| ServiceBuild {
                service: service.clone(),
                build: build.clone(),
            };
            builds.keys().map(of_service)
        })
    }

    /// Returns whether a version was not seen for as long as streams are kept, though
    /// endpoints were.
    pub fn is_past(&self, now: Instant, build: &ServiceBuild) -> bool {
        let seen = self.seen.get(&build.service);
        self.covers(now, MAX_KEPT) && !seen.is_some_and(|b| b.contains_key(&build.build))
    }

    /// Returns whether the history goes back for `window`.
    fn covers(&self, now: Instant, window: Duration) -> bool {
        let age = |since: Instant| now.saturating_duration_since(since);
        self.since.is_some_and(|since| age(since) >= window)
    }

    /// Returns the only software version at which a stream of a service can have begun
    /// within `window`; `None` if that is not certain.
    ///
    /// `present` are the versions of the present endpoints, and `recorded` those that any
    /// process has recorded and none has found to be past. A version that is recorded and
    /// not present may have left just before this process started. A present version that
    /// is not recorded shows that the record is behind, and may lack others.
    pub fn only(
        &self,
        now: Instant,
        service: &ServiceId,
        window: Duration,
        present: &[Option<&BuildId>],
        recorded: &[ServiceBuild],
    ) -> Option<BuildId> {
        let only = (*present.first()?)?;
        let recent = |at: &Instant| now.saturating_duration_since(*at) <= window;
        let is_over = |build: &BuildId| {
            let seen = self.seen.get(service).and_then(|builds| builds.get(build));
            self.covers(now, window) && !seen.is_some_and(recent)
        };
        let mut recorded = recorded.iter().filter(|r| r.service == *service);
        let mut seen = self.seen.get(service).into_iter().flatten();
        let is_only = present.iter().all(|build| *build == Some(only))
            && recorded.clone().any(|r| r.build == *only)
            && recorded.all(|r| r.build == *only || is_over(&r.build))
            && seen.all(|(build, at)| build == only || !recent(at));
        is_only.then(|| only.clone())
    }
}

/// A software version of a service's endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceBuild {
    /// The service.
    pub service: ServiceId,
    /// The version of the endpoints' software.
    pub build: BuildId,
}
