//! Permits to send to endpoints that advertise a rate limit or are cold: their rate
//! applies to all VMs together.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::permits::{
    self, run_hash, IssuerRole, PermitQuery, PermitResponse, PERMIT_LIFETIME,
};
use parking_lot::Mutex;

use super::fleet::Fleet;
use super::link::Link;
use super::peer::Peer;
use crate::direct::stats::Stats;

/// The entry's client for permits.
pub(super) struct Permits {
    fleet: Arc<Fleet>,
    stats: Arc<Stats>,
    /// Agents that did not reply, with the time until which they get no requests.
    skipped: Mutex<Vec<(String, Instant)>>,
    /// Issues permits for a part of each rate while no agent is known.
    self_issuer: Mutex<permits::PermitIssuer>,
}

/// A permit to send one request to a run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Permit {
    until: Instant,
}

/// The outcome of a request for a permit.
pub(super) enum PermitOutcome {
    /// The run has no rate limit.
    Unlimited,
    /// The request may be sent under this permit.
    Granted(Permit),
    /// The rate is used up for this time.
    Denied(Duration),
}

/// How long an agent that did not reply gets no requests.
const SKIP_DURATION: Duration = Duration::from_secs(1);
/// How long no request is sent to a run if no issuer replies: about the time in which a
/// killed agent restarts.
const NO_ISSUER_PAUSE: Duration = Duration::from_millis(250);

impl Permits {
    /// Creates a client without requests.
    pub fn new(fleet: Arc<Fleet>, stats: Arc<Stats>) -> Self {
        Self { fleet, stats, skipped: Mutex::default(), self_issuer: Mutex::default() }
    }

    /// Requests a permit to send a request to an endpoint.
    pub async fn request(&self, peer: &Peer) -> PermitOutcome {
        let now = Instant::now();
        let Some(limit) = peer.rate_limit() else { return PermitOutcome::Unlimited };
        let ask = PermitQuery {
            run: run_hash(&peer.endpoint().id),
            rate: limit.rate,
            age: now.saturating_duration_since(limit.known_since),
            issuer: IssuerRole::Primary,
        };
        let response = self.request_from_issuers(peer, ask).await;
        self.stats.count_permit(match response {
            Some(PermitResponse::Granted) => "granted",
            Some(PermitResponse::Denied(_)) => "denied",
            None => "unanswered",
        });
        match response {
            Some(PermitResponse::Granted) => PermitOutcome::Granted(Permit::new()),
            Some(PermitResponse::Denied(wait)) => PermitOutcome::Denied(wait),
            None => PermitOutcome::Denied(NO_ISSUER_PAUSE),
        }
    }

    /// Requests a permit from the primary issuer of a run, then from the secondary if the
    /// primary does not reply. Issues the permit itself if no agent is known.
    async fn request_from_issuers(
        &self,
        peer: &Peer,
        ask: PermitQuery,
    ) -> Option<PermitResponse> {
        let beside = peer.link.clone();
        let primary = beside.or_else(|| self.fleet.ranked_link(ask.run, None));
        let Some(primary) = primary else {
            let ask = PermitQuery { issuer: IssuerRole::SelfIssued, ..ask };
            return Some(self.self_issuer.lock().request(Instant::now(), &ask));
        };
        if let Some(response) = self.request_from_agent(&primary, &ask).await {
            return Some(response);
        }
        let secondary = self.fleet.ranked_link(ask.run, Some(&primary))?;
        self.request_from_agent(
            &secondary,
            &PermitQuery { issuer: IssuerRole::Secondary, ..ask },
        )
        .await
    }

    /// Requests a permit from an agent, unless the agent recently failed to reply.
    async fn request_from_agent(
        &self,
        link: &Arc<Link>,
        ask: &PermitQuery,
    ) -> Option<PermitResponse> {
        if self.is_skipped(link.addr()) {
            return None;
        }
        let response = link.request_permit(ask).await;
        if response.is_none() {
            let until = Instant::now() + SKIP_DURATION;
            self.skipped.lock().push((link.addr().into(), until));
        }
        response
    }

    fn is_skipped(&self, addr: &str) -> bool {
        let now = Instant::now();
        let mut skipped = self.skipped.lock();
        skipped.retain(|(_, until)| *until > now);
        skipped.iter().any(|(out, _)| out == addr)
    }
}

impl Permit {
    fn new() -> Self {
        Self { until: Instant::now() + PERMIT_LIFETIME }
    }

    /// Returns whether the permit has not expired.
    pub fn is_valid(&self) -> bool {
        Instant::now() < self.until
    }
}
