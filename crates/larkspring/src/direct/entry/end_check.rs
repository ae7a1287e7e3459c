//! Check whether an endpoint still runs after it closed the connection of an answer.
//!
//! The operating system closes the connections of a process that ends, or is killed, in
//! order. So an answer without framing is complete only if its endpoint still runs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use larkspring_core::fleet::routes::Service;
use smol::Timer;

use super::peer::Peer;
use super::EntryState;
use crate::direct::conn::EndpointConn;
use crate::exec::with_timeout;
use crate::http::client::{connect, HttpError};

/// What is known of an endpoint that closed a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndpointCheck {
    /// It answered afterwards.
    Running,
    /// No process has its port, or another run has it.
    Ended,
    /// It is draining, or gave no answer that names its run in time.
    Unknown,
}

/// Limits the time by which the end of an answer is delayed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause before the next connection after one that was closed without an answer. A process
/// that ends may accept connections until it closes its port.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Limits the size of the endpoint's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Checks whether the run of an endpoint still answers, for a part of the time that the
/// request has left. An endpoint that is draining may end once it has sent its last answer.
pub(super) async fn check_endpoint(
    entry: &EntryState,
    peer: &Arc<Peer>,
    service: &Service,
    time_left: Duration,
) -> EndpointCheck {
    if peer.replaced_by().is_some() || entry.fleet.is_replaced(peer) {
        return EndpointCheck::Ended;
    }
    let is_draining = !peer.stays_in_service() || peer.reported_draining();
    if is_draining || !entry.fleet.contains(&peer.endpoint().id) {
        return EndpointCheck::Unknown;
    }
    // Unlike an engine's report, the answer to a health check names the run.
    let Some(request) = entry.protocol.health_request(&service.health_path) else {
        return EndpointCheck::Unknown;
    };
    let since = Instant::now();
    let limit = CHECK_TIMEOUT.min(time_left / 2);
    let check = with_timeout(limit, ask_until_known(entry, peer, &request)).await;
    match check {
        _ if peer.has_other_run(since) => EndpointCheck::Ended,
        Some(check) => check,
        None => EndpointCheck::Unknown,
    }
}

/// Asks the endpoint until it answers or its port is closed. A connection that is closed
/// without an answer shows neither: an endpoint resets those that are too many.
async fn ask_until_known(
    entry: &EntryState,
    peer: &Arc<Peer>,
    request: &Request<Bytes>,
) -> EndpointCheck {
    let endpoint = peer.endpoint();
    loop {
        let sock = match connect(&endpoint.addr.to_string(), CHECK_TIMEOUT).await {
            Ok(sock) => sock,
            Err(HttpError::Refused(_)) => return EndpointCheck::Ended,
            Err(_) => return EndpointCheck::Unknown,
        };
        if let Ok(mut conn) = EndpointConn::from_socket(endpoint.addr, sock).await {
            let asked = conn.fetch(endpoint.addr, request.clone(), MAX_ANSWER_BYTES);
            if let Ok(answer) = asked.await {
                peer.idle.recycle(conn).await;
                return match entry.protocol.decode_health(&answer) {
                    Some(run) if run == endpoint.id => EndpointCheck::Running,
                    Some(_) => EndpointCheck::Ended,
                    // An endpoint that is full rejects the check.
                    None => EndpointCheck::Unknown,
                };
            }
        }
        Timer::after(RECONNECT_PAUSE).await;
    }
}
