//! Queries where streams began, and what the agent is told of them.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use larkspring_core::fleet::stream_origins::{KeptOrigin, StreamKey};
use larkspring_proto::residency as wire;
use larkspring_proto::residency::from_entry::Kind;
use smol::channel::{self, Receiver};

use super::Link;
use crate::direct::streams::decode_stream_reply;

/// A query that awaits its reply.
pub(in crate::direct::entry) struct StreamQuery {
    link: Arc<Link>,
    id: u64,
    rx: Receiver<KeptOrigin>,
}

impl Link {
    /// Tells the agent where streams began; returns whether the message was queued.
    pub fn send_stream_starts(self: &Arc<Self>, starts: Vec<wire::StreamStart>) -> bool {
        self.send_request(Kind::StreamStarts(wire::StreamStarts { starts }))
    }

    /// Asks the agent where a stream began; `None` if the agent can't be asked.
    pub fn query_stream(self: &Arc<Self>, key: StreamKey) -> Option<StreamQuery> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = channel::bounded(1);
        self.pending_queries.lock().insert(id, tx);
        let query = StreamQuery { link: self.clone(), id, rx };
        let sent = self.send_request(Kind::StreamQuery(wire::StreamQuery { id, key }));
        sent.then_some(query)
    }

    /// Passes a reply to the query that awaits it.
    pub(super) fn receive_stream_reply(&self, reply: &wire::StreamReply) {
        if let Some(tx) = self.pending_queries.lock().remove(&reply.id) {
            // The query may have ended meanwhile.
            let _ = tx.try_send(decode_stream_reply(reply));
        }
    }
}

impl StreamQuery {
    /// Returns the reply; `None` if the connection breaks first.
    pub async fn reply(&self) -> Option<KeptOrigin> {
        self.rx.recv().await.ok()
    }
}

impl Drop for StreamQuery {
    fn drop(&mut self) {
        self.link.pending_queries.lock().remove(&self.id);
    }
}
