//! Reading and checking a caller's request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_types::{Method, Request};
use larkspring_core::declared::Caller;
use larkspring_core::ids::{BaseId, Target};
use larkspring_core::outcome::{Refusal, Step};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::EntryState;
use crate::telemetry::TraceParent;

/// Header with the idempotency key of a request, the same for each retry.
const KEY: &str = "idempotency-key";
/// Header with the longest time that the caller waits, in milliseconds.
const DEADLINE: &str = "larkspring-deadline-ms";
/// Header with the priority, from 0 (most urgent) to 9.
const PRIORITY: &str = "larkspring-priority";
/// Header with the value `no` if the request may run at most once.
const REPEATABLE: &str = "larkspring-repeatable";

const LEAST_URGENT: u32 = 9;
const MAX_KEY_LEN: usize = 200;

/// A request that may be dispatched.
#[derive(Debug, Clone)]
pub struct Inbound {
    /// The authenticated caller.
    pub caller: Arc<Caller>,
    /// The destination.
    pub destination: Destination,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Body for the endpoint.
    pub body: Bytes,
    /// Content type of the body.
    pub content_type: String,
    /// Maximum number of tokens to generate; 0 if the request sets none.
    pub max_tokens: u32,
    /// Trace context of this hop.
    pub trace: TraceParent,
}

/// The destination of a request.
#[derive(Debug, Clone)]
pub enum Destination {
    /// An adapter on a model engine; `path` is the engine's HTTP path.
    Model { target: Target, base: BaseId, path: &'static str },
    /// A call of a plain service; `path` includes the query.
    Service { service: String, method: Method, path: String },
}

/// The fields of a completion request that the entry reads; `rest` is passed on
/// unchanged.
#[derive(Debug, Deserialize, Serialize)]
struct Completion {
    model: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    max_tokens: Option<u32>,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

const COMPLETIONS: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";
const SERVICES: &str = "/services/";

impl Inbound {
    /// Reads and checks a request of a known caller.
    pub(super) async fn read(
        entry: &EntryState,
        mut req: Request,
        caller: Arc<Caller>,
        received: Instant,
    ) -> Result<Self, Refusal> {
        let body = req.body_bytes().await;
        let body =
            body.map_err(|e| bad_request(&format!("the body can't be read: {e}")))?;
        let parent = req.header("traceparent").map(|v| v.as_str());
        let mut inbound = Self {
            destination: Destination::Service {
                service: String::new(),
                method: req.method(),
                path: "".into(),
            },
            deadline: received + deadline(entry, &req)?,
            priority: priority(&req, &caller)?,
            key: key(&req)?,
            repeatable: repeatable(&req)?,
            body: body.into(),
            content_type: header(&req, "content-type").unwrap_or_default().to_owned(),
            max_tokens: 0,
            trace: TraceParent::next(parent),
            caller,
        };
        let path = req.url().path();
        match (req.method(), path) {
            (Method::Post, COMPLETIONS) => inbound.model(entry, COMPLETIONS)?,
            (Method::Post, CHAT) => inbound.model(entry, CHAT)?,
            (method, path) if path.starts_with(SERVICES) => {
                inbound.service(entry, method, path, req.url().query())?;
            }
            _ => return Err(Refusal::not_run(Step::Resolve, "no such path")),
        }
        Ok(inbound)
    }

    /// Returns the name of the destination, for logs and the request fingerprint.
    pub fn target_name(&self) -> String {
        match &self.destination {
            Destination::Model { target, .. } => target.to_string(),
            Destination::Service { service, method, path } => {
                format!("{service} {method} {path}")
            }
        }
    }

    fn model(&mut self, entry: &EntryState, path: &'static str) -> Result<(), Refusal> {
        let mut completion: Completion =
            serde_json::from_slice(&self.body).map_err(|e| {
                bad_request(&format!("the body is no completion request: {e}"))
            })?;
        let state = entry.in_force.state();
        let choice = state.resolve(&completion.model, &self.caller)?;
        completion.model = choice.target.to_string();
        self.max_tokens = completion.max_tokens.unwrap_or_default();
        self.repeatable &= !choice.not_repeatable;
        let body = serde_json::to_vec(&completion);
        self.body = body.map_err(|e| bad_request(&e.to_string()))?.into();
        self.content_type = "application/json".into();
        self.destination =
            Destination::Model { target: choice.target, base: choice.base, path };
        Ok(())
    }

    fn service(
        &mut self,
        entry: &EntryState,
        method: Method,
        path: &str,
        query: Option<&str>,
    ) -> Result<(), Refusal> {
        let rest = path.strip_prefix(SERVICES).unwrap_or_default();
        let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
        let mut path = format!("/{rest}");
        let state = entry.in_force.state();
        let once = state.service_call(service, method.as_ref(), &path, &self.caller)?;
        self.repeatable &= !once;
        if let Some(query) = query {
            path = format!("{path}?{query}");
        }
        self.destination = Destination::Service { service: service.into(), method, path };
        Ok(())
    }
}

fn deadline(entry: &EntryState, req: &Request) -> Result<Duration, Refusal> {
    let Some(value) = header(req, DEADLINE) else {
        return Ok(entry.cfg.default_deadline);
    };
    match value.parse() {
        Ok(ms) if ms > 0 => Ok(Duration::from_millis(ms).min(entry.cfg.max_deadline)),
        _ => Err(bad_request(&format!("{DEADLINE} is no number of milliseconds"))),
    }
}

/// Reads the priority, limited to the most urgent that is declared for the caller.
fn priority(req: &Request, caller: &Caller) -> Result<u32, Refusal> {
    let Some(value) = header(req, PRIORITY) else { return Ok(caller.priority) };
    match value.parse::<u32>() {
        Ok(n) if n <= LEAST_URGENT => Ok(n.max(caller.priority)),
        _ => Err(bad_request(&format!("{PRIORITY} is no number from 0 to 9"))),
    }
}

fn key(req: &Request) -> Result<Option<String>, Refusal> {
    match header(req, KEY) {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_LEN => {
            Err(bad_request(&format!("{KEY} needs 1 to {MAX_KEY_LEN} characters")))
        }
        key => Ok(key.map(str::to_owned)),
    }
}

fn repeatable(req: &Request) -> Result<bool, Refusal> {
    match header(req, REPEATABLE) {
        None | Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(_) => Err(bad_request(&format!("{REPEATABLE} is neither yes nor no"))),
    }
}

fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.header(name).map(|v| v.as_str())
}

fn bad_request(what: &str) -> Refusal {
    Refusal::not_run(Step::Read, what)
}
