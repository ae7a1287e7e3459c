//! Scheduling of adapter loads, unloads and request starts at an agent.
//!
//! The agent records each event and then calls [`EngineScheduler::schedule`] for the
//! actions that follow. Requests that wait for an adapter are kept outside the engine's
//! batch.

mod fresh;
mod limits;
mod loads;
mod order;
mod refuse;
mod residency;
mod window;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

pub use self::limits::{EngineLimits, EvictionPolicy, LoadOrder};
use self::refuse::{draining_refusal, unreachable_refusal};
use self::residency::{Phase, Residency, UseCount};
use self::window::FetchWindow;
use crate::fleet::host_copies::HostCopies;
use crate::ids::{AttemptId, Incarnation, Target, TargetHash};
use crate::outcome::{Refusal, Step};

/// The adapters, waiting requests and running requests of one engine.
#[derive(Debug)]
pub struct EngineScheduler {
    limits: EngineLimits,
    incarnation: Option<Incarnation>,
    adapters: HashMap<Target, Residency>,
    waiting: BTreeMap<AttemptId, QueuedRequest>,
    running: HashMap<AttemptId, Running>,
    failures: HashMap<Target, Failure>,
    /// When adapters were unloaded, while delayed reports may still list them.
    record_unload_end: HashMap<Target, Instant>,
    /// Use counts of adapters that are not resident, for the case that they are loaded
    /// again.
    past_uses: HashMap<Target, UseCount>,
    /// Adapters of which the engine's VM has host-memory copies, so that no fetch is
    /// needed.
    host_copies: HostCopies,
    fetch_window: FetchWindow,
    load_time: Duration,
    service_time: Duration,
    draining: bool,
    reachable: bool,
    /// Whether the engine temporarily can't load adapters.
    loads_paused: bool,
    /// Time before which no adapter is unloaded.
    unloads_allowed_at: Option<Instant>,
}

/// An adapter that an engine reports as resident.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedAdapter {
    /// The exact adapter.
    pub target: Target,
    /// Requests that use the adapter and were not sent by this agent.
    pub other_requests: usize,
}

/// An action for the agent to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Order the engine to load an adapter.
    Load(Target),
    /// Order the engine to unload an adapter.
    Unload(Target),
    /// Send the request to the engine; its adapter is pinned.
    Start(AttemptId),
    /// Answer the request with a refusal.
    Refuse(AttemptId, Refusal),
}

/// A waiting request.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// The exact adapter that the request named.
    pub target: Target,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Arrival time.
    pub arrived_at: Instant,
    /// Deadline of the caller.
    pub deadline: Instant,
    /// Soft deadline: until when the adapter has to be ready for the answer to begin in
    /// time.
    pub soft_deadline: Instant,
    /// Utility of an answer in time, relative to other requests.
    pub utility: f64,
}

#[derive(Debug)]
struct Running {
    target: Target,
    incarnation: Option<Incarnation>,
    since: Instant,
}

#[derive(Debug)]
struct Failure {
    count: u32,
    until: Instant,
}

const INITIAL_LOAD_TIME: Duration = Duration::from_millis(500);
const INITIAL_SERVICE_TIME: Duration = Duration::from_secs(1);
const INITIAL_FAILURE_BACKOFF: Duration = Duration::from_millis(500);
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(30);
/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

impl EngineScheduler {
    /// Creates the state of an engine without known adapters.
    pub fn new(limits: EngineLimits) -> Self {
        Self {
            host_copies: HostCopies::default(),
            fetch_window: FetchWindow::new(limits.max_loading),
            limits,
            incarnation: None,
            adapters: HashMap::new(),
            waiting: BTreeMap::new(),
            running: HashMap::new(),
            failures: HashMap::new(),
            record_unload_end: HashMap::new(),
            past_uses: HashMap::new(),
            load_time: INITIAL_LOAD_TIME,
            service_time: INITIAL_SERVICE_TIME,
            draining: false,
            reachable: false,
            loads_paused: false,
            unloads_allowed_at: None,
        }
    }

