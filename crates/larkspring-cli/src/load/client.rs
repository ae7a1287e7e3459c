//! Sends one request of a load and measures its times.

use std::time::{Duration, Instant};

use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Method, Response};
use larkspring::http::client::{connect, request, send_request};
use serde_json::json;
use smol::Timer;
use uuid::Uuid;

use super::arrivals::Arrival;

/// A server that receives a load.
#[derive(Debug, Clone)]
pub struct Destination {
    /// Address of the server.
    pub addr: String,
    /// Key of the caller; empty for none.
    pub key: String,
    /// Whether each request has its own idempotency key, to run at most once.
    pub keyed: bool,
}

/// Result of a request.
#[derive(Debug, Clone, Default)]
pub struct Sample {
    /// Time from sending to the first byte of the answer.
    pub first_byte: Duration,
    /// Time from the first byte to the end.
    pub rest: Duration,
    /// Number of reads of the body that returned data.
    pub chunks: u64,
    /// Wait for the adapter, as reported by the entry.
    pub load_wait: Duration,
    /// `ok`, `broken` for an interrupted answer, or the outcome and step of a refusal.
    pub outcome: String,
    /// Whether the request was urgent.
    pub urgent: bool,
    /// Number of tokens requested.
    pub tokens: u64,
}

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
const DEADLINE_MS: &str = "60000";
const STREAM_END: &str = "data: [DONE]\n\n";
const READ_SIZE: usize = 8192;

/// Sends a request and reads its answer to the end.
pub async fn send(destination: &Destination, arrival: &Arrival, name: &str) -> Sample {
    let timed_out = async {
        Timer::after(REQUEST_TIMEOUT * 2).await;
        Sample { outcome: "client time-out".into(), ..Sample::default() }
    };
    let mut sample = try_send(destination, arrival, name).or(timed_out).await;
    sample.urgent = arrival.priority == 0;
    sample.tokens = arrival.tokens;
    sample
}

async fn try_send(destination: &Destination, arrival: &Arrival, name: &str) -> Sample {
    let start = Instant::now();
    let failed = |outcome: String| Sample { outcome, ..Sample::default() };
    let mut req = match request(Method::Post, &destination.addr, "/v1/completions") {
        Ok(req) => req,
        Err(e) => return failed(e.to_string()),
    };
    let model = format!("{name}-{:04}@v1", arrival.adapter);
    let body = json!({ "model": model, "prompt": "load", "stream": true,
        "max_tokens": arrival.tokens });
    req.set_body(body.to_string());
    req.insert_header("content-type", "application/json");
    req.insert_header("larkspring-deadline-ms", DEADLINE_MS);
    req.insert_header("larkspring-priority", arrival.priority.to_string());
    if destination.keyed {
        req.insert_header("larkspring-repeatable", "no");
        req.insert_header("idempotency-key", Uuid::now_v7().to_string());
    }
    if !destination.key.is_empty() {
        req.insert_header("authorization", format!("Bearer {}", destination.key));
    }
    let sock = match connect(&destination.addr, CONNECT_TIMEOUT).await {
        Ok(sock) => sock,
        Err(e) => return failed(format!("connect: {e}")),
    };
    let mut res = match send_request(sock, &destination.addr, req).await {
        Ok(res) => res,
        Err(_) => return failed("no answer".into()),
    };
    if res.status() != 200 {
        return failed(refusal(&mut res).await);
    }
    read_answer(&mut res, start).await
}

async fn read_answer(res: &mut Response, start: Instant) -> Sample {
    let header = res.header("larkspring-load-wait-us").map(|v| v.as_str());
    let load_wait = header.and_then(|v| v.parse().ok()).unwrap_or_default();
    let mut sample =
        Sample { load_wait: Duration::from_micros(load_wait), ..Sample::default() };
    let mut body = res.take_body();
    let mut buf = vec![0; READ_SIZE];
    let mut last_read = String::new();
    let mut first = None;
    while let Ok(n @ 1..) = body.read(&mut buf).await {
        first.get_or_insert_with(Instant::now);
        sample.chunks += 1;
        last_read = String::from_utf8_lossy(&buf[..n]).into_owned();
    }
    let first = first.unwrap_or(start);
    sample.first_byte = first - start;
    sample.rest = first.elapsed();
    let complete = last_read.ends_with(STREAM_END);
    sample.outcome = if complete { "ok" } else { "broken" }.into();
    sample
}

async fn refusal(res: &mut Response) -> String {
    let body: serde_json::Value = res.body_json().await.unwrap_or_default();
    let part = |name: &str| body["error"][name].as_str().unwrap_or("?").to_owned();
    format!("{} at {}", part("outcome"), part("step"))
}
