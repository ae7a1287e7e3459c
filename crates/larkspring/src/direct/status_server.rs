//! The HTTP servers for readiness and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::exec;

/// Answers a path with a status and a body.
pub(crate) type StatusHandler = dyn Fn(&str) -> (StatusCode, Vec<u8>) + Send + Sync;

/// Time limit for a request's head; only the platform calls these servers.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Pause after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Serves `answer` on an address in the background, as long as the task is kept.
pub(crate) async fn serve(
    addr: SocketAddr,
    answer: Arc<StatusHandler>,
) -> std::io::Result<smol::Task<()>> {
    let listener = TcpListener::bind(addr).await?;
    Ok(exec::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((sock, _)) => {
                    exec::spawn(serve_connection(sock, answer.clone())).detach()
                }
                Err(e) => {
                    tracing::warn!(event = "accept failed", cause = %e);
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }))
}

async fn serve_connection(sock: TcpStream, answer: Arc<StatusHandler>) {
    let service = service_fn(move |req: Request<Incoming>| {
        let (status, body) = answer(req.uri().path());
        let mut res = Response::new(BufferedBody(Some(body.into())));
        *res.status_mut() = status;
        async move { Ok::<_, Infallible>(res) }
    });
    let served = Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(FuturesIo::new(sock), service)
        .await;
    // A peer that closes its connection affects no other connection.
    drop(served);
}

/// A body that is held in memory as a whole.
pub(crate) struct BufferedBody(pub Option<Bytes>);

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        std::task::Poll::Ready(self.0.take().map(|b| Ok(Frame::data(b))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.as_ref().map_or(0, |b| b.len() as u64))
    }
}
