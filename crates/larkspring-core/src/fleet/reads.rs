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
pub struct StorePace {
    /// Pause between two reads.
    pub pause: Duration,
    /// How long a read waits for a change (long poll).
    pub wait: Duration,
    /// Time for the answer after that wait. Without an answer the read counts as lost,
    /// and the complete state is read again.
    pub answer: Duration,
    /// Time for the answer to the complete read.
    pub again: Duration,
}

/// Timing of an entry that reads one kind of state from agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentPace {
    /// Pause between two reads.
    pub pause: Duration,
    /// Longest wait of a read for a change (long poll).
    pub wait: Duration,
    /// Time for the answer after that wait. Without an answer the next agent is asked.
    pub answer: Duration,
    /// Age of an agent's state at which other agents are asked.
    pub oldest: Duration,
    /// Time for the store to answer the entry if no agent does.
    pub again: Duration,
}

/// How often a kind of state changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Changes {
    /// Rarely: a read waits for the next change.
    Seldom,
    /// Continuously: a read returns the changes that gathered during the pause before.
    Often,
}

/// Agents of its hall that an entry asks, in turn.
pub const MAX_AGENTS: usize = 2;
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

impl StorePace {
    /// Returns the timing of an entry for changes that have to be in force within
    /// `bound`.
    pub fn of_entry(bound: Duration, changes: Changes) -> Self {
        match changes {
            Changes::Seldom => {
                Self::from_fractions(bound, RARE_PAUSE_FRACTION, ENTRY_POLL_FRACTION)
            }
            Changes::Often => Self::from_fractions(
                bound,
                ENTRY_PAUSE_FRACTION,
                CONTINUOUS_POLL_FRACTION,
            ),
        }
    }

    /// Returns the timing of an agent that reads for the entries of its hall.
    pub fn of_agent(bound: Duration, changes: Changes) -> Self {
        match changes {
            Changes::Seldom => {
                Self::from_fractions(bound, RARE_PAUSE_FRACTION, AGENT_POLL_FRACTION)
            }
            Changes::Often => Self::from_fractions(
                bound,
                AGENT_PAUSE_FRACTION,
                CONTINUOUS_POLL_FRACTION,
            ),
        }
    }

    /// Longest time from a change until the reader knows it, with one lost read.
    pub fn worst(&self) -> Duration {
        self.pause + self.wait + self.answer + self.again
    }

    fn from_fractions(bound: Duration, pause: f64, wait: f64) -> Self {
        Self {
            pause: bound.mul_f64(pause),
            wait: bound.mul_f64(wait),
            answer: bound.mul_f64(ANSWER_FRACTION),
            again: bound.mul_f64(FULL_READ_FRACTION),
        }
    }
}

impl AgentPace {
    /// Returns the timing for changes that have to be in force within `bound`.
    pub fn of(bound: Duration) -> Self {
        Self {
            pause: bound.mul_f64(RARE_PAUSE_FRACTION),
            wait: bound.mul_f64(RELAY_POLL_FRACTION),
            answer: bound.mul_f64(ANSWER_FRACTION),
            oldest: bound.mul_f64(MAX_AGE_FRACTION),
            again: bound.mul_f64(FULL_READ_FRACTION),
        }
    }

    /// Returns how long a read may wait if it begins `age` after the store answered the
    /// agent, so that the state is not too old when the read returns.
    pub fn wait_at(&self, age: Duration) -> Duration {
        self.wait.min(self.oldest.saturating_sub(age))
    }

    /// Longest time from a change until the entry knows it, with no answer from any
    /// agent.
    pub fn worst(&self) -> Duration {
        self.oldest + self.pause + self.answer * MAX_AGENTS as u32 + self.again
    }
}
