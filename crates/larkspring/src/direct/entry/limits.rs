//! Limits of workspaces: what this entry reserves at their homes.
//!
//! The home of a workspace is an agent, which every entry hears anyway: the one that ranks
//! first, for the workspace's group, among those heard a moment ago. Entries agree on it
//! without talking; where they don't, [`larkspring_core::limits`] says what still holds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_lite::future;
use larkspring_core::fleet::choose::ranked;
use larkspring_core::fleet::routes::RoutingVersion;
use larkspring_core::ids::{WorkspaceHash, WorkspaceId};
use larkspring_core::limits::account::{Accounts, Verdict};
use larkspring_core::limits::home::{Ask, Grant, Home, Want};
use larkspring_core::limits::presence::{Presence, Told};
use larkspring_core::limits::LimitTerms;
use larkspring_core::workspaces::Workspace;
use parking_lot::Mutex;
use smol::channel::{self, Receiver, Sender};
use smol::Timer;

use super::fleet::Fleet;
use super::link::Link;
use crate::direct::beliefs::Beliefs;
use crate::direct::logs;

/// The limits as one entry keeps them.
pub(super) struct Limits {
    beliefs: Arc<Beliefs>,
    fleet: Arc<Fleet>,
    accounts: Mutex<Accounts<Sender<Verdict>>>,
    /// Grants an even share while no agent is heard.
    own: Mutex<Home>,
    grants: Receiver<Vec<Grant>>,
    /// Homes that did not answer, and until when they are not asked.
    passed_over: Mutex<Vec<(SocketAddr, Instant)>>,
    /// Since when the present home is asked, by group; an entry that hears no agent asks
    /// itself.
    homes: Mutex<HashMap<u64, Presence<Option<SocketAddr>>>>,
    /// When homes were last passed over.
    changed_at: Mutex<Instant>,
    woken: Event,
}

/// How often homes hear of an entry that wants nothing: four times within the time after
/// which they count it out.
const BEAT: Duration = Duration::from_millis(250);
/// How long a home that did not answer is not asked: an agent that is silent for longer is
/// no home any more for anybody.
const PASSED_OVER: Duration = Duration::from_millis(1000);
/// Entries that are assumed while no agent is heard: about as many as the largest deployment
/// has (68). With one assumed, each of them would give a whole limit after a loss of all.
const UNKNOWN_ENTRIES: u32 = 64;
/// Workspaces that share a home, so that an entry speaks to few homes at a time.
const GROUP: usize = 64;

