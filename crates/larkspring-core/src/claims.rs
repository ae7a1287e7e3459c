//! Records of requests that run at most once, by idempotency key.
//!
//! A table holds the keys of all partitions of an entry. A key is kept for the retention
//! time, and its answer for as long as there is room.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::tenure::{millis, Millis};

/// The claimed keys and the results of their requests.
#[derive(Debug)]
pub struct ClaimTable<A> {
    limits: ClaimLimits,
    claims: HashMap<ClaimKey, Claim<A>>,
    /// Keys in the order of their claims, with the time of the claim.
    order: VecDeque<(Millis, ClaimKey)>,
    /// Keys with a stored answer, the oldest first.
    answered: VecDeque<ClaimKey>,
    answer_bytes: usize,
}

/// Limits of a table.
#[derive(Debug, Clone, Copy)]
pub struct ClaimLimits {
    /// Shortest time for which a key is kept.
    pub retention: Duration,
    /// Largest number of keys.
    pub max_keys: usize,
    /// Total size of the stored answers, in bytes.
    pub max_answer_bytes: usize,
}

/// 128-bit hash of the caller and the idempotency key.
pub type ClaimKey = u128;

/// A request to claim a key.
#[derive(Debug, Clone)]
pub struct ClaimAttempt {
    /// The key.
    pub key: ClaimKey,
    /// Hash of the request, which reveals a key that is used for two requests.
    pub request: u64,
    /// Name of the attempt; the same attempt may send the claim again.
    pub attempt: String,
    /// Time from which the result of an attempt that was not settled counts as unknown.
    pub deadline: Millis,
}

/// Answer to a request to claim a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The attempt holds the key; the request may run.
    Granted,
    /// Another attempt is running.
    Running,
    /// The request ran to a complete answer.
    Ran,
    /// An endpoint may have run the request.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// The table is full and has no record of the key.
    Full,
    /// The receiving process does not hold the key's partition.
    NotHolder,
}

const VERDICTS: [ClaimVerdict; 7] = [
    ClaimVerdict::Granted,
    ClaimVerdict::Running,
    ClaimVerdict::Ran,
    ClaimVerdict::Unknown,
    ClaimVerdict::Mismatch,
    ClaimVerdict::Full,
    ClaimVerdict::NotHolder,
];

impl ClaimVerdict {
    /// Returns the number used in messages.
    pub fn code(self) -> u32 {
        self as u32 + 1
    }

    /// Converts the number used in messages; an unrecognised number is `Unknown`.
    pub fn from_code(code: u32) -> Self {
        let index = (code as usize).wrapping_sub(1);
        VERDICTS.get(index).copied().unwrap_or(Self::Unknown)
    }
}

/// Result of the attempt that held a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It was proved that no endpoint received the request.
    NotRun,
    /// The request ran to a complete answer.
    Ran,
    /// An endpoint may have run the request.
    Unknown,
}

impl ClaimOutcome {
    /// Returns the number used in messages.
    pub fn code(self) -> u32 {
        match self {
            Self::NotRun => 1,
            Self::Ran => 2,
            Self::Unknown => 3,
        }
    }

    /// Converts the number used in messages; an unrecognised number is `Unknown`.
    pub fn from_code(code: u32) -> Self {
        match code {
            1 => Self::NotRun,
            2 => Self::Ran,
            _ => Self::Unknown,
        }
    }
}

/// Record of a claimed key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim<A> {
    /// When the key was claimed.
    pub claimed: Millis,
    /// Hash of the request.
    pub request: u64,
    /// Name of the attempt that holds the key.
    pub attempt: String,
    /// Time from which the result of the attempt counts as unknown if it is not settled.
    pub deadline: Millis,
    /// Result of the attempt, once it has ended.
    pub settled: Option<ClaimOutcome>,
    /// The stored answer with its length in bytes.
    pub answer: Option<(A, usize)>,
}

