//! The events of a relayed body. A stream that may be resumed is split into whole events,
//! so that it can be resumed after the last of them.

use bytes::{Bytes, BytesMut};
use larkspring_core::event_stream::{event_ids, EventScanner, IdNotRising, IdOrder};

use crate::direct::conn::MAX_BUFFER_BYTES;

/// The events of the body that is relayed.
pub(super) enum Events {
    /// The body is no stream of events.
    None,
    /// The body is passed on as it arrives.
    Passed(EventScanner),
    /// The stream may be resumed, so it is passed on in whole events.
    Split(EventSplitter),
}

/// Splits a stream into whole server-sent events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    scanner: EventScanner,
    order: IdOrder,
    /// Id of the last event that was returned.
    pub last_event_id: Option<String>,
    /// Id of the event that was returned in part.
    partial_id: Option<String>,
    /// Whether an event was returned in part and has not ended yet.
    is_inside_returned: bool,
}

/// Maximum size in bytes of a buffered event. Longer events are relayed in parts, and the
/// stream can't be resumed before their end. Each part is buffered once more by the
/// caller's connection.
const MAX_EVENT_BYTES: usize = MAX_BUFFER_BYTES;

impl Events {
    /// Creates the events of a stream that may be resumed and continues after the event
    /// `last`.
    pub fn split_after(last: Option<String>) -> Self {
        Self::Split(EventSplitter::resuming_after(last))
    }

    /// Adds bytes and returns those that can be passed on; an error if the events of a
    /// stream that may be resumed are out of order.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, IdNotRising> {
        match self {
            Self::None => Ok(data),
            Self::Passed(scanner) => {
                scanner.scan(&data);
                Ok(data)
            }
            Self::Split(splitter) => splitter.push(&data),
        }
    }

    /// Returns whether the body, if it ends here, ends inside an event.
    pub fn is_inside_event(&self) -> bool {
        match self {
            Self::None => false,
            Self::Passed(scanner) => scanner.is_inside_event(),
            Self::Split(splitter) => splitter.is_inside_event(),
        }
    }

    /// Returns the bytes that were held back.
    pub fn take_rest(&mut self) -> Bytes {
        match self {
            Self::None | Self::Passed(_) => Bytes::new(),
            Self::Split(splitter) => splitter.take_partial(),
        }
    }

    /// Returns the events after which the stream can be resumed.
    pub fn resumable(&mut self) -> Option<&mut EventSplitter> {
        match self {
            Self::None | Self::Passed(_) => None,
            Self::Split(splitter) => Some(splitter).filter(|s| s.can_resume()),
        }
    }
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last`.
    fn resuming_after(last: Option<String>) -> Self {
        let order = IdOrder::resuming_after(last.as_deref());
        Self { last_event_id: last, order, ..Self::default() }
    }

    /// Adds bytes and returns the whole events received so far.
    fn push(&mut self, data: &[u8]) -> Result<Bytes, IdNotRising> {
        let buffered = self.buf.len();
        self.buf.extend_from_slice(data);
        let boundary = self.scanner.scan(data).map(|len| buffered + len);
        let end = match boundary {
            Some(end) => end,
            None if self.buf.len() > MAX_EVENT_BYTES => self.buf.len(),
            None => return Ok(Bytes::new()),
        };
        let returned = self.buf.split_to(end).freeze();
        self.order.check(&returned)?;
        let last_id = event_ids(&returned).next_back().map(str::to_owned);
        self.partial_id = last_id.or(self.partial_id.take());
        self.is_inside_returned = boundary.is_none();
        if !self.is_inside_returned {
            self.last_event_id = self.partial_id.take().or(self.last_event_id.take());
        }
        Ok(returned)
    }

    fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Returns whether the stream can be resumed after the last event.
    fn can_resume(&self) -> bool {
        !self.is_inside_returned
    }

    /// Returns the bytes after the last whole event.
    fn take_partial(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Discards a partial event, which the resumed stream sends again.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
        self.scanner = EventScanner::default();
    }
}
