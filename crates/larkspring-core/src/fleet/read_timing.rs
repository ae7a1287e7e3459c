//! Timing of reads of the declared state, so that changes are known within a bound.
//!
//! A change reaches an entry by its own read from the store or by an agent that reads for
//! the entries of its hall. A read may be lost while everything else works: its
//! connection stalls, or the answering process is paused. Each wait is therefore a
//! fraction of the bound, and the waits on either path, including one lost read, add up
//! to less than the bound.

use std::time::Duration;

/// Timing of a process that reads one kind of state from the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReadTiming {
    /// Pause between two reads.
    pub pause: Duration,
    /// How long a read waits for a change (long poll).
    pub long_poll: Duration,
    /// Time for the answer after that wait. Without an answer the read counts as lost,
    /// and the complete state is read again.
    pub answer_timeout: Duration,
    /// Time for the answer to the complete read. Without an answer it is repeated.
    pub full_read_timeout: Duration,
}

/// Timing of an entry that reads one kind of state from agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentReadTiming {
    /// Pause between two reads.
    pub pause: Duration,
    /// Longest wait of a read for a change (long poll).
    pub long_poll: Duration,
    /// Time for the answer after that wait. Without an answer the next agent is asked.
    pub answer_timeout: Duration,
    /// Age of an agent's state at which other agents are asked.
    pub max_age: Duration,
    /// Time for the store to answer the entry if no agent does: that of a watch without a
    /// wait and, if it is lost, of a complete read.
    pub store_read_timeout: Duration,
}

/// How often a kind of state changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeFrequency {
    /// Rarely: a read waits for the next change.
    Rare,
    /// Continuously: a read returns the changes that gathered during the pause before.
    Continuous,
}

/// Agents of its hall that an entry asks, in turn.
pub const MAX_AGENTS_PER_READ: usize = 2;
/// Pause for state that changes rarely, as a fraction of the bound (as are the constants
/// below), which lets a series of changes arrive in one read.
const RARE_PAUSE_FRACTION: f64 = 0.025;
/// Longest waits for rare changes: of an entry and an agent that ask the store, and of an
/// entry that asks an agent.
const ENTRY_POLL_FRACTION: f64 = 0.5;
const AGENT_POLL_FRACTION: f64 = 0.4;
const RELAY_POLL_FRACTION: f64 = 0.25;
/// Pauses of an entry and of an agent for state that changes continuously, and the wait
/// that follows.
const ENTRY_PAUSE_FRACTION: f64 = 0.5;
const AGENT_PAUSE_FRACTION: f64 = 0.25;
const CONTINUOUS_POLL_FRACTION: f64 = 0.1;
/// Time for an answer, and for the answer to a complete read after a lost one.
const ANSWER_FRACTION: f64 = 0.1;
const FULL_READ_FRACTION: f64 = 0.15;
/// Age of an agent's state at which other agents are asked: more than the agent's pause
/// and wait.
const MAX_AGE_FRACTION: f64 = 0.5;

impl StoreReadTiming {
    /// Returns the timing of an entry for changes that have to be in force within
    /// `bound`.
    pub fn for_entry(bound: Duration, changes: ChangeFrequency) -> Self {
        match changes {
            ChangeFrequency::Rare => {
                Self::from_fractions(bound, RARE_PAUSE_FRACTION, ENTRY_POLL_FRACTION)
            }
            ChangeFrequency::Continuous => Self::from_fractions(
                bound,
                ENTRY_PAUSE_FRACTION,
                CONTINUOUS_POLL_FRACTION,
            ),
        }
    }

    /// Returns the timing of an agent that reads for the entries of its hall.
    pub fn for_agent(bound: Duration, changes: ChangeFrequency) -> Self {
        match changes {
            ChangeFrequency::Rare => {
                Self::from_fractions(bound, RARE_PAUSE_FRACTION, AGENT_POLL_FRACTION)
            }
            ChangeFrequency::Continuous => Self::from_fractions(
                bound,
                AGENT_PAUSE_FRACTION,
                CONTINUOUS_POLL_FRACTION,
            ),
        }
    }

    /// Longest time from a change until the reader knows it, with a lost watch and
    /// `lost_lists` lost complete reads.
    pub fn max_delay(&self, lost_lists: u32) -> Duration {
        self.pause
            + self.long_poll
            + self.answer_timeout
            + self.full_read_timeout * (1 + lost_lists)
    }

    fn from_fractions(bound: Duration, pause: f64, wait: f64) -> Self {
        Self {
            pause: bound.mul_f64(pause),
            long_poll: bound.mul_f64(wait),
            answer_timeout: bound.mul_f64(ANSWER_FRACTION),
            full_read_timeout: bound.mul_f64(FULL_READ_FRACTION),
        }
    }
}

impl AgentReadTiming {
    /// Returns the timing for changes that have to be in force within `bound`.
    pub fn new(bound: Duration) -> Self {
        Self {
            pause: bound.mul_f64(RARE_PAUSE_FRACTION),
            long_poll: bound.mul_f64(RELAY_POLL_FRACTION),
            answer_timeout: bound.mul_f64(ANSWER_FRACTION),
            max_age: bound.mul_f64(MAX_AGE_FRACTION),
            store_read_timeout: bound.mul_f64(ANSWER_FRACTION + FULL_READ_FRACTION),
        }
    }

    /// Returns how long a read may wait if it begins `age` after the store answered the
    /// agent, so that the state is not too old when the read returns.
    pub fn long_poll_at(&self, age: Duration) -> Duration {
        self.long_poll.min(self.max_age.saturating_sub(age))
    }

    /// Longest time from a change until the entry knows it, with no answer from any agent
    /// and a lost watch of the store.
    pub fn max_delay(&self) -> Duration {
        self.max_age
            + self.pause
            + self.answer_timeout * MAX_AGENTS_PER_READ as u32
            + self.store_read_timeout
    }
}