impl Limits {
    /// Creates limits with nothing reserved; `grants` brings what homes answer.
    pub fn new(
        terms: LimitTerms,
        beliefs: Arc<Beliefs>,
        fleet: Arc<Fleet>,
        grants: Receiver<Vec<Grant>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            beliefs,
            fleet,
            accounts: Mutex::new(Accounts::new(terms)),
            own: Mutex::new(Home::new(terms)),
            grants,
            passed_over: Mutex::default(),
            homes: Mutex::default(),
            changed_at: Mutex::new(Instant::now()),
            woken: Event::new(),
        })
    }

    /// Decides whether a request of `cost` units is within its workspace's limit.
    pub async fn admit(
        &self,
        workspace: &Workspace,
        version: RoutingVersion,
        cost: f64,
    ) -> Verdict {
        let (tx, rx) = channel::bounded(1);
        let now = Instant::now();
        let (decided, due) = {
            let mut accounts = self.accounts.lock();
            let decided = accounts.enter(now, workspace, version, cost, tx);
            (decided, accounts.is_due(now, workspace))
        };
        if due || decided.is_none() {
            self.woken.notify(usize::MAX);
        }
        match decided {
            Some(verdict) => verdict,
            // The sender is dropped only with the whole entry.
            None => rx.recv().await.unwrap_or(Verdict::Refused(Duration::ZERO)),
        }
    }

    /// Gives back what a request did not use, since it has not run.
    pub fn give_back(&self, workspace: &Workspace, cost: f64) {
        self.accounts.lock().give_back(Instant::now(), workspace, cost);
    }

    /// Units reserved for each workspace.
    pub fn reserved(&self) -> Vec<(WorkspaceId, f64)> {
        self.accounts.lock().reserved(Instant::now())
    }

    /// Asks homes and takes in what they grant, for ever.
    pub async fn run(self: Arc<Self>) {
        let mut beat_at = Instant::now();
        loop {
            let woken = self.woken.listen();
            let now = Instant::now();
            self.decide_unanswered(now);
            self.ask(now, now >= beat_at);
            if now >= beat_at {
                beat_at = now + BEAT;
            }
            let next = self.accounts.lock().next_at();
            let timer = async {
                Timer::at(next.map_or(beat_at, |at| at.min(beat_at))).await;
                None
            };
            let woken = async {
                woken.await;
                None
            };
            let granted = async { self.grants.recv().await.ok() };
            if let Some(grants) = future::or(granted, future::or(woken, timer)).await {
                self.granted(&grants);
            }
        }
    }

    fn granted(&self, grants: &[Grant]) {
        let decided = self.accounts.lock().granted(Instant::now(), grants);
        tell(decided);
    }

    /// Decides what homes left unanswered, and passes them over.
    fn decide_unanswered(&self, now: Instant) {
        let mut decided = Vec::new();
        let asked = {
            let mut accounts = self.accounts.lock();
            accounts.set_entries(self.entries());
            accounts.unanswered(now, &mut decided)
        };
        tell(decided);
        // What was asked before the last change of homes went to those before it.
        let mut changed = self.changed_at.lock();
        if asked.is_none_or(|asked| asked <= *changed) {
            return;
        }
        *changed = now;
        for group in 0..self.groups() {
            let Some((home, _)) = self.home(now, group) else { continue };
            if logs::allows(logs::Line::Belief) {
                tracing::info!(event = "home of limits passed over", agent = %home);
            }
            self.passed_over.lock().push((home, now + PASSED_OVER));
        }
    }

    /// Sends what is wanted, to each group's home in one message.
    fn ask(&self, now: Instant, beats: bool) {
        let wants = self.accounts.lock().wants(now, beats);
        if wants.is_empty() && !beats {
            return;
        }
        let groups = self.groups();
        for group in 0..groups {
            let of_group = |w: &&Want| group_of(w.workspace, groups) == group;
            let wants: Vec<_> = wants.iter().filter(of_group).copied().collect();
            if wants.is_empty() && !beats {
                continue;
            }
            let home = self.home(now, group);
            let told = self.told(now, group, home.as_ref().map(|(addr, _)| *addr));
            let entries = self.entries() as usize;
            let ask = Ask { told, entries, wants: &wants };
            match home {
                // An ask that can't be sent goes unanswered, which is seen in time.
                Some((_, link)) => drop(link.reserve(&ask)),
                None => self.granted(&self.own.lock().ask(now, &ask)),
            }
        }
    }

    /// What an ask tells of the time before it. Nothing is returned to another home than
    /// the one that granted it.
    fn told(&self, now: Instant, group: u64, home: Option<SocketAddr>) -> Told {
        let told = self.homes.lock().entry(group).or_default().ask(now, home);
        if told.joined {
            self.accounts.lock().home_changed();
        }
        told
    }

    /// Entries that share the limits. An entry that hears no agent does not know, and all of
    /// them may have been started at the same moment.
    fn entries(&self) -> u32 {
        match self.fleet.live_links().is_empty() {
            true => UNKNOWN_ENTRIES,
            false => self.fleet.entries().0,
        }
    }

    /// Groups of workspaces, each with a home; zero where nothing is limited.
    fn groups(&self) -> u64 {
        let routing = self.beliefs.routing();
        let workspaces = routing.as_ref().and_then(|r| r.workspaces.as_ref());
        workspaces.map_or(0, |w| w.count().div_ceil(GROUP) as u64)
    }

    fn home(&self, now: Instant, group: u64) -> Option<(SocketAddr, Arc<Link>)> {
        let mut passed_over = self.passed_over.lock();
        passed_over.retain(|(_, until)| *until > now);
        let links = self.fleet.live_links().into_iter();
        let asked =
            links.filter(|(addr, _)| passed_over.iter().all(|(out, _)| out != addr));
        let named = asked.map(|(addr, link)| (addr.to_string().into(), addr, link));
        let ranked = ranked(group, named.collect(), |(name, _, _)| name);
        ranked.into_iter().next().map(|(_, addr, link)| (addr, link))
    }
}

fn group_of(workspace: WorkspaceHash, groups: u64) -> u64 {
    workspace % groups.max(1)
}

fn tell(decided: Vec<(Sender<Verdict>, Verdict)>) {
    for (request, verdict) in decided {
        // A request that ended meanwhile has no use for it; its units lapse.
        let _ = request.try_send(verdict);
    }
}
