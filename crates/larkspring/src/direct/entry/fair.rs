//! Refusal of requests of workspaces that are over their share of a saturated plain
//! service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::admission::fair::FairShares;
use larkspring_core::ids::ServiceId;
use larkspring_core::workspaces::Workspace;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64;

use super::answer::{retry_after_backoff, ErrorReason};
use super::request_handler::RequestHandler;
use super::select::NoSelection;
use crate::direct::logs::{self, LineKind};

/// The shares of workspaces in each plain service. Services are declared, so their number
/// is bounded.
pub(super) type ServiceShares = Mutex<HashMap<ServiceId, FairShares>>;

/// Shortest retry time of a refusal: an endpoint answers several requests in this time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl RequestHandler {
    /// Refuses the request if its service is saturated and its workspace is over its share.
    /// Without declared workspaces, and for model engines, nothing is refused.
    pub(super) fn admit_by_share(&self) -> Result<(), NoSelection> {
        let Some(workspace) = self.sharing_workspace() else { return Ok(()) };
        let now = Instant::now();
        let excess = self.excess_response_time(now);
        let hash = xxh3_64(workspace.name.as_bytes());
        let weight = workspace.limit.map(|limit| limit.units_per_sec);
        let mut services = self.entry.shares.lock();
        let shares = services.entry(self.service.name.clone()).or_default();
        shares.record(now, hash, weight);
        let Some(excess) = excess.filter(|_| shares.is_over(now, hash)) else {
            shares.record_admitted(now, hash);
            return Ok(());
        };
        drop(services);
        self.entry.stats.count_share_refusal(&workspace.name);
        if logs::is_allowed(LineKind::Limit) {
            tracing::info!(
                event = "over share",
                request = self.caller.id,
                workspace = %workspace.name,
                service = %self.service.name,
                excess_ms = excess.as_millis() as u64,
            );
        }
        let after = retry_after_backoff(excess.max(MIN_RETRY_AFTER));
        Err((ErrorReason::OverShare, Some(after)))
    }

    /// Records that the request's service answered it.
    pub(super) fn record_share_answer(&self) {
        if self.sharing_workspace().is_none() {
            return;
        }
        if let Some(shares) = self.entry.shares.lock().get_mut(&self.service.name) {
            shares.record_answer(Instant::now());
        }
    }

    fn sharing_workspace(&self) -> Option<&Arc<Workspace>> {
        self.workspace.as_ref().filter(|_| self.service.engine.is_none())
    }

    /// Returns by how much the least expected time to a good answer exceeds the objective;
    /// `None` if the service is not saturated. Includes the cost of failures, since a full
    /// queue shows in rejected requests and not in response times.
    fn excess_response_time(&self, now: Instant) -> Option<Duration> {
        let peers = self.candidates();
        let reachable = peers.iter().filter(|p| !p.quality(|q| q.is_avoided(now)));
        let expected = reachable.map(|p| {
            p.answer_times.expected(now).unwrap_or_default() + p.quality(|q| q.cost(now))
        });
        let least = expected.min()?;
        least.checked_sub(self.route.first_byte_objective).filter(|e| !e.is_zero())
    }
}
