//! What answers say of their endpoints.

use http::response::Parts;

use super::job::Job;
use super::peer::Peer;
use crate::direct::edge::{AnswerHead, Echo};
use crate::direct::logs::{self, Line};

impl Job {
    /// Takes in what an answer says of its endpoint.
    ///
    /// An answer to another request, or of another run at the address, says nothing of this
    /// one.
    pub(super) fn notice(&self, head: &Parts, said: &AnswerHead, peer: &Peer) {
        let notice = self.entry.protocol.notice(head.status, &head.headers);
        let endpoint = peer.endpoint();
        let of_run = said.incarnation.as_ref().is_none_or(|id| *id == endpoint.id);
        if notice.is_empty() || said.echo == Echo::Other || !of_run {
            return;
        }
        self.entry.stats.notice(notice);
        if logs::allows(Line::Belief) {
            tracing::info!(
                event = "endpoint said",
                request = self.caller.id,
                endpoint = %endpoint.id,
                status = head.status.as_u16(),
                leaving = notice.leaving,
                rest_ms = notice.rest.map(|rest| rest.as_millis() as u64),
            );
        }
    }
}
