//! Crash reports known to a process, with their log lines and messages.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::ids::ContentHash;
use larkspring_core::quarantine::{End, Finding, Quarantine, Standing, REFUSED_FROM};
use larkspring_proto::residency as wire;
use parking_lot::Mutex;

use super::logs::{self, Line};
use super::stats::Stats;

/// The crash reports of one process, by request fingerprint.
#[derive(Debug)]
pub(super) struct Findings {
    known: Mutex<Quarantine>,
    /// Number of remembered fingerprints; it is mostly 0, and then a request takes no
    /// lock.
    len: AtomicUsize,
    stats: Arc<Stats>,
}

/// Limits the crash reports sent to a process when its connection opens, the latest
/// first: some 10 KB.
const MAX_SENT_REPORTS: usize = 512;

impl Findings {
    /// Creates the record of a process that has just started.
    pub fn new(stats: Arc<Stats>) -> Self {
        Self { known: Mutex::default(), len: AtomicUsize::new(0), stats }
    }

    /// Returns the quarantine status of a fingerprint.
    pub fn standing(&self, content: ContentHash) -> Standing {
        match self.len.load(Ordering::Acquire) {
            0 => Standing::Free,
            _ => self.known.lock().standing(Instant::now(), content),
        }
    }

    /// Counts a crash; returns the crash report to forward to other processes.
    pub fn ended(&self, content: ContentHash, end: End) -> Option<wire::Finding> {
        self.change(content, |known, now| known.ended(now, content, end)).map(encode)
    }

    /// Records a complete answer, which clears the fingerprint; returns the crash report
    /// to forward to other processes.
    pub fn answered(&self, content: ContentHash) -> Option<wire::Finding> {
        if self.len.load(Ordering::Acquire) == 0 {
            return None;
        }
        self.change(content, |known, now| known.clear(now, content)).map(encode)
    }

    /// Applies crash reports of other processes; returns those that were new.
    pub fn learn(&self, received: &wire::Findings) -> Vec<wire::Finding> {
        let is_new = |found: &&wire::Finding| {
            self.change(found.content, |known, now| known.learn(now, &decode(found)))
        };
        received.findings.iter().filter(is_new).copied().collect()
    }

    /// Quarantines fingerprints; returns the crash reports that were new.
    pub fn quarantine(&self, contents: &[ContentHash]) -> Vec<wire::Finding> {
        let found = |content: &ContentHash| wire::Finding {
            content: *content,
            ends: REFUSED_FROM,
            age_ms: 0,
        };
        let findings = contents.iter().map(found).collect();
        self.learn(&wire::Findings { findings })
    }

    /// Returns the quarantined fingerprints.
    pub fn refused(&self) -> Vec<ContentHash> {
        match self.len.load(Ordering::Acquire) {
            0 => Vec::new(),
            _ => self.known.lock().refused(Instant::now()),
        }
    }

    /// Returns the crash reports to send to a process that has just connected; `None` if
    /// there are none.
    pub fn all(&self) -> Option<wire::Findings> {
        if self.len.load(Ordering::Acquire) == 0 {
            return None;
        }
        let findings = self.known.lock().findings(Instant::now());
        let findings: Vec<_> =
            findings.into_iter().take(MAX_SENT_REPORTS).map(encode).collect();
        (!findings.is_empty()).then_some(wire::Findings { findings })
    }

    /// Writes the number of fingerprints by quarantine status to the metrics.
    pub fn show(&self) {
        let (suspected, refused) = self.known.lock().counts(Instant::now());
        self.stats.state("requests_suspected", suspected as i64);
        self.stats.state("requests_quarantined", refused as i64);
    }

    /// Changes the record of a fingerprint, and logs a change of its quarantine status.
    fn change<T>(
        &self,
        content: ContentHash,
        f: impl FnOnce(&mut Quarantine, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let mut known = self.known.lock();
        let before = known.standing(now, content);
        let changed = f(&mut known, now);
        let after = known.standing(now, content);
        self.len.store(known.len(), Ordering::Release);
        drop(known);
        if before != after {
            self.log(content, after);
        }
        changed
    }

    fn log(&self, content: ContentHash, standing: Standing) {
        let (event, status) = match standing {
            Standing::Free => ("request cleared", "cleared"),
            Standing::Suspected => ("request suspected", "suspected"),
            Standing::Refused => ("request quarantined", "quarantined"),
        };
        self.stats.quarantine(status);
        if logs::allows(Line::Belief) {
            tracing::warn!(event, content = logs::hash(content));
        }
    }
}

/// Encodes a crash for an agent.
pub(super) fn write_end(content: ContentHash, end: &End) -> wire::End {
    let ms = |at: Instant| at.elapsed().as_millis() as u64;
    wire::End {
        content,
        attempt: end.attempt,
        began_ms: ms(end.began),
        age_ms: ms(end.at),
    }
}

/// Decodes a crash that an entry observed.
pub(super) fn read_end(end: &wire::End) -> End {
    let now = Instant::now();
    let ago = |ms| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
    End { attempt: end.attempt, began: ago(end.began_ms), at: ago(end.age_ms) }
}

fn encode(found: Finding) -> wire::Finding {
    let age_ms = found.age.as_millis() as u64;
    wire::Finding { content: found.content, ends: found.ends, age_ms }
}

fn decode(found: &wire::Finding) -> Finding {
    let age = Duration::from_millis(found.age_ms);
    Finding { content: found.content, ends: found.ends, age }
}
