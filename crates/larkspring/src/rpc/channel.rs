//! Connections to other processes, opened on demand in a bounded pool.

use std::collections::HashMap;
use std::error::Error;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use http::Uri;
use hyper::body::Incoming;
use hyper::client::conn::http2::{Builder, SendRequest};
use parking_lot::Mutex;
use quick_error::quick_error;
use smol::lock::Mutex as AsyncMutex;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tonic::body::Body;
use tonic::Status;
use tower_service::Service;

use super::{CONNECTION_WINDOW, PROBE_INTERVAL, PROBE_TIMEOUT, STREAM_WINDOW};
use crate::exec::{self, HyperExecutor};
use crate::http::client::{connect, HttpError};

/// Connections by address, the least recently used closed first.
#[derive(Debug)]
pub struct Pool {
    limit: usize,
    connect_timeout: Duration,
    open: Mutex<HashMap<String, Slot>>,
}

/// An open connection that tonic's clients send on.
#[derive(Debug, Clone)]
pub struct Channel {
    tx: SendRequest<Body>,
    origin: Uri,
}

#[derive(Debug)]
struct Slot {
    channel: Arc<AsyncMutex<Option<Channel>>>,
    used: Instant,
}

quick_error! {
    /// Why a call got no answer.
    #[derive(Debug)]
    pub enum CallError {
        /// Nothing of the call was sent.
        NotSent { display("the connection closed before the call was sent") }
        /// The peer may have got the call.
        Broken(cause: String) { display("the call broke off: {cause}") }
    }
}

/// Whether it is proved that the peer got nothing of a call that failed.
pub fn nothing_sent(status: &Status) -> bool {
    let mut cause = status.source();
    while let Some(e) = cause {
        if let Some(CallError::NotSent) = e.downcast_ref() {
            return true;
        }
        cause = e.source();
    }
    false
}

impl Pool {
    /// Creates an empty pool of at most `limit` connections.
    pub fn new(limit: usize, connect_timeout: Duration) -> Self {
        Self { limit, connect_timeout, open: Mutex::default() }
    }

    /// Returns the connection to `addr`, which is opened if there is none.
    pub async fn get(&self, addr: &str) -> Result<Channel, HttpError> {
        let slot = self.slot(addr);
        let mut slot = slot.lock().await;
        if let Some(channel) = slot.as_ref().filter(|c| !c.tx.is_closed()) {
            return Ok(channel.clone());
        }
        let channel = open(addr, self.connect_timeout).await?;
        *slot = Some(channel.clone());
        Ok(channel)
    }

    /// Number of connections that are kept.
    pub fn len(&self) -> usize {
        self.open.lock().len()
    }

    /// Whether no connection is kept.
    pub fn is_empty(&self) -> bool {
        self.open.lock().is_empty()
    }

    fn slot(&self, addr: &str) -> Arc<AsyncMutex<Option<Channel>>> {
        let now = Instant::now();
        let mut open = self.open.lock();
        if let Some(slot) = open.get_mut(addr) {
            slot.used = now;
            return slot.channel.clone();
        }
        if open.len() >= self.limit {
            // Streams on a connection that leaves the pool go on to their end.
            let oldest = open.iter().min_by_key(|(_, s)| s.used).map(|(a, _)| a.clone());
            oldest.and_then(|addr| open.remove(&addr));
        }
        let slot = Slot { channel: Arc::default(), used: now };
        let channel = slot.channel.clone();
        open.insert(addr.into(), slot);
        channel
    }
}

async fn open(addr: &str, limit: Duration) -> Result<Channel, HttpError> {
    let origin = Uri::try_from(format!("http://{addr}"));
    let origin = origin.map_err(|_| HttpError::Address(addr.into()))?;
    let sock = connect(addr, limit).await?;
    let shaken = Builder::new(HyperExecutor)
        .timer(SmolTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .keep_alive_interval(PROBE_INTERVAL)
        .keep_alive_timeout(PROBE_TIMEOUT)
        .handshake(FuturesIo::new(sock))
        .await;
    let (tx, conn) =
        shaken.map_err(|e| HttpError::Connect(addr.into(), e.to_string()))?;
    exec::spawn(async move {
        // Each stream on the connection learns of its end by itself.
        let _ = conn.await;
    })
    .detach();
    Ok(Channel { tx, origin })
}

impl Channel {
    /// Returns where calls on the connection go, as tonic's clients ask.
    pub fn origin(&self) -> Uri {
        self.origin.clone()
    }
}

impl Service<http::Request<Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = CallError;
    type Future =
        Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.tx.poll_ready(cx).map_err(|_| CallError::NotSent)
    }

    fn call(&mut self, req: http::Request<Body>) -> Self::Future {
        let sent = self.tx.try_send_request(req);
        Box::pin(async move {
            sent.await.map_err(|mut e| match e.take_message() {
                Some(_) => CallError::NotSent,
                None => CallError::Broken(e.into_error().to_string()),
            })
        })
    }
}
