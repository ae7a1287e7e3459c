//! Classification of an endpoint's answer by its head, and buffering of short ones.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::future;
use http::response::Parts;
use http::{Response, StatusCode};
use hyper::body::{Body, Incoming};
use larkspring_core::fleet::attempt::AttemptStatus;
use larkspring_core::fleet::routes::RouteClass;

use super::attempt::{end_name, AttemptOutcome, EndpointAnswer, OpenAnswer, Selection};
use super::end_check::{check_endpoint, EndpointCheck};
use super::framing::{is_event_stream, Framing};
use super::peer::Peer;
use super::request_handler::RequestHandler;
use crate::direct::conn::{EndpointConn, ReadBody, SendError};
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::Echo;
use crate::exec::{self, with_timeout};

/// Size in bytes up to which an answer is buffered, so that the request can be retried if
/// the answer is interrupted.
const MAX_BUFFERED_ANSWER: u64 = 64 * 1024;

/// Time for reading the body of a refusal, which is short.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_secs(1);

impl RequestHandler {
    /// Classifies the result of a send.
    pub(super) async fn classify_result(
        &mut self,
        result: Result<(Response<Incoming>, EndpointConn), SendError>,
        selection: Selection,
        peer: &Arc<Peer>,
    ) -> AttemptOutcome {
        let (status, e) = match result {
            Ok((res, conn)) => {
                return self.classify_answer(res, conn, selection, peer).await
            }
            Err(e @ SendError::Unsent(..)) => (AttemptStatus::Unsent, e),
            Err(e @ SendError::Cancelled(..)) => (AttemptStatus::Unknown, e),
            Err(e) => {
                self.entry.crashes.connection_broke(
                    peer,
                    &self.features,
                    &self.caller.id,
                    selection.selected_at,
                    false,
                );
                (AttemptStatus::Unknown, e)
            }
        };
        log_attempt(self, peer, status, &e.to_string());
        AttemptOutcome::NoAnswer(status)
    }

    /// Classifies an answer by its head.
    async fn classify_answer(
        &mut self,
        res: Response<Incoming>,
        mut conn: EndpointConn,
        selection: Selection,
        peer: &Arc<Peer>,
    ) -> AttemptOutcome {
        selection.open_request.end_prefill();
        let (mut head, body) = res.into_parts();
        conn.record_answer(&head.headers);
        peer.idle.record_answered(selection.selected_at);
        let answer_head =
            self.entry.protocol.decode_answer(&head.headers, &self.caller.id);
        let endpoint = peer.endpoint();
        let status = head.status;
        self.apply_notice(&head, &answer_head, peer, selection.selected_at);
        if answer_head.echo == Echo::Other {
            peer.idle.mark_corrupted();
            log_attempt(self, peer, AttemptStatus::Unknown, "answer to another request");
            return AttemptOutcome::NoAnswer(AttemptStatus::Unknown);
        }
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        if (is_misdirected || answer_head.not_run) && answer_head.echo == Echo::Missing {
            // It may be a copy of an earlier refusal on the connection.
            let cause = "refusal of an unnamed request";
            log_attempt(self, peer, AttemptStatus::Unknown, cause);
            return AttemptOutcome::NoAnswer(AttemptStatus::Unknown);
        }
        if is_misdirected {
            let same = answer_head.incarnation.is_none_or(|id| id == endpoint.id);
            let attempt_status = if same {
                AttemptStatus::AdapterMissing
            } else {
                AttemptStatus::EndpointReplaced
            };
            if attempt_status == AttemptStatus::EndpointReplaced {
                self.entry.fleet.mark_gone(peer);
            }
            match (&peer.link, &selection.target) {
                (Some(link), Some(target)) => link.record_missing(target.hash()),
                // An engine that lacks its base model can't run any request for a while.
                _ if attempt_status == AttemptStatus::AdapterMissing => {
                    peer.quality(|q| q.record_unreachable(Instant::now()));
                }
                _ => {}
            }
            log_attempt(self, peer, attempt_status, "misdirected");
            drain_refusal(conn, body, peer).await;
            return AttemptOutcome::NoAnswer(attempt_status);
        }
        if answer_head.not_run {
            log_attempt(self, peer, AttemptStatus::Rejected, status.as_str());
            drain_refusal(conn, body, peer).await;
            return AttemptOutcome::NoAnswer(AttemptStatus::Rejected);
        }
        if status.is_success()
            && (!answer_head.signed || answer_head.echo == Echo::Missing)
        {
            log_attempt(self, peer, AttemptStatus::Unknown, "answer without signature");
            return AttemptOutcome::NoAnswer(AttemptStatus::Unknown);
        }
        let buffers = self.route.class == RouteClass::Retryable
            && body.size_hint().upper().is_none_or(|len| len <= MAX_BUFFERED_ANSWER);
        let framing = Framing::of(&head, &body);
        framing.remove_other_length(&mut head.headers);
        let open = OpenAnswer {
            read: Bytes::new(),
            framing,
            is_event_stream: self.route.class.is_stream()
                && status.is_success()
                && is_event_stream(&head.headers),
            body,
            conn,
            selection,
        };
        let payload = match buffers {
            true => match self.buffer(open, &head, peer).await {
                Some(payload) => payload,
                None => return AttemptOutcome::NoAnswer(AttemptStatus::Unknown),
            },
            false => Err(open),
        };
        let endpoint = endpoint.id.clone();
        let answered = EndpointAnswer { head, endpoint, framing, payload };
        match status.is_server_error() {
            true => AttemptOutcome::Failed(answered),
            false => AttemptOutcome::Answered(answered),
        }
    }

