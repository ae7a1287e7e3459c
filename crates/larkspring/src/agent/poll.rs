//! Background work of an agent: taking the epoch and polling the engine's reports.

use std::sync::Arc;
use std::time::Instant;

use futures_lite::FutureExt;
use larkspring_core::ids::Target;
use smol::Timer;

use super::backend::Report;
use super::endpoint::Endpoint;

/// Consecutive failed reports after which the engine counts as unreachable.
const MAX_MISSED_REPORTS: u32 = 2;
/// Run id of a plain service, which reports none.
const SERVICE_INCARNATION: &str = "service";

/// Version of the pseudo-adapter that represents a plain service.
pub const SERVICE_VERSION: &str = "-";

/// Takes an epoch and then polls the engine; never returns.
pub async fn run(endpoint: Arc<Endpoint>) {
    endpoint.in_force.wait_for_revision(1).await;
    if let Some(service) = endpoint.service() {
        return follow_service(endpoint, &service).await;
    }
    let epoch = endpoint.fence.take().await;
    tracing::info!(epoch, "epoch taken");
    let mut misses = 0;
    loop {
        match endpoint.backend.report().await {
            Ok(report) => {
                misses = 0;
                endpoint.apply_report(&report);
            }
            Err(e) => {
                misses += 1;
                tracing::debug!(error = %e, "engine report failed");
                if misses >= MAX_MISSED_REPORTS || e.nothing_sent() {
                    endpoint.mark_unreachable();
                }
            }
        }
        pause(&endpoint).await;
    }
}

/// Treats a plain service as an engine whose only adapter is always resident.
async fn follow_service(endpoint: Arc<Endpoint>, service: &str) {
    let report = Report {
        incarnation: SERVICE_INCARNATION.into(),
        resident: vec![Target::new(service, SERVICE_VERSION).to_string()],
        running: vec![],
    };
    loop {
        endpoint.apply_report(&report);
        pause(&endpoint).await;
    }
}

/// Waits for the next poll or a change of the declared state, and applies the draining
/// state.
async fn pause(endpoint: &Arc<Endpoint>) {
    let next = Instant::now() + endpoint.cfg().poll;
    loop {
        let changed = async {
            endpoint.in_force.changed().await;
            true
        };
        let late = async {
            Timer::at(next).await;
            false
        };
        let poll_early = changed.or(late).await;
        endpoint.update_draining();
        if !poll_early {
            return;
        }
    }
}
