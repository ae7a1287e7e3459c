//! Stand-in for a model engine: adapter slots, continuous batching and restarts.
//!
//! A step generates one token for each request of the batch. As on an accelerator, it
//! takes a base time up to a number of requests (the knee), and more time for each
//! further request.

mod generation;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use http_types::{Body, Method, Request, Response};
use larkspring::exec;
use larkspring::http::client::{fetch, request};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol::Timer;

use self::generation::{stream, Generation};
use crate::web::{json_response, query_param, read_json, text_response, HttpStandin};

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    weights: Option<String>,
    state: Mutex<State>,
}

/// Behaviour and faults of the engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Number of adapter slots.
    pub slots: usize,
    /// Maximum number of requests in a batch.
    pub max_batch: usize,
    /// Batch size up to which a step takes its base time.
    pub knee: usize,
    /// Base time of a step, in microseconds.
    pub step_us: u64,
    /// Additional time of a step for each request over the knee, in microseconds.
    pub over_knee_us: u64,
    /// Number of next loads that fail.
    pub fail_loads: u64,
    /// Target that the next load takes instead of the ordered one.
    pub load_wrong: Option<String>,
    /// Number of tokens after which the connection of the next streamed answer breaks.
    pub break_after: Option<u64>,
    /// Whether an interrupted answer can be resumed.
    pub resumable: bool,
    /// Whether token generation is suspended.
    pub frozen: bool,
    /// Whether requests run without ever being answered.
    pub hang: bool,
    /// Whether load and unload orders with an old epoch are refused.
    pub checks_fences: bool,
    /// Delay of the load reports, in milliseconds.
    pub report_lag_ms: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slots: 8,
            max_batch: 64,
            knee: 16,
            step_us: 20_000,
            over_knee_us: 200,
            fail_loads: 0,
            load_wrong: None,
            break_after: None,
            resumable: true,
            frozen: false,
            hang: false,
            checks_fences: true,
            report_lag_ms: 200,
        }
    }
}

/// Counts and present state of the engine.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Id of the present run.
    pub incarnation: String,
    /// Requests that began to run, as `adapter@version prompt`.
    pub runs: Vec<String>,
    /// Number of requests cancelled before their end.
    pub cancelled: u64,
    /// Number of requests in progress.
    pub running: usize,
    /// Targets that are loaded now.
    pub resident: Vec<String>,
    /// Number of successful loads.
    pub loads: u64,
    /// Number of unloads of an adapter while a request used it.
    pub unloads_in_use: u64,
    /// Number of orders refused for an old epoch.
    pub fenced: u64,
    /// Number of steps with at least one request.
    pub steps: u64,
    /// Number of generated tokens.
    pub tokens: u64,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    stats: Stats,
    loaded: BTreeSet<String>,
    loading: usize,
    generations: BTreeMap<String, Arc<Generation>>,
    epoch: u64,
    reports: VecDeque<(std::time::Instant, serde_json::Value)>,
}

#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

#[derive(Debug, Deserialize)]
struct Order {
    adapter: String,
    #[serde(default)]
    weights: String,
}

/// A refusal, as HTTP status and reason.
struct Refusal(u16, &'static str);

impl From<Refusal> for Response {
    fn from(refusal: Refusal) -> Self {
        text_response(refusal.0, refusal.1)
    }
}

fn default_tokens() -> u64 {
    16
}

/// Maximum number of load reports that are kept to be returned with a delay.
const MAX_REPORTS: usize = 64;
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);

impl Engine {
    /// Starts an engine that fetches from the weight store at `weights`. Without a store,
    /// loads take no time.
    pub fn new(weights: Option<String>, faults: Faults) -> Arc<Self> {
        let stats = Stats { incarnation: new_incarnation(), ..Stats::default() };
        let state = State {
            faults,
            stats,
            loaded: BTreeSet::new(),
            loading: 0,
            generations: BTreeMap::new(),
            epoch: 0,
            reports: VecDeque::new(),
        };
        let engine = Arc::new(Self { weights, state: Mutex::new(state) });
        exec::spawn(engine.clone().run_steps()).detach();
        engine
    }

    async fn run_steps(self: Arc<Self>) {
        loop {
            let wait = self.state.lock().step();
            Timer::after(wait).await;
        }
    }

    fn restart(&self) -> Response {
        let mut state = self.state.lock();
        state.stats.incarnation = new_incarnation();
        state.loaded.clear();
        state.reports.clear();
        for generation in std::mem::take(&mut state.generations).into_values() {
            generation.finish(true);
        }
        text_response(200, "")
    }

