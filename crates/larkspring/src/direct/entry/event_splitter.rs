//! Splitting a stream into whole events, so that an interrupted stream can be resumed
//! after the last of them.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Splits a stream into whole server-sent events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    /// Id of the last event that was returned.
    pub last_event_id: Option<String>,
}

/// Maximum size in bytes of a buffered event. Longer events are relayed in parts, after
/// which a stream can't be resumed correctly.
const MAX_EVENT_BYTES: usize = 256 * 1024;
const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last`.
    pub fn resuming_after(last: Option<String>) -> Self {
        Self { last_event_id: last, ..Self::default() }
    }

    /// Adds bytes and returns the whole events received so far.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.buf.extend_from_slice(data);
        let end = memmem::rfind(&self.buf, EVENT_END).map(|at| at + EVENT_END.len());
        let end = match end {
            Some(end) => end,
            None if self.buf.len() > MAX_EVENT_BYTES => self.buf.len(),
            None => return Bytes::new(),
        };
        let whole = self.buf.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_event_id = Some(id);
        }
        whole
    }

    /// Returns the bytes after the last whole event.
    pub fn take_partial(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Discards a partial event, which the resumed stream sends again.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|b| *b == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}
