//! Stand-in for the object API, with versions, conditional updates and watches.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use futures_lite::FutureExt;
use http_types::{Method, Request, Response};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::web::{json_response, query_param, read_json, text_response, HttpStandin};

/// The object API.
#[derive(Debug, Default)]
pub struct Objects {
    state: Mutex<State>,
    changed: Event,
}

/// Faults of the API.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every call is refused.
    pub outage: bool,
    /// Delay of each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes that take effect although their reply is lost.
    pub lose_replies: u64,
}

/// Number of calls by kind.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Number of reads.
    pub reads: u64,
    /// Number of writes, including those refused for their version.
    pub writes: u64,
    /// Number of watches.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    last_version: u64,
    faults: Faults,
    stats: Stats,
}

const MAX_VALUE_BYTES: usize = 1024 * 1024;
const OBJECTS_PATH: &str = "/v1/objects/";
const WATCH_PATH: &str = "/v1/watch/";

impl HttpStandin for Objects {
    async fn answer(self: Arc<Self>, mut req: Request) -> Response {
        let path = req.url().path().to_owned();
        match (req.method(), &*path) {
            (Method::Post, "/faults") => return self.set_faults(&mut req).await,
            (_, "/stats") => return json_response(&self.state.lock().stats),
            _ => {}
        }
        let faults = self.state.lock().faults.clone();
        if faults.slow_ms > 0 {
            Timer::after(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.outage {
            return text_response(503, "outage");
        }
        if let Some(name) = path.strip_prefix(WATCH_PATH) {
            return self.watch(name, &req).await;
        }
        let Some(name) = path.strip_prefix(OBJECTS_PATH) else {
            return text_response(404, "no such path");
        };
        let body = req.body_bytes().await.unwrap_or_default();
        match req.method() {
            Method::Get => self.get(name),
            Method::Put => self.write(name, &req, Some(body)).await,
            Method::Delete => self.write(name, &req, None).await,
            _ => text_response(405, "no such method"),
        }
    }
}

impl Objects {
    async fn set_faults(&self, req: &mut Request) -> Response {
        match read_json(req).await {
            Ok(faults) => {
                self.state.lock().faults = faults;
                self.changed.notify(usize::MAX);
                text_response(200, "")
            }
            Err(res) => res,
        }
    }

    fn get(&self, name: &str) -> Response {
        let mut state = self.state.lock();
        state.stats.reads += 1;
        match state.objects.get(name) {
            Some((version, value)) => object_response(*version, value),
            None => text_response(404, "no such object"),
        }
    }

    async fn write(&self, name: &str, req: &Request, value: Option<Vec<u8>>) -> Response {
        let expected = req.header("if-match").and_then(|v| v.as_str().parse().ok());
        let Some(expected) = expected else {
            return text_response(400, "if-match is needed");
        };
        if value.as_ref().is_some_and(|v| v.len() > MAX_VALUE_BYTES) {
            return text_response(413, "over a megabyte");
        }
        let (res, reply_lost) = self.apply_write(name, expected, value);
        self.changed.notify(usize::MAX);
        if reply_lost {
            // The reply never comes, so that the client runs into its time-out.
            std::future::pending::<()>().await;
        }
        res
    }

    fn apply_write(
        &self,
        name: &str,
        expected: u64,
        value: Option<Vec<u8>>,
    ) -> (Response, bool) {
        let mut state = self.state.lock();
        state.stats.writes += 1;
        let present = state.objects.get(name).map_or(0, |(version, _)| *version);
        if present != expected {
            return (text_response(412, "another version"), false);
        }
        state.last_version += 1;
        let version = state.last_version;
        match value {
            Some(value) => drop(state.objects.insert(name.into(), (version, value))),
            None => drop(state.objects.remove(name)),
        }
        let reply_lost = state.faults.lose_replies > 0;
        state.faults.lose_replies = state.faults.lose_replies.saturating_sub(1);
        (object_response(version, b""), reply_lost)
    }

    async fn watch(&self, name: &str, req: &Request) -> Response {
        self.state.lock().stats.watches += 1;
        let number =
            |key| query_param(req, key).and_then(|v| v.parse().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
        let changed = async {
            loop {
                let listener = self.changed.listen();
                if let Some(res) = self.if_newer(name, after) {
                    return res;
                }
                listener.await;
            }
        };
        let timed_out = async {
            Timer::after(wait).await;
            Response::new(204)
        };
        changed.or(timed_out).await
    }

    fn if_newer(&self, name: &str, after: u64) -> Option<Response> {
        let state = self.state.lock();
        if state.faults.outage {
            return Some(text_response(503, "outage"));
        }
        let (version, value) = state.objects.get(name)?;
        (*version > after).then(|| object_response(*version, value))
    }
}

fn object_response(version: u64, value: &[u8]) -> Response {
    let mut res = Response::new(200);
    res.set_body(value.to_vec());
    res.insert_header("etag", version.to_string());
    res
}
