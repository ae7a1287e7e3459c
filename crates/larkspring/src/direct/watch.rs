//! Follows the platform's declared state.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use futures_lite::future;
use larkspring_core::fleet::reads::{AgentPace, StorePace};
use larkspring_core::ids::StorePoint;
use larkspring_core::retry::backoff;
use smol::Timer;

use super::beliefs::Beliefs;
use super::cfg::ProcessCfg;
use super::edge::{After, Ask, Directory, Kind, Read, State, Via};
use super::logs::{self, Line};
use super::stats::Stats;
use super::unknown::Place;
use crate::exec::{self, within};
use crate::platform::PlatformError;

/// First and longest pause after a failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Limits the time for which the other followers wait while one follower checks whether
/// the store is available again, in case only that follower's calls fail.
const STORE_WAIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Follows all kinds in the background, as long as the tasks are kept.
pub fn follow(
    directory: Arc<dyn Directory>,
    beliefs: Arc<Beliefs>,
    stats: Arc<Stats>,
    cfg: &ProcessCfg,
) -> Vec<smol::Task<()>> {
    let start = |kind| {
        let follower = Follower {
            kind,
            directory: directory.clone(),
            beliefs: beliefs.clone(),
            stats: stats.clone(),
            pace: Pace::of(cfg, kind),
            failures: 0,
        };
        exec::spawn(follower.run())
    };
    let mut tasks: Vec<_> = Kind::ALL.into_iter().map(start).collect();
    tasks.push(exec::spawn(expire(beliefs)));
    tasks
}

/// How often a kind of declared state is read.
#[derive(Debug, Clone, Copy)]
struct Pace {
    store: StorePace,
    agent: AgentPace,
    /// Longest time for which a read of the store waits for a change.
    wait: Duration,
}

impl Pace {
    fn of(cfg: &ProcessCfg, kind: Kind) -> Self {
        let bound = cfg.bound(kind);
        let store = StorePace::of_entry(bound, ProcessCfg::changes(kind));
        let keys = cfg.routing_wait().filter(|_| kind == Kind::Routing);
        let wait = keys.map_or(store.wait, |wait| wait.min(store.wait));
        Self { store, agent: AgentPace::of(bound), wait }
    }
}

struct Follower {
    kind: Kind,
    directory: Arc<dyn Directory>,
    beliefs: Arc<Beliefs>,
    stats: Arc<Stats>,
    pace: Pace,
    /// Number of consecutive failed calls.
    failures: u32,
}

impl Follower {
    async fn run(mut self) {
        loop {
            let error = self.follow().await;
            let available = self.beliefs.store_back();
            self.record_failure(&error);
            let mut rng = Rng::new();
            let wait = backoff(INITIAL_BACKOFF, MAX_BACKOFF, self.failures, &mut rng);
            self.failures += 1;
            // A single call may fail by itself. While the store is unavailable, only one
            // follower sends calls.
            if self.kind == Kind::Routing || self.failures == 1 {
                Timer::after(wait).await;
            } else {
                within(STORE_WAIT_TIMEOUT, available).await;
            }
        }
    }

    /// Lists and watches until a call fails.
    async fn follow(&mut self) -> PlatformError {
        let mut after = None;
        loop {
            let read = match after {
                Some(after) => self.watch(after).await,
                None => self.directory.read(Ask { kind: self.kind, after: None }).await,
            };
            let applied = match read {
                Ok(Read::State(state)) => self.apply(&state),
                Ok(Read::HistoryGone) => {
                    tracing::info!(event = "history gone", kind = self.kind.name());
                    after = None;
                    continue;
                }
                Err(e) => Err(e),
            };
            let (at, via) = match applied {
                Ok(applied) => applied,
                Err(e) => return e,
            };
            after = Some(After { at, wait: self.pace.wait });
            Timer::after(self.pause(via)).await;
        }
    }

    /// Applies the result of a read; returns its point in the store's history and who
    /// answered.
    fn apply(&mut self, state: &State) -> Result<(StorePoint, Via), PlatformError> {
        let listed = self.directory.decode(self.kind, state)?;
        let now = Instant::now();
        self.failures = 0;
        match state.via {
            Via::Store => self.stats.store_call(self.kind.name(), true),
            Via::Agent => self.stats.agent_read(self.kind.name()),
        }
        self.beliefs.store_answered(now.checked_sub(state.age).unwrap_or(now));
        let at = listed.at;
        self.stats.store_point(self.kind.name(), at);
        self.stats.unknown_words(Place::Listed, &listed.unknown);
        let left_out = listed.items.iter().filter(|item| item.is_unreadable()).count();
        self.stats.left_out(self.kind.name(), left_out as u64);
        let unreadable = left_out > 0;
        let readable = !listed.items.is_empty() && !unreadable;
        match state.whole {
            true => self.beliefs.replace(now, self.kind, listed),
            false => self.beliefs.update(now, listed),
        }
        if self.kind == Kind::Routing && (unreadable || readable) {
            self.beliefs.routing_in_doubt(unreadable);
        }
        if let Some(at) = state.proved {
            self.beliefs.proved(self.kind, at);
        }
        Ok((at, state.via))
    }

    async fn watch(&self, after: After) -> Result<Read, PlatformError> {
        let unavailable = async {
            self.beliefs.store_lost().await;
            let cause = "the store is unavailable to other calls".into();
            Err(PlatformError::NoEffect("watch objects", cause))
        };
        let ask = Ask { kind: self.kind, after: Some(after) };
        future::or(self.directory.read(ask), unavailable).await
    }

    fn pause(&self, via: Via) -> Duration {
        match via {
            Via::Agent => self.pace.agent.pause,
            Via::Store => self.pace.store.pause,
        }
    }

    fn record_failure(&self, e: &PlatformError) {
        self.stats.store_call(self.kind.name(), false);
        if logs::allows(Line::Belief) {
            let age = self.beliefs.proof_age(self.kind).map(|age| age.as_millis() as u64);
            tracing::info!(
                event = "read failed",
                kind = self.kind.name(),
                cause = %e,
                failures = self.failures,
                proof_age_ms = age,
            );
        }
        self.beliefs.store_failed(Instant::now(), &e.to_string());
    }
}

/// Removes endpoints that expired and were not listed again.
async fn expire(beliefs: Arc<Beliefs>) {
    loop {
        let changed = beliefs.changed();
        match beliefs.expire(Instant::now()) {
            Some(at) => drop(Timer::at(at).await),
            None => changed.await,
        }
    }
}
