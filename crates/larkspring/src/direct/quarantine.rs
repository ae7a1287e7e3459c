//! Crash reports known to a process, with their log lines.

mod encoding;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::quarantine::{
    AnsweredFeatures, Crash, CrashReport, Feature, Quarantine, QuarantineStatus,
    ANSWERED_REFUSED_FROM_CRASHES, ANSWER_RETENTION,
};
use parking_lot::Mutex;

pub(super) use self::encoding::{
    decode_crashes, decode_reports, encode_crashes, encode_reports,
};
use super::logs::{self, LineKind};
use super::stats::Stats;

/// The crash reports of one process, by feature.
#[derive(Debug)]
pub(super) struct CrashReports {
    known: Mutex<Quarantine>,
    /// Number of remembered features; it is mostly 0, and then a request takes no lock.
    len: AtomicUsize,
    /// Shared features of requests that this process, an entry, answered.
    answered: Mutex<AnsweredFeatures>,
    /// Remembered answers that spoke against crash reports, not yet relayed.
    contradictions: Mutex<Vec<CrashReport>>,
    stats: Arc<Stats>,
}

/// Limits the crash reports sent to a process when its connection opens, the latest
/// first: some 15 KB.
const MAX_SENT_REPORTS: usize = 512;

impl CrashReports {
    /// Creates the record of a process that has just started.
    pub fn new(stats: Arc<Stats>) -> Self {
        Self {
            known: Mutex::default(),
            len: AtomicUsize::new(0),
            answered: Mutex::default(),
            contradictions: Mutex::default(),
            stats,
        }
    }

    /// Returns the strictest quarantine status among the features of a request.
    pub fn status(
        &self,
        features: impl IntoIterator<Item = Feature>,
    ) -> QuarantineStatus {
        if self.len.load(Ordering::Acquire) == 0 {
            return QuarantineStatus::Unrestricted;
        }
        let (known, now) = (self.known.lock(), Instant::now());
        let status = features.into_iter().map(|feature| known.status(now, feature));
        status.max().unwrap_or(QuarantineStatus::Unrestricted)
    }

    /// Counts a crash; returns the crash report to forward to other processes.
    pub fn record_crash(&self, feature: Feature, end: Crash) -> Option<CrashReport> {
        self.change(feature, |known, now| known.record_crash(now, feature, end))
    }

    /// Records a complete answer to a request with these features, which voids the crashes
    /// before it; returns the crash reports to forward to other processes.
    pub fn record_answer(
        &self,
        features: impl IntoIterator<Item = Feature>,
    ) -> Vec<CrashReport> {
        let now = Instant::now();
        let features: Vec<_> = features.into_iter().collect();
        let shared: Vec<_> = features.iter().filter(|f| f.is_shared()).collect();
        if !shared.is_empty() {
            let mut answered = self.answered.lock();
            shared.into_iter().for_each(|feature| answered.record(now, *feature));
        }
        if self.len.load(Ordering::Acquire) == 0 {
            return Vec::new();
        }
        let mut counted = features;
        let known = self.known.lock();
        counted.retain(|feature| known.has_crashes(*feature));
        drop(known);
        counted.into_iter().filter_map(|feature| self.void(feature, now)).collect()
    }

    /// Voids the crashes of a feature up to a time.
    fn void(&self, feature: Feature, at: Instant) -> Option<CrashReport> {
        self.change(feature, |known, now| known.record_answer(now, feature, at))
    }

    /// Lifts the quarantine of a feature for an operator; returns the crash report to
    /// forward to other processes.
    pub fn lift(&self, feature: Feature) -> Option<CrashReport> {
        self.void(feature, Instant::now())
    }

    /// Returns when a request with a feature was last answered here, if it is remembered.
    pub fn last_answer(&self, feature: Feature) -> Option<Instant> {
        self.answered.lock().last(Instant::now(), feature)
    }

