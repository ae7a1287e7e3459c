//! Idle connections to an endpoint.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::future::poll_fn;
use larkspring_core::fleet::idle::{max_idle_connections, IdleTime, Reuse};
use parking_lot::Mutex;

use crate::direct::conn::{ConnId, EndpointConn};

/// Connections to an endpoint that carry no request, the latest last.
pub(super) struct IdleConnections {
    conns: Mutex<Vec<EndpointConn>>,
    /// Limits the number of connections.
    max: AtomicUsize,
    /// How long the endpoint keeps idle connections open, as their reuse shows.
    pub time: Mutex<IdleTime>,
    /// When the latest request that got an answer was sent.
    latest_answered: Mutex<Option<Instant>>,
    /// Until when answers to other requests are to be expected on the connections.
    corrupted_until: Mutex<Option<Instant>>,
}

/// How long requests that must not run twice get new connections after an answer to
/// another request came on a connection.
const CORRUPTION_TIMEOUT: Duration = Duration::from_secs(3);

impl Default for IdleConnections {
    fn default() -> Self {
        Self {
            conns: Mutex::default(),
            max: AtomicUsize::new(max_idle_connections(usize::MAX, 1)),
            time: Mutex::default(),
            latest_answered: Mutex::default(),
            corrupted_until: Mutex::default(),
        }
    }
}

impl IdleConnections {
    /// Takes a connection that can carry a request now.
    ///
    /// `used` are the connections on which the request was sent before. A late copy of its
    /// earlier answer there has the request's own id, so it could not be told from the
    /// answer to another send.
    pub fn take(
        &self,
        cx: &mut Context<'_>,
        reuse: Reuse,
        used: &[ConnId],
    ) -> Option<EndpointConn> {
        let now = Instant::now();
        if reuse == Reuse::Once && self.is_corrupted(now) {
            return None;
        }
        loop {
            let mut conn = self.pop(now, reuse, used)?;
            if conn.is_ready(cx) {
                return Some(conn);
            }
        }
    }

    /// Returns whether there is a connection for a request, as far as known without
    /// driving it.
    pub fn has_any(&self, now: Instant, reuse: Reuse) -> bool {
        let conns = self.conns.lock();
        conns.last().is_some_and(|conn| self.is_usable(now, conn, reuse))
    }

    /// Removes the latest connection that is not among `used`, if a request may use it.
    fn pop(&self, now: Instant, reuse: Reuse, used: &[ConnId]) -> Option<EndpointConn> {
        let mut conns = self.conns.lock();
        let latest = conns.iter().rposition(|conn| !used.contains(&conn.id))?;
        let is_usable = self.is_usable(now, &conns[latest], reuse);
        is_usable.then(|| conns.remove(latest))
    }

    fn is_usable(&self, now: Instant, conn: &EndpointConn, reuse: Reuse) -> bool {
        let limit = self.time.lock().limit(now, conn.keep_alive, reuse);
        now.saturating_duration_since(conn.idle_since) < limit
    }

    /// Returns a connection to the pool.
    pub async fn recycle(&self, conn: EndpointConn) {
        let mut conn = Some(conn);
        poll_fn(|cx| {
            if let Some(conn) = conn.take() {
                self.add(conn, cx);
            }
            Poll::Ready(())
        })
        .await;
    }

    /// Adds a connection, if it can carry another request.
    pub fn add(&self, mut conn: EndpointConn, cx: &mut Context<'_>) {
        if !conn.is_ready(cx) {
            return;
        }
        conn.idle_since = Instant::now();
        let mut conns = self.conns.lock();
        if conns.len() < self.max.load(Ordering::Relaxed) {
            conns.push(conn);
        }
    }

    /// Closes connections that were idle for too long, or are too many for an endpoint
    /// that accepts `max_connections` from all `entries` together.
    pub fn close_expired(&self, max_connections: usize, entries: usize) {
        let now = Instant::now();
        let max = max_idle_connections(max_connections, entries);
        self.max.store(max, Ordering::Relaxed);
        let mut conns = self.conns.lock();
        conns.retain(|conn| self.is_usable(now, conn, Reuse::Repeatable));
        let excess = conns.len().saturating_sub(max);
        conns.drain(..excess);
    }

    /// Records that an answer to another request came on one of the connections, and
    /// closes the idle ones.
    pub fn mark_corrupted(&self) {
        *self.corrupted_until.lock() = Some(Instant::now() + CORRUPTION_TIMEOUT);
        self.conns.lock().clear();
    }

    /// Records that a request that was sent at `sent_at` got an answer.
    pub fn record_answered(&self, sent_at: Instant) {
        let mut latest = self.latest_answered.lock();
        *latest = (*latest).max(Some(sent_at));
    }

    /// Returns whether a request that was sent after `sent_at` got an answer.
    pub fn has_answered_since(&self, sent_at: Instant) -> bool {
        self.latest_answered.lock().is_some_and(|at| at > sent_at)
    }

    fn is_corrupted(&self, now: Instant) -> bool {
        self.corrupted_until.lock().is_some_and(|until| until > now)
    }
}
