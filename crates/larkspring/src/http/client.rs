//! HTTP client for endpoints and the platform.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Response, Url};
use quick_error::quick_error;
use rustix::net::sockopt::set_socket_linger;
use smol::net::TcpStream;

use super::bounded_socket::BoundedSocket;
use crate::exec::with_timeout;

quick_error! {
    /// Error of a request without an answer, with the peer's address.
    #[derive(Debug)]
    pub enum HttpError {
        /// The address is invalid.
        Address(addr: String) { display("bad address `{addr}`") }
        /// Connecting failed; the peer received nothing.
        Connect(addr: String, cause: String) { display("connect to {addr}: {cause}") }
        /// Connection refused: the peer's VM is up, and no process listens on the port.
        Refused(addr: String) { display("connect to {addr}: no process has the port") }
        /// The connection broke; the peer may have received the request.
        Exchange(addr: String, cause: String) { display("exchange with {addr}: {cause}") }
        /// No answer in time; the peer may have received the request.
        Timeout(addr: String) { display("no answer from {addr} in time") }
        /// The answer exceeds `max` bytes.
        TooLarge(addr: String, max: usize) {
            display("the answer of {addr} is over {max} bytes")
        }
    }
}

impl HttpError {
    /// Whether the peer certainly received nothing.
    pub fn nothing_sent(&self) -> bool {
        matches!(self, Self::Address(_) | Self::Connect(..) | Self::Refused(_))
    }
}

/// Maximum size of a buffered answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 2 * 1024 * 1024;

/// Maximum size of what precedes an answer's body, in bytes: its head and interim answers.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Builds a request to `addr`; `path` must begin with a slash.
pub fn request(method: Method, addr: &str, path: &str) -> Result<Request, HttpError> {
    let url = Url::parse(&format!("http://{addr}{path}"));
    let url = url.map_err(|_| HttpError::Address(addr.into()))?;
    Ok(Request::new(method, url))
}

/// Opens a connection within `limit`.
pub async fn connect(addr: &str, limit: Duration) -> Result<TcpStream, HttpError> {
    let parsed: SocketAddr = addr.parse().map_err(|_| HttpError::Address(addr.into()))?;
    let late = || Err(ErrorKind::TimedOut.into());
    let sock = with_timeout(limit, TcpStream::connect(parsed)).await.unwrap_or_else(late);
    let sock = sock.map_err(|e| match e.kind() {
        ErrorKind::ConnectionRefused => HttpError::Refused(addr.into()),
        _ => HttpError::Connect(addr.into(), e.to_string()),
    })?;
    let set = sock.set_nodelay(true).and_then(|()| discard_unsent_on_close(&sock));
    set.map_err(|e| HttpError::Connect(addr.into(), e.to_string()))?;
    Ok(sock)
}

/// Makes the kernel discard undelivered data when the connection is closed.
///
/// Otherwise the kernel retransmits for minutes, and a request whose deadline has long
/// passed reaches a VM that resumes: a call of 100 KB can arrive complete at a peer that
/// reads on after the call was abandoned. Discarding is safe, as a connection is closed
/// only after its answer has been read or when no answer is wanted.
fn discard_unsent_on_close(sock: &TcpStream) -> io::Result<()> {
    Ok(set_socket_linger(sock, Some(Duration::ZERO))?)
}

/// Sends a request on an open connection and returns the answer's head.
pub async fn send_request(
    sock: TcpStream,
    addr: &str,
    req: Request,
) -> Result<Response, HttpError> {
    let sock = BoundedSocket::limited(sock, MAX_HEAD_BYTES);
    let budget = sock.budget();
    let res = exchange(sock, addr, req).await?;
    budget.lift();
    Ok(res)
}

async fn exchange(
    sock: BoundedSocket,
    addr: &str,
    req: Request,
) -> Result<Response, HttpError> {
    let res = async_h1::connect(sock, req).await;
    res.map_err(|e| HttpError::Exchange(addr.into(), e.to_string()))
}

/// Sends a request and reads the complete answer within `limit`.
pub async fn fetch(
    addr: &str,
    req: Request,
    limit: Duration,
) -> Result<(Response, Vec<u8>), HttpError> {
    let work = async {
        let sock = connect(addr, limit).await?;
        // Of a body in chunks twice the size may be sizes of chunks.
        let max = MAX_HEAD_BYTES + 2 * MAX_ANSWER_BYTES;
        let sock = BoundedSocket::limited(sock, max);
        let mut res = exchange(sock, addr, req).await?;
        let body = read_body(addr, &mut res).await?;
        Ok((res, body))
    };
    let late = || Err(HttpError::Timeout(addr.into()));
    with_timeout(limit, work).await.unwrap_or_else(late)
}

/// Reads a body and checks that it has the declared length.
async fn read_body(addr: &str, res: &mut Response) -> Result<Vec<u8>, HttpError> {
    let len = res.len();
    let mut body = Vec::new();
    let mut reader = res.take_body().take(MAX_ANSWER_BYTES as u64 + 1);
    let read = reader.read_to_end(&mut body).await;
    read.map_err(|e| HttpError::Exchange(addr.into(), e.to_string()))?;
    if body.len() > MAX_ANSWER_BYTES {
        return Err(HttpError::TooLarge(addr.into(), MAX_ANSWER_BYTES));
    }
    if len.is_some_and(|len| len != body.len()) {
        return Err(HttpError::Exchange(addr.into(), "the answer was cut off".into()));
    }
    Ok(body)
}
