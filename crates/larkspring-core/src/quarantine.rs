//! Quarantine of requests that crash the endpoints which run them.
//!
//! A fatal request comes again under new ids and at any entry, and each crash interrupts
//! the answers of all other requests at the endpoint. A fatal request differs from those
//! others in that it was present at several crashes and was never answered in full. So
//! each crash under a request adds to the count for its fingerprint, a complete answer
//! clears the count, and from [`REFUSED_FROM_CRASHES`] crashes on the request is refused.
//!
//! Agents count the crashes that entries see, and notify entries of the fingerprints that
//! matter. Counts only grow until they are cleared, so processes may receive crash
//! reports twice, late and in any order.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::{AttemptHash, ContentHash};

/// The crash counts of request fingerprints.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<ContentHash, Record>,
}

/// Crash report on one fingerprint, as sent between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashReport {
    /// The request fingerprint.
    pub content: ContentHash,
    /// Number of crashes; zero if the fingerprint was cleared.
    pub crashes: u32,
    /// Time since the last crash, or since the fingerprint was cleared.
    pub age: Duration,
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
}

/// Quarantine status of a request fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Not restricted; a request at a single crash was one of many.
    Unrestricted,
    /// Endpoints crashed under the request, but too few to tell it from others that ran
    /// at the same time.
    Suspected,
    /// The request is not sent to any endpoint.
    Refused,
}

#[derive(Debug)]
struct Record {
    crashes: u32,
    /// Attempts with a reported crash, the latest last.
    attempts: Vec<AttemptHash>,
    /// When the last counted crash happened, or the fingerprint was cleared.
    at: Instant,
    /// When the fingerprint was last cleared; crashes before that do not count.
    cleared_at: Option<Instant>,
}

/// Number of crashes from which on a request is refused.
///
/// An engine's crash interrupts up to 64 requests. When one of them is retried, the
/// chance that it meets the next crash is its running time divided by the time between
/// crashes and by the number of engines: 0.15 for 1 s, 0.6 s and 11 engines. So of 64
/// requests about ten meet two crashes, and one or two could meet three if they were sent
/// three times; callers retry once. A bound of two would refuse those ten.
pub const REFUSED_FROM_CRASHES: u32 = 3;
/// Number of crashes from which on entries are notified of a fingerprint, so that they
/// report complete answers to it.
pub const NOTIFIED_FROM_CRASHES: u32 = 2;
/// How long a refused fingerprint is kept after its last crash. The request is refused
/// for as long, since each try would cost another endpoint; an operator may lift the
/// quarantine earlier.
const REFUSED_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// How long a suspected or cleared fingerprint is kept: many times the longest time that
/// one request and its retries take.
const SUSPECTED_RETENTION: Duration = Duration::from_secs(3600);
/// Largest number of fingerprints, about 1 MB. Those with the fewest and oldest crashes
/// are evicted first, so a caller with ever new fatal requests evicts suspected ones
/// before refused ones.
const MAX_RECORDS: usize = 8192;
/// Attempts kept for a fingerprint, so that a crash which is reported again does not
/// count twice.
const MAX_ATTEMPTS: usize = 8;

impl Quarantine {
    /// Counts the crash of a run under a request with this fingerprint, and returns the
    /// crash report to send, if the count changed.
    ///
    /// Only an attempt that began after the last crash counts again. When endpoints fail
    /// together, as at the loss of a hall, a request that runs on several of them is no
    /// more the cause than others; crashes one after the other show that it is.
    pub fn record_crash(
        &mut self,
        now: Instant,
        content: ContentHash,
        end: Crash,
    ) -> Option<CrashReport> {
        let Crash { attempt, sent_at, crashed_at } = end;
        self.evict_for(now, content);
        let record =
            self.records.entry(content).or_insert_with(|| Record::new(crashed_at));
        if record.is_before_clearing(crashed_at) || record.attempts.contains(&attempt) {
            return None;
        }
        if record.attempts.len() >= MAX_ATTEMPTS {
            record.attempts.remove(0);
        }
        record.attempts.push(attempt);
        if record.crashes > 0 && sent_at <= record.at {
            return None;
        }
        record.crashes += 1;
        record.at = record.at.max(crashed_at);
        (record.crashes >= NOTIFIED_FROM_CRASHES).then(|| record.report(now, content))
    }

