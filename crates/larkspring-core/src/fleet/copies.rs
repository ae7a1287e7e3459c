//! Adapters that an engine held lately.
//!
//! A VM keeps copies of them in its memory, from which they load ten times as fast as
//! from the weight store and without a price.

use std::collections::VecDeque;

use crate::ids::TargetHash;

/// Adapters that one engine no longer holds and of which its VM probably has copies, the
/// latest last.
#[derive(Debug, Default)]
pub struct Copies(VecDeque<TargetHash>);

/// Adapters that are remembered of each engine. On the users' machines 1,561 reloads on
/// one day cost about 100 fetches, with up to 140 adapters an engine; this is the
/// smaller part of that, and bounds the memory at 11,000 engines to 6 MB.
const MAX_COPIES: usize = 64;

impl Copies {
    /// Records that the engine gave up an adapter.
    pub fn leave(&mut self, target: TargetHash) {
        self.0.retain(|known| *known != target);
        if self.0.len() >= MAX_COPIES {
            self.0.pop_front();
        }
        self.0.push_back(target);
    }

    /// Whether the VM probably has a copy.
    pub fn contains(&self, target: TargetHash) -> bool {
        self.0.contains(&target)
    }

    /// Forgets all, as after a restart of the engine.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