    /// Admits a new request, or refuses it at once. Returns whether its adapter is
    /// resident.
    pub fn admit(
        &mut self,
        now: Instant,
        id: AttemptId,
        req: QueuedRequest,
    ) -> Result<bool, Refusal> {
        if self.draining {
            return Err(draining_refusal());
        }
        if !self.reachable {
            return Err(unreachable_refusal());
        }
        if let Some(failure) = self.failures.get(&req.target).filter(|f| f.until > now) {
            let text = "the adapter failed to load here";
            let refusal = Refusal::not_run(Step::Load, text).elsewhere();
            return Err(refusal.retry_after(failure.until - now));
        }
        if self.waiting.len() >= self.limits.max_waiting {
            let refusal = Refusal::not_run(Step::Queue, "the endpoint's queue is full");
            return Err(refusal.elsewhere().retry_after(self.service_time));
        }
        let wait = self.predict(&req.target);
        if now + wait > req.deadline {
            let text = "the request cannot start before its deadline";
            let refusal = Refusal::not_run(Step::Queue, text);
            return Err(refusal.elsewhere().retry_after(wait));
        }
        let resident = self.adapters.get(&req.target).is_some_and(Residency::is_resident);
        self.waiting.insert(id, req);
        Ok(resident)
    }

    /// Returns the number of running and waiting requests.
    pub fn request_count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Withdraws a request that has not started. Returns false if it has.
    pub fn cancel(&mut self, id: AttemptId) -> bool {
        self.waiting.remove(&id).is_some()
    }

    /// Records that a request has ended and the engine holds no state of it.
    pub fn record_request_end(&mut self, now: Instant, id: AttemptId) {
        let Some(run) = self.running.remove(&id) else { return };
        if run.incarnation != self.incarnation {
            return;
        }
        let spent = now.saturating_duration_since(run.since);
        self.service_time = moving_average(self.service_time, spent);
        if let Some(adapter) = self.adapters.get_mut(&run.target) {
            adapter.pins = adapter.pins.saturating_sub(1);
            adapter.last_used = now;
        }
    }

    /// Records the end of a load.
    pub fn record_load_end(&mut self, now: Instant, target: &Target, ok: bool) {
        let Some(adapter) = self.adapters.get_mut(target) else { return };
        let Phase::Loading { since } = adapter.phase else { return };
        if ok {
            adapter.phase = Phase::Resident;
            adapter.last_used = now;
            let spent = now.saturating_duration_since(since);
            self.load_time = moving_average(self.load_time, spent);
            if !self.host_copies.contains(target.hash()) {
                self.fetch_window.record_fetch(now, spent);
            }
            self.failures.remove(target);
            return;
        }
        self.adapters.remove(target);
        let count = self.failures.get(target).map_or(0, |f| f.count) + 1;
        let wait = INITIAL_FAILURE_BACKOFF.saturating_mul(1 << (count - 1).min(16));
        let until = now + wait.min(MAX_FAILURE_BACKOFF);
        self.failures.insert(target.clone(), Failure { count, until });
    }

    /// Returns the highest priority of the requests that wait for `target`, and their
    /// number; `None` if no request waits.
    pub fn demand(&self, target: &Target) -> Option<(u32, u32)> {
        let waiting = self.waiting.values().filter(|req| req.target == *target);
        let (most, count) = waiting.fold((u32::MAX, 0), |(most, count), req| {
            (most.min(req.priority), count + 1)
        });
        (count > 0).then_some((most, count))
    }

    /// Withdraws a load that was not ordered, as no request waits for it any more.
    pub fn cancel_load(&mut self, target: &Target) {
        if self.adapters.get(target).is_some_and(Residency::is_loading) {
            self.adapters.remove(target);
        }
    }

    /// Records the end of an unload; after a failed one the adapter stays resident.
    pub fn record_unload_end(&mut self, now: Instant, target: &Target, ok: bool) {
        let Some(adapter) = self.adapters.get_mut(target) else { return };
        if adapter.phase != Phase::Unloading {
            return;
        }
        if !ok {
            adapter.phase = Phase::Resident;
            return;
        }
        if let Some(adapter) = self.adapters.remove(target) {
            self.keep_uses(now, target, adapter.uses);
        }
        self.host_copies.record_unload(target.hash());
        self.record_unload_end.insert(target.clone(), now);
    }

    /// Records that the engine does not hold an adapter that was believed resident.
    pub fn record_missing_adapter(&mut self, target: &Target) {
        let resident = self.adapters.get(target).is_some_and(|a| a.is_resident());
        if resident {
            self.adapters.remove(target);
        }
    }

