//! Follows the platform's declared state.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use futures_lite::future;
use larkspring_core::fleet::read_timing::{AgentReadTiming, StoreReadTiming};
use larkspring_core::retry::backoff;
use smol::Timer;

use super::applier::StateApplier;
use super::cfg::ProcessCfg;
use super::logs::{self, LineKind};
use super::platform_api::{
    ChangeQuery, ReadOutcome, ReadSource, StateKind, StateQuery, StateStore,
};
use super::replicated_state::ReplicatedState;
use super::stats::Stats;
use crate::exec::{self, with_timeout};
use crate::platform::PlatformError;

/// First and longest pause after a failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Limits the time for which the other followers wait while one follower checks whether
/// the store is available again, in case only that follower's calls fail.
const STORE_WAIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Follows all kinds in the background, as long as the tasks are kept.
pub fn follow(
    directory: Arc<dyn StateStore>,
    replicated_state: Arc<ReplicatedState>,
    stats: Arc<Stats>,
    cfg: &ProcessCfg,
) -> Vec<smol::Task<()>> {
    let start = |kind| {
        let follower = Follower {
            kind,
            directory: directory.clone(),
            replicated_state: replicated_state.clone(),
            applier: StateApplier::new(
                directory.clone(),
                replicated_state.clone(),
                stats.clone(),
            ),
            stats: stats.clone(),
            pace: Pace::of(cfg, kind),
            failures: 0,
        };
        exec::spawn(follower.run())
    };
    let mut tasks: Vec<_> = cfg.declared_kinds().map(start).collect();
    tasks.push(exec::spawn(expire(replicated_state)));
    tasks
}

/// How often a kind of declared state is read.
#[derive(Debug, Clone, Copy)]
struct Pace {
    store: StoreReadTiming,
    agent: AgentReadTiming,
    /// Longest time for which a read of the store waits for a change.
    wait: Duration,
}

impl Pace {
    fn of(cfg: &ProcessCfg, kind: StateKind) -> Self {
        let bound = cfg.max_staleness(kind);
        let store = StoreReadTiming::for_entry(bound, ProcessCfg::change_frequency(kind));
        let keys = cfg.routing_wait().filter(|_| kind == StateKind::Routing);
        let wait = keys.map_or(store.long_poll, |wait| wait.min(store.long_poll));
        Self { store, agent: AgentReadTiming::new(bound), wait }
    }
}

struct Follower {
    kind: StateKind,
    directory: Arc<dyn StateStore>,
    replicated_state: Arc<ReplicatedState>,
    applier: StateApplier,
    stats: Arc<Stats>,
    pace: Pace,
    /// Number of consecutive failed calls.
    failures: u32,
}

impl Follower {
    async fn run(mut self) {
        loop {
            let error = self.follow().await;
            let available = self.replicated_state.store_recovered();
            self.record_failure(&error);
            let mut rng = Rng::new();
            let wait = backoff(INITIAL_BACKOFF, MAX_BACKOFF, self.failures, &mut rng);
            self.failures += 1;
            // A single call may fail by itself. While the store is unavailable, only one
            // follower sends calls.
            if self.kind == StateKind::Routing || self.failures == 1 {
                Timer::after(wait).await;
            } else {
                with_timeout(STORE_WAIT_TIMEOUT, available).await;
            }
        }
    }

    /// Lists and watches until a call fails.
    async fn follow(&mut self) -> PlatformError {
        let mut after = None;
        loop {
            let read = match after {
                Some(after) => self.watch(after).await,
                None => self.directory.read(StateQuery::whole(self.kind)).await,
            };
            let applied = match read {
                Ok(ReadOutcome::State(state)) => self.applier.apply(self.kind, &state),
                Ok(ReadOutcome::HistoryCompacted) => {
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
            self.failures = 0;
            let (max_wait, pause) = match self.awaits_endpoints() {
                // The first listed endpoint ends the wait.
                true => (self.pace.store.pause, self.pace.agent.pause),
                false => (self.pace.wait, self.pause(via)),
            };
            after = Some(ChangeQuery { known: at, max_wait });
            Timer::after(pause).await;
        }
    }

    async fn watch(&self, after: ChangeQuery) -> Result<ReadOutcome, PlatformError> {
        let unavailable = async {
            self.replicated_state.wait_store_unavailable().await;
            let cause = "the store is unavailable to other calls".into();
            Err(PlatformError::NoEffect("watch objects", cause))
        };
        let ask = StateQuery::after(self.kind, Some(after));
        future::or(self.directory.read(ask), unavailable).await
    }

    fn pause(&self, via: ReadSource) -> Duration {
        match via {
            ReadSource::Agent => self.pace.agent.pause,
            ReadSource::Store => self.pace.store.pause,
        }
    }

    fn awaits_endpoints(&self) -> bool {
        self.kind == StateKind::Endpoints && !self.replicated_state.has_endpoints()
    }

    fn record_failure(&self, e: &PlatformError) {
        self.stats.count_store_call(self.kind.name(), false);
        if logs::is_allowed(LineKind::StateChange) {
            let age = self
                .replicated_state
                .proof_age(self.kind)
                .map(|age| age.as_millis() as u64);
            tracing::info!(
                event = "read failed",
                kind = self.kind.name(),
                cause = %e,
                failures = self.failures,
                proof_age_ms = age,
            );
        }
        self.replicated_state.record_store_failure(Instant::now(), &e.to_string());
    }
}

/// Removes endpoints that expired and were not listed again.
async fn expire(replicated_state: Arc<ReplicatedState>) {
    loop {
        let changed = replicated_state.changed();
        match replicated_state.expire(Instant::now()) {
            Some(at) => drop(Timer::at(at).await),
            None => changed.await,
        }
    }
}
