//! Adapters that an engine held recently.
//!
//! A VM keeps copies of their weights in host memory, from which they load about ten
//! times as fast as from the weight store, at no price.

use std::collections::VecDeque;

use crate::ids::TargetHash;

/// Adapters that one engine no longer holds and whose weights its VM probably has in host
/// memory, the most recent last.
#[derive(Debug, Default)]
pub struct HostCopies(VecDeque<TargetHash>);

/// Adapters that are kept for each engine. On the users' machines, with up to 140
/// adapters an engine, 1,561 reloads in one day caused about 100 fetches. The limit is
/// the smaller part of the 140, and bounds the memory for 11,000 engines to 6 MB.
const MAX_COPIES: usize = 64;

impl HostCopies {
    /// Records that the engine unloaded an adapter.
    pub fn record_unload(&mut self, target: TargetHash) {
        self.0.retain(|known| *known != target);
        if self.0.len() >= MAX_COPIES {
            self.0.pop_front();
        }
        self.0.push_back(target);
    }

    /// Whether the VM probably has a host-memory copy.
    pub fn contains(&self, target: TargetHash) -> bool {
        self.0.contains(&target)
    }

    /// Removes all adapters, as after a restart of the engine.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
