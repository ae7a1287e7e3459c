//! Applies what was read of the platform's declared state.

use std::sync::Arc;
use std::time::Instant;

use larkspring_core::fleet::read_timing::ChangeFrequency;
use larkspring_core::ids::StorePoint;

use super::cfg::ProcessCfg;
use super::logs::{self, LineKind};
use super::platform_api::{EncodedState, ReadSource, StateKind, StateStore};
use super::replicated_state::{ProofBasis, ReplicatedState};
use super::stats::Stats;
use super::unknown_names::NameSource;
use crate::platform::PlatformError;

/// Decodes the answers to reads and applies them to the replicated state.
pub(super) struct StateApplier {
    directory: Arc<dyn StateStore>,
    replicated_state: Arc<ReplicatedState>,
    stats: Arc<Stats>,
}

impl StateApplier {
    /// Creates an applier of what `directory` decodes.
    pub fn new(
        directory: Arc<dyn StateStore>,
        replicated_state: Arc<ReplicatedState>,
        stats: Arc<Stats>,
    ) -> Self {
        Self { directory, replicated_state, stats }
    }

    /// Applies the result of a read; returns its point in the store's history and who
    /// answered.
    pub fn apply(
        &self,
        kind: StateKind,
        state: &EncodedState,
    ) -> Result<(StorePoint, ReadSource), PlatformError> {
        let listed = self.directory.decode(kind, state)?;
        let now = Instant::now();
        match state.source {
            ReadSource::Store => self.stats.count_store_call(kind.name(), true),
            ReadSource::Agent => self.stats.count_agent_read(kind.name()),
        }
        self.replicated_state
            .record_store_answer(now.checked_sub(state.age).unwrap_or(now));
        let at = listed.at;
        self.stats.set_store_point(kind.name(), at);
        self.stats.count_unknown_names(NameSource::Listed, &listed.unknown_names);
        let left_out = listed.items.iter().filter(|item| item.is_invalid()).count();
        self.stats.count_invalid_items(kind.name(), left_out as u64);
        let unreadable = left_out > 0;
        let readable = !listed.items.is_empty() && !unreadable;
        let version = || self.replicated_state.routing().map(|routing| routing.version);
        let before = version();
        match state.is_complete {
            true => self.replicated_state.replace_all(now, kind, listed),
            false => self.replicated_state.apply_changes(now, listed),
        }
        if kind == StateKind::Routing && (unreadable || readable) {
            self.replicated_state.set_routing_invalid(unreadable);
        }
        if kind == StateKind::Routing && version() > before {
            self.replicated_state.keep_routing_copy(state);
        }
        let basis = ProofBasis {
            source: state.source,
            content: state.content(),
            point: at,
            listed_at: state.listed_at,
            routing: version(),
        };
        let proved = state.proved_at.is_some_and(|at| {
            self.replicated_state.record_proof_of(kind, at, Some(basis))
        });
        log_read(kind, state, basis, proved);
        Ok((at, state.source))
    }
}

/// Logs a read of state that changes rarely. Endpoints change with each read, and
/// their changes are logged.
fn log_read(kind: StateKind, state: &EncodedState, basis: ProofBasis, proved: bool) {
    let is_rare = ProcessCfg::change_frequency(kind) == ChangeFrequency::Rare;
    if is_rare && logs::is_allowed(LineKind::StateChange) {
        let sent_ms_ago = state.proved_at.map(|at| at.elapsed().as_millis() as u64);
        tracing::info!(
            event = "state read",
            kind = kind.name(),
            source = basis.source.name(),
            content = basis.content.name(),
            epoch = basis.point.epoch(),
            revision = basis.point.revision(),
            sent_ms_ago,
            proved,
            routing = basis.routing,
        );
    }
}
