//! What an endpoint says of itself in its answers.

use std::time::Duration;

/// What an answer says of its endpoint, beside what it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notice {
    /// Whether the endpoint leaves: it serves what it has and is gone soon.
    pub leaving: bool,
    /// For how long it wants no requests of this VM.
    pub rest: Option<Duration>,
}

impl Notice {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
