//! How the declared state is read so that a change is known within its bound.
//!
//! A change reaches an entry by a read of its own, or by an agent that reads for the entries
//! of its hall. A read may be lost: its connection goes silent, or the process that should
//! answer it is paused, while everything else goes on. So each wait is a part of the bound,
//! and those on either way add up to less than the bound with a lost read among them.

use std::time::Duration;

/// Waits of a process that reads a kind of state from the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorePace {
    /// Pause between two reads.
    pub pause: Duration,
    /// How long a read waits for a change.
    pub wait: Duration,
    /// Time for its answer beyond that; then it counts as lost, and everything is read anew.
    pub answer: Duration,
    /// Time in which that answers.
    pub again: Duration,
}

/// Waits of an entry that reads a kind of state from agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentPace {
    /// Pause between two reads.
    pub pause: Duration,
    /// How long a read waits for a change at most.
    pub wait: Duration,
    /// Time for its answer beyond that, after which the agent is passed over.
    pub answer: Duration,
    /// Time since the store answered the agent at which others are asked.
    pub oldest: Duration,
    /// Time in which the store answers the entry if no agent does.
    pub again: Duration,
}

/// How a kind of state changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Changes {
    /// Now and then: a read waits for the next change.
    Seldom,
    /// All the time: a read brings what has gathered in the pause before it.
    Often,
}

/// Agents of its hall that an entry asks, one after the other.
pub const MAX_AGENTS: usize = 2;
/// Parts of the bound. A short pause lets a series of changes be read at once.
const SHORT_PAUSE: f64 = 0.025;
/// How long an entry, an agent and an entry that asks an agent wait for what changes seldom.
const ENTRY_WAIT: f64 = 0.5;
const AGENT_WAIT: f64 = 0.4;
const RELAY_WAIT: f64 = 0.25;
/// Pause of an entry and of an agent where changes gather all the time, and the wait after it.
const ENTRY_PAUSE: f64 = 0.5;
const AGENT_PAUSE: f64 = 0.25;
const GATHERED_WAIT: f64 = 0.1;
/// Time for an answer, and for that of the read after a lost one, which is a whole list.
const ANSWER: f64 = 0.1;
const LIST_ANSWER: f64 = 0.15;
/// Age of an agent's state at which others are asked: beyond its pause and wait.
const OLDEST: f64 = 0.5;

impl StorePace {
    /// The waits of an entry for changes that have to be in force within `bound`.
    pub fn of_entry(bound: Duration, changes: Changes) -> Self {
        match changes {
            Changes::Seldom => Self::parts(bound, SHORT_PAUSE, ENTRY_WAIT),
            Changes::Often => Self::parts(bound, ENTRY_PAUSE, GATHERED_WAIT),
        }
    }

    /// The waits of an agent that reads for the entries of its hall.
    pub fn of_agent(bound: Duration, changes: Changes) -> Self {
        match changes {
            Changes::Seldom => Self::parts(bound, SHORT_PAUSE, AGENT_WAIT),
            Changes::Often => Self::parts(bound, AGENT_PAUSE, GATHERED_WAIT),
        }
    }

    /// Longest time from a change to a reader that knows it, with one read lost.
    pub fn worst(&self) -> Duration {
        self.pause + self.wait + self.answer + self.again
    }

    fn parts(bound: Duration, pause: f64, wait: f64) -> Self {
        Self {
            pause: bound.mul_f64(pause),
            wait: bound.mul_f64(wait),
            answer: bound.mul_f64(ANSWER),
            again: bound.mul_f64(LIST_ANSWER),
        }
    }
}

impl AgentPace {
    /// The waits for changes that have to be in force within `bound`.
    pub fn of(bound: Duration) -> Self {
        Self {
            pause: bound.mul_f64(SHORT_PAUSE),
            wait: bound.mul_f64(RELAY_WAIT),
            answer: bound.mul_f64(ANSWER),
            oldest: bound.mul_f64(OLDEST),
            again: bound.mul_f64(LIST_ANSWER),
        }
    }

    /// How long a read may wait that begins `age` after the store answered the agent: it
    /// comes back before that is too long ago.
    pub fn wait_at(&self, age: Duration) -> Duration {
        self.wait.min(self.oldest.saturating_sub(age))
    }

    /// Longest time from a change to an entry that knows it, with every agent lost.
    pub fn worst(&self) -> Duration {
        self.oldest + self.pause + self.answer * MAX_AGENTS as u32 + self.again
    }
}
