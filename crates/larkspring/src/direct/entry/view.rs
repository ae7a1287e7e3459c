//! What is known of an endpoint when a request is placed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::choose::{Holding, View};
use larkspring_core::fleet::mechanisms::Mechanism;
use larkspring_core::fleet::routes::Engine;
use larkspring_core::ids::{Incarnation, TargetHash};
use larkspring_proto::residency::Engagement;

use super::job::Job;
use super::peer::Peer;
use crate::direct::edge::ModelRequest;

impl Job {
    /// What is known of an endpoint of a plain service.
    pub(super) fn plain_view(&self, now: Instant, peer: &Arc<Peer>) -> View {
        let endpoint = peer.endpoint();
        let without = self.entry.cfg().without;
        let quality = peer.quality(|q| q.cost(now));
        View {
            same_hall: endpoint.hall == self.entry.cfg().process.hall,
            holding: Holding::Resident,
            running: peer.open(),
            slots: endpoint.slots as u32,
            free_places: 0,
            loads_ahead: 0,
            can_load: false,
            filling: false,
            prompt_tokens: 0,
            reading: peer.reading(),
            quality: if without.uses(Mechanism::Quality) {
                quality
            } else {
                Duration::ZERO
            },
            avoided: peer.quality(|q| q.avoided(now)),
            rated: peer.is_surely_rated(),
        }
    }

    /// What is known of a model engine, for a request that needs `target`.
    pub(super) fn engine_view(
        &self,
        now: Instant,
        peer: &Arc<Peer>,
        target: TargetHash,
        model: &ModelRequest,
        engine: &Engine,
    ) -> View {
        let mut view = self.plain_view(now, peer);
        view.slots = engine.slots as u32;
        view.prompt_tokens = peer.unread_tokens(target, model);
        let Some(link) = &peer.link else { return view };
        let known = link.view();
        let endpoint = peer.endpoint();
        view.running = view.running.max(known.running);
        view.free_places = known.free_places;
        view.loads_ahead = known.loads_ahead;
        let without = self.entry.cfg().without;
        if without.uses(Mechanism::UnreadTold) {
            view.reading = view.reading.max(known.unread_tokens);
        }
        let engaged = known.live.then_some(known.engagement);
        view.filling = engaged == Some(Engagement::Filling);
        view.can_load = view.filling || engaged == Some(Engagement::Serving);
        view.avoided |= engaged == Some(Engagement::Away);
        let listed = || match endpoint.holds.iter().any(|t| t.hash() == target) {
            true => Holding::Resident,
            false => Holding::Absent,
        };
        view.holding = match link.holding(target) {
            Some(Holding::Copied) if !without.uses(Mechanism::Copies) => Holding::Absent,
            Some(holding) => holding,
            None if link.is_coming() => Holding::Absent,
            None => listed(),
        };
        view
    }
}

/// What a choice of an endpoint was made on, for logs.
#[derive(Debug, Clone)]
pub(super) struct Why {
    /// The endpoint.
    pub endpoint: Incarnation,
    /// Whether it stands in the entry's hall.
    pub same_hall: bool,
    /// Whether it held the adapter, as far as known.
    pub holding: &'static str,
    /// Requests known to be there.
    pub running: u32,
    /// Loads known to be ahead there.
    pub loads_ahead: u32,
    /// Tokens of the prompt that it had probably not read before.
    pub unread_tokens: u32,
    /// Tokens of other prompts that were known to be unread there.
    pub reading_tokens: u32,
    /// Adapters that it could take in without waiting, as far as known.
    pub free_places: u32,
    /// Endpoints that held the adapter, as far as known.
    pub holders: usize,
    /// What recent failures of the endpoint counted in the choice.
    pub quality: Duration,
    /// Endpoints that could be chosen from.
    pub of: usize,
    /// Those among them that no connection came up to.
    pub avoided: usize,
}

impl Why {
    /// Notes what the choice of `views[at]` was made on.
    pub fn new(peer: &Peer, views: &[View], at: usize) -> Self {
        let view = &views[at];
        Self {
            endpoint: peer.endpoint().id.clone(),
            same_hall: view.same_hall,
            holding: holding_name(Some(view.holding)),
            running: view.running,
            loads_ahead: view.loads_ahead,
            unread_tokens: view.prompt_tokens,
            reading_tokens: view.reading,
            free_places: view.free_places,
            holders: views.iter().filter(|v| v.holding == Holding::Resident).count(),
            quality: view.quality,
            of: views.len(),
            avoided: views.iter().filter(|v| v.avoided).count(),
        }
    }
}

/// Returns the word for a holding used in logs and metrics.
pub(super) fn holding_name(holding: Option<Holding>) -> &'static str {
    match holding {
        Some(Holding::Resident) => "resident",
        Some(Holding::Loading) => "loading",
        Some(Holding::Copied) => "copied",
        Some(Holding::Absent) | None => "absent",
    }
}