    /// Applies the remembered answers that speak against crash reports of another process;
    /// returns them as reports to that process.
    pub fn contradict(&self, received: &[CrashReport]) -> Vec<CrashReport> {
        let answered = received.iter().filter_map(|found| {
            let answered_at = self.last_answer(found.feature)?;
            let age = answered_at.elapsed();
            let is_news = age < found.age + found.span
                || found.answered.is_none_or(|known| known >= ANSWER_RETENTION);
            let is_known = found.answered.is_some_and(|known| known <= age);
            (found.crashes > 0 && is_news && !is_known).then(|| {
                self.void(found.feature, answered_at);
                CrashReport {
                    crashes: 0,
                    age,
                    span: Duration::ZERO,
                    answered: Some(age),
                    ..*found
                }
            })
        });
        let answered: Vec<_> = answered.collect();
        let mut contradictions = self.contradictions.lock();
        let room = MAX_SENT_REPORTS.saturating_sub(contradictions.len());
        contradictions.extend(answered.iter().take(room));
        answered
    }

    /// Takes the answers that spoke against crash reports since the last call.
    pub fn take_contradictions(&self) -> Vec<CrashReport> {
        std::mem::take(&mut *self.contradictions.lock())
    }

    /// Applies crash reports of other processes; returns those that were new.
    pub fn apply(&self, received: &[CrashReport]) -> Vec<CrashReport> {
        let is_new = |found: &&CrashReport| {
            self.change(found.feature, |known, now| known.apply_report(now, found))
        };
        received.iter().filter(is_new).copied().collect()
    }

    /// Quarantines features; returns the crash reports that were new.
    pub fn quarantine(&self, features: &[Feature]) -> Vec<CrashReport> {
        let found = |feature: &Feature| CrashReport {
            feature: *feature,
            crashes: ANSWERED_REFUSED_FROM_CRASHES,
            age: Duration::ZERO,
            span: Duration::ZERO,
            answered: None,
        };
        self.apply(&features.iter().map(found).collect::<Vec<_>>())
    }

    /// Returns the quarantined features.
    pub fn refused(&self) -> Vec<Feature> {
        match self.len.load(Ordering::Acquire) {
            0 => Vec::new(),
            _ => self.known.lock().refused_features(Instant::now()),
        }
    }

    /// Returns the crash reports to send to a process that has just connected.
    pub fn latest(&self) -> Vec<CrashReport> {
        if self.len.load(Ordering::Acquire) == 0 {
            return Vec::new();
        }
        let mut reports = self.known.lock().reports(Instant::now());
        reports.truncate(MAX_SENT_REPORTS);
        reports
    }

    /// Writes the number of features by quarantine status to the metrics.
    pub fn write_metrics(&self) {
        let (suspected, refused) = self.known.lock().counts(Instant::now());
        self.stats.set_gauge("requests_suspected", suspected as i64);
        self.stats.set_gauge("requests_quarantined", refused as i64);
    }

    /// Changes the record of a feature, and logs a change of its quarantine status.
    fn change<T>(
        &self,
        feature: Feature,
        f: impl FnOnce(&mut Quarantine, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let mut known = self.known.lock();
        let before = known.status(now, feature);
        let changed = f(&mut known, now);
        let after = known.status(now, feature);
        self.len.store(known.len(), Ordering::Release);
        drop(known);
        if before != after {
            self.log(feature, after);
        }
        changed
    }

    fn log(&self, feature: Feature, status: QuarantineStatus) {
        let (event, label) = match status {
            QuarantineStatus::Unrestricted => ("request cleared", "cleared"),
            QuarantineStatus::Suspected => ("request suspected", "suspected"),
            QuarantineStatus::Refused => ("request quarantined", "quarantined"),
        };
        self.stats.count_quarantine(label);
        if logs::is_allowed(LineKind::StateChange) {
            tracing::warn!(event, content = %feature);
        }
    }
}
