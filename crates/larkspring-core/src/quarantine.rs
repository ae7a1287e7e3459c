//! Quarantine of what crashes the endpoints that run it.
//!
//! A fatal request comes again under new ids and at any entry, and each crash interrupts
//! the answers of all other requests at the endpoint. What crashes endpoints may also be
//! in requests of which no two are alike. So crashes count against [`Feature`]s: the whole
//! request, and each part of its prompt that others share.
//!
//! A fatal feature was present at several crashes, one after the other, and is never in a
//! request that was answered in full. Each crash adds to the count of a feature, and an
//! answer voids the crashes before it. From a number of crashes on, requests with the
//! feature are refused; more are needed for a feature that was answered shortly before the
//! first of them, since it is likely to have stood beside another.
//!
//! Agents count the crashes that entries see, and notify entries of the features that
//! matter. Reports hold the time of the last known answer, so that all processes come to
//! the same verdict, and processes may receive them twice, late and in any order.

mod answered;
mod feature;

use std::collections::HashMap;
use std::time::{Duration, Instant};

pub use self::answered::AnsweredFeatures;
pub use self::feature::{Feature, InvalidFeature};
use crate::ids::AttemptHash;

/// The crash counts of features.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Feature, Record>,
}

/// Crash report on one feature, as sent between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashReport {
    /// The feature.
    pub feature: Feature,
    /// Number of crashes; zero if the feature was cleared.
    pub crashes: u32,
    /// Time since the last crash, or since the feature was cleared.
    pub age: Duration,
    /// Time from the first counted crash to the last.
    pub span: Duration,
    /// Time since the last known answer to a request with the feature.
    pub answered: Option<Duration>,
}

/// The crash of an endpoint's run while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the run and the attempt. A run may come back under its name, and may crash
    /// again then.
    pub attempt: AttemptHash,
    /// When the request was sent to the endpoint.
    pub sent_at: Instant,
    /// When the run crashed.
    pub crashed_at: Instant,
    /// The last answer to a request with the feature that the reporting entry remembers.
    pub answered_at: Option<Instant>,
}

/// Quarantine status of a feature, the strictest last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuarantineStatus {
    /// Not restricted; a request at a single crash was one of many.
    Unrestricted,
    /// Endpoints crashed under requests with the feature, but too few to tell it from
    /// others that ran at the same time. Such a request is not sent again after a crash.
    Suspected,
    /// Requests with the feature are not sent to any endpoint.
    Refused,
}

#[derive(Debug)]
struct Record {
    crashes: u32,
    /// Attempts with a reported crash, the latest last.
    attempts: Vec<AttemptHash>,
    /// When the first counted crash happened.
    first_at: Instant,
    /// When the last counted crash happened, or the feature was cleared.
    at: Instant,
    /// The last known answer to a request with the feature, or the last lift by an
    /// operator; crashes before that do not count.
    answered_at: Option<Instant>,
}

/// Number of crashes from which on a request is refused, or a part of a prompt.
///
/// An engine's crash interrupts up to 64 requests. When one of them is retried, the
/// chance that it meets the next crash is its running time divided by the time between
/// crashes and by the number of engines: 0.15 for 1 s, 0.6 s and 11 engines. So of 64
/// requests about ten meet two crashes, and one or two could meet three if they were sent
/// three times; callers retry once. A bound of two would refuse those ten.
pub const REFUSED_FROM_CRASHES: u32 = 3;
/// The same for a part that was answered shortly before: sound requests have it, and it
/// is at each crash under another part of the same prompts.
pub const ANSWERED_REFUSED_FROM_CRASHES: u32 = 5;
/// How long an answer speaks for a feature.
pub const ANSWER_RETENTION: Duration = Duration::from_secs(60);
/// Number of crashes from which on entries are notified of a feature, so that they report
/// complete answers to it.
pub const NOTIFIED_FROM_CRASHES: u32 = 2;
/// How long a refused feature is kept after its last crash. The request is refused
/// for as long, since each try would cost another endpoint; an operator may lift the
/// quarantine earlier.
const REFUSED_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// How long a suspected or cleared feature is kept: many times the longest time that
/// one request and its retries take.
const SUSPECTED_RETENTION: Duration = Duration::from_secs(3600);
/// Largest number of features, about 1 MB. Those with the fewest and oldest crashes
/// are evicted first, so a caller with ever new fatal requests evicts suspected ones
/// before refused ones.
const MAX_RECORDS: usize = 8192;
/// Part of the records that is evicted at once, so that the search for them is rare.
const EVICTED_FRACTION: usize = 8;
/// Attempts kept for a feature, so that a crash which is reported again does not
/// count twice.
const MAX_ATTEMPTS: usize = 8;

