//! A socket whose peer can neither send without end nor keep its reader busy for ever.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// A socket from which a limited number of bytes can be read.
///
/// Bytes that are no part of a body, such as lines without an end or interim answers, are
/// under no other limit. A peer that sends faster than its reader parses would also keep
/// the reader from yielding, and so all other tasks of its thread from running.
#[derive(Debug, Clone)]
pub struct BoundedSocket {
    sock: TcpStream,
    budget: ReadBudget,
    /// Bytes that were read since the reader last waited.
    unyielded: usize,
}

/// The number of bytes that may still be read from a socket.
#[derive(Debug, Clone)]
pub struct ReadBudget(Arc<AtomicUsize>);

/// Bytes after which a reader yields to other tasks.
const YIELD_BYTES: usize = 256 * 1024;
const UNLIMITED: usize = usize::MAX;

impl ReadBudget {
    /// Sets the number of bytes that may still be read.
    pub fn limit(&self, max: usize) {
        self.0.store(max, Ordering::Relaxed);
    }

    /// Ends the limit.
    pub fn lift(&self) {
        self.limit(UNLIMITED);
    }
}

impl BoundedSocket {
    /// Creates a socket without a limit.
    pub fn new(sock: TcpStream) -> Self {
        let budget = ReadBudget(Arc::new(AtomicUsize::new(UNLIMITED)));
        Self { sock, budget, unyielded: 0 }
    }

    /// Creates a socket from which `max` bytes can be read.
    pub fn limited(sock: TcpStream, max: usize) -> Self {
        let bounded = Self::new(sock);
        bounded.budget.limit(max);
        bounded
    }

    /// Returns the budget, with which the limit can be changed.
    pub fn budget(&self) -> ReadBudget {
        self.budget.clone()
    }
}

impl AsyncRead for BoundedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.unyielded >= YIELD_BYTES {
            self.unyielded = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let left = self.budget.0.load(Ordering::Relaxed);
        if left == 0 {
            let cause = "the peer sent more bytes than an answer may have";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        let len = buf.len().min(left);
        let polled = Pin::new(&mut self.sock).poll_read(cx, &mut buf[..len]);
        if polled.is_pending() {
            self.unyielded = 0;
        }
        let read = ready!(polled)?;
        self.unyielded += read;
        if left != UNLIMITED {
            self.budget.limit(left - read);
        }
        Poll::Ready(Ok(read))
    }
}

impl AsyncWrite for BoundedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.sock).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.sock).poll_flush(cx)
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.sock).poll_close(cx)
    }
}
