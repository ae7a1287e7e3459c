//! Connections of callers: framing, limits and hang-ups around async-h1.
//!
//! Each request is read whole, within its limits, before async-h1 decodes it. While it
//! is served the socket is watched, so that a caller's hang-up ends its work.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::future::{self, poll_fn};
use futures_lite::io::Cursor;
use futures_lite::{
    ready, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt,
};
use http_types::{Request, Response};
use parking_lot::Mutex;
use rustix::net::sockopt::set_socket_send_buffer_size;
use smol::net::{TcpListener, TcpStream};
use smol::Timer;

use super::head::{check, Head, HeadError};
use crate::exec;

/// Bounds of a connection.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Bytes of a body.
    pub max_body: usize,
    /// Time for a request to come whole.
    pub read_timeout: Duration,
    /// Time that a connection may wait between requests.
    pub idle_timeout: Duration,
    /// Time that a caller may take nothing of its answer.
    pub stall_timeout: Duration,
    /// Connections at a time.
    pub max_connections: usize,
}

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; dropped if the caller hangs up.
    fn handle(
        self: Arc<Self>,
        req: Request,
        peer: SocketAddr,
    ) -> impl Future<Output = Response> + Send;

    /// Builds the answer to a request that could not be read.
    fn refuse(&self, error: &HeadError) -> Response;

    /// Whether connections close after the answer under way.
    fn stopping(&self) -> bool {
        false
    }
}

