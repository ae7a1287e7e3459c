//! Following the platform's declared state.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::retry::backoff;
use smol::Timer;

use super::beliefs::Beliefs;
use super::edge::{Directory, Kind, Watched};
use super::stats::Stats;
use crate::exec::{self, within};
use crate::platform::PlatformError;

/// How long one watch waits for a change. It also bounds how long a connection that
/// nothing comes through any more goes unnoticed, which must stay well under the three
/// seconds that the operators give a process to be in touch again.
const WATCH_WAIT: Duration = Duration::from_millis(2000);
/// Least time between two watches of endpoints, whose entries change all the time: each
/// call is charged, and a leaving endpoint has to be passed over within two seconds.
const ENDPOINTS_PAUSE: Duration = Duration::from_millis(600);
/// The same for kinds that change seldom, so that a series of changes is read at once.
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
) -> Vec<smol::Task<()>> {
    let kinds = [Kind::Routing, Kind::Endpoints, Kind::Versions];
    let start = |kind| {
        let follower = Follower {
            kind,
            directory: directory.clone(),
            beliefs: beliefs.clone(),
            stats: stats.clone(),
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
                let watched = self.directory.watch(self.kind, revision, WATCH_WAIT).await;
                match watched {
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

    fn pause(&self) -> Duration {
        match self.kind {
            Kind::Endpoints => ENDPOINTS_PAUSE,
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