    async fn complete(&self, mut req: Request, chat: bool) -> Response {
        let completion: Completion = match read_json(&mut req).await {
            Ok(completion) => completion,
            Err(res) => return res,
        };
        let header = |name: &str| req.header(name).map(|v| v.as_str().to_owned());
        let id = header("x-request-id").unwrap_or_else(|| fastrand::u64(..).to_string());
        let priority = header("x-priority").and_then(|v| v.parse().ok()).unwrap_or(5);
        let prompt = match completion.messages.last() {
            Some(message) => message.content.clone(),
            None => completion.prompt,
        };
        let generation = Arc::new(Generation {
            id: id.clone(),
            adapter: completion.model,
            prompt,
            chat,
            stream: completion.stream,
            max_tokens: completion.max_tokens.max(1),
            priority,
            output: Mutex::default(),
        });
        let (head, hang) = match self.state.lock().admit(&generation) {
            Ok(entered) => entered,
            Err(refusal) => return refusal.into(),
        };
        if hang {
            std::future::pending::<()>().await;
        }
        if completion.stream {
            return stream(head, generation, 0);
        }
        let waiting = generation.clone();
        std::future::poll_fn(move |cx| waiting.poll_done(cx)).await;
        match generation.full_answer() {
            Some(body) => {
                let mut res = head;
                res.set_body(Body::from_string(body));
                res.insert_header("content-type", "application/json");
                res
            }
            None => stream(head, generation, 0),
        }
    }

    fn resume(&self, id: &str, req: &Request) -> Response {
        let from = query_param(req, "from").and_then(|v| v.parse().ok()).unwrap_or(0);
        let state = self.state.lock();
        let generation = match state.generations.get(id) {
            Some(generation) if state.faults.resumable => generation.clone(),
            _ => return text_response(404, "no such stream"),
        };
        generation.output.lock().break_at = None;
        stream(state.response_head(&generation.adapter), generation, from)
    }

    fn cancel(&self, id: &str) -> Response {
        let mut state = self.state.lock();
        let Some(generation) = state.generations.remove(id) else {
            return text_response(404, "no such request");
        };
        if !generation.output.lock().done {
            state.stats.cancelled += 1;
        }
        generation.finish(true);
        text_response(200, "")
    }

    async fn load(&self, req: &mut Request) -> Response {
        let epoch = epoch_header(req);
        let order: Order = match read_json(req).await {
            Ok(order) => order,
            Err(res) => return res,
        };
        if let Err(refusal) = self.state.lock().begin_load(epoch) {
            return refusal.into();
        }
        let incarnation = self.state.lock().stats.incarnation.clone();
        let fetched = self.fetch_weights(&order.weights).await;
        let mut state = self.state.lock();
        state.loading -= 1;
        if incarnation != state.stats.incarnation {
            return text_response(503, "restarted");
        }
        if !fetched || state.faults.fail_loads > 0 {
            state.faults.fail_loads = state.faults.fail_loads.saturating_sub(1);
            return text_response(500, "the load failed");
        }
        let adapter = state.faults.load_wrong.take().unwrap_or(order.adapter);
        state.loaded.insert(adapter.clone());
        state.stats.loads += 1;
        json_response(&json!({ "adapter": adapter, "incarnation": incarnation }))
    }

    async fn fetch_weights(&self, path: &str) -> bool {
        let Some(addr) = &self.weights else { return true };
        let Ok(req) = request(Method::Get, addr, &format!("/{path}")) else {
            return false;
        };
        let fetched = fetch(addr, req, LOAD_TIMEOUT).await;
        fetched.is_ok_and(|(res, _)| res.status() == 200)
    }

    async fn unload(&self, req: &mut Request) -> Response {
        let epoch = epoch_header(req);
        let order: Order = match read_json(req).await {
            Ok(order) => order,
            Err(res) => return res,
        };
        let mut state = self.state.lock();
        if let Err(refusal) = state.check_epoch(epoch) {
            return refusal.into();
        }
        let in_use = |generation: &Arc<Generation>| {
            generation.adapter == order.adapter && !generation.output.lock().done
        };
        if state.generations.values().any(in_use) {
            state.stats.unloads_in_use += 1;
        }
        state.loaded.remove(&order.adapter);
        let incarnation = state.stats.incarnation.clone();
        json_response(&json!({ "adapter": order.adapter, "incarnation": incarnation }))
    }

    async fn set_faults(&self, req: &mut Request) -> Response {
        match read_json(req).await {
            Ok(faults) => {
                self.state.lock().faults = faults;
                text_response(200, "")
            }
            Err(res) => res,
        }
    }
}

