//! Validated settings of the processes that send requests directly to endpoints.
//!
//! An adapter for a platform derives them from the platform's own settings.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use larkspring_core::fleet::choose::{Distance, PlacementPolicy};
use larkspring_core::fleet::cold::ColdTolerance;
use larkspring_core::fleet::mechanisms::DisabledMechanisms;
use larkspring_core::fleet::read_timing::ChangeFrequency;
use larkspring_core::fleet::routes::HallRegions;
use larkspring_core::ids::{HallId, VmId};
use larkspring_core::limits::LimitTolerance;
use larkspring_core::retry::RetryTerms;

use super::platform_api::StateKind;

/// Settings that every process has.
#[derive(Debug, Clone)]
pub struct ProcessCfg {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Hall (failure domain) of the process.
    pub hall: HallId,
    /// Address of the VM.
    pub ip: IpAddr,
    /// Port at which agents accept entries, the same on all VMs.
    pub agent_port: u16,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Time from the signal to stop until the process is killed.
    pub stop_grace: Duration,
    /// Time within which a draining endpoint has to get no more requests.
    pub drain_bound: Duration,
    /// Time within which a declared routing has to be in force.
    pub routing_bound: Duration,
    /// Time within which requests have to start on a newly named version of an adapter.
    pub version_bound: Duration,
    /// Time within which a revoked key is refused, whether the store is available or not;
    /// `None` for no such bound.
    pub revocation_bound: Option<Duration>,
    /// Window of the workspaces' limits, and the excess that is allowed.
    pub limits: LimitTolerance,
    /// Time within which the endpoints of an evacuated hall have to get no more requests;
    /// `None` if the platform declares no evacuations.
    pub evacuation_bound: Option<Duration>,
    /// Excess that a cold endpoint's rate allows; `None` if none is declared.
    pub cold_tolerance: Option<ColdTolerance>,
    /// The region of each hall.
    pub regions: HallRegions,
}

/// Fraction of the revocation time for which a copy of the keys is trusted.
const KEY_TRUST_FRACTION: f64 = 0.78;
/// Fraction of the trusted time for which a read of the routing waits for a change, and
/// after which the routing is listed anew. During an outage of the store requests are
/// served for the rest of the trusted time.
const ROUTING_WAIT_FRACTION: f64 = 0.1;
/// Fraction of [`ProcessCfg::version_bound`] within which a new version becomes known.
/// The rest is left for loading it and for requests that still wait to start on the
/// previous version.
const VERSION_KNOWN_FRACTION: f64 = 0.8;

impl ProcessCfg {
    /// Returns the time within which entries have to know a change of a kind of declared
    /// state.
    pub fn max_staleness(&self, kind: StateKind) -> Duration {
        match kind {
            StateKind::Routing => self.routing_bound,
            StateKind::Endpoints => self.drain_bound,
            StateKind::Versions => self.version_bound.mul_f64(VERSION_KNOWN_FRACTION),
            StateKind::Evacuations => self.evacuation_bound.unwrap_or(self.drain_bound),
        }
    }

    /// Returns whether reads of a kind wait for a change, or find a change each time.
    pub fn change_frequency(kind: StateKind) -> ChangeFrequency {
        match kind {
            StateKind::Routing | StateKind::Versions | StateKind::Evacuations => {
                ChangeFrequency::Rare
            }
            StateKind::Endpoints => ChangeFrequency::Continuous,
        }
    }

    /// Returns the kinds of declared state that the platform declares.
    pub fn declared_kinds(&self) -> impl Iterator<Item = StateKind> {
        let evacuates = self.evacuation_bound.is_some();
        let is_declared = move |kind: &StateKind| match kind {
            StateKind::Evacuations => evacuates,
            StateKind::Routing | StateKind::Endpoints | StateKind::Versions => true,
        };
        StateKind::ALL.into_iter().filter(is_declared)
    }

    /// Returns the distance of a hall from this process.
    pub fn distance_to(&self, hall: &str) -> Distance {
        Distance::between(&self.hall, hall, &self.regions)
    }

    /// Returns the greatest age of the keys at which requests are served; `None` for any
    /// age.
    pub fn max_key_age(&self) -> Option<Duration> {
        self.revocation_bound.map(|bound| bound.mul_f64(KEY_TRUST_FRACTION))
    }

    /// Returns the longest time for which a read of the routing waits for a change;
    /// `None` if only other needs limit it.
    pub fn routing_wait(&self) -> Option<Duration> {
        self.max_key_age().map(|trusted| trusted.mul_f64(ROUTING_WAIT_FRACTION))
    }
}

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntryCfg {
    /// Settings that every process has.
    pub process: ProcessCfg,
    /// Address at which callers connect.
    pub listen: SocketAddr,
    /// Address at which the platform checks whether the entry is ready.
    pub readiness: SocketAddr,
    /// Limits the simultaneous connections of callers.
    pub max_connections: usize,
    /// Limits the bytes of all request bodies that are kept for another attempt.
    pub max_buffered_bytes: usize,
    /// Limits the bytes of all answers that are held for callers that read slowly.
    pub max_unread_bytes: usize,
    /// Terms of the shared retry budget.
    pub retries: RetryTerms,
    /// Largest number of agents that are followed whether they are used or not.
    pub max_followed_agents: usize,
    /// How endpoints are selected for requests.
    pub placement: PlacementPolicy,
    /// Mechanisms that are switched off, for a measurement.
    pub disabled_mechanisms: DisabledMechanisms,
}

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentCfg {
    /// Settings that every process has.
    pub process: ProcessCfg,
    /// Address at which entries connect.
    pub listen: SocketAddr,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Mechanisms that are switched off, for a measurement.
    pub disabled_mechanisms: DisabledMechanisms,
}

/// Port at which metrics are served.
///
/// The deployment's list of programs names the same port.
pub const METRICS_PORT: u16 = 9464;
