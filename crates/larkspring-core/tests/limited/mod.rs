//! Entries and homes of limits in steps of a millisecond, without a network.
//!
//! Messages between an entry and a home take a set time and are lost while a fault says so.
//! Arrivals are drawn from a seeded table: workspaces by size, each caller kept to one entry.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::limits::account::{Accounts, Verdict};
use larkspring_core::limits::home::{Ask, Grant, Home, Want};
use larkspring_core::limits::presence::{Presence, Told};
use larkspring_core::limits::LimitTerms;
use larkspring_core::workspaces::{Limit, Unit, Workspace};

/// How requests are let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Each entry has an even share of each limit.
    Even,
    /// Entries reserve at a home.
    Home,
}

/// What happens to processes, for a time.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A home is gone and comes back with nothing known.
    HomeLost(usize),
    /// A home stands still and goes on with what it knew.
    HomeFrozen(usize),
    /// An entry does not reach a home, which others reach.
    Cut { entry: usize, home: usize },
    /// All entries and homes are gone.
    AllLost,
}

/// A load and what happens meanwhile.
#[derive(Debug, Clone)]
pub struct Shape {
    pub entries: usize,
    pub homes: usize,
    pub seed: u64,
    pub secs: u64,
    /// Units a second that each workspace usually asks for, and how many times that it does.
    pub workspaces: Vec<(f64, f64)>,
    /// Units of requests, and the part of all that each is.
    pub costs: &'static [(f64, f64)],
    /// Callers of each workspace.
    pub callers: usize,
    /// When each fault begins and ends, in milliseconds.
    pub faults: Vec<(u64, u64, Fault)>,
    pub way: Way,
}

/// What was seen.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    pub asked: f64,
    pub admitted: f64,
    /// What a single bucket for all entries would let in more of a workspace, in all.
    pub falsely_refused: f64,
    /// What such a bucket would let in.
    pub owed: f64,
    /// Largest use of a window against what the rule allows.
    pub worst_window: f64,
    /// Requests admitted and asked, large ones and others.
    pub large: (usize, usize),
    pub small: (usize, usize),
    /// Messages that entries sent to homes.
    pub messages: usize,
}

pub const TERMS: LimitTerms =
    LimitTerms { window: Duration::from_secs(8), overage: 0.1, tolerance: 110_000.0 };
/// Limits are this many times what a workspace usually asks for.
const LIMIT_OF_USUAL: f64 = 1.8;
/// Units from which a request counts as large.
const LARGE: f64 = 9000.0;
/// Time for a message one way.
const WAY_MS: u64 = 2;
/// Beat of an entry, and how long a home that does not answer is passed over.
const BEAT_MS: u64 = 250;
const PASSED_OVER_MS: u64 = 1000;

enum Message {
    Asked { entry: usize, home: usize, told: Told, wants: Vec<Want> },
    Granted { entry: usize, home: usize, grants: Vec<Grant> },
}

struct Entry {
    accounts: Accounts<usize>,
    /// Its even share, for when it hears no home.
    own: Home,
    beat_at: u64,
    /// The home that it asks, and when it last passed one over.
    presence: Presence<Option<usize>>,
    changed_at: u64,
    passed_over: Vec<(usize, u64)>,
}

impl Shape {
    /// The sheet's load: 26 entries, 16 workspaces by size, summaries, plain calls and file
    /// reviews, some of them long.
    pub fn sheet(seed: u64) -> Self {
        let usual = (0..16).map(|n| (160_000.0 / (n as f64 + 1.0), 1.0));
        Self {
            entries: 26,
            homes: 5,
            seed,
            secs: 20,
            workspaces: usual.collect(),
            costs: &[(718.0, 0.62), (200.0, 0.35), (9244.0, 0.015), (20_000.0, 0.015)],
            callers: 14,
            faults: Vec::new(),
            way: Way::Home,
        }
    }

    fn accounts(&self) -> Accounts<usize> {
        let mut accounts = Accounts::new(TERMS);
        accounts.set_entries(self.entries as u32);
        accounts
    }

    /// Plays the load.
    pub fn play(&self) -> Seen {
        Play::new(self).run()
    }
}

struct Play<'a> {
    shape: &'a Shape,
    start: Instant,
    rng: Rng,
    entries: Vec<Entry>,
    homes: Vec<Home>,
    frozen: Vec<VecDeque<(u64, Message)>>,
    sent: VecDeque<(u64, Message)>,
    /// Requests by number: their workspace and units.
    requests: Vec<(usize, f64)>,
    verdicts: BTreeMap<usize, bool>,
    used: Vec<Vec<(u64, f64)>>,
    /// What one bucket for all would do, by workspace: its level, and whether each request
    /// is let in.
    exact: Vec<f64>,
    owed: Vec<bool>,
    seen: Seen,
}

