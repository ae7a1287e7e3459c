//! Counts names from a platform that larkspring does not recognise, by source and by
//! name.

use std::collections::HashSet;

use parking_lot::Mutex;
use prometheus::IntCounterVec;

/// Where an unrecognised name was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum NameSource {
    /// A header of an endpoint's answer.
    Answer,
    /// A field of an engine's report.
    Report,
    /// A field of an endpoint's object in the store.
    Listed,
}

/// The unrecognised names that a process has found.
#[derive(Debug)]
pub(super) struct UnknownNames {
    counter: IntCounterVec,
    names: Mutex<HashSet<(NameSource, String)>>,
}

/// Limits the names that are counted separately, so that an endpoint with ever new names
/// uses no more memory.
const MAX_NAMES: usize = 64;
/// Limits the characters of a name that are kept.
const MAX_NAME_CHARS: usize = 40;
/// The name under which further names are counted.
const OTHER_NAMES: &str = "(others)";

impl UnknownNames {
    /// Creates an empty record.
    pub fn new(counter: IntCounterVec) -> Self {
        Self { counter, names: Mutex::default() }
    }

    /// Counts a name, and logs it the first time.
    pub fn count(&self, place: NameSource, name: &str) {
        let name: String = name.chars().take(MAX_NAME_CHARS).collect();
        let name = name.escape_default().to_string();
        let mut names = self.names.lock();
        let key = (place, name);
        let known = names.contains(&key);
        if !known && names.len() >= MAX_NAMES {
            self.counter.with_label_values(&[place.name(), OTHER_NAMES]).inc();
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

impl NameSource {
    /// Returns the label used in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Report => "report",
            Self::Listed => "listed",
        }
    }
}
