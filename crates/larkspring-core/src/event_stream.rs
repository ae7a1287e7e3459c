//! Boundaries of events in a stream of server-sent events.

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