impl<A: Clone> ClaimTable<A> {
    /// Creates an empty table.
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            claims: HashMap::new(),
            order: VecDeque::new(),
            answered: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Claims a key, or returns the verdict on an earlier claim with its stored answer.
    /// Must only be called for keys on which this process has complete records.
    pub fn claim(&mut self, now: Millis, ask: ClaimAttempt) -> (ClaimVerdict, Option<A>) {
        self.drop_expired(now);
        if let Some(claim) = self.claims.get(&ask.key) {
            return (claim.verdict(now, &ask), claim.answer.clone().map(|(a, _)| a));
        }
        if self.claims.len() >= self.limits.max_keys {
            return (ClaimVerdict::Full, None);
        }
        self.order.push_back((now, ask.key));
        let claim = Claim {
            claimed: now,
            request: ask.request,
            attempt: ask.attempt,
            deadline: ask.deadline,
            settled: None,
            answer: None,
        };
        self.claims.insert(ask.key, claim);
        (ClaimVerdict::Granted, None)
    }

    /// Returns the verdict on a key without claiming it; `None` if the key is not in the
    /// table.
    pub fn verdict_on(
        &mut self,
        now: Millis,
        ask: &ClaimAttempt,
    ) -> Option<(ClaimVerdict, Option<A>)> {
        self.drop_expired(now);
        let claim = self.claims.get(&ask.key)?;
        Some((claim.verdict(now, ask), claim.answer.clone().map(|(a, _)| a)))
    }

    /// Records the result of the attempt that holds a key; results of other attempts are
    /// ignored.
    pub fn settle(
        &mut self,
        key: ClaimKey,
        attempt: &str,
        settled: ClaimOutcome,
        answer: Option<(A, usize)>,
    ) {
        let Some(claim) = self.claims.get_mut(&key) else { return };
        if claim.attempt != attempt || claim.settled.is_some() {
            return;
        }
        if settled == ClaimOutcome::NotRun {
            self.claims.remove(&key);
            return;
        }
        claim.settled = Some(settled);
        if let Some((answer, len)) =
            answer.filter(|(_, n)| *n <= self.limits.max_answer_bytes)
        {
            claim.answer = Some((answer, len));
            self.answered.push_back(key);
            self.answer_bytes += len;
            self.evict_answers();
        }
    }

    /// Returns all claims, the oldest first.
    pub fn export(&self) -> Vec<(ClaimKey, Claim<A>)> {
        let mut all: Vec<_> = self.claims.iter().map(|(k, c)| (*k, c.clone())).collect();
        all.sort_by_key(|(key, claim)| (claim.claimed, *key));
        all
    }

    /// Adds the claims of another holder, given with the oldest first.
    pub fn import(&mut self, claims: Vec<(ClaimKey, Claim<A>)>) {
        for (key, mut claim) in claims {
            let answer = claim.answer.take();
            let settled = claim.settled.take();
            let attempt = claim.attempt.clone();
            self.order.push_back((claim.claimed, key));
            self.claims.insert(key, claim);
            if let Some(settled) = settled {
                self.settle(key, &attempt, settled, answer);
            }
        }
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn drop_expired(&mut self, now: Millis) {
        let retention = millis(self.limits.retention);
        while let Some((at, key)) = self.order.front().copied() {
            if now < at + retention {
                return;
            }
            self.order.pop_front();
            // The key may have been released and claimed again since.
            if self.claims.get(&key).is_some_and(|claim| claim.claimed == at) {
                self.remove_answer(key);
                self.claims.remove(&key);
            }
        }
    }

    fn evict_answers(&mut self) {
        while self.answer_bytes > self.limits.max_answer_bytes {
            let Some(key) = self.answered.pop_front() else { return };
            self.remove_answer(key);
        }
    }

    fn remove_answer(&mut self, key: ClaimKey) {
        let claim = self.claims.get_mut(&key);
        if let Some((_, len)) = claim.and_then(|claim| claim.answer.take()) {
            self.answer_bytes -= len;
        }
    }
}

impl<A> Claim<A> {
    fn verdict(&self, now: Millis, ask: &ClaimAttempt) -> ClaimVerdict {
        if self.request != ask.request {
            return ClaimVerdict::Mismatch;
        }
        match self.settled {
            Some(ClaimOutcome::Ran) => ClaimVerdict::Ran,
            Some(_) => ClaimVerdict::Unknown,
            None if self.attempt == ask.attempt => ClaimVerdict::Granted,
            None if now >= self.deadline => ClaimVerdict::Unknown,
            None => ClaimVerdict::Running,
        }
    }
}