impl Quarantine {
    /// Counts the crash of a run under a request with this feature, and returns the crash
    /// report to send, if the count changed.
    ///
    /// Only an attempt that began after the last crash counts again. When endpoints fail
    /// together, as at the loss of a hall, a request that runs on several of them is no
    /// more the cause than others; crashes one after the other show that it is.
    pub fn record_crash(
        &mut self,
        now: Instant,
        feature: Feature,
        end: Crash,
    ) -> Option<CrashReport> {
        let Crash { attempt, sent_at, crashed_at, answered_at } = end;
        self.evict_for(now, feature);
        let record =
            self.records.entry(feature).or_insert_with(|| Record::new(crashed_at));
        if let Some(answered_at) = answered_at {
            record.apply_answer(feature, answered_at);
        }
        if record.is_before_answer(crashed_at) || record.attempts.contains(&attempt) {
            return None;
        }
        if record.attempts.len() >= MAX_ATTEMPTS {
            record.attempts.remove(0);
        }
        record.attempts.push(attempt);
        if record.crashes > 0 && sent_at <= record.at {
            return None;
        }
        if record.crashes == 0 {
            record.first_at = crashed_at;
        }
        record.crashes += 1;
        record.at = record.at.max(crashed_at);
        (record.crashes >= NOTIFIED_FROM_CRASHES).then(|| record.report(now, feature))
    }

    /// Applies a crash report of another process, and returns whether other processes
    /// have to be told.
    pub fn apply_report(&mut self, now: Instant, found: &CrashReport) -> bool {
        let ago = |age| now.checked_sub(age).unwrap_or(now);
        let at = ago(found.age);
        if found.crashes == 0 {
            return self
                .apply_answer(now, found.feature, at)
                .is_some_and(|was| was != self.status(now, found.feature));
        }
        let first_at = at.checked_sub(found.span).unwrap_or(at);
        self.evict_for(now, found.feature);
        let new_record = || Record::new(at);
        let record = self.records.entry(found.feature).or_insert_with(new_record);
        if let Some(answered) = found.answered {
            record.apply_answer(found.feature, ago(answered));
        }
        if record.is_before_answer(at) {
            return false;
        }
        let (first_at, crashes) = match record.is_before_answer(first_at) {
            true => (at, 1),
            false => (first_at, found.crashes),
        };
        if record.crashes >= crashes {
            return false;
        }
        record.crashes = crashes;
        record.first_at = first_at;
        record.at = record.at.max(at);
        true
    }

    /// Records a complete answer to a request with this feature, and returns the crash
    /// report to send, if crashes had been counted.
    pub fn record_answer(
        &mut self,
        now: Instant,
        feature: Feature,
        answered_at: Instant,
    ) -> Option<CrashReport> {
        if !self.has_crashes(feature)
            || self.apply_answer(now, feature, answered_at).is_none()
        {
            return None;
        }
        let age = now.saturating_duration_since(answered_at);
        let span = Duration::ZERO;
        Some(CrashReport { feature, crashes: 0, age, span, answered: Some(age) })
    }

    /// Returns whether crashes of a feature are counted.
    pub fn has_crashes(&self, feature: Feature) -> bool {
        self.records.get(&feature).is_some_and(|record| record.crashes > 0)
    }

    /// Returns the quarantine status of a feature.
    pub fn status(&self, now: Instant, feature: Feature) -> QuarantineStatus {
        match self.records.get(&feature) {
            Some(record) if record.is_expired(now, feature) => {
                QuarantineStatus::Unrestricted
            }
            Some(record) => record.status(feature),
            None => QuarantineStatus::Unrestricted,
        }
    }

    /// Returns the crash reports for another process, the latest first.
    pub fn reports(&self, now: Instant) -> Vec<CrashReport> {
        let reported = self.records.iter().filter(|(feature, r)| {
            !r.is_expired(now, **feature)
                && (r.crashes == 0 || r.crashes >= NOTIFIED_FROM_CRASHES)
        });
        let mut reports: Vec<_> = reported.map(|(c, r)| r.report(now, *c)).collect();
        // Cleared features come last: an answer is soon seen again.
        reports.sort_by_key(|f| (f.crashes == 0, f.age, f.feature));
        reports
    }

