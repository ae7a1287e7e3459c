//! RPC server.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::{future, FutureExt};
use hyper::body::Incoming;
use hyper::server::conn::http2::Builder;
use hyper::service::service_fn;
use smol::channel::{self, Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use smol::Timer;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tonic::body::Body;
use tower_service::Service;

use super::{CONNECTION_WINDOW, PROBE_INTERVAL, PROBE_TIMEOUT, STREAM_WINDOW};
use crate::exec::{self, within, HyperExecutor};

/// Handle for the graceful shutdown of a server.
#[derive(Debug)]
pub struct Stopper {
    stop: Sender<()>,
    idle: Receiver<()>,
}

impl Stopper {
    /// Refuses new calls and waits, up to `grace`, until the calls in progress have
    /// ended.
    pub async fn stop(self, grace: Duration) {
        self.stop.close();
        // The channel closes when the last connection has ended.
        within(grace, self.idle.recv()).await;
    }
}

/// Serves `service` on `listener` in the background until stopped.
pub fn serve<S>(listener: TcpListener, service: S) -> Stopper
where
    S: Service<http::Request<Incoming>, Response = http::Response<Body>>,
    S: Clone + Send + Sync + 'static,
    S::Error: Into<Infallible>,
    S::Future: Send,
{
    let (stop, stopped) = channel::bounded(1);
    let (busy, idle) = channel::bounded(1);
    let accept = accept_all(listener, service, stopped, busy);
    exec::spawn(accept).detach();
    Stopper { stop, idle }
}

async fn accept_all<S>(
    listener: TcpListener,
    service: S,
    stopped: Receiver<()>,
    busy: Sender<()>,
) where
    S: Service<http::Request<Incoming>, Response = http::Response<Body>>,
    S: Clone + Send + Sync + 'static,
    S::Error: Into<Infallible>,
    S::Future: Send,
{
    loop {
        let stop = async {
            let _ = stopped.recv().await;
            Err(io::ErrorKind::Interrupted.into())
        };
        match listener.accept().or(stop).await {
            Ok((sock, _)) => {
                let conn =
                    connection(sock, service.clone(), stopped.clone(), busy.clone());
                exec::spawn(conn).detach();
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return,
            Err(_) => drop(Timer::after(Duration::from_millis(10)).await),
        }
    }
}

async fn connection<S>(
    sock: TcpStream,
    service: S,
    stopped: Receiver<()>,
    busy: Sender<()>,
) where
    S: Service<http::Request<Incoming>, Response = http::Response<Body>>,
    S: Clone + Send + Sync + 'static,
    S::Error: Into<Infallible>,
    S::Future: Send,
{
    let _ = sock.set_nodelay(true);
    let service = Arc::new(service);
    let answer = service_fn(move |req| {
        let mut service = S::clone(&service);
        async move { service.call(req).await.map_err(Into::<Infallible>::into) }
    });
    let conn = Builder::new(HyperExecutor)
        .timer(SmolTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(None)
        .keep_alive_interval(PROBE_INTERVAL)
        .keep_alive_timeout(PROBE_TIMEOUT)
        .serve_connection(FuturesIo::new(sock), answer);
    let mut conn = std::pin::pin!(conn);
    let stop = async {
        let _ = stopped.recv().await;
        None
    };
    let ended = future::or(async { Some(conn.as_mut().await) }, stop).await;
    if ended.is_none() {
        conn.as_mut().graceful_shutdown();
        let _ = conn.await;
    }
    drop(busy);
}
