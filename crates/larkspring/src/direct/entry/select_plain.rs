//! Endpoint selection for requests to plain services.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::choose::{choose_any, choose_plain, PlacementPolicy};
use larkspring_core::fleet::stream_outcomes::price_stream_losses;

use super::attempt::Selection;
use super::peer::Peer;
use super::request_handler::RequestHandler;
use super::select::{choose_random, least_running, record_passed_over, NoSelection};

/// Response time assumed without recorded answers; calls of the deployed services take
/// about 30 ms.
const DEFAULT_RESPONSE_TIME: Duration = Duration::from_millis(30);

impl RequestHandler {
    /// Selects an endpoint for a request that any endpoint of the service can run: one to a
    /// plain service, or one to engines that names no model.
    pub(super) fn select_plain(&self) -> Result<Selection, NoSelection> {
        let peers = self.candidates();
        let now = Instant::now();
        let mut views: Vec<_> =
            peers.iter().map(|p| self.plain_service_view(now, p)).collect();
        let suspects = price_stream_losses(&mut views);
        let expected: Vec<Duration> = peers
            .iter()
            .map(|p| p.answer_times.expected(now).unwrap_or_default())
            .collect();
        let chosen = match self.entry.cfg().placement {
            PlacementPolicy::Random => choose_random(&views),
            PlacementPolicy::FewestRequests => least_running(&views),
            PlacementPolicy::LeastCost | PlacementPolicy::HomeEndpoint => {
                match self.service.engine {
                    None => choose_plain(&views, &expected, fastrand::f64()),
                    Some(_) => choose_any(&views, mean_response_time(&peers)),
                }
            }
        };
        record_passed_over(&peers, &suspects, chosen);
        let mut selection = self.selection(&peers, &views, chosen)?;
        selection.inputs.expected =
            chosen.map(|at| expected[at]).filter(|expected| !expected.is_zero());
        Ok(selection)
    }
}

fn mean_response_time(peers: &[Arc<Peer>]) -> Duration {
    let times = peers.iter().map(|p| p.quality(|q| q.mean_response_time()));
    times.max().filter(|t| !t.is_zero()).unwrap_or(DEFAULT_RESPONSE_TIME)
}
