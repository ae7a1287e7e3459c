//! A blocking HTTP client without a library, so that tests can check the exact bytes.

use std::fmt::{self, Debug, Formatter};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use serde_json::{json, Value};

use super::CALLER_KEY;

/// Maximum number of bytes of a body's end that a failed check prints.
const MAX_PRINTED_BYTES: usize = 400;
const TIMEOUT: Duration = Duration::from_secs(60);

/// A connection with all the bytes received on it.
pub struct Connection {
    sock: TcpStream,
    raw: Vec<u8>,
}

/// An answer as received up to the close of the connection.
#[derive(Default)]
pub struct Answer {
    /// HTTP status; 0 without an answer.
    pub status: u16,
    pub head: String,
    /// Body with its chunks joined.
    pub body: String,
    /// Whether the body was received to its end, by its length or last chunk.
    pub is_complete: bool,
}

impl Answer {
    /// Returns the error object of a refusal.
    pub fn error(&self) -> Value {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"].clone()
    }

    /// Returns the outcome of a refusal.
    pub fn outcome(&self) -> String {
        self.error()["outcome"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the generated text of an answer, streamed or not.
    pub fn text(&self) -> String {
        if let Ok(body) = serde_json::from_str::<Value>(&self.body) {
            return text_of(&body);
        }
        let events = self.body.split("\n\n").filter_map(|e| e.strip_prefix("data: "));
        let parsed = events.filter_map(|e| serde_json::from_str::<Value>(e).ok());
        parsed.map(|event| text_of(&event)).collect()
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|l| l.split_once(": "));
        lines.into_iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }

    /// Returns whether a streamed answer contains the end marker.
    pub fn has_end_marker(&self) -> bool {
        self.body.contains("[DONE]")
    }
}

impl Debug for Answer {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let start = self.body.len().saturating_sub(MAX_PRINTED_BYTES);
        let end = self.body.get(start..).unwrap_or_default();
        let shown = (self.status, self.is_complete, end);
        write!(f, "{shown:?}")
    }
}

fn text_of(body: &Value) -> String {
    let choice = &body["choices"][0];
    let texts =
        [&choice["text"], &choice["delta"]["content"], &choice["message"]["content"]];
    texts.iter().filter_map(|v| v.as_str()).collect()
}

/// Opens a connection and sends a request on it.
pub fn send(addr: &str, request: &str) -> Connection {
    let mut sock = TcpStream::connect(addr).unwrap();
    sock.set_read_timeout(Some(TIMEOUT)).unwrap();
    // The peer may refuse the request and close before it has read everything.
    let _ = sock.write_all(request.as_bytes());
    Connection { sock, raw: Vec::new() }
}

impl Connection {
    /// Reads an answer up to the close of the connection.
    pub fn read(mut self) -> Answer {
        let _ = self.sock.read_to_end(&mut self.raw);
        parse(&self.raw)
    }

    /// Reads until `text` is received and returns everything received so far.
    pub fn read_until(&mut self, text: &str) -> io::Result<String> {
        let mut buf = [0; 512];
        loop {
            let received = String::from_utf8_lossy(&self.raw);
            if received.contains(text) {
                return Ok(received.into_owned());
            }
            match self.sock.read(&mut buf)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => self.raw.extend_from_slice(&buf[..n]),
            }
        }
    }

    /// Closes the sending side.
    pub fn half_close(&self) {
        let _ = self.sock.shutdown(Shutdown::Write);
    }
}

/// Sends the text of a request, optionally closes the sending side, and reads the answer.
pub fn send_raw(addr: &str, request: &str, half_close: bool) -> Answer {
    let conn = send(addr, request);
    if half_close {
        conn.half_close();
    }
    conn.read()
}

/// Returns the text of a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text =
        format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    format!("{text}\r\n{body}")
}

/// Returns the text of a completion request.
pub fn completion_request(key: &str, body: &Value, headers: &[(&str, &str)]) -> String {
    let bearer = format!("Bearer {key}");
    let mut all = vec![("authorization", bearer.as_str())];
    all.extend(headers);
    let path = match body.get("messages") {
        Some(_) => "/v1/chat/completions",
        None => "/v1/completions",
    };
    request("POST", path, &all, &body.to_string())
}

/// Sends a completion request and reads the answer.
pub fn send_completion(
    addr: &str,
    key: &str,
    body: &Value,
    headers: &[(&str, &str)],
) -> Answer {
    send(addr, &completion_request(key, body, headers)).read()
}

/// Returns the body of a streamed completion request.
pub fn streamed_body(model: &str, prompt: &str, tokens: u64) -> Value {
    json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true })
}

/// Returns the text that the engine stand-in generates for a request.
pub fn expected_text(target: &str, prompt: &str, tokens: u64) -> String {
    let rest: String = (1..tokens).map(|n| format!(" {n}")).collect();
    format!("{target}|{prompt}|{rest}")
}

/// Calls a path with the first caller's key.
pub fn call(addr: &str, method: &str, path: &str) -> Answer {
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    send(addr, &request(method, path, &headers, "")).read()
}

/// Requests JSON from a stand-in.
pub fn get_json(addr: &str, path: &str) -> Value {
    let answer = send(addr, &request("GET", path, &[], "")).read();
    serde_json::from_str(&answer.body).unwrap()
}

/// Sends JSON to a stand-in.
pub fn post_json(addr: &str, path: &str, body: &Value) {
    let answer = send(addr, &request("POST", path, &[], &body.to_string())).read();
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Returns the HTTP status of a path.
pub fn get_status(addr: &str, path: &str) -> u16 {
    send(addr, &request("GET", path, &[], "")).read().status
}

fn parse(raw: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(raw);
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return Answer::default();
    };
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let mut answer = Answer { status, head: head.into(), ..Answer::default() };
    if answer.header("transfer-encoding") == Some("chunked") {
        (answer.body, answer.is_complete) = join_chunks(rest);
    } else {
        let len = answer.header("content-length").and_then(|v| v.parse().ok());
        answer.is_complete = len == Some(rest.len());
        answer.body = rest.into();
    }
    answer
}

fn join_chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else { return (body, false) };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..size) else {
            body.push_str(after);
            return (body, false);
        };
        body.push_str(chunk);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
