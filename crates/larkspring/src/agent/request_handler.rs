//! Handling of one request at the agent, from its arrival to the last byte of the answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::{AsyncReadExt, FutureExt, StreamExt};
use http_types::{Body, Request, Response};
use larkspring_core::engine_scheduler::QueuedRequest;
use larkspring_core::ids::Target;
use larkspring_core::outcome::{Refusal, Step};
use larkspring_proto::agent::{
    dispatch_down, dispatch_up, Begin, DispatchDown, DispatchUp, End, Start,
};
use smol::channel::Sender;
use smol::Timer;
use tonic::{Status, Streaming};
use tracing::Instrument;

use super::backend::{
    ADAPTER_HEADER, INCARNATION_HEADER, PRIORITY_HEADER, REQUEST_ID_HEADER,
};
use super::endpoint::{Endpoint, RequestSlot};
use super::report_poll::SERVICE_VERSION;
use super::START_TIMEOUT;
use crate::convert::refusal_to_wire;
use crate::exec::{self, with_timeout};
use crate::rpc::credit::{units, Credit, MAX_CHUNK_BYTES};
use crate::telemetry::TraceParent;

/// Sender of messages to the entry.
pub type DownSender = Sender<Result<DispatchDown, Status>>;

/// Last event of an engine's streamed answer; without it the answer is incomplete.
const STREAM_END: &[u8] = b"data: [DONE]\n\n";
const EVENT_STREAM: &str = "text/event-stream";
const NO_FRAMING: &str = "the endpoint's answer has neither a length nor chunks";
/// Attempts to get the rest of an answer after the connection broke.
const MAX_RESUME_ATTEMPTS: u32 = 2;
const RESUME_DELAY: Duration = Duration::from_millis(50);
/// Maximum time that a request waits for the declared state used by its entry: the time
/// within which a change is to be in force everywhere.
const MAX_REVISION_WAIT: Duration = Duration::from_secs(4);

/// Serves one call of an entry until the call ends.
pub async fn run(
    endpoint: Arc<Endpoint>,
    mut up: Streaming<DispatchUp>,
    down: DownSender,
) {
    let first = with_timeout(START_TIMEOUT, up.next()).await.flatten();
    let Some(Ok(DispatchUp { kind: Some(dispatch_up::Kind::Start(start)) })) = first
    else {
        let _ = down.send(Err(Status::invalid_argument("`start` is missing"))).await;
        return;
    };
    let credit = Arc::new(Credit::default());
    credit.grant(start.credit);
    let reader = exec::spawn(read_credit(up, credit.clone()));
    let trace = TraceParent::child(Some(&start.traceparent));
    let span = tracing::info_span!(
        "agent",
        trace = trace.trace,
        span = trace.span,
        attempt = start.attempt,
        endpoint = endpoint.name()
    );
    let job = AgentRequestHandler { endpoint, start, credit, down, trace };
    job.run().instrument(span).await;
    drop(reader);
}

/// Applies the entry's credit messages until the entry ends the call.
async fn read_credit(mut up: Streaming<DispatchUp>, credit: Arc<Credit>) {
    while let Some(Ok(message)) = up.next().await {
        if let Some(dispatch_up::Kind::Credit(more)) = message.kind {
            credit.grant(more.units);
        }
    }
    credit.close();
}

struct AgentRequestHandler {
    endpoint: Arc<Endpoint>,
    start: Start,
    credit: Arc<Credit>,
    down: DownSender,
    trace: TraceParent,
}

/// Why a request ends before its answer is complete.
enum Abort {
    /// The entry ended the call; no answer is needed.
    EntryGone,
    /// The refusal is sent to the entry.
    Refused(Refusal),
}

