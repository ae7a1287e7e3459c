//! The operator API of an entry, served on a separate address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_types::{Method, Request, Response};
use larkspring_core::declared::key_hash;
use serde_json::json;
use subtle::ConstantTimeEq;

use super::{error_response, json_answer, EntryState};
use crate::http::bearer;
use crate::http::head::HeadError;
use crate::http::server::{Handler, Limits};
use crate::operate::publish::PublishError;
use crate::operate::{declare, plan};
use crate::platform::objects::HttpObjects;

/// Handles operator requests.
pub(super) struct Operator {
    pub entry: Arc<EntryState>,
    pub api: HttpObjects,
    /// SHA-256 of the operators' key, in hex.
    pub key_sha256: String,
}

/// Maximum size of a declaration, in bytes; 49,000 adapters take about 8 MB.
const MAX_BODY: usize = 16 * 1024 * 1024;
const MAX_CONNECTIONS: usize = 8;
const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the limits for operator connections.
pub(super) fn limits() -> Limits {
    Limits {
        max_body: MAX_BODY,
        read_timeout: TIMEOUT,
        idle_timeout: TIMEOUT,
        stall_timeout: TIMEOUT,
        max_connections: MAX_CONNECTIONS,
    }
}

impl Handler for Operator {
    async fn handle(self: Arc<Self>, mut req: Request, _: SocketAddr) -> Response {
        if !self.is_authorized(&req) {
            return error_answer(401, "a valid operator key is needed");
        }
        let path = req.url().path().to_owned();
        let parts: Vec<_> = path.split('/').skip(1).collect();
        match (req.method(), &parts[..]) {
            (Method::Post, ["plans"]) => self.plan(&mut req).await,
            (Method::Get, ["plans", id]) => self.show(id).await,
            (Method::Post, ["plans", id, "confirm"]) => self.confirm(id).await,
            (Method::Get, ["status"]) => self.status(),
            (Method::Get, ["declared"]) => self.declared().await,
            _ => error_answer(404, "no such path"),
        }
    }

    fn refuse(&self, error: &HeadError) -> Response {
        error_response::unreadable(error)
    }
}

impl Operator {
    fn is_authorized(&self, req: &Request) -> bool {
        let header = req.header("authorization").map(|v| v.as_str());
        let key = header.and_then(|v| bearer(v.as_bytes())).unwrap_or_default();
        let hash = key_hash(std::str::from_utf8(key).unwrap_or_default());
        hash.as_bytes().ct_eq(self.key_sha256.as_bytes()).into()
    }

    async fn plan(&self, req: &mut Request) -> Response {
        let Ok(text) = req.body_string().await else {
            return error_answer(400, "the declaration is no text");
        };
        let wanted = match declare::parse(&[("declaration".into(), text)]) {
            Ok(wanted) => wanted,
            Err(e) => return error_answer(422, &e.to_string()),
        };
        let id = format!("{:032x}", fastrand::u128(..));
        match plan::make(&self.api, &wanted, &id).await {
            Ok(mut plan) => {
                plan.chunks.clear();
                json_answer(200, &json!(plan))
            }
            Err(e) => publish_error_answer(&e),
        }
    }

    async fn show(&self, id: &str) -> Response {
        match plan::find(&self.api, id).await {
            Ok(Some(mut plan)) => {
                plan.chunks.clear();
                json_answer(200, &json!(plan))
            }
            Ok(None) => error_answer(404, "no such plan"),
            Err(e) => error_answer(503, &e.to_string()),
        }
    }

    async fn confirm(&self, id: &str) -> Response {
        match plan::confirm(&self.api, id).await {
            Ok(revision) => json_answer(200, &json!({ "revision": revision })),
            Err(e) => publish_error_answer(&e),
        }
    }

    fn status(&self) -> Response {
        let state = self.entry.in_force.state();
        let endpoints: Vec<_> = state
            .endpoints()
            .map(|e| json!({ "name": &*e.name, "hall": &*e.hall, "leaving": e.leaving }))
            .collect();
        json_answer(
            200,
            &json!({
                "revision": state.revision,
                "adapters": state.adapter_count(),
                "key_partitions": self.entry.keys.held(),
                "connections": self.entry.pool.len(),
                "endpoints": endpoints,
            }),
        )
    }

    async fn declared(&self) -> Response {
        match plan::read_present(&self.api).await {
            Ok((from, all)) => {
                let body = json!({ "revision": from.root.revision,
                    "changes": from.root.changes, "declared": all });
                json_answer(200, &body)
            }
            Err(e) => error_answer(503, &e.to_string()),
        }
    }
}

fn publish_error_answer(error: &PublishError) -> Response {
    let status = match error {
        PublishError::Refused(_) => 503,
        PublishError::Outdated(_) => 409,
        PublishError::Unknown(..) => 504,
    };
    error_answer(status, &error.to_string())
}

fn error_answer(status: u16, message: &str) -> Response {
    json_answer(status, &json!({ "error": { "message": message } }))
}
