//! One request that runs at most once: its claim, and what is settled at its end.

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
use super::keys::{Answered, KeyAsk, Keys};
use crate::exec;

/// The right to run a request; settled when the request ends.
#[derive(Debug)]
pub struct Claim {
    keys: Arc<Keys>,
    key: KeyAsk,
    status: u32,
    content_type: String,
    /// The answer so far; `None` once it is too long to be kept.
    body: Option<BytesMut>,
    settled: bool,
}

/// What a claim came to.
pub enum Claimed {
    /// The request needs no claim.
    Free,
    /// The request may run.
    Granted(Claim),
    /// It has run; this is its answer.
    Replay(KeptAnswer),
}

/// Bytes of the longest answer that is kept.
const MAX_KEPT: usize = 64 * 1024;
/// Header that marks the kept answer of an earlier attempt.
const REPLAYED: &str = "larkspring-replayed";
/// When to ask again for a request that runs.
const RUNNING_RETRY: Duration = Duration::from_secs(1);

/// Claims the key of a request that has one and may not be repeated.
pub async fn claim(
    keys: &Arc<Keys>,
    req: &Inbound,
    attempt: &str,
) -> Result<Claimed, Refusal> {
    let Some(key) = req.key.as_ref().filter(|_| !req.repeatable) else {
        return Ok(Claimed::Free);
    };
    let left = req.deadline.saturating_duration_since(Instant::now());
    let request = xxh3_64(&req.body) ^ xxh3_64(req.target_name().as_bytes());
    let key = KeyAsk::new(&req.caller.name, key, request, attempt.into(), left);
    let answered = keys.claim(&key).await?;
    if let Verdict::Granted = answered.verdict {
        return Ok(Claimed::Granted(Claim {
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

/// Builds the response that repeats a kept answer.
pub fn replay(answer: KeptAnswer) -> Response {
    let mut res = Response::new(answer.status as u16);
    res.set_body(answer.body.to_vec());
    res.insert_header("content-type", answer.content_type.as_str());
    res.insert_header(REPLAYED, "yes");
    res
}

fn refuse_or_replay(answered: Answered) -> Result<Claimed, Refusal> {
    let unknown = |text: &str| Refusal::unknown(Step::Claim, text);
    let refusal = match (answered.verdict, answered.answer) {
        (Verdict::Ran, Some(answer)) => return Ok(Claimed::Replay(answer)),
        (Verdict::Ran, None) => {
            let text = "already ran; its answer is no longer kept";
            Refusal::failed(Step::Claim, text)
        }
        (Verdict::Running, _) => {
            unknown("another attempt at this key is running").retry_after(RUNNING_RETRY)
        }
        (Verdict::Mismatch, _) => {
            let text = "this key was used for another request";
            Refusal::failed(Step::Claim, text)
        }
        (Verdict::Full, _) => {
            unknown("too many keys are remembered").retry_after(RUNNING_RETRY)
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
    /// Notes the head of the answer.
    pub fn begin(&mut self, status: u32, content_type: &str) {
        self.status = status;
        self.content_type = content_type.into();
    }

    /// Notes a part of the answer.
    pub fn took(&mut self, chunk: &Bytes) {
        let fits = |body: &BytesMut| body.len() + chunk.len() <= MAX_KEPT;
        match self.body.as_mut().filter(|body| fits(body)) {
            Some(body) => body.extend_from_slice(chunk),
            None => self.body = None,
        }
    }

    /// Settles a request that ended without an answer.
    pub async fn refused(mut self, refusal: &Refusal) {
        let settled = match refusal.outcome {
            Outcome::NotRun => Settled::NotRun,
            Outcome::Unknown | Outcome::Failed => Settled::Unknown,
        };
        self.settled = true;
        self.keys.settle(&self.key, settled, None).await;
    }

    /// Settles a request whose answer is whole.
    pub fn ran(mut self) {
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
