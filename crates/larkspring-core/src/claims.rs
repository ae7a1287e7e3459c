//! Which requests have run, for those that run at most once.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Keys that were claimed and how their requests ended.
#[derive(Debug)]
pub struct Claims {
    keep: Duration,
    limit: usize,
    held: HashMap<ClaimKey, Claim>,
    order: VecDeque<(Instant, ClaimKey)>,
}

/// Caller and key, hashed to 128 bits.
pub type ClaimKey = u128;

/// What is known of a claimed key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// An attempt holds the key and has not ended.
    Running,
    /// The request ran to a whole answer.
    Ran,
    /// An endpoint may have run the request.
    Unknown,
}

/// Answer to a try to claim a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claimed {
    /// The key is the asker's; the request may run.
    Granted,
    /// Another attempt came first.
    Taken(Claim),
    /// The table is full; nothing is known of the key.
    Full,
}

impl Claims {
    /// Creates a table that keeps `limit` keys at most, each for `keep` at least.
    pub fn new(keep: Duration, limit: usize) -> Self {
        Self { keep, limit, held: HashMap::new(), order: VecDeque::new() }
    }

    /// Claims a key, or says who came first.
    pub fn claim(&mut self, now: Instant, key: ClaimKey) -> Claimed {
        self.forget(now);
        if let Some(claim) = self.held.get(&key) {
            return Claimed::Taken(*claim);
        }
        if self.held.len() >= self.limit {
            return Claimed::Full;
        }
        self.held.insert(key, Claim::Running);
        self.order.push_back((now, key));
        Claimed::Granted
    }

    /// Records how the attempt that holds the key ended.
    pub fn settle(&mut self, key: ClaimKey, claim: Claim) {
        if let Some(held) = self.held.get_mut(&key) {
            *held = claim;
        }
    }

    /// Gives back the key of a request that was proved not to have run.
    pub fn release(&mut self, key: ClaimKey) {
        self.held.remove(&key);
    }

    /// Number of keys that are kept.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn forget(&mut self, now: Instant) {
        while let Some((at, key)) = self.order.front().copied() {
            if now.saturating_duration_since(at) < self.keep {
                return;
            }
            self.order.pop_front();
            self.held.remove(&key);
        }
    }
}