/// Accepts connections for ever; those over the limit are closed at once.
pub async fn serve<H: Handler>(listener: TcpListener, limits: Limits, handler: Arc<H>) {
    let limits = Arc::new(limits);
    let open = Arc::new(());
    loop {
        let Ok((sock, peer)) = listener.accept().await else {
            Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        if Arc::strong_count(&open) > limits.max_connections {
            continue;
        }
        let (handler, limits, open) = (handler.clone(), limits.clone(), open.clone());
        exec::spawn(async move {
            let _ = sock.set_nodelay(true);
            let _ = set_socket_send_buffer_size(&sock, SEND_BUFFER);
            let mut conn = Connection { sock, peer, limits, buf: Vec::new() };
            // A broken connection concerns its caller alone.
            let _ = conn.run(handler).await;
            drop(open);
        })
        .detach();
    }
}

/// Bytes of an answer that the system holds for a caller that does not take them.
const SEND_BUFFER: usize = 64 * 1024;

struct Connection {
    sock: TcpStream,
    peer: SocketAddr,
    limits: Arc<Limits>,
    /// Bytes received and not yet served.
    buf: Vec<u8>,
}

const READ_SIZE: usize = 4096;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Pipelined bytes that are taken in while a request is served.
const MAX_PIPELINED: usize = 16 * 1024;

impl Connection {
    async fn run<H: Handler>(&mut self, handler: Arc<H>) -> io::Result<()> {
        while !handler.stopping() {
            let (head, message) = match self.next_message().await? {
                Ok(Some(message)) => message,
                Ok(None) => return Ok(()),
                Err(e) => return self.refuse(&*handler, &e).await,
            };
            let io = MessageIo::new(message, self.sock.clone(), self.limits.clone());
            let started = io.started.clone();
            let peer = self.peer;
            let answering = handler.clone();
            let serve = async_h1::accept(io, move |req| {
                let handler = answering.clone();
                // Boxed, as it ends before its answer is sent.
                Box::pin(async move { Ok(handler.handle(req, peer).await) })
            });
            let served = future::or(async { Some(serve.await) }, async {
                self.watch_hang_up().await;
                None
            });
            match served.await {
                Some(Ok(())) => {}
                Some(Err(_)) if !started.load(Ordering::Relaxed) => {
                    let e = HeadError::Malformed("the request can't be read");
                    return self.refuse(&*handler, &e).await;
                }
                Some(Err(_)) | None => return Ok(()),
            }
            if !head.keep_alive {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Reads the next request whole; `None` if the caller sends no more.
    async fn next_message(
        &mut self,
    ) -> io::Result<Result<Option<(Head, Vec<u8>)>, HeadError>> {
        if self.buf.is_empty() {
            let idle = self.limits.idle_timeout;
            match self.read_some().or(timed_out(idle)).await {
                Ok(0) => return Ok(Ok(None)),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::TimedOut => return Ok(Ok(None)),
                Err(e) => return Err(e),
            }
        }
        let limit = self.limits.read_timeout;
        let slow = async {
            Timer::after(limit).await;
            Ok(Err(HeadError::Slow))
        };
        self.read_message().or(slow).await
    }

    async fn read_message(
        &mut self,
    ) -> io::Result<Result<Option<(Head, Vec<u8>)>, HeadError>> {
        let head = loop {
            match check(&self.buf, self.limits.max_body) {
                Ok(Some(head)) => break head,
                Ok(None) => {}
                Err(e) => return Ok(Err(e)),
            }
            if self.read_some().await? == 0 {
                return Ok(Err(HeadError::Cut));
            }
        };
        let len = head.len + head.body_len;
        if head.expects_continue && self.buf.len() < len {
            self.sock.write_all(CONTINUE).await?;
        }
        while self.buf.len() < len {
            if self.read_some().await? == 0 {
                return Ok(Err(HeadError::Cut));
            }
        }
        let rest = self.buf.split_off(len);
        let mut message = std::mem::replace(&mut self.buf, rest);
        message.shrink_to_fit();
        Ok(Ok(Some((head, message))))
    }

    async fn read_some(&mut self) -> io::Result<usize> {
        let mut sock = self.sock.clone();
        poll_fn(|cx| {
            // On the stack, so that no waiting connection holds the room.
            let mut chunk = [0; READ_SIZE];
            let n = ready!(Pin::new(&mut sock).poll_read(cx, &mut chunk))?;
            self.buf.extend_from_slice(&chunk[..n]);
            Poll::Ready(Ok(n))
        })
        .await
    }

    /// Returns when the caller closes its side or the connection breaks.
    async fn watch_hang_up(&mut self) {
        while self.buf.len() < MAX_PIPELINED {
            match self.read_some().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        // A caller with that much pipelined is noticed when its answer is written.
        future::pending().await
    }

    async fn refuse<H: Handler>(&mut self, h: &H, e: &HeadError) -> io::Result<()> {
        let mut res = h.refuse(e);
        res.insert_header("connection", "close");
        let mut encoder = async_h1::server::Encoder::new(res, http_types::Method::Get);
        let mut buf = Vec::new();
        encoder.read_to_end(&mut buf).await?;
        let write = async { self.sock.write_all(&buf).await };
        write.or(timed_out(self.limits.stall_timeout)).await?;
        self.linger().await
    }

    /// Takes what the caller still sends, so that it can read the refusal.
    async fn linger(&mut self) -> io::Result<()> {
        let _ = self.sock.shutdown(std::net::Shutdown::Write);
        let drain = async {
            while self.read_some().await? > 0 {
                self.buf.clear();
            }
            Ok(())
        };
        drain.or(timed_out(LINGER)).await
    }
}

const LINGER: Duration = Duration::from_secs(1);

async fn timed_out<T>(limit: Duration) -> io::Result<T> {
    Timer::after(limit).await;
    Err(io::ErrorKind::TimedOut.into())
}

/// Reads one request from memory and writes its answer to the socket.
struct MessageIo {
    message: Arc<Mutex<Cursor<Vec<u8>>>>,
    sock: TcpStream,
    limits: Arc<Limits>,
    stall: Option<Timer>,
    /// Whether a byte of the answer was written.
    started: Arc<AtomicBool>,
}

impl MessageIo {
    fn new(message: Vec<u8>, sock: TcpStream, limits: Arc<Limits>) -> Self {
        let message = Arc::new(Mutex::new(Cursor::new(message)));
        Self { message, sock, limits, stall: None, started: Default::default() }
    }
}

impl Clone for MessageIo {
    fn clone(&self) -> Self {
        Self {
            message: self.message.clone(),
            sock: self.sock.clone(),
            limits: self.limits.clone(),
            stall: None,
            started: self.started.clone(),
        }
    }
}

impl AsyncRead for MessageIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.message.lock()).poll_read(cx, buf)
    }
}

impl AsyncWrite for MessageIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(n) = Pin::new(&mut self.sock).poll_write(cx, buf) {
            self.stall = None;
            self.started.store(true, Ordering::Relaxed);
            return Poll::Ready(n);
        }
        let limit = self.limits.stall_timeout;
        let stall = self.stall.get_or_insert_with(|| Timer::after(limit));
        ready!(stall.poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.sock).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The connection goes on with the next request.
        Poll::Ready(Ok(()))
    }
}
