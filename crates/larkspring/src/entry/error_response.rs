//! Error responses to callers.

use http_types::Response;
use larkspring_core::outcome::{Outcome, Refusal, Step};
use serde_json::{json, Value};

use super::json_answer;
use crate::http::head::HeadError;

/// Builds the response for a refusal.
pub fn response(refusal: &Refusal) -> Response {
    let mut res = json_answer(status(refusal), &body(refusal));
    if let Some(after) = refusal.retry_after {
        let secs = after.as_millis().div_ceil(1000).max(1);
        res.insert_header("retry-after", secs.to_string());
    }
    res
}

/// Builds the response to a request that could not be read.
pub fn unreadable(error: &HeadError) -> Response {
    let refusal = Refusal::not_run(Step::Read, error.to_string());
    json_answer(error.status(), &body(&refusal))
}

/// Builds the JSON body of a refusal, for a response or an event of a stream.
pub fn body(refusal: &Refusal) -> Value {
    let retry_after = refusal.retry_after.map(|d| d.as_millis() as u64);
    json!({ "error": {
        "message": refusal.message,
        "type": "larkspring_error",
        "outcome": refusal.outcome.name(),
        "step": refusal.step.name(),
        "peer": refusal.peer,
        "retry_after_ms": retry_after,
    }})
}

fn status(refusal: &Refusal) -> u16 {
    match (refusal.step, refusal.outcome) {
        (Step::Read, _) => 400,
        (Step::Authenticate, _) => 401,
        (Step::Admit, _) if refusal.retry_after.is_some() => 429,
        (Step::Admit, _) => 403,
        (Step::Resolve, _) if refusal.retry_after.is_none() => 404,
        (Step::Claim, Outcome::Unknown | Outcome::Failed) => 409,
        (_, Outcome::NotRun) => 503,
        (_, Outcome::Unknown | Outcome::Failed) => 502,
    }
}