impl From<Refusal> for Abort {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// An answer that is being relayed.
struct RelayedAnswer {
    body: Body,
    /// Bytes relayed so far.
    sent: u64,
    /// Declared length of the answer in bytes, if any.
    len: Option<u64>,
    /// Whether the answer is an event stream.
    is_event_stream: bool,
    tail: LastBytes,
}

/// The last bytes of an answer.
#[derive(Default)]
struct LastBytes(Vec<u8>);

impl AgentRequestHandler {
    async fn run(&self) {
        let deadline = Instant::now() + Duration::from_millis(self.start.deadline_ms);
        match self.serve(deadline).await {
            Ok(()) => self.endpoint.metrics.increment("requests", "outcome", "ok"),
            Err(Abort::EntryGone) => {
                self.endpoint.metrics.increment("requests", "outcome", "gone");
                tracing::info!("request cancelled: the entry ended the call");
            }
            Err(Abort::Refused(refusal)) => {
                let outcome = refusal.outcome.name();
                self.endpoint.metrics.increment("requests", "outcome", outcome);
                tracing::info!(%refusal, "refused");
                let refusal = refusal_to_wire(refusal, Some(self.endpoint.load_report()));
                let _ = self.send_message(dispatch_down::Kind::Refusal(refusal)).await;
            }
        }
    }

    async fn serve(&self, deadline: Instant) -> Result<(), Abort> {
        let target = self.target(deadline).await?;
        let arrived_at = Instant::now();
        let waiting = QueuedRequest {
            target: target.clone(),
            priority: self.start.priority,
            arrived_at,
            deadline,
            soft_deadline: deadline,
            utility: 1.0,
        };
        let mut slot = self.endpoint.enqueue(waiting)?;
        let deadline_refusal = || deadline_refusal(Step::Queue, Refusal::not_run);
        self.with_deadline(deadline, deadline_refusal, async {
            Ok(slot.wait_granted().await?)
        })
        .await?;
        let load_wait = if slot.resident { Duration::ZERO } else { arrived_at.elapsed() };
        // Boxed, so that the memory of this step is freed before the relay, the longest
        // step.
        let mut res = Box::pin(self.send(&mut slot, &target, deadline)).await?;
        let mut answer = RelayedAnswer::new(&res);
        self.send_begin(&res, load_wait).await?;
        answer.body = res.take_body();
        self.relay(&mut slot, answer, deadline).await?;
        slot.mark_out_of_engine();
        drop(slot);
        let end = End { hint: Some(self.endpoint.load_report()) };
        self.send_message(dispatch_down::Kind::End(end)).await
    }

    /// Returns the requested adapter version once it is declared in this process too.
    async fn target(&self, deadline: Instant) -> Result<Target, Refusal> {
        if let Some(service) = &self.start.service {
            return Ok(Target::new(&service.service, SERVICE_VERSION));
        }
        let Some(model) = &self.start.model else {
            return Err(Refusal::not_run(Step::Resolve, "the request names no target"));
        };
        let target = Target::new(&model.adapter, &model.version);
        self.wait_for_revision(deadline).await;
        match self.endpoint.in_force.state().weights_location(&target) {
            Some(_) => Ok(target),
            None => {
                let text = format!("`{target}` is not declared here yet");
                let refusal = Refusal::not_run(Step::Resolve, text).elsewhere();
                Err(refusal.retry_after(Duration::from_secs(1)))
            }
        }
    }

    /// Waits for the revision of the declared state that the entry used, as a change may
    /// reach the entry first.
    async fn wait_for_revision(&self, deadline: Instant) {
        let (in_force, wanted) = (&self.endpoint.in_force, self.start.revision);
        let known = in_force.state().revision;
        if known >= wanted {
            return;
        }
        tracing::info!(known, wanted, "the request waits for the declared state");
        let left = deadline.saturating_duration_since(Instant::now());
        with_timeout(left.min(MAX_REVISION_WAIT), in_force.wait_for_revision(wanted))
            .await;
    }

    /// Sends the request and checks that the expected adapter and run begin to answer.
    async fn send(
        &self,
        slot: &mut RequestSlot,
        target: &Target,
        deadline: Instant,
    ) -> Result<Response, Abort> {
        let run = self.endpoint.incarnation();
        let req = self.request(slot)?;
        let sock = self.endpoint.backend.connect().await.map_err(|e| {
            self.endpoint.mark_unreachable();
            let refusal = Refusal::not_run(Step::Send, e.to_string()).elsewhere();
            refusal.retry_after(Duration::from_secs(1))
        })?;
        if self.endpoint.incarnation() != run {
            let text = "the engine restarted before the request was sent";
            return Err(Refusal::not_run(Step::Send, text).elsewhere().into());
        }
        slot.mark_in_engine();
        let deadline_refusal = || deadline_refusal(Step::Begin, Refusal::unknown);
        let exchange = async {
            let sent = self.endpoint.backend.send(sock, req).await;
            sent.map_err(|e| Abort::from(Refusal::unknown(Step::Begin, e.to_string())))
        };
        let res = self.with_deadline(deadline, deadline_refusal, exchange).await?;
        self.check_head(slot, &res, target, run.as_deref())?;
        let is_head = self.start.service.as_ref().is_some_and(|of| of.method == "HEAD");
        match is_head || is_readable(&res) {
            true => Ok(res),
            false => Err(Refusal::failed(Step::Begin, NO_FRAMING).into()),
        }
    }

