//! What answers say of their endpoints.

use std::sync::Arc;
use std::time::Instant;

use http::response::Parts;

use super::fleet::Source;
use super::job::Job;
use super::peer::Peer;
use crate::direct::edge::{AnswerHead, Echo};
use crate::direct::unknown::Place;

impl Job {
    /// Takes in what an answer says of its endpoint.
    ///
    /// An answer to another request, or of another run at the address, says nothing of this
    /// one. An unsigned one is believed: an endpoint that garbles its answers can put only
    /// itself out of use.
    pub(super) fn notice(
        &self,
        head: &Parts,
        said: &AnswerHead,
        peer: &Arc<Peer>,
        asked: Instant,
    ) {
        let unknown = self.entry.protocol.unknown_words(&head.headers);
        self.entry.stats.unknown_words(Place::Answer, &unknown);
        let notice = self.entry.protocol.notice(head.status, &head.headers);
        let of_run = said.incarnation.as_ref().is_none_or(|id| *id == peer.endpoint().id);
        if said.echo == Echo::Other || !of_run {
            return;
        }
        if notice.is_empty() && peer.rate_limit().is_none() {
            return;
        }
        // That an answer says nothing of the rate counts only if it surely is the endpoint's.
        let is_sure = said.echo == Echo::Same;
        let notice = if is_sure { notice } else { notice.without_silence() };
        self.entry.stats.notice(notice);
        let (request, status) = (&*self.caller.id, head.status.as_u16());
        self.entry.fleet.hear(peer, asked, notice, Source::Answer { request, status });
    }
}