    /// Records a report of the engine: its run and its resident adapters.
    ///
    /// A new run holds only the adapters that it reports. Reports of the same run are
    /// delayed, so they only add adapters; a missing adapter is detected when a request
    /// is sent.
    pub fn apply_delayed_report(
        &mut self,
        now: Instant,
        run: &Incarnation,
        holds: &[ReportedAdapter],
    ) {
        self.reachable = true;
        let settle = self.limits.initial_no_unload;
        self.unloads_allowed_at.get_or_insert(now + settle);
        if self.incarnation.as_ref() != Some(run) {
            self.incarnation = Some(run.clone());
            self.adapters.clear();
        }
        self.record_unload_end
            .retain(|_, at| now.saturating_duration_since(*at) < settle);
        for held in holds {
            let known = self.adapters.contains_key(&held.target);
            if !known && self.record_unload_end.contains_key(&held.target) {
                continue;
            }
            let new = || Residency::new(now, Phase::Resident);
            let adapter = self.adapters.entry(held.target.clone()).or_insert_with(new);
            adapter.other_requests = held.other_requests;
        }
    }

    /// Records that the engine could not be reached.
    pub fn record_unreachable(&mut self) {
        self.reachable = false;
    }

    /// Starts or ends draining. Running requests continue; while draining, waiting
    /// requests are refused.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Whether no request waits or runs.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Whether the endpoint is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// The run of the engine, once known.
    pub fn incarnation(&self) -> Option<&Incarnation> {
        self.incarnation.as_ref()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests that currently use `target`.
    pub fn pins(&self, target: &Target) -> usize {
        self.adapters.get(target).map_or(0, |a| a.pins)
    }

    /// Hashes of the adapters that are loaded or loading.
    pub fn resident(&self) -> Vec<TargetHash> {
        let held = self.adapters.iter().filter(|(_, a)| a.is_available());
        held.map(|(target, _)| target.hash()).collect()
    }

    /// Returns the actions to carry out now. The state already assumes that they are
    /// done.
    pub fn schedule(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.draining {
            self.refuse_all(&mut actions, draining_refusal);
            return actions;
        }
        if !self.reachable {
            self.refuse_all(&mut actions, unreachable_refusal);
            return actions;
        }
        self.refuse_failed(now, &mut actions);
        self.schedule_starts(now, &mut actions);
        self.schedule_loads(now, &mut actions);
        actions
    }

    /// Estimates the time until a request for `target` would start.
    fn predict(&self, target: &Target) -> Duration {
        let ahead = self.waiting.len() + self.running.len();
        let rounds = (ahead / self.limits.max_running.max(1)) as u32;
        let queue = self.service_time * rounds;
        match self.adapters.get(target) {
            Some(a) if a.is_resident() => queue,
            Some(_) => queue.max(self.load_time),
            None => {
                let concurrency = self.limits.max_loading.max(1) as u32;
                queue.max(self.load_time * (1 + self.missing_adapters() / concurrency))
            }
        }
    }

    /// Number of adapters that requests wait for and whose loads have not begun.
    fn missing_adapters(&self) -> u32 {
        let mut missing: Vec<_> = self.waiting.values().map(|w| &w.target).collect();
        missing.sort_unstable();
        missing.dedup();
        missing.retain(|target| !self.adapters.contains_key(*target));
        missing.len() as u32
    }

    fn refuse_all(&mut self, actions: &mut Vec<Action>, refusal: fn() -> Refusal) {
        while let Some((id, _)) = self.waiting.pop_first() {
            actions.push(Action::Refuse(id, refusal()));
        }
    }

    fn refuse_failed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let failures = &self.failures;
        let failed = self.waiting.extract_if(.., |_, req| {
            failures.get(&req.target).is_some_and(|f| f.until > now)
        });
        for (id, req) in failed {
            let until = failures[&req.target].until;
            let refusal = Refusal::not_run(Step::Load, "the adapter failed to load")
                .elsewhere()
                .retry_after(until - now);
            actions.push(Action::Refuse(id, refusal));
        }
    }

    fn schedule_starts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for id in self.by_urgency() {
            if self.running.len() >= self.limits.max_running {
                return;
            }
            let target = &self.waiting[&id].target;
            let Some(adapter) = self.adapters.get_mut(target) else { continue };
            if adapter.phase != Phase::Resident {
                continue;
            }
            adapter.pins += 1;
            adapter.last_used = now;
            adapter.uses.add(now);
            let run = Running {
                target: target.clone(),
                incarnation: self.incarnation.clone(),
                since: now,
            };
            self.waiting.remove(&id);
            self.running.insert(id, run);
            actions.push(Action::Start(id));
        }
    }

    /// Returns the waiting requests, the most urgent first.
    fn by_urgency(&self) -> Vec<AttemptId> {
        let mut ids: Vec<_> = self.waiting.keys().copied().collect();
        ids.sort_by_key(|id| {
            let req = &self.waiting[id];
            (req.priority, req.arrived_at, *id)
        });
        ids
    }
}

fn moving_average(old: Duration, sample: Duration) -> Duration {
    old.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT)
}
