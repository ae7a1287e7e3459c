//! Checked settings of the processes that send straight to endpoints.
//!
//! An adapter for a platform fills them in from the platform's own settings.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use larkspring_core::fleet::choose::Placement;
use larkspring_core::fleet::mechanisms::Without;
use larkspring_core::fleet::reads::Changes;
use larkspring_core::ids::{HallId, VmId};
use larkspring_core::limits::LimitTerms;
use larkspring_core::retry::RepeatTerms;

use super::edge::Kind;

/// What every process knows of itself.
#[derive(Debug, Clone)]
pub struct ProcessCfg {
    /// VM that it runs on.
    pub vm: VmId,
    /// Its hall (failure domain).
    pub hall: HallId,
    /// Address of the VM.
    pub ip: IpAddr,
    /// Port at which agents take entries, the same on all VMs.
    pub agent_port: u16,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Time from the signal to stop until the process is killed.
    pub stop_grace: Duration,
    /// Time within which a leaving endpoint has to be passed over.
    pub drain: Duration,
    /// Time within which a declared routing has to be in force.
    pub in_force: Duration,
    /// Time within which requests have to begin on a newly named version of an adapter.
    pub replaced: Duration,
    /// Time within which a key that was taken away is refused, whether the store can be
    /// heard or not; `None` if that is not asked for.
    pub revocation: Option<Duration>,
    /// What is allowed beyond the limits of workspaces.
    pub limits: LimitTerms,
}

/// Part of the time to a revocation for which a view of the keys is trusted. The rest
/// covers a store whose watches stay silent for a second while its state changes.
const TRUSTED_PART: f64 = 0.78;
/// Part of that time for which a read of the routing waits for a change: two reads in a row
/// and an entry's own pause have to fit into half of it.
const READ_PART: f64 = 0.2;
/// Part of the time to a new version's use in which it becomes known. The rest is left for
/// loading it and for requests that still wait to begin on the one before.
const KNOWN_PART: f64 = 0.8;

impl ProcessCfg {
    /// Time within which a change of a kind of declared state has to be known to entries.
    pub fn bound(&self, kind: Kind) -> Duration {
        match kind {
            Kind::Routing => self.in_force,
            Kind::Endpoints => self.drain,
            Kind::Versions => self.replaced.mul_f64(KNOWN_PART),
        }
    }

    /// Whether reads of a kind wait for a change, or find one each time.
    pub fn changes(kind: Kind) -> Changes {
        match kind {
            Kind::Routing | Kind::Versions => Changes::Seldom,
            Kind::Endpoints => Changes::Often,
        }
    }

    /// Oldest view of the keys by which requests are served; `None` for any.
    pub fn trusted(&self) -> Option<Duration> {
        self.revocation.map(|bound| bound.mul_f64(TRUSTED_PART))
    }

    /// How long a read of the routing waits for a change at most; `None` for as long as it
    /// suits other needs.
    pub fn routing_wait(&self) -> Option<Duration> {
        self.trusted().map(|trusted| trusted.mul_f64(READ_PART))
    }
}

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntryCfg {
    /// What every process knows.
    pub process: ProcessCfg,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address at which the platform asks whether the entry is ready.
    pub readiness: SocketAddr,
    /// Connections of callers at a time.
    pub max_connections: usize,
    /// Bytes of request bodies that are kept for another attempt, in all.
    pub max_kept_bytes: usize,
    /// The shared budget of repeats.
    pub repeats: RepeatTerms,
    /// How requests are placed.
    pub placement: Placement,
    /// What is switched off, in a measurement.
    pub without: Without,
}

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentCfg {
    /// What every process knows.
    pub process: ProcessCfg,
    /// Address for entries.
    pub listen: SocketAddr,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// What is switched off, in a measurement.
    pub without: Without,
}

/// Port at which metrics are served.
///
/// The deployment's list of programs names the same port.
pub const METRICS_PORT: u16 = 9464;
