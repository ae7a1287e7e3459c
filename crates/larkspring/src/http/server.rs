//! HTTP server: framing, limits and disconnect detection around async-h1.
//!
//! Each request is read completely, within its limits, before async-h1 decodes it. While
//! a request is served the socket is watched, so that the request is cancelled if the
//! caller disconnects.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::future::{self, poll_fn};
use futures_lite::io::Cursor;
use futures_lite::{
    ready, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt,
};
use http_types::{Method, Request, Response};
use parking_lot::Mutex;
use rustix::net::sockopt::set_socket_send_buffer_size;
use smol::net::{TcpListener, TcpStream};
use smol::Timer;

use super::head::{parse_head, HeadError, RequestHead};
use crate::exec;

/// Limits of a server and its connections.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Limit on the time until a request has arrived completely.
    pub read_timeout: Duration,
    /// Longest time that a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// Longest time that a caller may read nothing of its answer.
    pub stall_timeout: Duration,
    /// Maximum number of open connections.
    pub max_connections: usize,
}

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; the future is dropped if the caller disconnects.
    fn handle(
        self: Arc<Self>,
        req: Request,
        peer: SocketAddr,
    ) -> impl Future<Output = Response> + Send;

    /// Builds the answer to a request that could not be read.
    fn refuse(&self, error: &HeadError) -> Response;

    /// Whether connections close after the current answer.
    fn stopping(&self) -> bool {
        false
    }
}

/// Accepts connections and closes those over the limit at once; never returns.
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
            let _ = set_socket_send_buffer_size(&sock, SEND_BUFFER_BYTES);
            let mut conn = Connection { sock, peer, limits, buf: Vec::new() };
            // An error of a connection affects only its caller.
            let _ = conn.run(handler).await;
            drop(open);
        })
        .detach();
    }
}

/// Size of the socket's send buffer in bytes, which bounds the memory for a stalled
/// caller.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

struct Connection {
    sock: TcpStream,
    peer: SocketAddr,
    limits: Arc<Limits>,
    /// Bytes received and not yet processed.
    buf: Vec<u8>,
}

const READ_BUFFER_BYTES: usize = 4096;
/// Size of the buffer for copying an answer, in bytes.
const COPY_BUFFER_BYTES: usize = 2048;
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Maximum number of pipelined bytes buffered while a request is served.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;

impl Connection {
    async fn run<H: Handler>(&mut self, handler: Arc<H>) -> io::Result<()> {
        loop {
            let (head, message) = match self.next_message().await? {
                Ok(Some(message)) => message,
                Ok(None) => return Ok(()),
                Err(e) => return self.refuse(&*handler, &e).await,
            };
            let answer = Box::pin(self.answer(message, handler.clone())).await;
            let Some((method, res)) = answer? else { return Ok(()) };
            if !self.send(method, res).await? {
                return Ok(());
            }
            if !head.keep_alive || handler.stopping() {
                return Ok(());
            }
        }
    }

    /// Decodes a request and gets its answer; `None` if the caller has disconnected.
    async fn answer<H: Handler>(
        &mut self,
        message: Vec<u8>,
        handler: Arc<H>,
    ) -> io::Result<Option<(Method, Response)>> {
        let peer = self.peer;
        let decoded = async_h1::server::decode(BufferedRequest::new(message)).await;
        let Ok(Some((req, body))) = decoded else {
            let e = HeadError::Malformed("the request can't be read");
            return self.refuse(&*handler, &e).await.map(|()| None);
        };
        let method = req.method();
        let work = async {
            let res = handler.handle(req, peer).await;
            drop(body);
            Some((method, res))
        };
        let gone = async {
            self.watch_disconnect().await;
            None
        };
        Ok(work.or(gone).await)
    }

    /// Sends an answer as it is produced; false if the caller has disconnected.
    async fn send(&mut self, method: Method, res: Response) -> io::Result<bool> {
        let mut encoder = async_h1::server::Encoder::new(res, method);
        let stall = self.limits.stall_timeout;
        let mut sock = self.sock.clone();
        let copy = async {
            let mut buf = vec![0; COPY_BUFFER_BYTES];
            loop {
                let n = encoder.read(&mut buf).await?;
                if n == 0 {
                    return Ok(true);
                }
                sock.write_all(&buf[..n]).or(time_out_after(stall)).await?;
            }
        };
        let gone = async {
            self.watch_disconnect().await;
            Ok(false)
        };
        copy.or(gone).await
    }