    /// Applies a crash report of another process, and returns whether it changed
    /// anything.
    pub fn apply_report(&mut self, now: Instant, found: &CrashReport) -> bool {
        let at = now.checked_sub(found.age).unwrap_or(now);
        if found.crashes == 0 {
            return self.clear_at(at, found.content);
        }
        self.evict_for(now, found.content);
        let new_record = || Record::new(at);
        let record = self.records.entry(found.content).or_insert_with(new_record);
        if record.is_before_clearing(at) || record.crashes >= found.crashes {
            return false;
        }
        record.crashes = found.crashes;
        record.at = record.at.max(at);
        true
    }

    /// Records a complete answer to a request with this fingerprint, and returns the
    /// crash report to send, if crashes had been counted.
    pub fn record_answer(
        &mut self,
        now: Instant,
        content: ContentHash,
    ) -> Option<CrashReport> {
        let cleared = self.clear_at(now, content);
        cleared.then_some(CrashReport { content, crashes: 0, age: Duration::ZERO })
    }

    /// Returns the quarantine status of a fingerprint.
    pub fn status(&self, now: Instant, content: ContentHash) -> QuarantineStatus {
        match self.records.get(&content) {
            Some(record) if record.is_expired(now) => QuarantineStatus::Unrestricted,
            Some(record) => record.status(),
            None => QuarantineStatus::Unrestricted,
        }
    }

    /// Returns the crash reports for another process, the latest first.
    pub fn reports(&self, now: Instant) -> Vec<CrashReport> {
        let reported = self.records.iter().filter(|(_, r)| {
            !r.is_expired(now) && (r.crashes == 0 || r.crashes >= NOTIFIED_FROM_CRASHES)
        });
        let mut reports: Vec<_> = reported.map(|(c, r)| r.report(now, *c)).collect();
        reports.sort_by_key(|f| (f.age, f.content));
        reports
    }

    /// Returns the refused fingerprints.
    pub fn refused_fingerprints(&self, now: Instant) -> Vec<ContentHash> {
        let is_refused =
            |r: &Record| !r.is_expired(now) && r.crashes >= REFUSED_FROM_CRASHES;
        let refused = self.records.iter().filter(|(_, r)| is_refused(r));
        refused.map(|(content, _)| *content).collect()
    }

    /// Returns the number of suspected and of refused fingerprints.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let current = self.records.values().filter(|r| !r.is_expired(now));
        current.fold((0, 0), |(suspected, refused), r| match r.status() {
            QuarantineStatus::Unrestricted => (suspected, refused),
            QuarantineStatus::Suspected => (suspected + 1, refused),
            QuarantineStatus::Refused => (suspected, refused + 1),
        })
    }

    /// Returns the number of fingerprints that are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no fingerprint is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn clear_at(&mut self, at: Instant, content: ContentHash) -> bool {
        let Some(record) = self.records.get_mut(&content) else { return false };
        if record.crashes == 0 || at < record.at {
            return false;
        }
        *record = Record { cleared_at: Some(at), ..Record::new(at) };
        true
    }

    fn evict_for(&mut self, now: Instant, content: ContentHash) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&content) {
            return;
        }
        self.records.retain(|_, record| !record.is_expired(now));
        while self.records.len() >= MAX_RECORDS {
            let evicted = self.records.iter().min_by_key(|(c, r)| (r.crashes, r.at, **c));
            let Some(evicted) = evicted.map(|(content, _)| *content) else { return };
            self.records.remove(&evicted);
        }
    }
}

impl Record {
    fn new(at: Instant) -> Self {
        Self { crashes: 0, attempts: Vec::new(), at, cleared_at: None }
    }

    fn is_before_clearing(&self, at: Instant) -> bool {
        self.cleared_at.is_some_and(|cleared| at <= cleared)
    }

    fn is_expired(&self, now: Instant) -> bool {
        let retention = match self.status() {
            QuarantineStatus::Refused => REFUSED_RETENTION,
            _ => SUSPECTED_RETENTION,
        };
        now.saturating_duration_since(self.at) >= retention
    }

    fn status(&self) -> QuarantineStatus {
        match self.crashes {
            crashes if crashes < NOTIFIED_FROM_CRASHES => QuarantineStatus::Unrestricted,
            crashes if crashes < REFUSED_FROM_CRASHES => QuarantineStatus::Suspected,
            _ => QuarantineStatus::Refused,
        }
    }

    fn report(&self, now: Instant, content: ContentHash) -> CrashReport {
        let age = now.saturating_duration_since(self.at);
        CrashReport { content, crashes: self.crashes, age }
    }
}
