//! HTTP server and JSON helpers of all stand-ins.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_types::{Body, Request, Response};
use larkspring::http::head::HeadError;
use larkspring::http::server::{serve, Handler, ServerLimits};
use serde::de::DeserializeOwned;
use serde::Serialize;
use smol::net::TcpListener;
use smol::Task;

/// A stand-in that answers HTTP requests.
pub trait HttpStandin: Send + Sync + 'static {
    /// Answers one request.
    fn answer(self: Arc<Self>, req: Request) -> impl Future<Output = Response> + Send;
}

/// A stand-in that is being served, until this is dropped.
#[derive(Debug)]
pub struct RunningStandin {
    /// Address that it listens on.
    pub addr: SocketAddr,
    _task: Task<()>,
}

struct HandlerAdapter<S>(Arc<S>);

const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const MAX_CONNECTIONS: usize = 10_000;

/// Binds `addr` and serves a stand-in there in the background.
pub async fn start_standin<S: HttpStandin>(
    addr: SocketAddr,
    standin: Arc<S>,
) -> io::Result<RunningStandin> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let limits = ServerLimits {
        max_body: MAX_BODY_BYTES,
        read_timeout: Duration::from_secs(10),
        idle_timeout: Duration::from_secs(60),
        stall_timeout: Duration::from_secs(600),
        max_connections: MAX_CONNECTIONS,
    };
    let task = larkspring::exec::spawn(serve(
        listener,
        limits,
        Arc::new(HandlerAdapter(standin)),
    ));
    Ok(RunningStandin { addr, _task: task })
}

impl<S: HttpStandin> Handler for HandlerAdapter<S> {
    async fn handle(self: Arc<Self>, req: Request, _: SocketAddr) -> Response {
        self.0.clone().answer(req).await
    }

    fn error_response(&self, error: &HeadError) -> Response {
        text_response(error.status(), &error.to_string())
    }
}

/// Returns a response with plain text.
pub fn text_response(status: u16, text: &str) -> Response {
    let mut res = Response::new(status);
    res.set_body(Body::from_string(text.into()));
    res
}

/// Returns a response with JSON.
pub fn json_response(value: &impl Serialize) -> Response {
    let mut res = Response::new(200);
    let body = serde_json::to_string(value).unwrap_or_default();
    res.set_body(Body::from_string(body));
    res.insert_header("content-type", "application/json");
    res
}

/// Parses a JSON body. Returns a response with status 400 if that fails.
pub async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, Response> {
    let body = req.body_bytes().await.map_err(|e| text_response(400, &e.to_string()))?;
    serde_json::from_slice(&body).map_err(|e| text_response(400, &e.to_string()))
}

/// Returns the value of a query parameter.
pub fn query_param(req: &Request, name: &str) -> Option<String> {
    let mut pairs = req.url().query_pairs();
    pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}
