//! Validation of a request's head before async-h1 parses the request.
//!
//! async-h1 closes the connection without an answer on some faults and accepts others.
//! Each is detected here with `httparse`, so that the caller gets a specific error
//! response.

use httparse::{Header, Request, Status, EMPTY_HEADER};
use quick_error::quick_error;

/// Maximum size of a head, in bytes.
pub const MAX_HEAD: usize = 8 * 1024;
const MAX_HEADERS: usize = 64;

/// The framing of a request, from its complete head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestHead {
    /// Length of the head in bytes.
    pub len: usize,
    /// Length of the body in bytes.
    pub body_len: usize,
    /// Whether the connection stays open for further requests.
    pub keep_alive: bool,
    /// Whether the caller waits for a `100 Continue` before sending the body.
    pub expects_continue: bool,
}

quick_error! {
    /// Error of a request that could not be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HeadError {
        /// The head exceeds [`MAX_HEAD`] or has too many headers.
        HeadTooLarge { display("the head is over {MAX_HEAD} bytes") }
        /// The body exceeds `max` bytes.
        BodyTooLarge(max: usize) { display("the body is over {max} bytes") }
        /// The body has no declared length.
        LengthRequired { display("the body needs a Content-Length") }
        /// The HTTP version is not supported.
        Version { display("only HTTP/1.1 is served") }
        /// The head violates the protocol.
        Malformed(what: &'static str) { display("malformed request: {what}") }
        /// The request did not arrive completely in time.
        Timeout { display("the request did not come whole in time") }
        /// The caller closed the connection before the end of the request.
        Truncated { display("the request was cut off") }
    }
}

impl HeadError {
    /// Returns the HTTP status for the error.
    pub fn status(&self) -> u16 {
        match self {
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge(_) => 413,
            Self::LengthRequired => 411,
            Self::Version => 505,
            Self::Malformed(_) | Self::Truncated => 400,
            Self::Timeout => 408,
        }
    }
}

/// Parses and validates the head at the start of `buf`; `None` if more bytes are needed.
pub fn parse_head(buf: &[u8], max_body: usize) -> Result<Option<RequestHead>, HeadError> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut req = Request::new(&mut headers);
    let parsed = req.parse(buf).map_err(|e| match e {
        httparse::Error::TooManyHeaders => HeadError::HeadTooLarge,
        httparse::Error::Version => HeadError::Version,
        _ => HeadError::Malformed("the head can't be read"),
    })?;
    let len = match parsed {
        Status::Complete(len) if len <= MAX_HEAD => len,
        Status::Partial if buf.len() <= MAX_HEAD => return Ok(None),
        _ => return Err(HeadError::HeadTooLarge),
    };
    if req.version != Some(1) {
        return Err(HeadError::Version);
    }
    let headers = &*req.headers;
    // http-types treats other bytes as a programming error.
    if !buf[..len].is_ascii() {
        return Err(HeadError::Malformed("the head has other bytes than ASCII"));
    }
    if count(headers, "host") != 1 {
        return Err(HeadError::Malformed("exactly one Host is needed"));
    }
    if count(headers, "transfer-encoding") > 0 {
        return Err(HeadError::LengthRequired);
    }
    let body_len = body_len(headers, max_body)?;
    let keep_alive = !has(headers, "connection", "close");
    let expects_continue = has(headers, "expect", "100-continue");
    Ok(Some(RequestHead { len, body_len, keep_alive, expects_continue }))
}

fn body_len(headers: &[Header<'_>], max_body: usize) -> Result<usize, HeadError> {
    match count(headers, "content-length") {
        0 => return Ok(0),
        1 => {}
        _ => return Err(HeadError::Malformed("more than one Content-Length")),
    }
    let value = find(headers, "content-length").unwrap_or_default();
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(HeadError::Malformed("the Content-Length is no number"));
    }
    let text = std::str::from_utf8(value).unwrap_or_default();
    match text.parse::<usize>() {
        Ok(len) if len <= max_body => Ok(len),
        _ => Err(HeadError::BodyTooLarge(max_body)),
    }
}

fn find<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a [u8]> {
    headers.iter().find(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
}

fn count(headers: &[Header<'_>], name: &str) -> usize {
    headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).count()
}

fn has(headers: &[Header<'_>], name: &str, value: &str) -> bool {
    find(headers, name).is_some_and(|v| v.eq_ignore_ascii_case(value.as_bytes()))
}
