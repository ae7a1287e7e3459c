//! Reads of the platform's store, with detection of lost answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::read_timing::StoreReadTiming;
use larkspring_core::ids::StorePoint;
use parking_lot::Mutex;

use super::logs::{self, LineKind};
use super::platform_api::{
    DecodedState, EncodedState, ReadContent, ReadOutcome, StateKind, StateQuery,
    StateStore,
};
use super::stats::Stats;
use crate::exec::with_timeout;
use crate::platform::PlatformError;

/// Reads the store; sends a list request after a watch that is not answered in time, and
/// another one after a list that is not.
///
/// A single connection may become unresponsive while others work, so a lost watch does
/// not show that the store is unavailable, nor does a lost list.
pub(super) struct StoreReader {
    directory: Arc<dyn StateStore>,
    stats: Arc<Stats>,
    /// The slowest of the store's recent answer times, decayed.
    slowest: Mutex<Duration>,
}

/// Limits the time for an answer, however slow the store is.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);
/// Multiple of the slowest answer time after which a read counts as lost, if that is longer
/// than its pace allows.
const LOST_AFTER_FACTOR: f64 = 3.0;
/// Factor by which the slowest answer time decays with each faster answer.
const SLOWEST_DECAY: f64 = 0.8;

impl StoreReader {
    /// Creates a reader of a store.
    pub fn new(directory: Arc<dyn StateStore>, stats: Arc<Stats>) -> Self {
        Self { directory, stats, slowest: Mutex::default() }
    }

    /// Reads items of a kind.
    pub async fn read(
        &self,
        ask: StateQuery,
        pace: &StoreReadTiming,
    ) -> Result<ReadOutcome, PlatformError> {
        let Some(after) = ask.changes else { return self.list(ask, pace).await };
        let limit = after.max_wait + self.answer_timeout(pace);
        let began = Instant::now();
        match with_timeout(limit, self.directory.read(ask)).await {
            Some(read) => {
                if read.is_ok() {
                    self.record_answer(began.elapsed().saturating_sub(after.max_wait));
                }
                read.map(|read| keep_known_point(read, after.known))
            }
            None => {
                self.record_lost("watch lost", ask.kind, limit);
                self.list(StateQuery::whole(ask.kind), pace).await
            }
        }
    }

    /// Decodes items that were read.
    pub fn decode(
        &self,
        kind: StateKind,
        state: &EncodedState,
    ) -> Result<DecodedState, PlatformError> {
        self.directory.decode(kind, state)
    }

    /// Returns whether two complete states hold the same items.
    pub fn holds_same_items(&self, a: &EncodedState, b: &EncodedState) -> bool {
        self.directory.holds_same_items(a, b)
    }

    async fn list(
        &self,
        ask: StateQuery,
        pace: &StoreReadTiming,
    ) -> Result<ReadOutcome, PlatformError> {
        let Some(limit) = self.list_timeout(pace) else {
            return self.list_once(ask).await;
        };
        match with_timeout(limit, self.list_once(ask)).await {
            Some(read) => read,
            None => {
                self.record_lost("list lost", ask.kind, limit);
                self.list_once(ask).await
            }
        }
    }

    async fn list_once(&self, ask: StateQuery) -> Result<ReadOutcome, PlatformError> {
        let began = Instant::now();
        let read = self.directory.read(ask).await;
        if read.is_ok() {
            self.record_answer(began.elapsed());
        }
        read
    }

    fn answer_timeout(&self, pace: &StoreReadTiming) -> Duration {
        let slow = self.slowest.lock().mul_f64(LOST_AFTER_FACTOR);
        pace.answer_timeout.max(slow).min(MAX_ANSWER_TIME)
    }

    /// Returns the time after which a list counts as lost; `None` while it is not known how
    /// long the store takes, and if that is as long as a call may take anyway.
    fn list_timeout(&self, pace: &StoreReadTiming) -> Option<Duration> {
        let slowest = *self.slowest.lock();
        let limit = pace.full_read_timeout.max(slowest.mul_f64(LOST_AFTER_FACTOR));
        (!slowest.is_zero() && limit < MAX_ANSWER_TIME).then_some(limit)
    }

    fn record_answer(&self, took: Duration) {
        let mut slowest = self.slowest.lock();
        *slowest = took.max(slowest.mul_f64(SLOWEST_DECAY));
    }

    fn record_lost(&self, event: &'static str, kind: StateKind, after: Duration) {
        let kind = kind.name();
        self.stats.count_store_call(kind, false);
        if logs::is_allowed(LineKind::StateChange) {
            let after_ms = after.as_millis() as u64;
            tracing::info!(event, kind, after_ms);
        }
    }
}

/// Keeps the known point if an answer holds no change, so that the next watch starts
/// before every change that has not been delivered, whatever revision the answer names.
fn keep_known_point(read: ReadOutcome, known: StorePoint) -> ReadOutcome {
    match read {
        ReadOutcome::State(state) if state.content() == ReadContent::Unchanged => {
            ReadOutcome::State(EncodedState { at: known, ..state })
        }
        other => other,
    }
}
