//! Words of a platform that nothing reads, counted by where they came and by their name.

use std::collections::HashSet;

use parking_lot::Mutex;
use prometheus::IntCounterVec;

/// Where a word came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Place {
    /// A header of an endpoint's answer.
    Answer,
    /// A field of an engine's report.
    Report,
    /// A field of what the store lists of an endpoint.
    Listed,
}

/// The words that a process met.
#[derive(Debug)]
pub(super) struct UnknownWords {
    counter: IntCounterVec,
    names: Mutex<HashSet<(Place, String)>>,
}

/// Names that are told apart; an endpoint with ever new ones costs no more memory than that.
const MAX_NAMES: usize = 64;
/// Characters of a name that are kept.
const MAX_NAME: usize = 40;
/// What further names are counted as.
const OTHERS: &str = "(others)";

impl UnknownWords {
    /// Creates the record of a process that met none.
    pub fn new(counter: IntCounterVec) -> Self {
        Self { counter, names: Mutex::default() }
    }

    /// Counts a word, and logs it the first time.
    pub fn met(&self, place: Place, name: &str) {
        let name: String = name.chars().take(MAX_NAME).collect();
        let name = name.escape_default().to_string();
        let mut names = self.names.lock();
        let key = (place, name);
        let known = names.contains(&key);
        if !known && names.len() >= MAX_NAMES {
            self.counter.with_label_values(&[place.name(), OTHERS]).inc();
            return;
        }
        self.counter.with_label_values(&[place.name(), &key.1]).inc();
        if !known {
            let (place, name) = (place.name(), &*key.1);
            tracing::warn!(event = "unknown word", place, name);
            names.insert(key);
        }
    }
}

impl Place {
    /// Returns the word used in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Report => "report",
            Self::Listed => "listed",
        }
    }
}
