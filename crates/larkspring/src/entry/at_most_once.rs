//! Requests that run at most once: the claim of the idempotency key, and its settlement
//! when the request ends.

use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http_types::Response;
use larkspring_core::claims::{Settled, Verdict};
use larkspring_core::outcome::{Outcome, Refusal, Step};
use larkspring_proto::keys::KeptAnswer;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

use super::inbound::Inbound;
use super::keys::{ClaimAnswer, KeyClaim, Keys};
use crate::exec;

/// The right to run a request, settled when the request ends.
#[derive(Debug)]
pub struct Claim {
    keys: Arc<Keys>,
    key: KeyClaim,
    status: u32,
    content_type: String,
    /// The body received so far; `None` once it exceeds [`MAX_KEPT_ANSWER_BYTES`].
    body: Option<BytesMut>,
    settled: bool,
}

/// The result of claiming a key.
pub enum ClaimResult {
    /// The request needs no claim.
    Free,
    /// The request may run.
    Granted(Claim),
    /// The request has already run; the kept answer is replayed.
    Replay(KeptAnswer),
}

/// Maximum size of a kept answer, in bytes.
const MAX_KEPT_ANSWER_BYTES: usize = 64 * 1024;
/// Header that marks a replayed answer of an earlier attempt.
const REPLAYED_HEADER: &str = "larkspring-replayed";
/// Retry delay sent while another attempt at the same key is running.
const RUNNING_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Claims the key of a request that has a key and may not be repeated.
pub async fn claim(
    keys: &Arc<Keys>,
    req: &Inbound,
    attempt: &str,
) -> Result<ClaimResult, Refusal> {
    let Some(key) = req.key.as_ref().filter(|_| !req.repeatable) else {
        return Ok(ClaimResult::Free);
    };
    let left = req.deadline.saturating_duration_since(Instant::now());
    let request = xxh3_64(&req.body) ^ xxh3_64(req.target_name().as_bytes());
    let key = KeyClaim::new(&req.caller.name, key, request, attempt.into(), left);
    let answered = keys.claim(&key).await?;
    if let Verdict::Granted = answered.verdict {
        return Ok(ClaimResult::Granted(Claim {
            keys: keys.clone(),
            key,
            status: 0,
            content_type: String::new(),
            body: Some(BytesMut::new()),
            settled: false,
        }));
    }
    refuse_or_replay(answered)
}

/// Builds the response that replays a kept answer.
pub fn replay(answer: KeptAnswer) -> Response {
    let mut res = Response::new(answer.status as u16);
    res.set_body(answer.body.to_vec());
    res.insert_header("content-type", answer.content_type.as_str());
    res.insert_header(REPLAYED_HEADER, "yes");
    res
}

fn refuse_or_replay(answered: ClaimAnswer) -> Result<ClaimResult, Refusal> {
    let unknown = |text: &str| Refusal::unknown(Step::Claim, text);
    let refusal = match (answered.verdict, answered.answer) {
        (Verdict::Ran, Some(answer)) => return Ok(ClaimResult::Replay(answer)),
        (Verdict::Ran, None) => {
            let text = "already ran; its answer is no longer kept";
            Refusal::failed(Step::Claim, text)
        }
        (Verdict::Running, _) => unknown("another attempt at this key is running")
            .retry_after(RUNNING_RETRY_DELAY),
        (Verdict::Mismatch, _) => {
            let text = "this key was used for another request";
            Refusal::failed(Step::Claim, text)
        }
        (Verdict::Full, _) => {
            unknown("too many keys are remembered").retry_after(RUNNING_RETRY_DELAY)
        }
        (Verdict::Granted | Verdict::Unknown | Verdict::Foreign, _) => {
            unknown("an earlier attempt at this key may have run")
        }
    };
    Err(match answered.retry_after {
        Some(wait) => refusal.retry_after(wait),
        None => refusal,
    })
}

impl Claim {
    /// Records the status and content type of the answer.
    pub fn record_head(&mut self, status: u32, content_type: &str) {
        self.status = status;
        self.content_type = content_type.into();
    }

    /// Records a chunk of the answer's body.
    pub fn record_chunk(&mut self, chunk: &Bytes) {
        let fits = |body: &BytesMut| body.len() + chunk.len() <= MAX_KEPT_ANSWER_BYTES;
        match self.body.as_mut().filter(|body| fits(body)) {
            Some(body) => body.extend_from_slice(chunk),
            None => self.body = None,
        }
    }

    /// Settles a request that was refused.
    pub async fn settle_refused(mut self, refusal: &Refusal) {
        let settled = match refusal.outcome {
            Outcome::NotRun => Settled::NotRun,
            Outcome::Unknown | Outcome::Failed => Settled::Unknown,
        };
        self.settled = true;
        self.keys.settle(&self.key, settled, None).await;
    }

    /// Settles a request whose answer is complete.
    pub fn settle_ran(mut self) {
        let answer = self.body.take().map(|body| KeptAnswer {
            status: self.status,
            content_type: std::mem::take(&mut self.content_type),
            body: body.freeze(),
        });
        self.settle_later(Settled::Ran, answer);
    }

    fn settle_later(&mut self, settled: Settled, answer: Option<KeptAnswer>) {
        self.settled = true;
        let (keys, key) = (self.keys.clone(), self.key.clone());
        exec::spawn(async move { keys.settle(&key, settled, answer).await }).detach();
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.settled {
            self.settle_later(Settled::Unknown, None);
        }
    }
}
