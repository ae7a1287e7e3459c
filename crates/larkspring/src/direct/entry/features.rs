//! What a request may have in common with others that crash endpoints.

use std::sync::Arc;

use larkspring_core::ids::{AdapterId, ContentHash, PartId};
use larkspring_core::quarantine::Feature;

use crate::direct::platform_api::ModelRequest;

/// The features of a request.
#[derive(Debug)]
pub(super) struct RequestFeatures {
    /// The request fingerprint, which recognises a retry under another id.
    pub content: ContentHash,
    /// Ids of the prompt parts that other requests may share.
    pub parts: Vec<PartId>,
    /// The adapter, if the request names one; only for log lines. Crashes do not count
    /// against it, since a caller with ever new fatal requests would then take it from all
    /// others.
    pub adapter: Option<AdapterId>,
}

/// Limits the prompt parts that count as features, so that one request can't fill the
/// records of crashes.
const MAX_PARTS: usize = 64;

impl RequestFeatures {
    /// Creates the features of a request with a fingerprint.
    pub fn new(content: ContentHash, model: Option<&ModelRequest>) -> Arc<Self> {
        // The last part is the request's own.
        let shared = model.and_then(|m| m.parts.split_last()).map(|(_, shared)| shared);
        let ids = shared.unwrap_or_default().iter().map(|part| part.id);
        let mut parts: Vec<_> = ids.take(MAX_PARTS).collect();
        parts.sort_unstable();
        parts.dedup();
        let adapter = model.and_then(|m| m.adapter.clone());
        Arc::new(Self { content, parts, adapter })
    }

    /// Returns all features that crashes count against.
    pub fn iter(&self) -> impl Iterator<Item = Feature> + '_ {
        let parts = self.parts.iter().map(|id| Feature::Part(*id));
        std::iter::once(Feature::Content(self.content)).chain(parts)
    }

    /// Returns the ids of the parts for log lines.
    pub fn parts_text(&self) -> Option<String> {
        let ids: Vec<_> = self.parts.iter().map(|id| format!("{id:x}")).collect();
        (!ids.is_empty()).then(|| ids.join(" "))
    }
}
