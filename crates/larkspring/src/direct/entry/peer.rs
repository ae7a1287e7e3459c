//! What an entry keeps for each endpoint: connections at rest, open requests, quality.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::task::Context;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use larkspring_core::fleet::availability::{Availability, News, Notice};
use larkspring_core::fleet::members::Endpoint;
use larkspring_core::fleet::quality::Quality;
use larkspring_core::fleet::rate::{RateLimit, RateWord};
use larkspring_core::ids::{ContentHash, TargetHash};
use parking_lot::Mutex;

use super::known::NamedRun;
use super::link::Link;
use crate::direct::conn::Conn;
use crate::direct::edge::{ModelRequest, PromptPart, RequestId};

/// One endpoint as this entry knows it.
pub(super) struct Peer {
    endpoint: ArcSwap<Endpoint>,
    /// Connection to the agent beside it, if it is a model engine.
    pub link: Option<Arc<Link>>,
    /// What it said of itself; outlives its place in the platform's list.
    availability: Arc<Mutex<Availability>>,
    /// Until when the rate that it takes is used up.
    used_up_until: Mutex<Option<Instant>>,
    /// Since when it is known.
    since: Instant,
    rested: Mutex<Vec<Conn>>,
    open: AtomicU32,
    /// Prompt tokens that it is reading for this entry.
    reading: AtomicU32,
    /// Until when it counts as gone, as another run answered at its address.
    gone_until: Mutex<Option<Instant>>,
    quality: Mutex<Quality>,
    read: Mutex<ReadParts>,
    /// Until when surplus bytes on its connections are to be expected.
    garbles_until: Mutex<Option<Instant>>,
    /// What requests asked that broke off there, until it is known whether it has ended.
    broken: Mutex<Vec<BrokenOff>>,
}

/// A request whose answer broke off at an endpoint.
#[derive(Debug)]
pub(super) struct BrokenOff {
    pub content: ContentHash,
    pub id: RequestId,
    /// When it was sent there.
    pub began: Instant,
    pub at: Instant,
}

/// Counts a request at an endpoint until dropped.
pub(super) struct Open {
    pub peer: Arc<Peer>,
    /// Prompt tokens of the request that count as being read.
    reading: AtomicU32,
}

/// Parts of prompts that the endpoint has read for this entry, the latest last.
#[derive(Default)]
struct ReadParts(VecDeque<u64>);

/// Parts that are remembered of each endpoint; its cache holds a few dozen prompts.
const MAX_READ_PARTS: usize = 64;
/// A connection is not used again once it has rested for this part of the time that the
/// endpoint keeps it, lest it be closed while a request is on its way.
const RESTED_PART: f64 = 0.5;
/// The same where the endpoint does not say how long it keeps connections.
const RESTED_UNSAID: Duration = Duration::from_millis(1500);
/// Longest rest before a request that must not run twice. An endpoint may drop a resting
/// connection without a word; the request would then have to end as unclear.
const RESTED_ONCE: Duration = Duration::from_millis(500);
/// Connections at rest that are kept for each endpoint.
const MAX_RESTED: usize = 32;
/// How long an endpoint counts as gone once another run answered at its address; the
/// platform lists the other one by then.
const GONE_FOR: Duration = Duration::from_secs(4);
/// How long a rate is taken to hold that no answer names again.
const SURELY_RATED: Duration = Duration::from_secs(5);
/// How long after a surplus answer requests that must not run twice get new connections.
const GARBLES_FOR: Duration = Duration::from_secs(3);

impl Peer {
    /// Creates the record of an endpoint.
    pub fn new(
        endpoint: Arc<Endpoint>,
        link: Option<Arc<Link>>,
        availability: Arc<Mutex<Availability>>,
    ) -> Arc<Self> {
        availability.lock().listed(endpoint.start);
        Arc::new(Self {
            availability,
            used_up_until: Mutex::default(),
            endpoint: ArcSwap::new(endpoint),
            link,
            since: Instant::now(),
            rested: Mutex::default(),
            open: AtomicU32::new(0),
            reading: AtomicU32::new(0),
            gone_until: Mutex::default(),
            quality: Mutex::new(Quality::new(Instant::now())),
            read: Mutex::default(),
            garbles_until: Mutex::default(),
            broken: Mutex::default(),
        })
    }

    /// What the platform lists of it.
    pub fn endpoint(&self) -> Arc<Endpoint> {
        self.endpoint.load_full()
    }

    /// Whether it takes new requests, as far as known.
    pub fn is_open(&self) -> bool {
        self.is_listed_open()
            && self.said().is_none_or(|said| said.is_open(Instant::now()))
    }

