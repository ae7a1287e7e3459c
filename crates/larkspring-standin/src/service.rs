//! Stand-in for a plain service, which records its calls and may be slow or never answer.

use std::sync::Arc;
use std::time::Duration;

use http_types::{Method, Request, Response};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::web::{json_response, read_json, text_response, HttpStandin};

/// A plain service.
#[derive(Debug, Default)]
pub struct Service {
    state: Mutex<State>,
}

/// Faults of the service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Duration of a call, in milliseconds.
    pub slow_ms: u64,
    /// Number of next calls that run and are never answered.
    pub hang: u64,
}

/// A call that ran.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Run {
    /// Method and path with query.
    pub call: String,
    /// Body of the request.
    pub body: String,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    runs: Vec<Run>,
}

impl HttpStandin for Service {
    async fn answer(self: Arc<Self>, mut req: Request) -> Response {
        let path = req.url().path().to_owned();
        match (req.method(), &*path) {
            (Method::Post, "/faults") => match read_json(&mut req).await {
                Ok(faults) => {
                    self.state.lock().faults = faults;
                    text_response(200, "")
                }
                Err(res) => res,
            },
            (Method::Get, "/stats") => json_response(&self.state.lock().runs),
            _ => self.run(req).await,
        }
    }
}

impl Service {
    async fn run(&self, mut req: Request) -> Response {
        let body = req.body_string().await.unwrap_or_default();
        let query = req.url().query().map(|q| format!("?{q}")).unwrap_or_default();
        let call = format!("{} {}{query}", req.method(), req.url().path());
        let (slow, hang) = {
            let mut state = self.state.lock();
            state.runs.push(Run { call: call.clone(), body });
            let hang = state.faults.hang > 0;
            state.faults.hang = state.faults.hang.saturating_sub(1);
            (Duration::from_millis(state.faults.slow_ms), hang)
        };
        Timer::after(slow).await;
        if hang {
            std::future::pending::<()>().await;
        }
        json_response(&serde_json::json!({ "ran": call }))
    }
}
