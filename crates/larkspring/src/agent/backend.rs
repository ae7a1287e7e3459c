//! HTTP client of the engine or service behind an agent.

use std::time::Duration;

use http_types::{Method, Request, Response};
use larkspring_core::ids::Target;
use larkspring_proto::agent::{ModelTarget, ServiceTarget};
use serde::{Deserialize, Serialize};
use smol::net::TcpStream;

use crate::http::client::{connect, exchange, fetch, request, HttpError};

/// Header with the run of the engine, on each answer of the engine.
pub const INCARNATION_HEADER: &str = "x-engine-incarnation";
/// Header with the adapter and version that answers.
pub const ADAPTER_HEADER: &str = "x-engine-adapter";
/// Header with the id of a request, used to cancel and resume the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the priority of a request, from 0 (most urgent) to 9.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header with the epoch of the agent that sends an order.
pub const EPOCH_HEADER: &str = "x-epoch";

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of one endpoint.
#[derive(Debug, Clone)]
pub struct Backend {
    addr: String,
}

/// An engine's report of its state, which may lag behind the state.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// The run of the engine.
    pub incarnation: String,
    /// The resident adapters, as `adapter@version`.
    pub resident: Vec<String>,
    /// The running requests.
    pub running: Vec<RunningRequest>,
}

/// A request that an engine runs.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RunningRequest {
    /// The id of the request.
    pub id: String,
    /// The adapter of the request, as `adapter@version`.
    pub adapter: String,
}

/// An order to load or unload an adapter.
#[derive(Debug, Serialize, Deserialize)]
pub struct AdapterOrder {
    /// The adapter, as `adapter@version`.
    pub adapter: String,
    /// Location of the weights in the weight store; empty for an unload.
    #[serde(default)]
    pub weights: String,
}

/// The answer to an order that was executed.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct OrderDone {
    /// The adapter that was loaded or unloaded.
    pub adapter: String,
    /// The run of the engine.
    pub incarnation: String,
}

impl Backend {
    /// Creates a client of the endpoint at `addr`.
    pub fn new(addr: &str) -> Self {
        Self { addr: addr.into() }
    }

    /// Opens a connection for a request.
    pub async fn connect(&self) -> Result<TcpStream, HttpError> {
        connect(&self.addr, CONNECT_TIMEOUT).await
    }

    /// Sends a request on an open connection and returns the answer's head.
    pub async fn send(
        &self,
        sock: TcpStream,
        req: Request,
    ) -> Result<Response, HttpError> {
        exchange(sock, &self.addr, req).await
    }

    /// Builds the request to an engine.
    pub fn model_request(&self, to: &ModelTarget) -> Result<Request, HttpError> {
        request(Method::Post, &self.addr, &to.path)
    }

    /// Builds the request to a plain service.
    pub fn service_request(&self, to: &ServiceTarget) -> Result<Request, HttpError> {
        let method = to.method.parse().unwrap_or(Method::Get);
        request(method, &self.addr, &to.path)
    }

    /// Builds the request for the rest of an answer, from byte `offset` on.
    pub fn resume_request(&self, id: &str, offset: u64) -> Result<Request, HttpError> {
        let path = format!("/v1/streams/{id}?from={offset}");
        request(Method::Get, &self.addr, &path)
    }

    /// Fetches the engine's report of its state.
    pub async fn report(&self) -> Result<Report, HttpError> {
        let req = request(Method::Get, &self.addr, "/v1/load")?;
        let (_, body) = fetch(&self.addr, req, ORDER_TIMEOUT).await?;
        self.decode(&body)
    }

    /// Orders a load and waits, up to `limit`, until it ends.
    pub async fn load(
        &self,
        target: &Target,
        weights: &str,
        epoch: u64,
        limit: Duration,
    ) -> Result<OrderDone, HttpError> {
        let order = AdapterOrder { adapter: target.to_string(), weights: weights.into() };
        self.order("/v1/load_lora_adapter", &order, epoch, limit).await
    }

    /// Orders an unload and waits until it ends.
    pub async fn unload(
        &self,
        target: &Target,
        epoch: u64,
    ) -> Result<OrderDone, HttpError> {
        let order = AdapterOrder { adapter: target.to_string(), weights: String::new() };
        self.order("/v1/unload_lora_adapter", &order, epoch, ORDER_TIMEOUT).await
    }

    /// Cancels a request. After success the engine holds no state of the request.
    pub async fn cancel(&self, id: &str) -> Result<(), HttpError> {
        let path = format!("/v1/cancel/{id}");
        let req = request(Method::Post, &self.addr, &path)?;
        let (res, _) = fetch(&self.addr, req, ORDER_TIMEOUT).await?;
        match res.status() as u16 {
            200 | 404 => Ok(()),
            status => Err(self.refused(status)),
        }
    }

    async fn order(
        &self,
        path: &str,
        order: &AdapterOrder,
        epoch: u64,
        limit: Duration,
    ) -> Result<OrderDone, HttpError> {
        let mut req = request(Method::Post, &self.addr, path)?;
        req.insert_header(EPOCH_HEADER, epoch.to_string());
        req.insert_header("content-type", "application/json");
        req.set_body(serde_json::to_vec(order).unwrap_or_default());
        let (res, body) = fetch(&self.addr, req, limit).await?;
        match res.status() as u16 {
            200 => self.decode(&body),
            status => Err(self.refused(status)),
        }
    }

    fn decode<T: serde::de::DeserializeOwned>(
        &self,
        body: &[u8],
    ) -> Result<T, HttpError> {
        let parsed = serde_json::from_slice(body);
        parsed.map_err(|e| HttpError::Exchange(self.addr.clone(), e.to_string()))
    }

    fn refused(&self, status: u16) -> HttpError {
        HttpError::Exchange(self.addr.clone(), format!("answered {status}"))
    }
}
