//! Splitting a stream into whole events, so that an interrupted stream can be resumed
//! after the last of them.

use bytes::{Bytes, BytesMut};
use larkspring_core::event_stream::EventScanner;

/// Splits a stream into whole server-sent events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    scanner: EventScanner,
    /// Id of the last event that was returned.
    pub last_event_id: Option<String>,
    /// Id of the event that was returned in part.
    partial_id: Option<String>,
    /// Whether an event was returned in part and has not ended yet.
    is_inside_returned: bool,
}

/// Maximum size in bytes of a buffered event. Longer events are relayed in parts, and the
/// stream can't be resumed before their end.
const MAX_EVENT_BYTES: usize = 256 * 1024;
const ID_FIELD: &[u8] = b"id:";

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last`.
    pub fn resuming_after(last: Option<String>) -> Self {
        Self { last_event_id: last, ..Self::default() }
    }

    /// Adds bytes and returns the whole events received so far.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        let buffered = self.buf.len();
        self.buf.extend_from_slice(data);
        let boundary = self.scanner.scan(data).map(|len| buffered + len);
        let end = match boundary {
            Some(end) => end,
            None if self.buf.len() > MAX_EVENT_BYTES => self.buf.len(),
            None => return Bytes::new(),
        };
        let returned = self.buf.split_to(end).freeze();
        self.partial_id = last_id(&returned).or(self.partial_id.take());
        self.is_inside_returned = boundary.is_none();
        if !self.is_inside_returned {
            self.last_event_id = self.partial_id.take().or(self.last_event_id.take());
        }
        returned
    }

    /// Returns whether the stream, if it ends here, ends inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Returns whether the stream can be resumed after the last event.
    pub fn can_resume(&self) -> bool {
        !self.is_inside_returned
    }

    /// Returns the bytes after the last whole event.
    pub fn take_partial(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Discards a partial event, which the resumed stream sends again.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
        self.scanner = EventScanner::default();
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|b| matches!(b, b'\n' | b'\r')).rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}
