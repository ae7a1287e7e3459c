//! A caller's request, read and checked.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_types::{Method, Request};
use larkspring_core::declared::Caller;
use larkspring_core::ids::{BaseId, Target};
use larkspring_core::outcome::{Refusal, Step};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::Inner;
use crate::telemetry::TraceParent;

/// Header with the key of a request, the same for each resend.
const KEY: &str = "idempotency-key";
/// Header with the time that the caller waits at most, in milliseconds.
const DEADLINE: &str = "larkspring-deadline-ms";
/// Header with the urgency, 0 to 9.
const PRIORITY: &str = "larkspring-priority";
/// Header that says `no` where the request runs at most once.
const REPEATABLE: &str = "larkspring-repeatable";

const LEAST_URGENT: u32 = 9;
const MAX_KEY_LEN: usize = 200;

/// A request that may be dispatched.
#[derive(Debug, Clone)]
pub struct Inbound {
    /// Who sent it.
    pub caller: Arc<Caller>,
    /// What it goes to.
    pub to: To,
    /// When its caller gives up.
    pub deadline: Instant,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Key given by the caller.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Body for the endpoint.
    pub body: Bytes,
    /// Type of the body.
    pub content_type: String,
    /// Tokens asked for; 0 if the request does not say.
    pub max_tokens: u32,
    /// Place in the caller's trace.
    pub trace: TraceParent,
}

/// What a request goes to.
#[derive(Debug, Clone)]
pub enum To {
    /// An adapter of a model engine, by the engine's HTTP path.
    Model { target: Target, base: BaseId, path: &'static str },
    /// A call of a plain service; `path` holds the query too.
    Service { service: String, method: Method, path: String },
}

/// The part of a completion request that larkspring reads; the rest passes through.
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
        entry: &Inner,
        mut req: Request,
        caller: Arc<Caller>,
        received: Instant,
    ) -> Result<Self, Refusal> {
        let body = req.body_bytes().await;
        let body = body.map_err(|e| bad(&format!("the body can't be read: {e}")))?;
        let parent = req.header("traceparent").map(|v| v.as_str());
        let mut inbound = Self {
            to: To::Service {
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

    /// Returns the name of what the request goes to, for logs.
    pub fn target_name(&self) -> String {
        match &self.to {
            To::Model { target, .. } => target.to_string(),
            To::Service { service, method, path } => format!("{service} {method} {path}"),
        }
    }

    fn model(&mut self, entry: &Inner, path: &'static str) -> Result<(), Refusal> {
        let mut completion: Completion = serde_json::from_slice(&self.body)
            .map_err(|e| bad(&format!("the body is no completion request: {e}")))?;
        let state = entry.in_force.state();
        let choice = state.resolve(&completion.model, &self.caller)?;
        completion.model = choice.target.to_string();
        self.max_tokens = completion.max_tokens.unwrap_or_default();
        self.repeatable &= !choice.not_repeatable;
        let body = serde_json::to_vec(&completion);
        self.body = body.map_err(|e| bad(&e.to_string()))?.into();
        self.content_type = "application/json".into();
        self.to = To::Model { target: choice.target, base: choice.base, path };
        Ok(())
    }

    fn service(
        &mut self,
        entry: &Inner,
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
        self.to = To::Service { service: service.into(), method, path };
        Ok(())
    }
}

fn deadline(entry: &Inner, req: &Request) -> Result<Duration, Refusal> {
    let Some(value) = header(req, DEADLINE) else {
        return Ok(entry.cfg.default_deadline);
    };
    match value.parse() {
        Ok(ms) if ms > 0 => Ok(Duration::from_millis(ms).min(entry.cfg.max_deadline)),
        _ => Err(bad(&format!("{DEADLINE} is no number of milliseconds"))),
    }
}

/// Reads the priority; no caller gets one more urgent than declared for it.
fn priority(req: &Request, caller: &Caller) -> Result<u32, Refusal> {
    let Some(value) = header(req, PRIORITY) else { return Ok(caller.priority) };
    match value.parse::<u32>() {
        Ok(n) if n <= LEAST_URGENT => Ok(n.max(caller.priority)),
        _ => Err(bad(&format!("{PRIORITY} is no number from 0 to 9"))),
    }
}

fn key(req: &Request) -> Result<Option<String>, Refusal> {
    match header(req, KEY) {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_LEN => {
            Err(bad(&format!("{KEY} needs 1 to {MAX_KEY_LEN} characters")))
        }
        key => Ok(key.map(str::to_owned)),
    }
}

fn repeatable(req: &Request) -> Result<bool, Refusal> {
    match header(req, REPEATABLE) {
        None | Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(_) => Err(bad(&format!("{REPEATABLE} is neither yes nor no"))),
    }
}

fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.header(name).map(|v| v.as_str())
}

fn bad(what: &str) -> Refusal {
    Refusal::not_run(Step::Read, what)
}
