//! What the connections of an entry to agents have in common.

use std::sync::Arc;

use event_listener::Event;
use larkspring_core::ids::{HallId, VmId};
use larkspring_core::limits::bucket_owner::Grant;
use smol::channel::Sender;

use crate::direct::quarantine::CrashReports;
use crate::direct::replicated_state::ReplicatedState;

/// What the connections of an entry have in common.
#[derive(Debug)]
pub(in super::super) struct LinkContext {
    pub identity: EntryIdentity,
    pub replicated_state: Arc<ReplicatedState>,
    /// Notified when the agent is live again, or its engine's engagement changes.
    pub availability_changed: Arc<Event>,
    /// Notified when the agent reports another run of the engine, that the engine drains,
    /// or another rate limit.
    pub run_changed: Arc<Event>,
    /// Notified when a connection opens or breaks, and when other agents keep where streams
    /// began.
    pub keepers_changed: Arc<Event>,
    /// Receivers of grants and crash reports.
    pub sinks: MessageSinks,
}

/// Receivers of the agents' grants and crash reports.
#[derive(Debug, Clone)]
pub(in super::super) struct MessageSinks {
    /// Receives the grants of agents that are bucket owners.
    pub grants: Sender<Vec<Grant>>,
    /// The known crash reports.
    pub crash_reports: Arc<CrashReports>,
}

/// The identity of this entry.
#[derive(Debug, Clone)]
pub(in super::super) struct EntryIdentity {
    pub vm: VmId,
    pub hall: HallId,
}
