//! The software versions that the endpoints of each service have had of late.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::endpoint_list::Endpoint;
use super::stream_origins::MAX_KEPT;
use crate::ids::{BuildId, ServiceId};

/// The software versions of listed endpoints, for as long as streams are kept.
#[derive(Debug, Default)]
pub struct BuildHistory {
    /// When endpoints were first recorded.
    since: Option<Instant>,
    /// When each version was last seen.
    seen: HashMap<ServiceId, HashMap<BuildId, Instant>>,
}

impl BuildHistory {
    /// Records the present endpoints, and those that were present until now.
    pub fn record<'a>(
        &mut self,
        now: Instant,
        endpoints: impl Iterator<Item = &'a Endpoint>,
    ) {
        for endpoint in endpoints {
            self.since.get_or_insert(now);
            let Some(build) = &endpoint.build else { continue };
            let builds = self.seen.entry(endpoint.service.clone()).or_default();
            builds.insert(build.clone(), now);
        }
        for builds in self.seen.values_mut() {
            builds.retain(|_, at| now.saturating_duration_since(*at) < MAX_KEPT);
        }
    }

    /// Returns whether the history goes back for `window`.
    pub fn covers(&self, now: Instant, window: Duration) -> bool {
        let age = |since: Instant| now.saturating_duration_since(since);
        self.since.is_some_and(|since| age(since) >= window)
    }

    /// Returns the only software version that the endpoints of a service had within
    /// `window`, as far as the history goes back. `present` are the versions of the
    /// present endpoints; `None` if one of them is not known.
    pub fn only<'a>(
        &self,
        now: Instant,
        service: &ServiceId,
        window: Duration,
        present: impl Iterator<Item = Option<&'a BuildId>>,
    ) -> Option<BuildId> {
        let present: Option<Vec<_>> = present.collect();
        let present = present?;
        let only = *present.first()?;
        let recent = |at: &Instant| now.saturating_duration_since(*at) <= window;
        let former = self.seen.get(service).into_iter().flatten();
        let mut former = former.filter(|(_, at)| recent(at)).map(|(build, _)| build);
        let is_only = present.iter().all(|build| *build == only)
            && former.all(|build| build == only);
        is_only.then(|| only.clone())
    }
}
