//! The bytes of answers that callers have not read, and their bound.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

use event_listener::Event;
use larkspring_core::fleet::slow_readers::{slowest_reader, UnreadAnswer};
use parking_lot::Mutex;

use crate::direct::conn::MAX_BUFFER_BYTES;
use crate::direct::logs::{self, LineKind};
use crate::direct::stats::Stats;

/// The unread answers of all callers.
pub(super) struct UnreadAnswers {
    /// Bytes of all open backlogs.
    total: AtomicUsize,
    /// Limits `total`.
    max: AtomicUsize,
    open: Mutex<Vec<Arc<Backlog>>>,
    stats: Arc<Stats>,
}

/// The unread bytes of one connection.
pub(super) struct Backlog {
    all: Arc<UnreadAnswers>,
    state: Mutex<BacklogState>,
    closed: Event,
}

struct BacklogState {
    unread: UnreadAnswer,
    is_closed: bool,
}

/// Removes a connection's backlog when dropped.
pub(super) struct BacklogGuard(pub Arc<Backlog>);

/// Bytes in the connection to the endpoint while the caller does not read: a read buffer
/// and a part of the body that was read from it.
const ENDPOINT_CONN_BYTES: usize = 2 * MAX_BUFFER_BYTES;

impl UnreadAnswers {
    /// Creates the record, which holds at most `max` bytes.
    pub fn new(max: usize, stats: Arc<Stats>) -> Arc<Self> {
        Arc::new(Self {
            total: AtomicUsize::new(0),
            max: AtomicUsize::new(max),
            open: Mutex::default(),
            stats,
        })
    }

    /// Changes the limit of the total, in bytes.
    pub fn set_max(&self, max: usize) {
        self.max.store(max, Ordering::Relaxed);
    }

    /// Returns the bytes that are held for callers.
    pub fn total(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }

    /// Adds a connection.
    pub fn open(self: &Arc<Self>) -> BacklogGuard {
        let unread = UnreadAnswer { held: 0, last_read: Instant::now() };
        let state = Mutex::new(BacklogState { unread, is_closed: false });
        let backlog =
            Arc::new(Backlog { all: self.clone(), state, closed: Event::new() });
        self.open.lock().push(backlog.clone());
        BacklogGuard(backlog)
    }

    /// Closes the slowest readers until the total is within the limit.
    fn shrink(&self) {
        while self.total.load(Ordering::Relaxed) > self.max.load(Ordering::Relaxed) {
            let mut open = self.open.lock();
            let unread = open.iter().map(|backlog| backlog.state.lock().unread);
            let Some(at) = slowest_reader(unread) else { return };
            let slowest = open.swap_remove(at);
            drop(open);
            slowest.close();
        }
    }
}

impl Backlog {
    /// Records bytes that are held until the caller reads them.
    pub fn record_held(&self, len: usize) {
        let mut state = self.state.lock();
        if state.is_closed || len == 0 {
            return;
        }
        let mut added = len;
        if state.unread.held == 0 {
            state.unread.last_read = Instant::now();
            added += ENDPOINT_CONN_BYTES;
        }
        state.unread.held += added;
        // The total is changed under the lock, so that it never falls below zero.
        let total = self.all.total.fetch_add(added, Ordering::Relaxed) + added;
        drop(state);
        if total > self.all.max.load(Ordering::Relaxed) {
            self.all.shrink();
        }
    }

    /// Records bytes that the caller's socket has taken: the bytes held, and the heads and
    /// frames around them.
    pub fn record_written(&self, len: usize) {
        let mut state = self.state.lock();
        if state.unread.held == 0 || len == 0 {
            return;
        }
        state.unread.last_read = Instant::now();
        let left = state.unread.held.saturating_sub(len);
        let left = if left > ENDPOINT_CONN_BYTES { left } else { 0 };
        let freed = state.unread.held - left;
        state.unread.held = left;
        self.all.total.fetch_sub(freed, Ordering::Relaxed);
    }

    /// Waits until the connection has to be closed.
    pub async fn wait_closed(&self) {
        loop {
            let closed = self.closed.listen();
            if self.state.lock().is_closed {
                return;
            }
            closed.await;
        }
    }

    fn close(&self) {
        let unread = self.release();
        self.closed.notify(usize::MAX);
        self.all.stats.count_slow_reader("caller");
        if logs::is_allowed(LineKind::Caller) {
            tracing::warn!(
                event = "slow reader closed",
                held = unread.held,
                unread_ms = unread.last_read.elapsed().as_millis() as u64,
            );
        }
    }

    /// Takes the bytes out of the total and records no more.
    fn release(&self) -> UnreadAnswer {
        let mut state = self.state.lock();
        state.is_closed = true;
        let unread = state.unread;
        state.unread.held = 0;
        self.all.total.fetch_sub(unread.held, Ordering::Relaxed);
        unread
    }
}

impl Drop for BacklogGuard {
    fn drop(&mut self) {
        let mut open = self.0.all.open.lock();
        if let Some(at) = open.iter().position(|backlog| Arc::ptr_eq(backlog, &self.0)) {
            open.swap_remove(at);
        }
        drop(open);
        self.0.release();
    }
}