    /// Whether it goes on to serve, as far as known, now or after a rest.
    pub fn is_staying(&self) -> bool {
        self.is_listed_open() && !self.said().is_some_and(|said| said.leaves())
    }

    /// Whether it takes new requests by the platform's list and by who has its address.
    fn is_listed_open(&self) -> bool {
        let gone = self.gone_until.lock().is_some_and(|until| until > Instant::now());
        !gone && !self.endpoint.load().leaving && self.followed_by().is_none()
    }

    /// Takes in what it says of itself in an answer that was asked for at `asked`, or its
    /// agent of it, and returns what is news.
    pub fn hear(&self, asked: Instant, notice: Notice) -> News {
        self.availability.lock().hear(Instant::now(), asked, notice, fastrand::f64())
    }

    /// What it says of the rate of requests that it takes, while that bounds it.
    pub fn rate_limit(&self) -> Option<RateLimit> {
        self.said()?.rate_limit(Instant::now())
    }

    /// Whether it takes a limited rate by a word that is not old: one that nobody heard again
    /// may be over, which only a request shows where no agent tells.
    pub fn is_surely_rated(&self) -> bool {
        let Some(limit) = self.rate_limit() else { return false };
        let by_agent = self.link.as_ref().is_some_and(|link| link.names_rate());
        by_agent || limit.told_at().elapsed() < SURELY_RATED
    }

    /// Records that its rate is used up for a time.
    pub fn is_used_up(&self, wait: Duration) {
        *self.used_up_until.lock() = Some(Instant::now() + wait);
    }

    /// Whether it may be sent a request now: it is open, and its rate is not used up.
    pub fn takes_request(&self) -> bool {
        let now = Instant::now();
        let takes =
            |said: &Availability| said.is_open(now) && self.used_up(now, said).is_none();
        self.is_listed_open() && self.said().as_ref().is_none_or(takes)
    }

    /// How long no request may be sent there, as it rests or its rate is used up; `None` if
    /// one may be.
    pub fn back_in(&self) -> Option<Duration> {
        let (now, said) = (Instant::now(), self.said()?);
        said.rests_for(now).max(self.used_up(now, &said))
    }

    fn used_up(&self, now: Instant, said: &Availability) -> Option<Duration> {
        said.rate_limit(now)?;
        let until = *self.used_up_until.lock();
        let left = until?.checked_duration_since(now)?;
        (!left.is_zero()).then_some(left)
    }

    /// What the agent beside it said of the rate that it takes, since this was last asked.
    pub fn take_rate_word(&self) -> Option<RateWord> {
        let (run, word) = self.link.as_ref()?.take_rate_word()?;
        (run == self.endpoint.load().id).then_some(word)
    }

    /// Whether the agent beside it says that it leaves.
    pub fn leaves_by_agent(&self) -> bool {
        let leaving = self.link.as_ref().and_then(|link| link.leaving());
        leaving.is_some_and(|run| run == self.endpoint.load().id)
    }

    /// What it said of itself, which outlives this record.
    pub fn availability(&self) -> Arc<Mutex<Availability>> {
        self.availability.clone()
    }

    /// What it said of whether it takes requests, but for what a run before it under the same
    /// name said; `None` if it never said anything, as most.
    fn said(&self) -> Option<Availability> {
        let mut said = self.availability.lock();
        if said.is_silent() {
            return None;
        }
        let run = self.link.as_ref().and_then(|link| link.run_named());
        let again = run.filter(|r| r.in_place && r.id == self.endpoint.load().id);
        if let Some(run) = again {
            said.renewed(run.since);
        }
        Some(*said)
    }

    /// The run that has taken its place at its address, by the agent there.
    pub fn followed_by(&self) -> Option<NamedRun> {
        let run = self.link.as_ref()?.run_named()?;
        (run.id != self.endpoint.load().id && run.since > self.since).then_some(run)
    }

    /// Whether another run has its address since a moment, as that one or the agent there
    /// said; it may have the same name.
    pub fn has_next_run(&self, since: Instant) -> bool {
        let answered = self.gone_until.lock().is_some_and(|until| until > Instant::now());
        let named = self.link.as_ref().and_then(|link| link.run_named());
        answered || named.is_some_and(|run| run.in_place && run.since > since)
    }

    /// Records that another run has its address.
    pub fn is_gone(&self) {
        *self.gone_until.lock() = Some(Instant::now() + GONE_FOR);
    }

    /// Records a request that broke off there; whether it is the first one since that was
    /// last looked into.
    pub fn broke(&self, request: BrokenOff) -> bool {
        let mut broken = self.broken.lock();
        broken.push(request);
        broken.len() == 1
    }