impl HttpStandin for Engine {
    async fn answer(self: Arc<Self>, mut req: Request) -> Response {
        let path = req.url().path().to_owned();
        match (req.method(), &*path) {
            (Method::Post, "/v1/completions") => self.complete(req, false).await,
            (Method::Post, "/v1/chat/completions") => self.complete(req, true).await,
            (Method::Post, "/v1/load_lora_adapter") => self.load(&mut req).await,
            (Method::Post, "/v1/unload_lora_adapter") => self.unload(&mut req).await,
            (Method::Get, "/v1/load") => self.state.lock().delayed_report(),
            (Method::Get, "/stats") => json_response(&self.state.lock().current_stats()),
            (Method::Get, "/totals") => {
                let stats = Stats { runs: vec![], ..self.state.lock().current_stats() };
                json_response(&stats)
            }
            (Method::Get, "/faults") => json_response(&self.state.lock().faults),
            (Method::Post, "/faults") => self.set_faults(&mut req).await,
            (Method::Post, "/restart") => self.restart(),
            _ => match path.rsplit_once('/') {
                Some(("/v1/cancel", id)) => self.cancel(id),
                Some(("/v1/streams", id)) => self.resume(id, &req),
                _ => text_response(404, "no such path"),
            },
        }
    }
}

impl State {
    /// Performs one step and returns its duration.
    fn step(&mut self) -> Duration {
        let base = Duration::from_micros(self.faults.step_us);
        if self.faults.frozen {
            return base;
        }
        let mut batch: Vec<_> = self
            .generations
            .values()
            .filter(|generation| generation.needs_token())
            .cloned()
            .collect();
        batch.sort_by_key(|generation| generation.priority);
        batch.truncate(self.faults.max_batch);
        for generation in &batch {
            generation.add_token(&mut self.faults.break_after);
        }
        if !batch.is_empty() {
            self.stats.steps += 1;
            self.stats.tokens += batch.len() as u64;
        }
        let over = batch.len().saturating_sub(self.faults.knee) as u32;
        base + Duration::from_micros(self.faults.over_knee_us) * over
    }

    fn admit(
        &mut self,
        generation: &Arc<Generation>,
    ) -> Result<(Response, bool), Refusal> {
        if !self.loaded.contains(&generation.adapter) {
            return Err(Refusal(404, "the adapter is not loaded"));
        }
        self.generations.retain(|_, generation| !generation.is_fully_read());
        self.stats.runs.push(format!("{} {}", generation.adapter, generation.prompt));
        self.generations.insert(generation.id.clone(), generation.clone());
        Ok((self.response_head(&generation.adapter), self.faults.hang))
    }

    fn response_head(&self, adapter: &str) -> Response {
        let mut res = Response::new(200);
        res.insert_header("x-engine-incarnation", self.stats.incarnation.as_str());
        res.insert_header("x-engine-adapter", adapter);
        res
    }

    fn begin_load(&mut self, epoch: u64) -> Result<(), Refusal> {
        self.check_epoch(epoch)?;
        if self.loaded.len() + self.loading >= self.faults.slots {
            return Err(Refusal(409, "no free slot"));
        }
        self.loading += 1;
        Ok(())
    }

    fn check_epoch(&mut self, epoch: u64) -> Result<(), Refusal> {
        if self.faults.checks_fences && epoch < self.epoch {
            self.stats.fenced += 1;
            return Err(Refusal(403, "an old epoch"));
        }
        self.epoch = self.epoch.max(epoch);
        Ok(())
    }

    /// Records a load report and returns an earlier one, delayed by `report_lag_ms`.
    fn delayed_report(&mut self) -> Response {
        let now = std::time::Instant::now();
        let running: Vec<_> = self
            .generations
            .values()
            .filter(|generation| !generation.output.lock().done)
            .map(|generation| {
                json!({ "id": generation.id, "adapter": generation.adapter })
            })
            .collect();
        let report = json!({
            "incarnation": self.stats.incarnation,
            "resident": self.loaded,
            "running": running,
        });
        self.reports.push_back((now, report));
        let lag = Duration::from_millis(self.faults.report_lag_ms);
        let old = |at: &std::time::Instant| now.duration_since(*at) >= lag;
        while self.reports.len() > MAX_REPORTS
            || self.reports.get(1).is_some_and(|(at, _)| old(at))
        {
            self.reports.pop_front();
        }
        json_response(&self.reports.front().map(|(_, report)| report))
    }

    fn current_stats(&self) -> Stats {
        let mut stats = self.stats.clone();
        stats.running = self
            .generations
            .values()
            .filter(|generation| !generation.output.lock().done)
            .count();
        stats.resident = self.loaded.iter().cloned().collect();
        stats
    }
}

fn epoch_header(req: &Request) -> u64 {
    req.header("x-epoch").and_then(|v| v.as_str().parse().ok()).unwrap_or(0)
}

fn new_incarnation() -> String {
    format!("{:016x}", fastrand::u64(..))
}
