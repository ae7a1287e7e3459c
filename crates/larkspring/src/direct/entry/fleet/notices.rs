//! Notices about endpoints, applied to the fleet.

use std::time::Instant;

use larkspring_core::fleet::availability::{AvailabilityChanges, Notice};

use super::super::peer::Peer;
use super::Fleet;
use crate::direct::logs::{self, LineKind};

/// The source of a notice about an endpoint.
#[derive(Debug, Clone, Copy)]
pub(in crate::direct::entry) enum NoticeSource<'a> {
    /// An answer of the endpoint to a request.
    Answer { request: &'a str, status: u16 },
    /// The agent beside the endpoint.
    Agent,
}

impl Fleet {
    /// Applies a notice about an endpoint from one of its answers or from its agent.
    pub fn apply_notice(
        &self,
        peer: &Peer,
        sent_at: Instant,
        notice: Notice,
        source: NoticeSource<'_>,
    ) {
        let changes = peer.apply_notice(sent_at, notice);
        log_notice(peer, notice, changes, source);
        if changes.draining || changes.backoff {
            // Wakes requests that wait for an adapter there, so that they go elsewhere.
            self.availability_changed.notify(usize::MAX);
        }
    }
}

fn log_notice(
    peer: &Peer,
    notice: Notice,
    changes: AvailabilityChanges,
    source: NoticeSource<'_>,
) {
    if !changes.is_any() || !logs::is_allowed(LineKind::StateChange) {
        return;
    }
    let (request, status) = match source {
        NoticeSource::Answer { request, status } => (Some(request), Some(status)),
        NoticeSource::Agent => (None, None),
    };
    let rate = peer.availability().lock().advertised_rate();
    tracing::info!(
        event = match changes {
            AvailabilityChanges { draining: true, .. } => "endpoint leaves",
            AvailabilityChanges { backoff: true, .. } => "endpoint rests",
            AvailabilityChanges { cold: true, .. } => "endpoint is cold",
            AvailabilityChanges { .. } if rate.is_some() => "endpoint names a rate",
            AvailabilityChanges { .. } => "endpoint names no rate any more",
        },
        endpoint = %peer.endpoint().id,
        request,
        status,
        rest_ms = notice.rest.map(|rest| rest.as_millis() as u64),
        cold_ms = notice.cold.map(|left| left.as_millis() as u64),
        rate_per_sec = rate.map(|rate| rate.as_per_sec()),
    );
}
