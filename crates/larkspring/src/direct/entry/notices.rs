//! Notices about endpoints in the headers of their answers.

use std::sync::Arc;
use std::time::Instant;

use http::response::Parts;

use super::fleet::NoticeSource;
use super::peer::Peer;
use super::request_handler::RequestHandler;
use crate::direct::platform_api::{AnswerHead, Echo};
use crate::direct::unknown_names::NameSource;

impl RequestHandler {
    /// Applies the notice in an answer's headers to the endpoint.
    ///
    /// Ignores answers to other requests and answers of other runs at the address.
    /// Accepts unsigned answers: an endpoint that corrupts its answers can put only
    /// itself out of use.
    pub(super) fn apply_notice(
        &self,
        head: &Parts,
        answer_head: &AnswerHead,
        peer: &Arc<Peer>,
        sent_at: Instant,
    ) {
        let unknown = self.entry.protocol.unknown_names(&head.headers);
        self.entry.stats.count_unknown_names(NameSource::Answer, &unknown);
        let notice = self.entry.protocol.decode_notice(head.status, &head.headers);
        let of_run =
            answer_head.incarnation.as_ref().is_none_or(|id| *id == peer.endpoint().id);
        if answer_head.echo == Echo::Other || !of_run {
            return;
        }
        if notice.is_empty() && peer.rate_limit().is_none() {
            return;
        }
        // A missing rate ends a rate limit only if the answer is certainly the
        // endpoint's.
        let is_sure = answer_head.echo == Echo::Same;
        let notice = if is_sure { notice } else { notice.ignoring_missing_rate() };
        self.entry.stats.count_notice(notice);
        let (request, status) = (&*self.caller.id, head.status.as_u16());
        self.entry.fleet.apply_notice(
            peer,
            sent_at,
            notice,
            NoticeSource::Answer { request, status },
        );
    }
}
