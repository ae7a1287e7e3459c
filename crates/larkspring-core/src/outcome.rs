//! How a request ended when it has no whole answer.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// What is known of a request without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// No endpoint got the request.
    NotRun,
    /// An endpoint may have run the request.
    Unknown,
    /// An endpoint ran the request and it did not succeed.
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

    /// Reads the number used in messages; a foreign number is `Unknown`.
    pub fn from_code(code: u32) -> Self {
        match code {
            1 => Self::NotRun,
            3 => Self::Failed,
            _ => Self::Unknown,
        }
    }

    /// Returns the word used towards callers.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        }
    }
}

/// Step of a request, from the entry to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// Reading the head and the body.
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
    /// Waiting at the agent for a place.
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

/// Steps by the number used in messages, which starts at 1.
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

    /// Reads the number used in messages; a foreign number is the last step.
    pub fn from_code(code: u32) -> Self {
        let place = (code as usize).wrapping_sub(1);
        STEPS.get(place).copied().unwrap_or(Self::Stream)
    }

    /// Returns the word used towards callers and in logs.
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

/// Why a request ended without a whole answer, with the step and the peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// What is known of the request.
    pub outcome: Outcome,
    /// Where it ended.
    pub step: Step,
    /// Address or name of the peer concerned; empty for the process itself.
    pub peer: String,
    /// One sentence for a person.
    pub message: String,
    /// When a resend may succeed; `None` if the same request never will.
    pub retry_after: Option<Duration>,
    /// Whether another endpoint may answer now.
    pub elsewhere: bool,
}

impl Refusal {
    /// Creates a refusal of a request that no endpoint got.
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

    /// Sets when to come back.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets the peer.
    pub fn peer(mut self, peer: impl Into<String>) -> Self {
        self.peer = peer.into();
        self
    }

    /// Returns the refusal as the last of several attempts at one request, of which an
    /// earlier one ended as `earlier`: what may have run then is not "not run" now.
    pub fn after(mut self, earlier: Option<Outcome>) -> Self {
        if let (Outcome::NotRun, Some(earlier)) = (self.outcome, earlier) {
            self.outcome = earlier;
        }
        self
    }

    /// Marks that another endpoint may answer now.
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