    /// Checks the head of an answer.
    fn check_head(
        &self,
        slot: &mut RequestSlot,
        res: &Response,
        target: &Target,
        run: Option<&str>,
    ) -> Result<(), Refusal> {
        if self.start.service.is_some() {
            return Ok(());
        }
        let status = res.status() as u16;
        if let 404 | 429 | 503 = status {
            slot.mark_out_of_engine();
            if status == 404 {
                self.endpoint.mark_not_resident(target);
            }
            let text = format!("the engine did not take the request: {status}");
            let refusal = Refusal::not_run(Step::Begin, text).elsewhere();
            return Err(refusal.retry_after(Duration::from_millis(500)));
        }
        if status != 200 {
            return Ok(());
        }
        let header = |name: &str| res.header(name).map(|v| v.as_str());
        let exact = header(ADAPTER_HEADER) == Some(&target.to_string());
        if exact && header(INCARNATION_HEADER) == run {
            return Ok(());
        }
        let text = "another adapter or another run of the engine began to answer";
        Err(Refusal::failed(Step::Begin, text).elsewhere())
    }

    fn request(&self, slot: &RequestSlot) -> Result<Request, Refusal> {
        let backend = &self.endpoint.backend;
        let built = match (&self.start.model, &self.start.service) {
            (Some(model), _) => backend.model_request(model),
            (None, Some(service)) => backend.service_request(service),
            (None, None) => {
                let text = "the request names no target";
                return Err(Refusal::not_run(Step::Resolve, text));
            }
        };
        let built = built.map_err(|e| Refusal::not_run(Step::Send, e.to_string()));
        let mut req = built?;
        req.insert_header(REQUEST_ID_HEADER, self.endpoint.request_id(slot.id));
        req.insert_header(PRIORITY_HEADER, self.start.priority.to_string());
        req.insert_header("traceparent", self.trace.to_string());
        if !self.start.body.is_empty() {
            req.set_body(self.start.body.to_vec());
            req.insert_header("content-type", self.start.content_type.as_str());
        }
        Ok(req)
    }

    async fn send_begin(&self, res: &Response, load_wait: Duration) -> Result<(), Abort> {
        let content_type = res.header("content-type").map(|v| v.as_str().to_owned());
        let begin = Begin {
            status: (res.status() as u16).into(),
            content_type: content_type.unwrap_or_default(),
            hint: Some(self.endpoint.load_report()),
            load_wait_us: load_wait.as_micros() as u64,
        };
        self.send_message(dispatch_down::Kind::Begin(begin)).await
    }

    /// Relays an answer to its end; an engine's interrupted stream is resumed.
    async fn relay(
        &self,
        slot: &mut RequestSlot,
        mut answer: RelayedAnswer,
        deadline: Instant,
    ) -> Result<(), Abort> {
        let mut resumes = 0;
        loop {
            let deadline_refusal = || deadline_refusal(Step::Stream, Refusal::failed);
            let broken = match self
                .with_deadline(deadline, deadline_refusal, self.relay_body(&mut answer))
                .await
            {
                Ok(()) if answer.is_complete() => return Ok(()),
                Ok(()) => "the answer was cut off".to_owned(),
                Err(Abort::Refused(r)) if r.elsewhere => r.message,
                Err(stop) => return Err(stop),
            };
            resumes += 1;
            let resumable = self.start.model.is_some() && answer.is_event_stream;
            if !resumable || resumes > MAX_RESUME_ATTEMPTS {
                return Err(Refusal::failed(Step::Stream, broken).into());
            }
            tracing::info!(offset = answer.sent, "resuming an interrupted answer");
            Timer::after(RESUME_DELAY).await;
            answer.body = self.resume(slot, answer.sent).await?;
        }
    }