    /// Reads an answer to its end, or as far as it is buffered; `None` if the answer is
    /// interrupted.
    async fn buffer(
        &self,
        mut open: OpenAnswer,
        head: &Parts,
        peer: &Arc<Peer>,
    ) -> Option<Result<Bytes, OpenAnswer>> {
        let (addr, max) = (peer.endpoint().addr, MAX_BUFFERED_ANSWER as usize);
        let read = open.conn.read_up_to(addr, &mut open.body, max).await;
        let crashes = &self.entry.crashes;
        let check_for_crash = || {
            let selected_at = open.selection.selected_at;
            crashes.connection_broke(
                peer,
                &self.features,
                &self.caller.id,
                selected_at,
                false,
            );
        };
        match read {
            Ok(ReadBody::Whole(bytes)) => {
                match open.framing {
                    Framing::UntilClose => {
                        let time_left = self.time_left();
                        let service = &self.service;
                        let check =
                            check_endpoint(&self.entry, peer, service, time_left).await;
                        check_for_crash();
                        if check == EndpointCheck::Ended {
                            let cause = "the endpoint's process ended";
                            log_attempt(self, peer, AttemptStatus::Unknown, cause);
                            return None;
                        }
                    }
                    _ if head.status.is_success() => {
                        crashes.record_answer(&self.features)
                    }
                    _ => {}
                }
                peer.idle.recycle(open.conn).await;
                Some(Ok(bytes))
            }
            Ok(ReadBody::Part(read)) => Some(Err(OpenAnswer { read, ..open })),
            Err(e) => {
                check_for_crash();
                log_attempt(self, peer, AttemptStatus::Unknown, &e.to_string());
                None
            }
        }
    }
}

/// Reads the body of a refusal, so that the connection can be reused. A body that has not
/// arrived with its head is read while the request goes on elsewhere.
async fn drain_refusal(mut conn: EndpointConn, body: Incoming, peer: &Arc<Peer>) {
    let peer = peer.clone();
    let mut drained = Box::pin(async move {
        let addr = peer.endpoint().addr;
        let read = conn.read(addr, body, MAX_BUFFERED_ANSWER as usize);
        if let Some(Ok(_)) = with_timeout(REFUSAL_BODY_TIMEOUT, read).await {
            peer.idle.recycle(conn).await;
        }
    });
    if future::poll_once(&mut drained).await.is_none() {
        exec::spawn(drained).detach();
    }
}

fn log_attempt(
    handler: &RequestHandler,
    peer: &Peer,
    status: AttemptStatus,
    cause: &str,
) {
    if logs::is_allowed(LineKind::Attempt) {
        let endpoint = peer.endpoint();
        tracing::info!(
            event = "attempt ended",
            request = handler.caller.id,
            endpoint = %endpoint.id,
            addr = %endpoint.addr,
            end = end_name(status),
            cause,
            content = logs::format_hash(handler.features.content),
            parts = handler.features.parts_text(),
            adapter = handler.features.adapter.as_deref(),
            attempts = handler.history.attempts + 1,
            connection = handler.connections.last(),
        );
    }
}
