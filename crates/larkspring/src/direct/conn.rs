//! HTTP/1.1 connections to endpoints, on hyper, without background tasks.
//!
//! The user of a connection also drives it, so that an answer needs no switch between
//! tasks, and a dropped connection is closed at once.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::future::poll_fn;
use http::{HeaderMap, Request, Response};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use quick_error::quick_error;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::exec;
use crate::http::bounded_socket::{BoundedSocket, ReadBudget};
use crate::http::client::{connect, MAX_HEAD_BYTES};

/// Identifies a connection within the process.
pub(crate) type ConnId = u64;

/// The id of the next connection.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A connection that carries one request at a time.
pub(crate) struct EndpointConn {
    /// Identifies the connection.
    pub id: ConnId,
    tx: SendRequest<SendBody>,
    /// The connection's I/O future; `None` once the connection has ended.
    io: Option<ConnFuture>,
    /// Limits what the endpoint may send before an answer's body.
    budget: ReadBudget,
    /// When the connection became idle.
    pub idle_since: Instant,
    /// How long the endpoint keeps an idle connection open, if stated.
    pub keep_alive: Option<Duration>,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
}

/// Limits each of the buffers for reading and writing, in bytes, and so the head of an
/// answer. With the default of 408 KiB, the buffers for callers that stop reading would
/// take a megabyte each.
pub(crate) const MAX_BUFFER_BYTES: usize = 16 * 1024;

type ConnFuture = Pin<Box<Connection<FuturesIo<BoundedSocket>, SendBody>>>;

/// The bytes of a body that were read.
pub(crate) enum ReadBody {
    /// The whole body.
    Whole(Bytes),
    /// The beginning of a body that is longer than the limit.
    Part(Bytes),
}

quick_error! {
    /// Why a request has no answer, with the peer's address.
    #[derive(Debug)]
    pub enum SendError {
        /// No byte of the request was sent.
        Unsent(peer: String, cause: String) { display("{peer}: not sent: {cause}") }
        /// The request was sent, at least in part.
        Broken(peer: String, cause: String) { display("{peer}: no answer: {cause}") }
        /// The request was sent, and then cancelled by its sender.
        Cancelled(peer: String, cause: String) { display("{peer}: cancelled: {cause}") }
        /// The answer's body is over the size limit or was interrupted.
        Body(peer: String, cause: String) { display("{peer}: the answer can't be read: {cause}") }
    }
}

impl EndpointConn {
    /// Opens a connection within `limit`.
    pub async fn open(addr: SocketAddr, limit: Duration) -> Result<Self, SendError> {
        let unsent = |cause: String| SendError::Unsent(addr.to_string(), cause);
        let sock = connect(&addr.to_string(), limit).await;
        let sock = sock.map_err(|e| unsent(e.to_string()))?;
        Self::from_socket(addr, sock).await
    }

    /// Creates a connection on an open socket.
    pub async fn from_socket(
        addr: SocketAddr,
        sock: TcpStream,
    ) -> Result<Self, SendError> {
        let unsent = |cause: String| SendError::Unsent(addr.to_string(), cause);
        let mut builder = Builder::new();
        let builder = builder.max_buf_size(MAX_BUFFER_BYTES);
        let sock = BoundedSocket::new(sock);
        let budget = sock.budget();
        let result = builder.handshake(FuturesIo::new(sock)).await;
        let (tx, io) = result.map_err(|e| unsent(e.to_string()))?;
        Ok(Self {
            id: NEXT_ID.fetch_add(1, Ordering::Relaxed),
            tx,
            io: Some(Box::pin(io)),
            budget,
            idle_since: Instant::now(),
            keep_alive: None,
            is_reused: false,
        })
    }

