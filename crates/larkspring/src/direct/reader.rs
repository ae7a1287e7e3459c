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

/// Reads the store; sends a list request after a watch that is not answered in time.
///
/// A single connection may become unresponsive while others work, so a lost watch does
/// not show that the store is unavailable.
pub(super) struct StoreReader {
    directory: Arc<dyn StateStore>,
    stats: Arc<Stats>,
    /// The slowest of the store's recent answer times, decayed.
    slowest: Mutex<Duration>,
}

/// Limits the time for an answer, however slow the store is.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);
/// Multiple of the slowest answer time after which a watch counts as lost, if that is
/// longer than its pace allows.
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
        let Some(after) = ask.changes else { return self.list(ask).await };
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
                self.record_lost_watch(ask.kind, limit);
                self.list(StateQuery::whole(ask.kind)).await
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

    async fn list(&self, ask: StateQuery) -> Result<ReadOutcome, PlatformError> {
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

    fn record_answer(&self, took: Duration) {
        let mut slowest = self.slowest.lock();
        *slowest = took.max(slowest.mul_f64(SLOWEST_DECAY));
    }

    fn record_lost_watch(&self, kind: StateKind, after: Duration) {
        let kind = kind.name();
        self.stats.count_store_call(kind, false);
        if logs::is_allowed(LineKind::StateChange) {
            let after_ms = after.as_millis() as u64;
            tracing::info!(event = "watch lost", kind, after_ms);
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
