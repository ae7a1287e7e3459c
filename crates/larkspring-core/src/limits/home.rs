//! The home of limits: the buckets of workspaces, and what entries are granted.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::presence::Told;
use super::{LimitTerms, Share};
use crate::fleet::routes::RoutingVersion;
use crate::ids::WorkspaceHash;
use crate::workspaces::{Limit, Unit};

/// Buckets of the workspaces whose entries ask this process.
#[derive(Debug)]
pub struct Home {
    terms: LimitTerms,
    buckets: HashMap<WorkspaceHash, Bucket>,
    /// What entries told since the buckets were last forgotten.
    told: Sum,
    /// When the last ask came.
    heard: Option<Instant>,
    /// Most entries that were counted lately, and when.
    entries: (usize, Option<Instant>),
}

/// What an entry asks a home.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The time before it.
    pub told: Told,
    /// Entries that share the limits, as far as the entry and the home know.
    pub entries: usize,
    /// What it wants.
    pub wants: &'a [Want],
}

/// What an entry asks for one workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Want {
    /// The workspace.
    pub workspace: WorkspaceHash,
    /// Number of the ask, which its grant repeats.
    pub ask: u64,
    /// What its requests used before it was granted.
    pub debt: f64,
    /// What its requests that wait need.
    pub need: f64,
    /// What the first of them needs; a request larger than the burst is let in by a full
    /// bucket, which it leaves in debt.
    pub first: f64,
    /// What this home granted and the entry did not use in time.
    pub returned: f64,
    /// What is reserved ahead of requests.
    pub ahead: f64,
    /// Units a second that the workspace may use.
    pub per_sec: f64,
    /// Units on top at once.
    pub burst: f64,
    /// Version of the routing that declares this limit.
    pub version: RoutingVersion,
}

/// What a home grants of a want.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// The workspace.
    pub workspace: WorkspaceHash,
    /// Number of the ask that it answers.
    pub ask: u64,
    /// Units that the entry may use.
    pub units: f64,
    /// Time until the rest of the need is there; zero if all was granted.
    pub wait: Duration,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    /// What was told when the level was last brought up to date.
    seen: Sum,
    per_sec: f64,
    burst: f64,
    version: RoutingVersion,
}

/// Sum of what entries told, each as a part of all entries.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    /// Seconds: one for each second in which all entries ask.
    time: f64,
    /// Entries that joined: one when all have.
    joined: f64,
}

/// Time without any ask after which a process is no home any more, and forgets its buckets.
const LAPSE: Duration = Duration::from_millis(1000);
/// For how long the most entries that were counted stand for all: longer than cuts between
/// VMs usually last, so that a home which few entries reach does not take them for all.
const COUNT_KEPT: Duration = Duration::from_secs(30);
/// Part of a full bucket below which nothing is reserved ahead any more: what one entry
/// keeps in reserve then lacks at another one.
const SCARCE_PART: f64 = 0.3;
/// Workspaces that are remembered; full buckets go first.
const MAX_BUCKETS: usize = 16 * 1024;
/// Longest wait that a home tells, in seconds.
const MAX_WAIT: f64 = 10.0;

impl Home {
    /// Creates a home that was asked nothing.
    pub fn new(terms: LimitTerms) -> Self {
        Self {
            terms,
            buckets: HashMap::new(),
            told: Sum::default(),
            heard: None,
            entries: (0, None),
        }
    }

    /// Answers an entry.
    pub fn ask(&mut self, now: Instant, ask: &Ask<'_>) -> Vec<Grant> {
        self.hear(now, ask);
        ask.wants.iter().map(|want| self.grant(want)).collect()
    }

    fn hear(&mut self, now: Instant, ask: &Ask<'_>) {
        let since = |at| now.saturating_duration_since(at);
        if self.heard.is_none_or(|at| since(at) > LAPSE) {
            self.buckets.clear();
            self.told = Sum::default();
        }
        self.heard = Some(now);
        let (most, at) = self.entries;
        if ask.entries >= most || at.is_none_or(|at| since(at) > COUNT_KEPT) {
            self.entries = (ask.entries, Some(now));
        }
        let part = 1.0 / self.entries.0.max(1) as f64;
        self.told.time += part * ask.told.time.as_secs_f64();
        self.told.joined += if ask.told.joined { part } else { 0.0 };
    }

    fn grant(&mut self, want: &Want) -> Grant {
        let (terms, told) = (self.terms, self.told);
        if self.buckets.len() >= MAX_BUCKETS {
            self.buckets.retain(|_, bucket| bucket.level < bucket.per_sec);
        }
        let bucket = self.buckets.entry(want.workspace).or_insert_with(|| Bucket {
            // One that nobody asked for has filled since entries ask this home.
            level: 0.0,
            seen: Sum { time: 0.0, joined: told.joined },
            per_sec: want.per_sec,
            burst: want.burst,
            version: want.version,
        });
        if want.version > bucket.version {
            bucket.per_sec = want.per_sec;
            bucket.burst = want.burst;
            bucket.version = want.version;
        }
        let share = bucket.share(&terms);
        bucket.fill(told, &share);
        let level = (bucket.level + want.returned).min(share.most);
        let units = units(level, &share, want);
        bucket.level = level - units;
        let lacks = (want.debt + want.need - units).max(0.0);
        let wait = (lacks / share.per_sec.max(f64::MIN_POSITIVE)).min(MAX_WAIT);
        Grant {
            workspace: want.workspace,
            ask: want.ask,
            units,
            wait: Duration::from_secs_f64(wait),
        }
    }
}

impl Bucket {
    fn share(&self, terms: &LimitTerms) -> Share {
        let (per_sec, burst) = (self.per_sec, self.burst);
        terms.share(&Limit { per_sec, burst, unit: Unit::Requests })
    }

    /// Adds what entries told since the last time. An entry that asked another home
    /// meanwhile may have used there what it brought here before, so its part goes.
    fn fill(&mut self, told: Sum, share: &Share) {
        let left = (told.joined - self.seen.joined) * share.most;
        if self.level > 0.0 {
            self.level = (self.level - left).max(0.0);
        }
        let gained = (told.time - self.seen.time) * share.per_sec;
        self.level = (self.level + gained).min(share.most);
        self.seen = told;
    }
}

/// Units that a want gets of `level`, which may fall to the share's debt.
///
/// A request is let in while anything is there, whatever its size: if it had to find all of
/// its units, long prompts would hardly ever pass where short ones take what comes.
fn units(level: f64, share: &Share, want: &Want) -> f64 {
    let all = want.debt + want.need;
    if level >= all {
        let spare = level - all - share.most * SCARCE_PART;
        return all + want.ahead.min(spare.max(0.0));
    }
    let first = want.debt + want.first;
    let passes = level > 0.0 && level + share.debt >= first;
    let large = want.first > share.most && level >= share.most;
    if want.need > 0.0 && (passes || large) {
        return first.max(level);
    }
    level.max(0.0).min(want.debt)
}
