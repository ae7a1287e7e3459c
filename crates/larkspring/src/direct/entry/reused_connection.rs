//! What the reuse of an idle connection shows about the endpoint.

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::idle::{is_late, Reuse};

use super::peer::Peer;
use crate::direct::conn::{EndpointConn, SendError};
use crate::direct::logs::{self, LineKind};

/// The reuse of an idle connection. If it is dropped before the answer begins, and the
/// request's deadline has passed, the endpoint may have forgotten the connection.
pub(super) struct ReusedConnection {
    peer: Arc<Peer>,
    idle: Duration,
    keep_alive: Option<Duration>,
    sent_at: Instant,
    deadline: Instant,
    is_recorded: bool,
}

impl ReusedConnection {
    /// Begins the reuse of a connection for a request with this deadline.
    pub fn new(peer: &Arc<Peer>, conn: &EndpointConn, deadline: Instant) -> Self {
        let sent_at = Instant::now();
        Self {
            peer: peer.clone(),
            idle: sent_at.saturating_duration_since(conn.idle_since),
            keep_alive: conn.keep_alive,
            sent_at,
            deadline,
            is_recorded: false,
        }
    }

    /// Returns the label of the connection in metrics.
    pub fn label(&self) -> &'static str {
        match is_late(self.keep_alive, self.idle) {
            true => "reused late",
            false => "reused",
        }
    }

    /// Records that the answer began, or why there is none.
    pub fn record_result(mut self, e: Option<&SendError>) {
        self.is_recorded = true;
        match e {
            None => {
                let mut time = self.peer.idle.time.lock();
                time.record_success(Instant::now(), self.keep_alive, self.idle);
            }
            Some(SendError::Broken(..)) => self.shorten("the connection broke"),
            Some(SendError::Unsent(..)) if self.peer.is_open() => {
                self.shorten("the connection was closed")
            }
            // The request was withdrawn, which shows nothing about the connection.
            Some(_) => {}
        }
    }

    fn shorten(&self, cause: &'static str) {
        let now = Instant::now();
        let mut time = self.peer.idle.time.lock();
        if !time.record_break(now, self.keep_alive, self.idle) {
            return;
        }
        let limit = time.limit(now, self.keep_alive, Reuse::Repeatable);
        drop(time);
        if logs::is_allowed(LineKind::StateChange) {
            tracing::info!(
                event = "idle connection lost",
                endpoint = %self.peer.endpoint().id,
                cause,
                idle_ms = self.idle.as_millis() as u64,
                limit_ms = limit.as_millis() as u64,
            );
        }
    }
}

impl Drop for ReusedConnection {
    /// A request that got no answer before its deadline counts as a break only if a later
    /// one was answered meanwhile: otherwise the endpoint may be slow or frozen.
    fn drop(&mut self) {
        if self.is_recorded || Instant::now() < self.deadline {
            return;
        }
        if self.peer.idle.has_answered_since(self.sent_at) {
            self.shorten("no answer before the deadline");
        }
    }
}
