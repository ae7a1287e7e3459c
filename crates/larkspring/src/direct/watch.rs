//! Following the platform's declared state.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use futures_lite::future;
use larkspring_core::retry::backoff;
use smol::Timer;

use super::beliefs::Beliefs;
use super::edge::{Directory, Kind, ListRevision, Watched};
use super::stats::Stats;
use crate::exec::{self, within};
use crate::platform::PlatformError;

/// How long a watch of endpoints waits for a change. Their entries change all the time, so
/// these watches also show that the store is there.
const ENDPOINTS_WAIT: Duration = Duration::from_millis(2000);
/// The same for kinds that change seldom; they are cut short once the store is away, so a
/// connection that nothing comes through any more does not hold them up.
const OTHERS_WAIT: Duration = Duration::from_secs(8);
/// Least time between two watches of endpoints, as a part of the time within which a
/// leaving endpoint has to be passed over: each call is charged.
const ENDPOINTS_PAUSE_PART: f64 = 0.5;
/// The same for other kinds, so that a series of changes is read at once.
const OTHERS_PAUSE: Duration = Duration::from_millis(50);
/// First and longest pause after a call that failed.
const BACKOFF_FIRST: Duration = Duration::from_millis(150);
const BACKOFF_MOST: Duration = Duration::from_millis(400);
/// How long the followers that do not ask while the store is away wait for the one that
/// does; a bound in case that one's calls alone fail.
const WAIT_FOR_STORE: Duration = Duration::from_secs(2);

/// Follows all kinds in the background, as long as the tasks are kept.
pub fn follow(
    directory: Arc<dyn Directory>,
    beliefs: Arc<Beliefs>,
    stats: Arc<Stats>,
    drain: Duration,
) -> Vec<smol::Task<()>> {
    let kinds = [Kind::Routing, Kind::Endpoints, Kind::Versions];
    let start = |kind| {
        let follower = Follower {
            kind,
            directory: directory.clone(),
            beliefs: beliefs.clone(),
            stats: stats.clone(),
            drain,
            failures: 0,
        };
        exec::spawn(follower.run())
    };
    let mut tasks: Vec<_> = kinds.into_iter().map(start).collect();
    tasks.push(exec::spawn(expire(beliefs)));
    tasks
}

struct Follower {
    kind: Kind,
    directory: Arc<dyn Directory>,
    beliefs: Arc<Beliefs>,
    stats: Arc<Stats>,
    /// Time within which a leaving endpoint has to be passed over.
    drain: Duration,
    /// Calls in a row that failed.
    failures: u32,
}

impl Follower {
    async fn run(mut self) {
        loop {
            let end = self.follow().await;
            let back = self.beliefs.store_back();
            self.failed(&end);
            let mut rng = Rng::new();
            let wait = backoff(BACKOFF_FIRST, BACKOFF_MOST, self.failures, &mut rng);
            self.failures += 1;
            // A single call may fail by itself; while the store is away one follower asks.
            if self.kind == Kind::Routing || self.failures == 1 {
                Timer::after(wait).await;
            } else {
                within(WAIT_FOR_STORE, back).await;
            }
        }
    }

    /// Lists and watches until a call fails.
    async fn follow(&mut self) -> PlatformError {
        loop {
            let listed = match self.directory.list(self.kind).await {
                Ok(listed) => listed,
                Err(e) => return e,
            };
            self.answered();
            let mut revision = listed.revision;
            self.beliefs.replace(Instant::now(), self.kind, listed);
            loop {
                Timer::after(self.pause()).await;
                match self.watch(revision).await {
                    Ok(Watched::Changes(changes)) => {
                        self.answered();
                        revision = changes.revision;
                        self.beliefs.update(Instant::now(), changes);
                    }
                    Ok(Watched::HistoryGone) => {
                        self.answered();
                        tracing::info!(event = "history gone", kind = self.kind.name());
                        break;
                    }
                    Err(e) => return e,
                }
            }
        }
    }

    async fn watch(&self, revision: ListRevision) -> Result<Watched, PlatformError> {
        let wait = match self.kind {
            Kind::Endpoints => ENDPOINTS_WAIT,
            Kind::Routing | Kind::Versions => OTHERS_WAIT,
        };
        let away = async {
            self.beliefs.store_lost().await;
            let cause = "the store does not answer other calls".into();
            Err(PlatformError::NoEffect("watch objects", cause))
        };
        future::or(self.directory.watch(self.kind, revision, wait), away).await
    }

    fn pause(&self) -> Duration {
        match self.kind {
            Kind::Endpoints => self.drain.mul_f64(ENDPOINTS_PAUSE_PART),
            Kind::Routing | Kind::Versions => OTHERS_PAUSE,
        }
    }

    fn answered(&mut self) {
        self.failures = 0;
        self.stats.store_call(self.kind.name(), true);
        self.beliefs.store_answered(Instant::now());
    }

    fn failed(&self, e: &PlatformError) {
        self.stats.store_call(self.kind.name(), false);
        self.beliefs.store_failed(Instant::now(), &e.to_string());
    }
}

/// Forgets endpoints that lapsed and did not come back.
async fn expire(beliefs: Arc<Beliefs>) {
    loop {
        let changed = beliefs.changed();
        match beliefs.expire(Instant::now()) {
            Some(at) => drop(Timer::at(at).await),
            None => changed.await,
        }
    }
}
