//! Which caller's connection is closed when answers that callers have not read take too
//! much memory.

use std::time::Instant;

/// What an entry holds for a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnreadAnswer {
    /// Bytes of the answer that the entry holds.
    pub held: usize,
    /// When the caller last read, or since when bytes are held.
    pub last_read: Instant,
}

/// Returns the position of the caller that has not read for the longest time, the one
/// with the most bytes among equals; `None` if no bytes are held for any of them.
pub fn slowest_reader(answers: impl IntoIterator<Item = UnreadAnswer>) -> Option<usize> {
    let behind = answers.into_iter().enumerate().filter(|(_, answer)| answer.held > 0);
    let slowest = behind
        .min_by(|(_, a), (_, b)| a.last_read.cmp(&b.last_read).then(b.held.cmp(&a.held)));
    slowest.map(|(at, _)| at)
}
