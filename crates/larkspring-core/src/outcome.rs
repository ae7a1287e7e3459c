//! Results of requests that end without a complete answer.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// Whether a request without a complete answer has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// No endpoint received the request.
    NotRun,
    /// An endpoint may have run the request.
    Unknown,
    /// An endpoint ran the request without success.
    Failed,
}

impl Outcome {
    /// Returns the number used in messages.
    pub fn code(self) -> u32 {
        match self {
            Self::NotRun => 1,
            Self::Unknown => 2,
            Self::Failed => 3,
        }
    }

    /// Converts the number used in messages; an unrecognised number is `Unknown`.
    pub fn from_code(code: u32) -> Self {
        match code {
            1 => Self::NotRun,
            3 => Self::Failed,
            _ => Self::Unknown,
        }
    }

    /// Returns the name used in answers to callers.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        }
    }
}

/// Step in the processing of a request, from the entry to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// Reading the head and the body of the request.
    Read,
    /// Finding the caller by its key.
    Authenticate,
    /// Checking the caller's rights and limits.
    Admit,
    /// Finding the adapter, version or service that was named.
    Resolve,
    /// Claiming the key of a request that runs at most once.
    Claim,
    /// Choosing an endpoint.
    Choose,
    /// Connecting to the endpoint's agent.
    Connect,
    /// Waiting at the agent for a batch slot.
    Queue,
    /// Waiting at the agent for the adapter.
    Load,
    /// Sending the request to the endpoint.
    Send,
    /// Waiting for the endpoint to begin its answer.
    Begin,
    /// Relaying the answer.
    Stream,
}

/// Steps in the order of the numbers used in messages, which start at 1.
const STEPS: [Step; 12] = [
    Step::Read,
    Step::Authenticate,
    Step::Admit,
    Step::Resolve,
    Step::Claim,
    Step::Choose,
    Step::Connect,
    Step::Queue,
    Step::Load,
    Step::Send,
    Step::Begin,
    Step::Stream,
];

impl Step {
    /// Returns the number used in messages.
    pub fn code(self) -> u32 {
        self as u32 + 1
    }

    /// Converts the number used in messages; an unrecognised number is the last step.
    pub fn from_code(code: u32) -> Self {
        let index = (code as usize).wrapping_sub(1);
        STEPS.get(index).copied().unwrap_or(Self::Stream)
    }

    /// Returns the name used in answers to callers and in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Authenticate => "authenticate",
            Self::Admit => "admit",
            Self::Resolve => "resolve",
            Self::Claim => "claim",
            Self::Choose => "choose",
            Self::Connect => "connect",
            Self::Queue => "queue",
            Self::Load => "load",
            Self::Send => "send",
            Self::Begin => "begin",
            Self::Stream => "stream",
        }
    }
}

/// Reason why a request ended without a complete answer, with the step and the peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request has run.
    pub outcome: Outcome,
    /// The step at which the request ended.
    pub step: Step,
    /// Address or name of the peer concerned; empty for the process itself.
    pub peer: String,
    /// Description in a sentence, for people.
    pub message: String,
    /// Time after which a retry may succeed; `None` if the same request never will.
    pub retry_after: Option<Duration>,
    /// Whether another endpoint may answer the request now.
    pub elsewhere: bool,
}

impl Refusal {
    /// Creates a refusal of a request that no endpoint received.
    pub fn not_run(step: Step, message: impl Into<String>) -> Self {
        Self::new(Outcome::NotRun, step, message)
    }

    /// Creates a refusal of a request that an endpoint may have run.
    pub fn unknown(step: Step, message: impl Into<String>) -> Self {
        Self::new(Outcome::Unknown, step, message)
    }

    /// Creates a refusal of a request that an endpoint ran without success.
    pub fn failed(step: Step, message: impl Into<String>) -> Self {
        Self::new(Outcome::Failed, step, message)
    }

    /// Sets the time after which a retry may succeed.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets the peer.
    pub fn peer(mut self, peer: impl Into<String>) -> Self {
        self.peer = peer.into();
        self
    }

    /// Returns the refusal of the last of several attempts at a request, given the
    /// outcome `earlier` of an earlier attempt: a request that may have run then is not
    /// reported as "not run".
    pub fn after(mut self, earlier: Option<Outcome>) -> Self {
        if let (Outcome::NotRun, Some(earlier)) = (self.outcome, earlier) {
            self.outcome = earlier;
        }
        self
    }

    /// Marks that another endpoint may answer the request now.
    pub fn elsewhere(mut self) -> Self {
        self.elsewhere = true;
        self
    }

    fn new(outcome: Outcome, step: Step, message: impl Into<String>) -> Self {
        Self {
            outcome,
            step,
            peer: String::new(),
            message: message.into(),
            retry_after: None,
            elsewhere: false,
        }
    }
}

impl Display for Refusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.outcome.name(), self.step.name(), self.message)?;
        if !self.peer.is_empty() {
            write!(f, " (peer {})", self.peer)?;
        }
        Ok(())
    }
}

impl std::error::Error for Refusal {}
