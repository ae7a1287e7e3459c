//! Boundaries and ids of events in a stream of server-sent events.

/// Finds the ends of events in a stream that arrives in parts of any size.
///
/// Lines end with `\n`, `\r\n` or `\r`. An event ends with a blank line, and a line that
/// begins with a colon is a comment, which belongs to no event. A `\r` at the end of a part
/// is no boundary where a `\n` may follow: the `\n` is a part of the event.
#[derive(Debug, Default)]
pub struct EventScanner {
    line: Line,
    /// Whether the last byte was a `\r`, of whose line end a `\n` would be a part.
    after_cr: bool,
    /// Whether the last line end with a `\r` had no `\n`.
    has_lone_cr: bool,
    /// Whether the current event has complete lines.
    has_lines: bool,
}

/// The part of the current line that has arrived.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventScanner {
    /// Reads the next bytes of the stream. Returns the number of bytes up to the last
    /// boundary in them, or `None` if they hold no boundary.
    pub fn scan(&mut self, data: &[u8]) -> Option<usize> {
        let mut boundary = None;
        for (at, byte) in data.iter().enumerate() {
            let is_second_half = *byte == b'\n' && self.after_cr;
            if self.after_cr {
                let awaited_lf = !self.has_lone_cr;
                self.has_lone_cr = !is_second_half;
                if awaited_lf && !is_second_half && !self.is_inside_event() {
                    boundary = Some(at);
                }
            }
            self.after_cr = *byte == b'\r';
            match (byte, self.line) {
                (b'\n', _) if is_second_half => {}
                (b'\n' | b'\r', line) => self.end_line(line),
                (b':', Line::Empty) => self.line = Line::Comment,
                (_, Line::Empty) => self.line = Line::Field,
                _ => {}
            }
            let awaits_lf = self.after_cr && !self.has_lone_cr;
            if !self.is_inside_event() && !awaits_lf {
                boundary = Some(at + 1);
            }
        }
        boundary
    }

    /// Returns whether a stream that ends here ends inside an event or a line.
    pub fn is_inside_event(&self) -> bool {
        self.has_lines || self.line != Line::Empty
    }

    fn end_line(&mut self, line: Line) {
        match line {
            Line::Empty => self.has_lines = false,
            Line::Comment => {}
            Line::Field => self.has_lines = true,
        }
        self.line = Line::Empty;
    }
}

/// Checks that the ids of a stream's events rise, as far as they are numbers.
///
/// A stream that was resumed goes on after its last event. An endpoint that starts over,
/// or whose answer belongs to another position, would repeat events.
#[derive(Debug, Default)]
pub struct IdOrder {
    last: Option<u64>,
}

/// An event whose id is not greater than the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdNotRising {
    /// The id of the event before.
    pub last: u64,
    /// The id of the event.
    pub next: u64,
}

const ID_FIELD: &[u8] = b"id:";

impl IdOrder {
    /// Creates the check of a stream that goes on after the event `last`.
    pub fn resuming_after(last: Option<&str>) -> Self {
        Self { last: last.and_then(|id| id.parse().ok()) }
    }

    /// Reads the next events. An error leaves the check as it was before them.
    pub fn check(&mut self, events: &[u8]) -> Result<(), IdNotRising> {
        let mut last = self.last;
        for next in event_ids(events).filter_map(|id| id.parse().ok()) {
            if let Some(last) = last.filter(|last| next <= *last) {
                return Err(IdNotRising { last, next });
            }
            last = Some(next);
        }
        self.last = last;
        Ok(())
    }
}

/// Returns the ids of events.
pub fn event_ids(events: &[u8]) -> impl DoubleEndedIterator<Item = &str> {
    let lines = events.split(|b| matches!(b, b'\n' | b'\r'));
    let ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    ids.filter_map(|id| Some(std::str::from_utf8(id).ok()?.trim()))
}