    /// Returns the refused features.
    pub fn refused_features(&self, now: Instant) -> Vec<Feature> {
        let refused = self
            .records
            .keys()
            .filter(|feature| self.status(now, **feature) == QuarantineStatus::Refused);
        refused.copied().collect()
    }

    /// Returns the number of suspected and of refused features.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let status = self.records.keys().map(|feature| self.status(now, *feature));
        status.fold((0, 0), |(suspected, refused), status| match status {
            QuarantineStatus::Unrestricted => (suspected, refused),
            QuarantineStatus::Suspected => (suspected + 1, refused),
            QuarantineStatus::Refused => (suspected, refused + 1),
        })
    }

    /// Returns the number of features that are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no feature is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Applies an answer; returns the former status if the answer changed the record.
    fn apply_answer(
        &mut self,
        now: Instant,
        feature: Feature,
        answered_at: Instant,
    ) -> Option<QuarantineStatus> {
        let was = self.status(now, feature);
        let record = self.records.get_mut(&feature)?;
        record.apply_answer(feature, answered_at).then_some(was)
    }

    fn evict_for(&mut self, now: Instant, feature: Feature) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&feature) {
            return;
        }
        self.records.retain(|feature, record| !record.is_expired(now, *feature));
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let ranked = self.records.iter().map(|(f, r)| (r.crashes, r.at, *f));
        let mut ranked: Vec<_> = ranked.collect();
        let evicted = MAX_RECORDS / EVICTED_FRACTION;
        ranked.select_nth_unstable(evicted);
        for (_, _, feature) in &ranked[..evicted] {
            self.records.remove(feature);
        }
    }
}

impl Record {
    fn new(at: Instant) -> Self {
        let attempts = Vec::new();
        Self { crashes: 0, attempts, first_at: at, at, answered_at: None }
    }

    /// Applies the time of an answer, which voids the crashes before it; returns whether
    /// it is news. One request may be answered between its crashes by chance; an answer
    /// to any of the many requests with a part speaks for the part.
    fn apply_answer(&mut self, feature: Feature, answered_at: Instant) -> bool {
        if self.answered_at.is_some_and(|known| known >= answered_at) {
            return false;
        }
        self.answered_at = Some(answered_at);
        if self.crashes == 0 {
            self.at = self.at.max(answered_at);
        } else if answered_at >= self.at {
            *self = Self { answered_at: Some(answered_at), ..Self::new(answered_at) };
        } else if answered_at >= self.first_at && feature.is_shared() {
            // Only the last crash is known to be later.
            (self.crashes, self.first_at) = (1, self.at);
        }
        true
    }

    fn is_before_answer(&self, at: Instant) -> bool {
        self.answered_at.is_some_and(|answered| at <= answered)
    }

    fn is_expired(&self, now: Instant, feature: Feature) -> bool {
        let retention = match self.status(feature) {
            QuarantineStatus::Refused => REFUSED_RETENTION,
            _ => SUSPECTED_RETENTION,
        };
        now.saturating_duration_since(self.at) >= retention
    }

    fn status(&self, feature: Feature) -> QuarantineStatus {
        match self.crashes {
            crashes if crashes < NOTIFIED_FROM_CRASHES => QuarantineStatus::Unrestricted,
            crashes if crashes < self.limit(feature) => QuarantineStatus::Suspected,
            _ => QuarantineStatus::Refused,
        }
    }

    /// Returns the number of crashes from which on the feature is refused.
    fn limit(&self, feature: Feature) -> u32 {
        let was_answered = self.answered_at.is_some_and(|answered| {
            self.first_at.saturating_duration_since(answered) < ANSWER_RETENTION
        });
        match feature {
            Feature::Content(_) => REFUSED_FROM_CRASHES,
            Feature::Part(_) if !was_answered => REFUSED_FROM_CRASHES,
            Feature::Part(_) => ANSWERED_REFUSED_FROM_CRASHES,
        }
    }

    fn report(&self, now: Instant, feature: Feature) -> CrashReport {
        CrashReport {
            feature,
            crashes: self.crashes,
            age: now.saturating_duration_since(self.at),
            span: self.at.saturating_duration_since(self.first_at),
            answered: self.answered_at.map(|at| now.saturating_duration_since(at)),
        }
    }
}
