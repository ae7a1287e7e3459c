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
const MAX_UNREAD_BYTES: usize = 64 * 1024;
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// A request in the engine.
#[derive(Debug)]
pub(super) struct Generation {
    pub id: String,
    pub adapter: String,
    pub prompt: String,
    pub chat: bool,
    pub stream: bool,
    pub max_tokens: u64,
    pub priority: u32,
    pub output: Mutex<Output>,
}

#[derive(Debug, Default)]
pub(super) struct Output {
    pub buf: Vec<u8>,
    pub text: String,
    pub tokens: u64,
    pub done: bool,
    /// Offset at which the connection breaks.
    pub break_at: Option<usize>,
    /// Whether the request ended before its answer was complete.
    pub broken: bool,
    /// Number of bytes read by the receiver.
    pub bytes_read: usize,
    pub wakers: Vec<Waker>,
}

impl Generation {
    pub fn needs_token(&self) -> bool {
        let output = self.output.lock();
        !output.done
            && (!self.stream || output.buf.len() < output.bytes_read + MAX_UNREAD_BYTES)
    }

    /// Appends the next token, and the end of the stream after the last one.
    pub fn add_token(&self, break_after: &mut Option<u64>) {
        let mut output = self.output.lock();
        let token = match output.tokens {
            0 => format!("{}|{}|", self.adapter, self.prompt),
            n => format!(" {n}"),
        };
        output.tokens += 1;
        output.text.push_str(&token);
        if self.stream {
            let event = self.sse_event(&token);
            output.buf.extend_from_slice(event.as_bytes());
            if output.break_at.is_none() && *break_after == Some(output.tokens) {
                *break_after = None;
                output.break_at = Some(output.buf.len());
            }
        }
        if output.tokens == self.max_tokens {
            if self.stream {
                output.buf.extend_from_slice(STREAM_END);
            }
            output.done = true;
        }
        output.wake();
    }

    fn sse_event(&self, token: &str) -> String {
        let choice = match self.chat {
            true => json!({ "index": 0, "delta": { "content": token } }),
            false => json!({ "index": 0, "text": token }),
        };
        let body = json!({ "id": self.id, "model": self.adapter, "choices": [choice] });
        format!("data: {body}\n\n")
    }

    pub fn finish(&self, broken: bool) {
        let mut output = self.output.lock();
        output.broken |= broken && !output.done;
        output.done = true;
        output.wake();
    }

    pub fn is_fully_read(&self) -> bool {
        let output = self.output.lock();
        output.done && (!self.stream || output.bytes_read >= output.buf.len())
    }

    pub fn poll_done(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut output = self.output.lock();
        if output.done {
            return Poll::Ready(());
        }
        output.wakers.push(cx.waker().clone());
        Poll::Pending
    }

    /// Returns the answer as one JSON body; `None` if it is incomplete.
    pub fn full_answer(&self) -> Option<String> {
        let output = self.output.lock();
        let choice = match self.chat {
            true => json!({ "index": 0,
                "message": { "role": "assistant", "content": output.text } }),
            false => json!({ "index": 0, "text": output.text }),
        };
        let body = json!({ "id": self.id, "model": self.adapter, "choices": [choice] });
        (!output.broken).then(|| body.to_string())
    }
}

impl Output {
    fn wake(&mut self) {
        for waker in self.wakers.drain(..) {
            waker.wake();
        }
    }
}

/// Returns a response that streams a request's answer from byte offset `from` on.
pub(super) fn stream(
    mut head: Response,
    generation: Arc<Generation>,
    from: usize,
) -> Response {
    let reader = Reader { generation, at: from, chunk: Vec::new(), used: 0 };
    head.set_body(Body::from_reader(reader, None));
    head.insert_header("content-type", "text/event-stream");
    head
}

/// Reads a request's answer from an offset on, and waits for tokens where needed.
struct Reader {
    generation: Arc<Generation>,
    at: usize,
    chunk: Vec<u8>,
    used: usize,
}

impl Reader {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.used < self.chunk.len() {
            return Poll::Ready(Ok(()));
        }
        let mut output = self.generation.output.lock();
        let end = output.break_at.unwrap_or(usize::MAX).min(output.buf.len());
        if self.at < end {
            self.chunk = output.buf[self.at..end].to_vec();
            self.used = 0;
            self.at = end;
            output.bytes_read = output.bytes_read.max(end);
            return Poll::Ready(Ok(()));
        }
        if output.broken || output.break_at.is_some_and(|at| self.at >= at) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if output.done {
            self.chunk.clear();
            self.used = 0;
            return Poll::Ready(Ok(()));
        }
        output.wakers.push(cx.waker().clone());
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
