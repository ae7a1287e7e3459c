//! Features whose requests were answered lately.

use std::collections::HashMap;
use std::time::Instant;

use super::{Feature, ANSWER_RETENTION};

/// The last answers to requests with shared features, at one entry.
#[derive(Debug, Default)]
pub struct AnsweredFeatures {
    at: HashMap<Feature, Instant>,
}

/// Largest number of features, about 0.5 MB.
const MAX_FEATURES: usize = 8192;
/// Part of the features that is evicted at once if all are recent.
const EVICTED_FRACTION: usize = 8;

impl AnsweredFeatures {
    /// Records a complete answer to a request with a feature.
    pub fn record(&mut self, now: Instant, feature: Feature) {
        if self.at.len() >= MAX_FEATURES && !self.at.contains_key(&feature) {
            self.evict(now);
        }
        self.at.insert(feature, now);
    }

    /// Returns when a request with a feature was last answered, unless that was too long
    /// ago.
    pub fn last(&self, now: Instant, feature: Feature) -> Option<Instant> {
        let is_recent = |at: &Instant| now.duration_since(*at) < ANSWER_RETENTION;
        self.at.get(&feature).copied().filter(is_recent)
    }

    /// Returns the number of features that are kept.
    pub fn len(&self) -> usize {
        self.at.len()
    }

    /// Whether no feature is kept.
    pub fn is_empty(&self) -> bool {
        self.at.is_empty()
    }

    fn evict(&mut self, now: Instant) {
        self.at.retain(|_, at| now.duration_since(*at) < ANSWER_RETENTION);
        if self.at.len() < MAX_FEATURES {
            return;
        }
        let mut times: Vec<_> = self.at.values().copied().collect();
        let (_, oldest_kept, _) =
            times.select_nth_unstable(MAX_FEATURES / EVICTED_FRACTION);
        let oldest_kept = *oldest_kept;
        self.at.retain(|_, at| *at > oldest_kept);
    }
}
