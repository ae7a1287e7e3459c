//! A request in the engine, with the answer that it generates token by token.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use futures_lite::{ready, AsyncBufRead, AsyncRead};
use http_types::{Body, Response};
use parking_lot::Mutex;
use serde_json::json;

/// Maximum number of unread bytes of a stream, from which on its request gets no tokens.
const MAX_LAG: usize = 64 * 1024;
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// A request in the engine.
#[derive(Debug)]
pub(super) struct Run {
    pub id: String,
    pub adapter: String,
    pub prompt: String,
    pub chat: bool,
    pub stream: bool,
    pub max_tokens: u64,
    pub priority: u32,
    pub out: Mutex<Out>,
}

#[derive(Debug, Default)]
pub(super) struct Out {
    pub buf: Vec<u8>,
    pub text: String,
    pub tokens: u64,
    pub done: bool,
    /// Offset at which the connection breaks.
    pub break_at: Option<usize>,
    /// Whether the request ended before its answer was complete.
    pub broken: bool,
    /// Number of bytes read by the receiver.
    pub taken: usize,
    pub wakers: Vec<Waker>,
}

impl Run {
    pub fn takes_tokens(&self) -> bool {
        let out = self.out.lock();
        !out.done && (!self.stream || out.buf.len() < out.taken + MAX_LAG)
    }

    /// Appends the next token, and the end of the stream after the last one.
    pub fn step(&self, break_after: &mut Option<u64>) {
        let mut out = self.out.lock();
        let token = match out.tokens {
            0 => format!("{}|{}|", self.adapter, self.prompt),
            n => format!(" {n}"),
        };
        out.tokens += 1;
        out.text.push_str(&token);
        if self.stream {
            let event = self.event(&token);
            out.buf.extend_from_slice(event.as_bytes());
            if out.break_at.is_none() && *break_after == Some(out.tokens) {
                *break_after = None;
                out.break_at = Some(out.buf.len());
            }
        }
        if out.tokens == self.max_tokens {
            if self.stream {
                out.buf.extend_from_slice(STREAM_END);
            }
            out.done = true;
        }
        out.wake();
    }

    fn event(&self, token: &str) -> String {
        let choice = match self.chat {
            true => json!({ "index": 0, "delta": { "content": token } }),
            false => json!({ "index": 0, "text": token }),
        };
        let body = json!({ "id": self.id, "model": self.adapter, "choices": [choice] });
        format!("data: {body}\n\n")
    }

    pub fn end(&self, broken: bool) {
        let mut out = self.out.lock();
        out.broken |= broken && !out.done;
        out.done = true;
        out.wake();
    }

    pub fn is_read(&self) -> bool {
        let out = self.out.lock();
        out.done && (!self.stream || out.taken >= out.buf.len())
    }

    pub fn poll_end(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut out = self.out.lock();
        if out.done {
            return Poll::Ready(());
        }
        out.wakers.push(cx.waker().clone());
        Poll::Pending
    }

    /// Returns the answer as one JSON body; `None` if it is incomplete.
    pub fn whole(&self) -> Option<String> {
        let out = self.out.lock();
        let choice = match self.chat {
            true => json!({ "index": 0,
                "message": { "role": "assistant", "content": out.text } }),
            false => json!({ "index": 0, "text": out.text }),
        };
        let body = json!({ "id": self.id, "model": self.adapter, "choices": [choice] });
        (!out.broken).then(|| body.to_string())
    }
}

impl Out {
    fn wake(&mut self) {
        for waker in self.wakers.drain(..) {
            waker.wake();
        }
    }
}

/// Returns a response that streams a request's answer from byte offset `from` on.
pub(super) fn stream(mut head: Response, run: Arc<Run>, from: usize) -> Response {
    let reader = Reader { run, at: from, chunk: Vec::new(), used: 0 };
    head.set_body(Body::from_reader(reader, None));
    head.insert_header("content-type", "text/event-stream");
    head
}

/// Reads a request's answer from an offset on, and waits for tokens where needed.
struct Reader {
    run: Arc<Run>,
    at: usize,
    chunk: Vec<u8>,
    used: usize,
}

impl Reader {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.used < self.chunk.len() {
            return Poll::Ready(Ok(()));
        }
        let mut out = self.run.out.lock();
        let end = out.break_at.unwrap_or(usize::MAX).min(out.buf.len());
        if self.at < end {
            self.chunk = out.buf[self.at..end].to_vec();
            self.used = 0;
            self.at = end;
            out.taken = out.taken.max(end);
            return Poll::Ready(Ok(()));
        }
        if out.broken || out.break_at.is_some_and(|at| self.at >= at) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if out.done {
            self.chunk.clear();
            self.used = 0;
            return Poll::Ready(Ok(()));
        }
        out.wakers.push(cx.waker().clone());
        Poll::Pending
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_chunk(cx))?;
        let left = &self.chunk[self.used..];
        let n = left.len().min(buf.len());
        buf[..n].copy_from_slice(&left[..n]);
        self.used += n;
        Poll::Ready(Ok(n))
    }
}

impl AsyncBufRead for Reader {
    fn poll_fill_buf(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<&[u8]>> {
        let reader = self.get_mut();
        ready!(reader.poll_chunk(cx))?;
        Poll::Ready(Ok(&reader.chunk[reader.used..]))
    }

    fn consume(mut self: Pin<&mut Self>, n: usize) {
        self.used += n;
    }
}
