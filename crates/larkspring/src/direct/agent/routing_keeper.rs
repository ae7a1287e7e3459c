//! Keeps the newest routing that any entry has known, for entries that start.
//!
//! The platform's store may hold an older routing again: the operator's writes may be
//! carried out late, and the store may be restored from a backup. Running entries pass
//! over that; one that starts knows only the store, and the agents that outlive it.

use larkspring_proto::residency as wire;
use parking_lot::Mutex;

/// The newest routing that entries have told, undecoded.
#[derive(Default)]
pub(super) struct RoutingKeeper {
    newest: Mutex<wire::RoutingCopy>,
}

impl RoutingKeeper {
    /// Keeps an entry's routing if it is newer; returns the kept one if that is newer, and
    /// its version alone otherwise.
    pub fn exchange(&self, told: wire::RoutingCopy) -> wire::RoutingCopy {
        let mut newest = self.newest.lock();
        let is_whole = !told.pages.is_empty() || !told.changes.is_empty();
        if newest.version > told.version {
            return newest.clone();
        }
        if newest.version < told.version && is_whole {
            tracing::info!(event = "routing kept", version = told.version);
            *newest = told;
        }
        wire::RoutingCopy { version: newest.version, ..wire::RoutingCopy::default() }
    }
}
