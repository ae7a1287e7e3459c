//! Permit requests, which an agent answers as the permit issuer of a run.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use larkspring_core::fleet::permits::{
    IssuerRole, PermitQuery, PermitResponse, ISSUER_TIMEOUT,
};
use larkspring_proto::residency as wire;
use larkspring_proto::residency::from_entry::Kind;
use smol::channel;

use super::Link;
use crate::exec::with_timeout;

impl Link {
    /// Requests a permit from the agent; `None` if no reply comes in time.
    pub async fn request_permit(
        self: &Arc<Self>,
        ask: &PermitQuery,
    ) -> Option<PermitResponse> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = channel::bounded(1);
        self.pending_permits.lock().insert(id, tx);
        let sent = self.send_request(Kind::Permit(write_permit_request(id, ask)));
        let answer = match sent {
            true => with_timeout(ISSUER_TIMEOUT, rx.recv()).await,
            false => None,
        };
        self.pending_permits.lock().remove(&id);
        answer?.ok()
    }

    /// Passes a reply to the request that awaits it. A late reply is dropped, and its
    /// permit expires.
    pub(super) fn receive_permit(&self, reply: &wire::PermitReply) {
        let response = match reply.wait_ms {
            0 => PermitResponse::Granted,
            wait => PermitResponse::Denied(Duration::from_millis(wait)),
        };
        if let Some(tx) = self.pending_permits.lock().remove(&reply.id) {
            // The request may have ended meanwhile.
            let _ = tx.try_send(response);
        }
    }
}

fn write_permit_request(id: u64, ask: &PermitQuery) -> wire::PermitAsk {
    wire::PermitAsk {
        id,
        run: ask.run,
        rate_millis: ask.rate.as_millis(),
        age_ms: ask.age.as_millis() as u64,
        second: ask.issuer == IssuerRole::Secondary,
    }
}
