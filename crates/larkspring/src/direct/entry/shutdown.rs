//! The planned stop of an entry.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_lite::future;
use larkspring_core::fleet::routes::{Route, RouteClass};
use larkspring_core::fleet::stop_schedule::{RecentAnswers, StopSchedule};
use larkspring_core::ids::RouteId;
use parking_lot::Mutex;
use smol::Timer;

use super::answer::ErrorReason;
use super::EntryState;

/// The progress of the entry's shutdown, and what is open meanwhile.
#[derive(Default)]
pub(super) struct Shutdown {
    /// 0 while the entry runs, then [`DRAINING`], [`CLOSING`] and [`ENDING`] in turn.
    stage: AtomicU8,
    /// Set before the stage [`DRAINING`].
    schedule: OnceLock<StopSchedule>,
    /// Number of open caller connections.
    pub connections: AtomicUsize,
    changed: Event,
    recent_answers: Mutex<HashMap<RouteId, RecentAnswers>>,
    /// Requests refused because the entry is stopping.
    refused: AtomicUsize,
    /// Requests that were sent and had no answer at the end of the grace period.
    unclear: AtomicUsize,
    /// Answers that are being delivered, by [`kind_of`] their route.
    open_answers: [AtomicUsize; 4],
}

/// Readiness checks fail; each answer closes its connection. Requests whose answers can't
/// be expected to end before the exit are refused.
const DRAINING: u8 = 1;
/// Idle connections close, and no new connections or requests are accepted.
const CLOSING: u8 = 2;
/// Requests that have no answer yet get one from the entry.
const ENDING: u8 = 3;

impl Shutdown {
    /// Stops the entry within `grace`: closes the listener and idle connections after a
    /// while, then waits until no connection is open or the process has to exit.
    pub async fn run(&self, grace: Duration) {
        let schedule = StopSchedule::new(Instant::now(), grace);
        let _ = self.schedule.set(schedule);
        self.enter(DRAINING);
        Timer::at(schedule.accepts_until()).await;
        self.enter(CLOSING);
        let ending = async {
            Timer::at(schedule.answers_until()).await;
            self.enter(ENDING);
            Timer::at(schedule.exits_at()).await;
            false
        };
        let idle = async {
            self.wait_no_connections().await;
            true
        };
        let idle = future::or(idle, ending).await;
        let cut = |kind: usize| self.open_answers[kind].load(Ordering::Relaxed);
        tracing::info!(
            event = "stopped",
            process = "entry",
            idle,
            open = self.connections.load(Ordering::Acquire),
            refused = self.refused.load(Ordering::Relaxed),
            unclear = self.unclear.load(Ordering::Relaxed),
            cut_retryable = cut(0),
            cut_at_most_once = cut(1),
            cut_resumable_streams = cut(2),
            cut_streams = cut(3),
        );
    }

    pub fn is_draining(&self) -> bool {
        self.is_past(DRAINING)
    }

    pub fn is_closing(&self) -> bool {
        self.is_past(CLOSING)
    }

    /// Waits until shutdown reaches the stage [`CLOSING`].
    pub async fn wait_closing(&self) {
        self.wait(CLOSING).await;
    }

    /// Waits until the requests that have no answer yet have to be answered.
    pub async fn wait_ending(&self) {
        self.wait(ENDING).await;
    }

    /// Returns whether the entry is stopping and the answer to a request that is sent now
    /// can't be expected to end in time.
    pub fn is_too_late(&self, route: &Route, deadline: Instant) -> bool {
        self.latest_send(route, deadline).is_some_and(|at| at <= Instant::now())
    }

    /// Waits until the entry is stopping and a request can't be sent any more.
    pub async fn wait_too_late(&self, route: &Route, deadline: Instant) {
        self.wait(DRAINING).await;
        match self.latest_send(route, deadline) {
            Some(at) => drop(Timer::at(at).await),
            None => future::pending().await,
        }
    }

    fn latest_send(&self, route: &Route, deadline: Instant) -> Option<Instant> {
        let schedule = self.schedule.get()?;
        let durations =
            self.recent_answers.lock().get(&route.name).and_then(|r| r.durations());
        Some(schedule.latest_send(deadline, durations, route.class.is_retryable()))
    }

    /// Counts a request that the entry answers itself, if the stop is the reason.
    pub fn count_own_answer(&self, reason: ErrorReason) {
        match reason {
            ErrorReason::Stopping => self.refused.fetch_add(1, Ordering::Relaxed),
            ErrorReason::Unclear if self.is_past(ENDING) => {
                self.unclear.fetch_add(1, Ordering::Relaxed)
            }
            _ => return,
        };
    }

    fn enter(&self, stage: u8) {
        self.stage.store(stage, Ordering::Release);
        self.changed.notify(usize::MAX);
    }

    fn is_past(&self, stage: u8) -> bool {
        self.stage.load(Ordering::Acquire) >= stage
    }

    async fn wait(&self, stage: u8) {
        loop {
            let changed = self.changed.listen();
            if self.is_past(stage) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until no caller connection is open.
    async fn wait_no_connections(&self) {
        loop {
            let changed = self.changed.listen();
            if self.connections.load(Ordering::Acquire) == 0 {
                return;
            }
            changed.await;
        }
    }

    /// Records that a caller connection was closed.
    pub fn connection_closed(&self) {
        self.connections.fetch_sub(1, Ordering::AcqRel);
        self.changed.notify(usize::MAX);
    }
}

fn kind_of(class: RouteClass) -> usize {
    match class {
        RouteClass::Retryable => 0,
        RouteClass::AtMostOnce => 1,
        RouteClass::Stream { resumable: true } => 2,
        RouteClass::Stream { resumable: false } => 3,
    }
}

/// An endpoint's answer that is being delivered. Its duration is recorded when dropped.
pub(super) struct Delivery {
    entry: Arc<EntryState>,
    route: Arc<Route>,
    sent_at: Instant,
    is_success: bool,
}

impl Delivery {
    /// Begins the delivery of the answer to a request that was sent at `sent_at`.
    pub fn new(
        entry: Arc<EntryState>,
        route: Arc<Route>,
        sent_at: Instant,
        is_success: bool,
    ) -> Self {
        let open = &entry.shutdown.open_answers[kind_of(route.class)];
        open.fetch_add(1, Ordering::Relaxed);
        Self { entry, route, sent_at, is_success }
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        let shutdown = &self.entry.shutdown;
        shutdown.open_answers[kind_of(self.route.class)].fetch_sub(1, Ordering::Relaxed);
        if self.is_success {
            let mut recent_answers = shutdown.recent_answers.lock();
            let recent = recent_answers.entry(self.route.name.clone()).or_default();
            recent.record(self.sent_at.elapsed());
        }
    }
}