impl<'a> Play<'a> {
    fn new(shape: &'a Shape) -> Self {
        let entry = || Entry {
            accounts: shape.accounts(),
            own: Home::new(TERMS),
            beat_at: 0,
            presence: Presence::new(),
            changed_at: 0,
            passed_over: Vec::new(),
        };
        let count = shape.workspaces.len();
        let limits = shape.workspaces.iter().map(|(usual, _)| usual * LIMIT_OF_USUAL);
        Self {
            shape,
            start: Instant::now(),
            rng: Rng::with_seed(shape.seed),
            entries: (0..shape.entries).map(|_| entry()).collect(),
            homes: (0..shape.homes).map(|_| Home::new(TERMS)).collect(),
            frozen: (0..shape.homes).map(|_| VecDeque::new()).collect(),
            sent: VecDeque::new(),
            requests: Vec::new(),
            verdicts: BTreeMap::new(),
            used: vec![Vec::new(); count],
            exact: limits.collect(),
            owed: Vec::new(),
            seen: Seen::default(),
        }
    }

    fn run(mut self) -> Seen {
        // Processes are there for two seconds before requests come.
        let lead = 2000;
        for ms in 0..lead + self.shape.secs * 1000 {
            self.end_faults(ms);
            self.deliver(ms);
            if ms >= lead {
                self.arrive(ms);
            }
            for entry in 0..self.entries.len() {
                self.step(ms, entry);
            }
        }
        self.account()
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn is_on(&self, ms: u64, is: impl Fn(Fault) -> bool) -> bool {
        let on = |(from, until, _): &&(u64, u64, Fault)| (*from..*until).contains(&ms);
        self.shape.faults.iter().filter(on).any(|(_, _, fault)| is(*fault))
    }

    fn reaches(&self, ms: u64, entry: usize, home: usize) -> bool {
        !self.is_on(ms, |fault| match fault {
            Fault::HomeLost(lost) => lost == home,
            Fault::Cut { entry: cut, home: from } => cut == entry && from == home,
            Fault::AllLost => true,
            Fault::HomeFrozen(_) => false,
        })
    }

    fn is_frozen(&self, ms: u64, home: usize) -> bool {
        self.is_on(ms, |fault| matches!(fault, Fault::HomeFrozen(h) if h == home))
    }

    fn end_faults(&mut self, ms: u64) {
        for (from, _, fault) in self.shape.faults.clone() {
            if from != ms {
                continue;
            }
            match fault {
                Fault::HomeLost(home) => self.homes[home] = Home::new(TERMS),
                Fault::AllLost => {
                    self.homes.iter_mut().for_each(|home| *home = Home::new(TERMS));
                    for entry in &mut self.entries {
                        entry.accounts = self.shape.accounts();
                        entry.own = Home::new(TERMS);
                    }
                }
                Fault::HomeFrozen(_) | Fault::Cut { .. } => {}
            }
        }
    }

    /// The home that an entry asks: the first that it hears. One that is silent for 900 ms
    /// is not heard any more.
    fn home(&self, ms: u64, entry: usize) -> Option<usize> {
        if self.shape.way == Way::Even {
            return None;
        }
        let passed_over = &self.entries[entry].passed_over;
        let silent = |home| {
            let mut since = (ms.saturating_sub(900)..=ms).step_by(20);
            since.all(|at| !self.reaches(at, entry, home) || self.is_frozen(at, home))
        };
        let heard = |home: &usize| {
            let out = passed_over.iter().any(|(out, until)| out == home && *until > ms);
            !out && self.reaches(ms, entry, *home) && !silent(*home)
        };
        (0..self.homes.len()).find(heard)
    }

    fn step(&mut self, ms: u64, entry: usize) {
        let now = self.at(ms);
        let mut decided = Vec::new();
        let asked = self.entries[entry].accounts.unanswered(now, &mut decided);
        let changed = self.at(self.entries[entry].changed_at);
        if asked.is_some_and(|asked| asked > changed) {
            if let Some(home) = self.home(ms, entry) {
                let until = ms + PASSED_OVER_MS;
                self.entries[entry].passed_over.push((home, until));
            }
            self.entries[entry].changed_at = ms;
        }
        self.decide(ms, decided);
        let beats = ms >= self.entries[entry].beat_at;
        let wants = self.entries[entry].accounts.wants(now, beats);
        if wants.is_empty() && !beats {
            return;
        }
        if beats {
            self.entries[entry].beat_at = ms + BEAT_MS;
        }
        let home = self.home(ms, entry);
        let told = self.entries[entry].presence.ask(now, home);
        if told.joined {
            self.entries[entry].accounts.home_changed();
        }
        let Some(home) = home else {
            let all = self.shape.entries;
            let entry = &mut self.entries[entry];
            let ask = Ask { told, entries: all, wants: &wants };
            let grants = entry.own.ask(now, &ask);
            let decided = entry.accounts.granted(now, &grants);
            return self.decide(ms, decided);
        };
        self.seen.messages += 1;
        let message = Message::Asked { entry, home, told, wants };
        self.sent.push_back((ms + WAY_MS, message));
    }

    fn deliver(&mut self, ms: u64) {
        for home in 0..self.homes.len() {
            if !self.is_frozen(ms, home) {
                let held = std::mem::take(&mut self.frozen[home]);
                self.sent.extend(held);
            }
        }
        let mut later = VecDeque::new();
        for (due, message) in std::mem::take(&mut self.sent) {
            if due > ms {
                later.push_back((due, message));
                continue;
            }
            match message {
                Message::Asked { entry, home, told, wants } => {
                    if self.is_frozen(ms, home) {
                        let held = Message::Asked { entry, home, told, wants };
                        self.frozen[home].push_back((ms, held));
                    } else if self.reaches(ms, entry, home) {
                        let (now, all) = (self.at(ms), self.shape.entries);
                        let ask = Ask { told, entries: all, wants: &wants };
                        let grants = self.homes[home].ask(now, &ask);
                        let message = Message::Granted { entry, home, grants };
                        later.push_back((ms + WAY_MS, message));
                    }
                }
                Message::Granted { entry, home, grants } => {
                    if self.reaches(ms, entry, home) {
                        let now = self.at(ms);
                        let decided = self.entries[entry].accounts.granted(now, &grants);
                        self.decide(ms, decided);
                    }
                }
            }
        }
        self.sent = later;
    }

    fn arrive(&mut self, ms: u64) {
        for of in 0..self.shape.workspaces.len() {
            let (usual, times) = self.shape.workspaces[of];
            let limit = Limit {
                per_sec: usual * LIMIT_OF_USUAL,
                burst: usual * LIMIT_OF_USUAL,
                unit: Unit::Requests,
            };
            let most = limit.burst;
            self.exact[of] = (self.exact[of] + limit.per_sec / 1000.0).min(most);
            let mean: f64 = self.shape.costs.iter().map(|(cost, part)| cost * part).sum();
            let per_ms = usual * times / mean / 1000.0;
            let mut left = per_ms;
            while left > 0.0 {
                if self.rng.f64() < left.min(1.0) {
                    self.request(ms, of, limit);
                }
                left -= 1.0;
            }
        }
    }

    fn request(&mut self, ms: u64, of: usize, limit: Limit) {
        let caller = self.rng.usize(..self.shape.callers);
        let entry = (of * 7919 + caller * 104_729) % self.shape.entries;
        let cost = self.cost();
        let number = self.requests.len();
        self.requests.push((of, cost));
        let owed = self.exact[of] >= cost;
        if owed {
            self.exact[of] -= cost;
        }
        self.owed.push(owed);
        self.seen.asked += cost;
        let now = self.at(ms);
        let workspace = Workspace {
            name: format!("workspace-{of}").into(),
            priority: None,
            limit: Some(limit),
        };
        let accounts = &mut self.entries[entry].accounts;
        if let Some(verdict) = accounts.enter(now, &workspace, 1, cost, number) {
            self.decide(ms, vec![(number, verdict)]);
        }
    }

    fn cost(&mut self) -> f64 {
        let mut pick = self.rng.f64();
        for (cost, part) in self.shape.costs {
            if pick < *part {
                return *cost;
            }
            pick -= part;
        }
        self.shape.costs[0].0
    }

    fn decide(&mut self, ms: u64, decided: Vec<(usize, Verdict)>) {
        for (number, verdict) in decided {
            let admitted = verdict == Verdict::Admitted;
            let before = self.verdicts.insert(number, admitted);
            assert_eq!(before, None, "request {number} was decided twice");
            if admitted {
                let (of, cost) = self.requests[number];
                self.used[of].push((ms, cost));
            }
        }
    }

    fn account(mut self) -> Seen {
        let mut lacking = vec![0.0; self.shape.workspaces.len()];
        for (number, owed) in self.owed.iter().enumerate() {
            let admitted = self.verdicts.get(&number).copied().unwrap_or(false);
            let (of, cost) = self.requests[number];
            let lacks =
                (if *owed { cost } else { 0.0 }) - if admitted { cost } else { 0.0 };
            lacking[of] += lacks;
            self.seen.owed += if *owed { cost } else { 0.0 };
            self.seen.admitted += if admitted { cost } else { 0.0 };
            let large = cost >= LARGE;
            let counts = if large { &mut self.seen.large } else { &mut self.seen.small };
            counts.0 += usize::from(admitted);
            counts.1 += 1;
        }
        self.seen.falsely_refused = lacking.iter().filter(|lacks| **lacks > 0.0).sum();
        for (of, used) in self.used.iter().enumerate() {
            let limit = self.shape.workspaces[of].0 * LIMIT_OF_USUAL;
            let secs = TERMS.window.as_secs_f64();
            let allowed = limit * (secs + 1.0) * (1.0 + TERMS.overage) + TERMS.tolerance;
            let window = TERMS.window.as_millis() as u64;
            let (mut first, mut sum) = (0, 0.0);
            for (at, cost) in used {
                sum += cost;
                while used[first].0 + window <= *at {
                    sum -= used[first].1;
                    first += 1;
                }
                self.seen.worst_window = self.seen.worst_window.max(sum / allowed);
            }
        }
        self.seen
    }
}
