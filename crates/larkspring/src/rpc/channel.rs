//! Connections to other processes, opened on demand and kept in a bounded pool.

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

/// Connections by address; the least recently used is evicted first.
#[derive(Debug)]
pub struct Pool {
    limit: usize,
    connect_timeout: Duration,
    open: Mutex<HashMap<String, Slot>>,
}

/// An open connection, used as the channel of tonic clients.
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
    /// Error of a call without an answer.
    #[derive(Debug)]
    pub enum CallError {
        /// No part of the call was sent.
        NotSent { display("the connection closed before the call was sent") }
        /// The peer may have received the call.
        Broken(cause: String) { display("the call broke off: {cause}") }
    }
}

/// Whether a failed call certainly did not reach the peer.
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

    /// Returns the connection to `addr`, opening one if none is open.
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

    /// Returns the number of connections in the pool.
    pub fn len(&self) -> usize {
        self.open.lock().len()
    }

    /// Whether the pool holds no connection.
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
            // Streams on an evicted connection continue until they end.
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
    let handshake = Builder::new(HyperExecutor)
        .timer(SmolTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .keep_alive_interval(PROBE_INTERVAL)
        .keep_alive_timeout(PROBE_TIMEOUT)
        .handshake(FuturesIo::new(sock))
        .await;
    let (tx, conn) =
        handshake.map_err(|e| HttpError::Connect(addr.into(), e.to_string()))?;
    exec::spawn(async move {
        // Each stream reports an error of the connection itself.
        let _ = conn.await;
    })
    .detach();
    Ok(Channel { tx, origin })
}

impl Channel {
    /// Returns the origin of calls on the connection, required by tonic clients.
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
