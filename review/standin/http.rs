//! HTTP/1.1 on blocking sockets, as far as clients, workers and the store need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The first line and the headers of a message; names are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

/// A connection.
pub struct Conn {
    reader: BufReader<TcpStream>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the n-th word of the first line.
    pub fn word(&self, n: usize) -> &str {
        self.line.split(' ').nth(n).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }

    fn length(&self) -> io::Result<Option<usize>> {
        match self.get("content-length") {
            None => Ok(None),
            Some(text) => text.parse().map(Some).map_err(|_| invalid("content-length")),
        }
    }
}

impl Conn {
    pub fn open(addr: SocketAddr, limit: Duration) -> io::Result<Self> {
        let sock = TcpStream::connect_timeout(&addr, limit)?;
        Self::new(sock)
    }

    pub fn new(sock: TcpStream) -> io::Result<Self> {
        sock.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(sock) })
    }

    pub fn set_read_timeout(&self, limit: Duration) -> io::Result<()> {
        self.reader.get_ref().set_read_timeout(Some(limit.max(Duration::from_millis(1))))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Returns whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        let sock = self.reader.get_ref();
        if sock.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = sock.peek(&mut [0]);
        let _ = sock.set_nonblocking(false);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Reads a head; `None` if the peer closed the connection before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let mut head = Head::default();
        loop {
            let mut line = Vec::new();
            if self.reader.read_until(b'\n', &mut line)? == 0 {
                return match head.line.is_empty() {
                    true => Ok(None),
                    false => Err(invalid("the head was cut off")),
                };
            }
            let line = String::from_utf8_lossy(&line).trim_end().to_owned();
            if head.line.is_empty() {
                if line.is_empty() {
                    return Err(invalid("an empty first line"));
                }
                head.line = line;
            } else if line.is_empty() {
                return Ok(Some(head));
            } else {
                let (name, value) =
                    line.split_once(':').ok_or_else(|| invalid("a header"))?;
                let value = value.trim().to_owned();
                head.headers.push((name.to_ascii_lowercase(), value));
            }
        }
    }

    /// Reads the body of a request: chunks, a length, or nothing.
    pub fn read_request_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        match (head.is_chunked(), head.length()?) {
            (true, _) => self.read_chunks(),
            (false, len) => self.read_exact(len.unwrap_or(0)),
        }
    }

    /// Reads the body of an answer: chunks, a length, or up to the end of the connection.
    pub fn read_answer_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        match (head.is_chunked(), head.length()?) {
            (true, _) => self.read_chunks(),
            (false, Some(len)) => self.read_exact(len),
            (false, None) => {
                let mut body = Vec::new();
                self.reader.read_to_end(&mut body)?;
                Ok(body)
            }
        }
    }

    fn read_exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        let mut body = vec![0; len];
        self.reader.read_exact(&mut body)?;
        Ok(body)
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(invalid("the chunks were cut off"));
            }
            let len = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| invalid("the size of a chunk"))?;
            body.extend(self.read_exact(len)?);
            self.read_exact(2)?;
            if len == 0 {
                return Ok(body);
            }
        }
    }
}

pub fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("not HTTP: {what}"))
}
