//! Whole events of a stream, so that a broken one can go on after the last of them.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

/// Cuts a stream of events at their ends.
#[derive(Debug, Default)]
pub(super) struct Events {
    buf: BytesMut,
    /// Id of the last event that was handed over.
    pub last: Option<String>,
}

/// Bytes of one event; more is passed on uncut, and can't be resumed.
const MAX_EVENT: usize = 256 * 1024;
const END: &[u8] = b"\n\n";
const ID: &[u8] = b"id:";

impl Events {
    /// Goes on after an event that the caller has.
    pub fn after(last: Option<String>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Takes in bytes and returns the whole events among them.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.buf.extend_from_slice(data);
        let end = memmem::rfind(&self.buf, END).map(|at| at + END.len());
        let end = match end {
            Some(end) => end,
            None if self.buf.len() > MAX_EVENT => self.buf.len(),
            None => return Bytes::new(),
        };
        let whole = self.buf.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        whole
    }

    /// Returns what is left after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Forgets a part of an event, as it will come anew.
    pub fn forget_rest(&mut self) {
        self.buf.clear();
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|b| *b == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().to_owned())
}