    /// Relays the body as it arrives; a broken connection gives a refusal marked
    /// `elsewhere`.
    async fn relay_body(&self, answer: &mut RelayedAnswer) -> Result<(), Abort> {
        let mut buf = vec![0; MAX_CHUNK_BYTES];
        loop {
            let read = answer.body.read(&mut buf).await;
            let n = read.map_err(|e| {
                Refusal::failed(Step::Stream, format!("the endpoint broke off: {e}"))
                    .elsewhere()
            })?;
            if n == 0 {
                return Ok(());
            }
            answer.record(&buf[..n]);
            if !self.credit.take(units(n)).await {
                return Err(Abort::EntryGone);
            }
            let chunk = Bytes::copy_from_slice(&buf[..n]);
            self.send_message(dispatch_down::Kind::Chunk(chunk)).await?;
        }
    }

    /// Gets the rest of an answer from the same run of the engine.
    async fn resume(&self, slot: &RequestSlot, offset: u64) -> Result<Body, Refusal> {
        let backend = &self.endpoint.backend;
        let fail = |cause: String| {
            let text = format!("the answer can't be resumed: {cause}");
            Refusal::failed(Step::Stream, text)
        };
        let run = self.endpoint.incarnation();
        let id = self.endpoint.request_id(slot.id);
        let req = backend.resume_request(&id, offset);
        let req = req.map_err(|e| fail(e.to_string()))?;
        let sock = backend.connect().await.map_err(|e| fail(e.to_string()))?;
        let mut res = backend.send(sock, req).await.map_err(|e| fail(e.to_string()))?;
        let same_run =
            res.header(INCARNATION_HEADER).map(|v| v.as_str()) == run.as_deref();
        match res.status() as u16 {
            200 if same_run && is_readable(&res) => Ok(res.take_body()),
            200 if same_run => Err(fail(NO_FRAMING.into())),
            200 => Err(fail("the engine restarted".into())),
            status => Err(fail(format!("the engine answered {status}"))),
        }
    }

    /// Runs `work` until it ends, the deadline passes or the entry ends the call.
    async fn with_deadline<T>(
        &self,
        deadline: Instant,
        deadline_refusal: impl FnOnce() -> Refusal,
        work: impl std::future::Future<Output = Result<T, Abort>>,
    ) -> Result<T, Abort> {
        let gone = async {
            self.credit.closed().await;
            Err(Abort::EntryGone)
        };
        let timer = async {
            Timer::at(deadline).await;
            Err(deadline_refusal().into())
        };
        work.or(gone).or(timer).await
    }

    async fn send_message(&self, kind: dispatch_down::Kind) -> Result<(), Abort> {
        let message = DispatchDown { kind: Some(kind) };
        self.down.send(Ok(message)).await.map_err(|_| Abort::EntryGone)
    }
}

impl RelayedAnswer {
    fn new(res: &Response) -> Self {
        let is_event_stream = res
            .header("content-type")
            .is_some_and(|v| v.as_str().starts_with(EVENT_STREAM));
        let len = res.len().map(|len| len as u64);
        Self {
            body: Body::empty(),
            sent: 0,
            len,
            is_event_stream,
            tail: LastBytes::default(),
        }
    }

    fn record(&mut self, chunk: &[u8]) {
        self.sent += chunk.len() as u64;
        if self.is_event_stream {
            self.tail.push(chunk);
        }
    }

    fn is_complete(&self) -> bool {
        match self.is_event_stream {
            true => self.tail.0 == STREAM_END,
            false => self.len.is_none_or(|len| len == self.sent),
        }
    }
}

impl LastBytes {
    fn push(&mut self, chunk: &[u8]) {
        self.0.extend_from_slice(chunk);
        let extra = self.0.len().saturating_sub(STREAM_END.len());
        self.0.drain(..extra);
    }
}

/// Returns whether the HTTP client reads the body of an answer: it takes one that ends with
/// the connection for empty.
fn is_readable(res: &Response) -> bool {
    let is_chunked = res
        .header("transfer-encoding")
        .is_some_and(|codings| codings.last().as_str() == "chunked");
    let has_no_body = matches!(res.status() as u16, 100..=199 | 204 | 304);
    has_no_body || is_chunked || res.header("content-length").is_some()
}

fn deadline_refusal(step: Step, outcome: fn(Step, &'static str) -> Refusal) -> Refusal {
    outcome(step, "the deadline passed")
}
