//! Crash reports known to a process, with their log lines and messages.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::ids::ContentHash;
use larkspring_core::quarantine::{
    Crash, CrashReport, Quarantine, QuarantineStatus, REFUSED_FROM_CRASHES,
};
use larkspring_proto::residency as wire;
use parking_lot::Mutex;

use super::logs::{self, LineKind};
use super::stats::Stats;

/// The crash reports of one process, by request fingerprint.
#[derive(Debug)]
pub(super) struct CrashReports {
    known: Mutex<Quarantine>,
    /// Number of remembered fingerprints; it is mostly 0, and then a request takes no
    /// lock.
    len: AtomicUsize,
    stats: Arc<Stats>,
}

/// Limits the crash reports sent to a process when its connection opens, the latest
/// first: some 10 KB.
const MAX_SENT_REPORTS: usize = 512;

impl CrashReports {
    /// Creates the record of a process that has just started.
    pub fn new(stats: Arc<Stats>) -> Self {
        Self { known: Mutex::default(), len: AtomicUsize::new(0), stats }
    }

    /// Returns the quarantine status of a fingerprint.
    pub fn status(&self, content: ContentHash) -> QuarantineStatus {
        match self.len.load(Ordering::Acquire) {
            0 => QuarantineStatus::Unrestricted,
            _ => self.known.lock().status(Instant::now(), content),
        }
    }

    /// Counts a crash; returns the crash report to forward to other processes.
    pub fn record_crash(
        &self,
        content: ContentHash,
        end: Crash,
    ) -> Option<wire::Finding> {
        self.change(content, |known, now| known.record_crash(now, content, end))
            .map(encode)
    }

    /// Records a complete answer, which clears the fingerprint; returns the crash report
    /// to forward to other processes.
    pub fn record_answer(&self, content: ContentHash) -> Option<wire::Finding> {
        if self.len.load(Ordering::Acquire) == 0 {
            return None;
        }
        self.change(content, |known, now| known.record_answer(now, content)).map(encode)
    }

    /// Applies crash reports of other processes; returns those that were new.
    pub fn apply(&self, received: &wire::Findings) -> Vec<wire::Finding> {
        let is_new = |found: &&wire::Finding| {
            self.change(found.content, |known, now| {
                known.apply_report(now, &decode(found))
            })
        };
        received.findings.iter().filter(is_new).copied().collect()
    }

    /// Quarantines fingerprints; returns the crash reports that were new.
    pub fn quarantine(&self, contents: &[ContentHash]) -> Vec<wire::Finding> {
        let found = |content: &ContentHash| wire::Finding {
            content: *content,
            ends: REFUSED_FROM_CRASHES,
            age_ms: 0,
        };
        let findings = contents.iter().map(found).collect();
        self.apply(&wire::Findings { findings })
    }

    /// Returns the quarantined fingerprints.
    pub fn refused(&self) -> Vec<ContentHash> {
        match self.len.load(Ordering::Acquire) {
            0 => Vec::new(),
            _ => self.known.lock().refused_fingerprints(Instant::now()),
        }
    }

    /// Returns the crash reports to send to a process that has just connected; `None` if
    /// there are none.
    pub fn latest(&self) -> Option<wire::Findings> {
        if self.len.load(Ordering::Acquire) == 0 {
            return None;
        }
        let reports = self.known.lock().reports(Instant::now());
        let findings: Vec<_> =
            reports.into_iter().take(MAX_SENT_REPORTS).map(encode).collect();
        (!findings.is_empty()).then_some(wire::Findings { findings })
    }

    /// Writes the number of fingerprints by quarantine status to the metrics.
    pub fn write_metrics(&self) {
        let (suspected, refused) = self.known.lock().counts(Instant::now());
        self.stats.set_gauge("requests_suspected", suspected as i64);
        self.stats.set_gauge("requests_quarantined", refused as i64);
    }

    /// Changes the record of a fingerprint, and logs a change of its quarantine status.
    fn change<T>(
        &self,
        content: ContentHash,
        f: impl FnOnce(&mut Quarantine, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let mut known = self.known.lock();
        let before = known.status(now, content);
        let changed = f(&mut known, now);
        let after = known.status(now, content);
        self.len.store(known.len(), Ordering::Release);
        drop(known);
        if before != after {
            self.log(content, after);
        }
        changed
    }

    fn log(&self, content: ContentHash, status: QuarantineStatus) {
        let (event, label) = match status {
            QuarantineStatus::Unrestricted => ("request cleared", "cleared"),
            QuarantineStatus::Suspected => ("request suspected", "suspected"),
            QuarantineStatus::Refused => ("request quarantined", "quarantined"),
        };
        self.stats.count_quarantine(label);
        if logs::is_allowed(LineKind::StateChange) {
            tracing::warn!(event, content = logs::format_hash(content));
        }
    }
}

/// Encodes a crash for an agent.
pub(super) fn encode_crash(content: ContentHash, end: &Crash) -> wire::End {
    let ms = |at: Instant| at.elapsed().as_millis() as u64;
    wire::End {
        content,
        attempt: end.attempt,
        began_ms: ms(end.sent_at),
        age_ms: ms(end.crashed_at),
    }
}

/// Decodes a crash that an entry observed.
pub(super) fn decode_crash(end: &wire::End) -> Crash {
    let now = Instant::now();
    let ago = |ms| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
    Crash {
        attempt: end.attempt,
        sent_at: ago(end.began_ms),
        crashed_at: ago(end.age_ms),
    }
}

fn encode(found: CrashReport) -> wire::Finding {
    let age_ms = found.age.as_millis() as u64;
    wire::Finding { content: found.content, ends: found.crashes, age_ms }
}

fn decode(found: &wire::Finding) -> CrashReport {
    let age = Duration::from_millis(found.age_ms);
    CrashReport { content: found.content, crashes: found.ends, age }
}