    /// Takes the requests that broke off there.
    pub fn take_broken(&self) -> Vec<BrokenOff> {
        std::mem::take(&mut *self.broken.lock())
    }

    /// Takes in what the platform now lists of it.
    pub fn update(&self, endpoint: Arc<Endpoint>) {
        self.availability.lock().listed(endpoint.start);
        self.endpoint.store(endpoint);
    }

    /// Requests of this entry that are with it.
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Counts a request in.
    pub fn enter(self: &Arc<Self>) -> Open {
        self.open.fetch_add(1, Ordering::Relaxed);
        Open { peer: self.clone(), reading: AtomicU32::new(0) }
    }

    /// Prompt tokens that it is reading for this entry.
    pub fn reading(&self) -> u32 {
        self.reading.load(Ordering::Relaxed)
    }

    /// Reads or changes what its answers say about it.
    pub fn quality<T>(&self, f: impl FnOnce(&mut Quality) -> T) -> T {
        f(&mut self.quality.lock())
    }

    /// Takes a connection that can carry a request now.
    pub fn take_rested(&self, cx: &mut Context<'_>, once: bool) -> Option<Conn> {
        let now = Instant::now();
        if once && self.garbles(now) {
            return None;
        }
        loop {
            let mut conn = self.rested.lock().pop()?;
            let limit = rest_limit(&conn, once);
            let rested = now.saturating_duration_since(conn.rested_since);
            if rested >= limit {
                if once && rested < rest_limit(&conn, false) {
                    self.rested.lock().insert(0, conn);
                    return None;
                }
                continue;
            }
            if conn.is_ready(cx) {
                return Some(conn);
            }
        }
    }

    /// Puts a connection to rest, if it can carry another request.
    pub fn rest(&self, mut conn: Conn, cx: &mut Context<'_>) {
        if !conn.is_ready(cx) {
            return;
        }
        conn.rested_since = Instant::now();
        let mut rested = self.rested.lock();
        if rested.len() < MAX_RESTED {
            rested.push(conn);
        }
    }

    /// Closes connections that have rested too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.rested.lock().retain(|conn| {
            now.saturating_duration_since(conn.rested_since) < rest_limit(conn, false)
        });
    }

    /// Records that an answer to another request came on one of its connections.
    pub fn garbled(&self) {
        *self.garbles_until.lock() = Some(Instant::now() + GARBLES_FOR);
        self.rested.lock().clear();
    }

    /// Tokens of a prompt that the endpoint has probably not read before.
    pub fn unread_tokens(&self, target: TargetHash, req: &ModelRequest) -> u32 {
        let read = self.read.lock();
        let known = req.parts.iter().take_while(|p| read.contains(target, p));
        let known: u32 = known.map(|p| p.tokens).sum();
        req.prompt_tokens.saturating_sub(known)
    }

    /// Records that the endpoint reads a prompt.
    pub fn reads(&self, target: TargetHash, req: &ModelRequest) {
        let mut read = self.read.lock();
        let shared = req.parts.len().saturating_sub(1);
        for part in &req.parts[..shared] {
            read.add(target, part);
        }
    }

    fn garbles(&self, now: Instant) -> bool {
        self.garbles_until.lock().is_some_and(|until| until > now)
    }
}

impl Open {
    /// Counts the tokens of the prompt in, until the answer begins.
    pub fn reads(&self, tokens: u32) {
        self.reading.fetch_add(tokens, Ordering::Relaxed);
        self.peer.reading.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Records that the prompt is read.
    pub fn has_read(&self) {
        let tokens = self.reading.swap(0, Ordering::Relaxed);
        self.peer.reading.fetch_sub(tokens, Ordering::Relaxed);
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.has_read();
        self.peer.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ReadParts {
    fn contains(&self, target: TargetHash, part: &PromptPart) -> bool {
        self.0.contains(&(target ^ part.id))
    }

    fn add(&mut self, target: TargetHash, part: &PromptPart) {
        let key = target ^ part.id;
        self.0.retain(|k| *k != key);
        if self.0.len() >= MAX_READ_PARTS {
            self.0.pop_front();
        }
        self.0.push_back(key);
    }
}

fn rest_limit(conn: &Conn, once: bool) -> Duration {
    let said = conn.keep_alive.map(|kept| kept.mul_f64(RESTED_PART));
    let limit = said.unwrap_or(RESTED_UNSAID);
    if once {
        limit.min(RESTED_ONCE)
    } else {
        limit
    }
}
