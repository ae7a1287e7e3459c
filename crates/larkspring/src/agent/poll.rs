//! Background work of an agent: its epoch, and the reports of its engine.

use std::sync::Arc;
use std::time::Instant;

use futures_lite::FutureExt;
use larkspring_core::ids::Target;
use smol::Timer;

use super::backend::Report;
use super::endpoint::Endpoint;

/// Reports that may be missed before the engine counts as unreachable.
const MISSES: u32 = 2;
/// Stands for the run of a plain service, which has none.
const SERVICE_RUN: &str = "service";

/// Version of the pseudo-adapter that stands for a plain service.
pub const SERVICE_VERSION: &str = "-";

/// Takes an epoch and then follows the engine for ever.
pub async fn run(endpoint: Arc<Endpoint>) {
    endpoint.in_force.reached(1).await;
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
                endpoint.reported(&report);
            }
            Err(e) => {
                misses += 1;
                tracing::debug!(error = %e, "no report");
                if misses >= MISSES || e.nothing_sent() {
                    endpoint.unreachable();
                }
            }
        }
        pause(&endpoint).await;
    }
}

/// A plain service counts as an engine whose one adapter is always loaded.
async fn follow_service(endpoint: Arc<Endpoint>, service: &str) {
    let report = Report {
        incarnation: SERVICE_RUN.into(),
        resident: vec![Target::new(service, SERVICE_VERSION).to_string()],
        running: vec![],
    };
    loop {
        endpoint.reported(&report);
        pause(&endpoint).await;
    }
}

/// Waits for the next look, or for a change of what is declared or leaving.
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
        let go_on = changed.or(late).await;
        endpoint.follow_leaving();
        if !go_on {
            return;
        }
    }
}