    /// Sends a request and returns the head of its answer.
    pub async fn send(
        &mut self,
        peer: SocketAddr,
        req: Request<SendBody>,
    ) -> Result<Response<Incoming>, SendError> {
        self.is_reused = true;
        self.budget.limit(MAX_HEAD_BYTES);
        let answer = self.tx.try_send_request(req);
        let mut answer = std::pin::pin!(answer);
        let got = poll_fn(|cx| {
            self.drive(cx);
            answer.as_mut().poll(cx)
        });
        let got = got.await;
        // The library limits what a body holds beside its data.
        self.budget.lift();
        got.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let cause = error_with_source(&e.into_error());
            match unsent {
                true => SendError::Unsent(peer.to_string(), cause),
                false => SendError::Broken(peer.to_string(), cause),
            }
        })
    }

    /// Reads a whole body of up to `max` bytes.
    pub async fn read(
        &mut self,
        peer: SocketAddr,
        mut body: Incoming,
        max: usize,
    ) -> Result<Bytes, SendError> {
        match self.read_up_to(peer, &mut body, max).await? {
            ReadBody::Whole(bytes) => Ok(bytes),
            ReadBody::Part(_) => {
                let cause = format!("its body is over {max} bytes");
                Err(SendError::Body(peer.to_string(), cause))
            }
        }
    }

    /// Reads a body to its end, or until more than `max` bytes were read.
    pub async fn read_up_to(
        &mut self,
        peer: SocketAddr,
        body: &mut Incoming,
        max: usize,
    ) -> Result<ReadBody, SendError> {
        let mut read = Vec::new();
        while read.len() <= max {
            let frame = poll_fn(|cx| {
                self.drive(cx);
                Pin::new(&mut *body).poll_frame(cx)
            });
            let Some(frame) = frame.await else {
                return Ok(ReadBody::Whole(read.into()));
            };
            let frame = frame
                .map_err(|e| SendError::Body(peer.to_string(), error_with_source(&e)))?;
            let Ok(data) = frame.into_data() else { continue };
            read.extend_from_slice(&data);
        }
        Ok(ReadBody::Part(read.into()))
    }

    /// Sends a request and reads its whole answer.
    pub async fn fetch(
        &mut self,
        peer: SocketAddr,
        req: Request<Bytes>,
        max: usize,
    ) -> Result<Response<Bytes>, SendError> {
        let res = self.send(peer, req.map(SendBody::buffered)).await?;
        let (head, body) = res.into_parts();
        let body = self.read(peer, body, max).await?;
        self.record_answer(&head.headers);
        Ok(Response::from_parts(head, body))
    }

    /// Drives the connection's I/O as far as possible without waiting.
    pub fn drive(&mut self, cx: &mut Context<'_>) {
        let polled = self.io.as_mut().map(|io| io.as_mut().poll(cx));
        if let Some(Poll::Ready(_)) = polled {
            // The library itself fails the request in progress, if any.
            self.io = None;
        }
    }

    /// Whether the connection can take a request now: the last exchange is over in both
    /// directions, and the endpoint has neither closed the connection nor sent
    /// unrequested data.
    pub fn is_ready(&mut self, cx: &mut Context<'_>) -> bool {
        self.drive(cx);
        self.io.is_some() && matches!(self.tx.poll_ready(cx), Poll::Ready(Ok(())))
    }

    /// Records the end of an answer, and the keep-alive time from its headers.
    pub fn record_answer(&mut self, headers: &HeaderMap) {
        self.idle_since = Instant::now();
        let value = headers.get("keep-alive").and_then(|v| v.to_str().ok());
        let secs = value.and_then(|v| {
            let mut parts = v.split(',').map(str::trim);
            parts.find_map(|p| p.strip_prefix("timeout=")?.parse().ok())
        });
        if let Some(secs) = secs {
            self.keep_alive = Some(Duration::from_secs(secs));
        }
    }
}

/// Returns an error's text with its source.
pub(crate) fn error_with_source(e: &dyn std::error::Error) -> String {
    match e.source() {
        Some(source) => format!("{e}: {source}"),
        None => e.to_string(),
    }
}

/// Body of a request to an endpoint.
pub(crate) enum SendBody {
    /// A body kept in memory, so that it can be sent again.
    Buffered(Option<Bytes>),
    /// A body that is streamed as it arrives.
    Streamed(StreamedBody),
}

/// A body that is too large to be kept: its first bytes and the rest.
pub(crate) struct StreamedBody {
    first: Option<Bytes>,
    rest: Option<Incoming>,
    /// Limit of the bytes still to come.
    left: usize,
}

impl SendBody {
    /// Creates a body that is kept in memory.
    pub fn buffered(bytes: Bytes) -> Self {
        Self::Buffered((!bytes.is_empty()).then_some(bytes))
    }

    /// Creates a body that is streamed, of at most `max` bytes in all.
    pub fn streamed(first: Bytes, rest: Incoming, max: usize) -> Self {
        let left = max.saturating_sub(first.len());
        Self::Streamed(StreamedBody { first: Some(first), rest: Some(rest), left })
    }
}

impl Body for SendBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => {
                Poll::Ready(take_part(bytes).map(|b| Ok(Frame::data(b))))
            }
            Self::Streamed(flow) => flow.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Streamed(flow) => flow.size_hint(),
        }
    }
}

/// Takes a part of a body. The connection copies each part into its buffer, which a whole
/// body would make as large as the body.
fn take_part(bytes: &mut Option<Bytes>) -> Option<Bytes> {
    let mut rest = bytes.take()?;
    if rest.len() <= MAX_BUFFER_BYTES {
        return Some(rest);
    }
    let part = rest.split_to(MAX_BUFFER_BYTES);
    *bytes = Some(rest);
    Some(part)
}

impl StreamedBody {
    fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(first) = take_part(&mut self.first) {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        let frame = ready!(Pin::new(rest).poll_frame(cx));
        let Some(frame) = frame else {
            self.rest = None;
            return Poll::Ready(None);
        };
        let frame = frame.map_err(io::Error::other)?;
        let len = frame.data_ref().map_or(0, Bytes::len);
        match self.left.checked_sub(len) {
            Some(left) => self.left = left,
            None => return Poll::Ready(Some(Err(io::ErrorKind::InvalidData.into()))),
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, |b| b.len() as u64);
        let rest = self.rest.as_ref().map(|b| b.size_hint()).unwrap_or_default();
        match rest.exact() {
            Some(rest) => SizeHint::with_exact(first + rest),
            None => SizeHint::new(),
        }
    }
}

impl Drop for StreamedBody {
    /// Reads the rest of the caller's body: closing with unread bytes would reset the
    /// caller's connection, and lose an answer that may be on its way.
    fn drop(&mut self) {
        let Some(mut rest) = self.rest.take() else { return };
        let mut left = self.left;
        exec::spawn(async move {
            while let Some(Ok(frame)) =
                poll_fn(|cx| Pin::new(&mut rest).poll_frame(cx)).await
            {
                let len = frame.data_ref().map_or(0, Bytes::len);
                let Some(remaining) = left.checked_sub(len) else { return };
                left = remaining;
            }
        })
        .detach();
    }
}
