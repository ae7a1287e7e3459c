//! Check whether an endpoint still runs after it closed the connection of an answer.
//!
//! The operating system closes the connections of a process that ends, or is killed, in
//! order. So an answer without framing is complete only if its endpoint still runs.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::future;
use http::{Request, Response};
use larkspring_core::fleet::routes::Service;
use smol::lock::{Mutex, Semaphore};
use smol::Timer;

use super::peer::Peer;
use super::EntryState;
use crate::direct::conn::{EndpointConn, SendBody};
use crate::exec::with_timeout;
use crate::http::client::{connect, HttpError};

/// What is known of an endpoint that closed a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndpointCheck {
    /// It answered afterwards.
    Running,
    /// No process has its port, or another run has it.
    Ended,
    /// It gave no answer that names its run in time, or was leaving and has ended.
    Unknown,
}

/// Checks of one run, of which one at a time is made. Answers share the result of a check
/// that began after their ends.
#[derive(Debug, Default)]
pub(super) struct EndChecks {
    latest: Mutex<Option<CompletedCheck>>,
}

/// The result of a check.
#[derive(Debug)]
struct CompletedCheck {
    began: Instant,
    reply: Reply,
}

/// How the endpoint's address replied to a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reply {
    SameRun,
    OtherRun,
    /// No process has the port.
    Refused,
    /// No answer in time, or one that names no run, as of an endpoint that is full.
    Unnamed,
}

/// Limits the time of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Limits the time by which the end of an answer is delayed: that of a check that began
/// before the end, and of the next one.
const MAX_DELAY: Duration = CHECK_TIMEOUT.saturating_mul(2);
/// Pause before the next connection after one that was closed without an answer. A process
/// that ends may accept connections until it closes its port.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Limits the body, in bytes, that is read to keep the connection. The head names the run.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// Limits the checks of all endpoints that are made at once.
const MAX_OPEN_CHECKS: usize = 64;

/// Permits of the checks that are made at once.
static OPEN_CHECKS: Semaphore = Semaphore::new(MAX_OPEN_CHECKS);

/// Checks whether the run of an endpoint that closed a connection still answers, for a
/// part of the time that the request has left. An endpoint that is leaving may end once
/// it has sent its last answer.
pub(super) async fn check_endpoint(
    entry: &EntryState,
    peer: &Arc<Peer>,
    service: &Service,
    time_left: Duration,
) -> EndpointCheck {
    let closed_at = Instant::now();
    let is_replaced = || peer.replaced_by().is_some() || entry.fleet.is_replaced(peer);
    if is_replaced() {
        return EndpointCheck::Ended;
    }
    let is_leaving = !peer.stays_in_service()
        || peer.reported_draining()
        || !entry.fleet.contains(&peer.endpoint().id);
    // Unlike an engine's report, the answer to a health check names the run.
    let Some(request) = entry.protocol.health_request(&service.health_path) else {
        return EndpointCheck::Unknown;
    };
    let limit = MAX_DELAY.min(time_left / 2);
    let reply = peer.end_checks.reply(closed_at, request_reply(entry, peer, &request));
    let reply = with_timeout(limit, reply).await;
    match reply {
        _ if peer.has_other_run(closed_at) || is_replaced() => EndpointCheck::Ended,
        Some(Reply::SameRun) => EndpointCheck::Running,
        Some(Reply::OtherRun) => EndpointCheck::Ended,
        Some(Reply::Refused) if !is_leaving => EndpointCheck::Ended,
        Some(Reply::Refused | Reply::Unnamed) | None => EndpointCheck::Unknown,
    }
}

impl EndChecks {
    /// Returns the reply to a check that began at `since` or later, and makes one if there
    /// is none. A check that began earlier doesn't show that the run lived until `since`.
    async fn reply(&self, since: Instant, check: impl Future<Output = Reply>) -> Reply {
        let mut latest = self.latest.lock().await;
        if let Some(completed) = latest.as_ref().filter(|check| check.began >= since) {
            return completed.reply;
        }
        let _permit = OPEN_CHECKS.acquire().await;
        let began = Instant::now();
        let reply = with_timeout(CHECK_TIMEOUT, check).await.unwrap_or(Reply::Unnamed);
        *latest = Some(CompletedCheck { began, reply });
        reply
    }
}

/// Sends the request until the endpoint answers or its port is closed. A connection that
/// is closed without an answer shows neither: an endpoint resets those that are too many.
async fn request_reply(
    entry: &EntryState,
    peer: &Arc<Peer>,
    request: &Request<Bytes>,
) -> Reply {
    let endpoint = peer.endpoint();
    loop {
        let sock = match connect(&endpoint.addr.to_string(), CHECK_TIMEOUT).await {
            Ok(sock) => sock,
            Err(HttpError::Refused(_)) => return Reply::Refused,
            Err(_) => return Reply::Unnamed,
        };
        if let Some(head) = fetch_head(peer, sock, request).await {
            return match entry.protocol.decode_health(&head) {
                Some(run) if run == endpoint.id => Reply::SameRun,
                Some(_) => Reply::OtherRun,
                None => Reply::Unnamed,
            };
        }
        Timer::after(RECONNECT_PAUSE).await;
    }
}

/// Returns the head of the endpoint's answer. The connection is kept if a short body
/// arrived with the head.
async fn fetch_head(
    peer: &Arc<Peer>,
    sock: smol::net::TcpStream,
    request: &Request<Bytes>,
) -> Option<Response<Bytes>> {
    let addr = peer.endpoint().addr;
    let mut conn = EndpointConn::from_socket(addr, sock).await.ok()?;
    let request = request.clone().map(SendBody::buffered);
    let (head, body) = conn.send(addr, request).await.ok()?.into_parts();
    let read = future::poll_once(conn.read(addr, body, MAX_BODY_BYTES)).await;
    if let Some(Ok(_)) = read {
        conn.record_answer(&head.headers);
        peer.idle.recycle(conn).await;
    }
    Some(Response::from_parts(head, Bytes::new()))
}