    /// Reads the next complete request; `None` if the caller closes or idles too long.
    async fn next_message(
        &mut self,
    ) -> io::Result<Result<Option<(RequestHead, Vec<u8>)>, HeadError>> {
        if self.buf.is_empty() {
            let idle = self.limits.idle_timeout;
            match self.read_chunk().or(time_out_after(idle)).await {
                Ok(0) => return Ok(Ok(None)),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::TimedOut => return Ok(Ok(None)),
                Err(e) => return Err(e),
            }
        }
        let limit = self.limits.read_timeout;
        let slow = async {
            Timer::after(limit).await;
            Ok(Err(HeadError::Timeout))
        };
        self.read_message().or(slow).await
    }

    async fn read_message(
        &mut self,
    ) -> io::Result<Result<Option<(RequestHead, Vec<u8>)>, HeadError>> {
        let head = loop {
            match parse_head(&self.buf, self.limits.max_body) {
                Ok(Some(head)) => break head,
                Ok(None) => {}
                Err(e) => return Ok(Err(e)),
            }
            if self.read_chunk().await? == 0 {
                return Ok(Err(HeadError::Truncated));
            }
        };
        let len = head.len + head.body_len;
        if head.expects_continue && self.buf.len() < len {
            self.sock.write_all(CONTINUE_RESPONSE).await?;
        }
        while self.buf.len() < len {
            if self.read_chunk().await? == 0 {
                return Ok(Err(HeadError::Truncated));
            }
        }
        let rest = self.buf.split_off(len);
        let mut message = std::mem::replace(&mut self.buf, rest);
        message.shrink_to_fit();
        Ok(Ok(Some((head, message))))
    }

    async fn read_chunk(&mut self) -> io::Result<usize> {
        let mut sock = self.sock.clone();
        poll_fn(|cx| {
            // On the stack, so that a waiting connection holds no buffer.
            let mut chunk = [0; READ_BUFFER_BYTES];
            let n = ready!(Pin::new(&mut sock).poll_read(cx, &mut chunk))?;
            self.buf.extend_from_slice(&chunk[..n]);
            Poll::Ready(Ok(n))
        })
        .await
    }

    /// Waits until the caller closes its side or the connection breaks.
    async fn watch_disconnect(&mut self) {
        while self.buf.len() < MAX_PIPELINED_BYTES {
            match self.read_chunk().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        // Beyond this limit a disconnect is detected when the answer is written.
        future::pending().await
    }

    async fn refuse<H: Handler>(&mut self, h: &H, e: &HeadError) -> io::Result<()> {
        let mut res = h.refuse(e);
        res.insert_header("connection", "close");
        let mut encoder = async_h1::server::Encoder::new(res, Method::Get);
        let mut buf = Vec::new();
        encoder.read_to_end(&mut buf).await?;
        let write = async { self.sock.write_all(&buf).await };
        write.or(time_out_after(self.limits.stall_timeout)).await?;
        self.linger().await
    }

    /// Reads and discards further input for a while, so that the caller can read the
    /// refusal before the connection is reset.
    async fn linger(&mut self) -> io::Result<()> {
        let _ = self.sock.shutdown(std::net::Shutdown::Write);
        let drain = async {
            while self.read_chunk().await? > 0 {
                self.buf.clear();
            }
            Ok(())
        };
        drain.or(time_out_after(LINGER_TIMEOUT)).await
    }
}

const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

async fn time_out_after<T>(limit: Duration) -> io::Result<T> {
    Timer::after(limit).await;
    Err(io::ErrorKind::TimedOut.into())
}

/// A buffered request that async-h1 reads; writes are discarded.
#[derive(Clone)]
struct BufferedRequest(Arc<Mutex<Cursor<Vec<u8>>>>);

impl BufferedRequest {
    fn new(bytes: Vec<u8>) -> Self {
        Self(Arc::new(Mutex::new(Cursor::new(bytes))))
    }
}

impl AsyncRead for BufferedRequest {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.lock()).poll_read(cx, buf)
    }
}

impl AsyncWrite for BufferedRequest {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
