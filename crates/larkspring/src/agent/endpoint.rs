//! State of the agent's endpoint, and execution of the actions that its changes require.

use std::collections::HashMap;
use std::fmt::{self, Debug, Formatter};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use event_listener::Event;
use larkspring_core::declared::Serves;
use larkspring_core::ids::{AttemptId, Incarnation, Target};
use larkspring_core::outcome::Refusal;
use larkspring_core::slots::{Action, Held, Slots, Waiting};
use larkspring_proto::agent::Hint;
use parking_lot::Mutex;
use smol::channel::{bounded, Receiver, Sender};
use smol::Timer;

use super::backend::{Backend, Report};
use super::fence::Fence;
use super::load_permits::LoadPermits;
use crate::exec::{self, within};
use crate::in_force::InForce;
use crate::settings::AgentCfg;
use crate::telemetry::Metrics;

/// The endpoint of an agent.
pub struct Endpoint {
    cfg: AgentCfg,
    slots: Mutex<Slots>,
    verdicts: Mutex<HashMap<AttemptId, Sender<Verdict>>>,
    next_id: AtomicU64,
    changed: Event,
    stopping: AtomicBool,
    /// VM of the endpoint.
    vm: String,
    /// Client of the engine or service.
    pub backend: Backend,
    /// The declared state in force in this process.
    pub in_force: Arc<InForce>,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// The endpoint's epoch.
    pub fence: Fence,
    load_permits: LoadPermits,
}

/// Whether a waiting request may run.
type Verdict = Result<(), Refusal>;

/// A request's place in the queue and then in the engine, released when dropped.
pub struct RequestSlot {
    endpoint: Arc<Endpoint>,
    /// The id of the request at this agent.
    pub id: AttemptId,
    verdict: Receiver<Verdict>,
    /// Whether the request's adapter was resident when the request arrived.
    pub resident: bool,
    /// Whether the engine may hold state of the request.
    in_engine: bool,
}

/// Pause after an order that could not be sent.
const SKIPPED_ORDER_PAUSE: Duration = Duration::from_secs(1);
/// Interval between cancel calls for a request until the engine confirms.
const CANCEL_INTERVAL: Duration = Duration::from_millis(200);

impl Endpoint {
    /// Creates the state of an endpoint before the first report.
    pub fn new(
        cfg: AgentCfg,
        vm: &str,
        in_force: Arc<InForce>,
        metrics: Metrics,
        fence: Fence,
        load_permits: LoadPermits,
    ) -> Self {
        Self {
            slots: Mutex::new(Slots::new(super::limits(&cfg))),
            verdicts: Mutex::default(),
            next_id: AtomicU64::new(1),
            changed: Event::new(),
            stopping: AtomicBool::new(false),
            vm: vm.into(),
            backend: Backend::new(&cfg.backend),
            in_force,
            metrics,
            fence,
            load_permits,
            cfg,
        }
    }

    /// Returns the name of the endpoint.
    pub fn name(&self) -> &str {
        &self.cfg.endpoint
    }

    /// Returns the agent's settings.
    pub fn cfg(&self) -> &AgentCfg {
        &self.cfg
    }

    /// Returns the name of the plain service; `None` if the endpoint is an engine.
    pub fn service(&self) -> Option<Arc<str>> {
        let state = self.in_force.state();
        match &state.endpoint(self.name())?.serves {
            Serves::Service(name) => Some(name.clone()),
            Serves::Base(_) => None,
        }
    }

    /// Whether this agent may send orders now. An engine that checks epochs rejects stale
    /// orders itself; for any other endpoint the epoch is read again.
    async fn may_send_orders(&self) -> bool {
        let state = self.in_force.state();
        let checks = state.endpoint(self.name()).is_some_and(|e| e.checks_fences);
        checks || self.fence.is_held().await
    }

    /// Returns the id that the engine uses for a request of this agent.
    pub fn request_id(&self, id: AttemptId) -> String {
        format!("{}-{}-{id}", self.name(), self.fence.epoch())
    }

    /// Queues a request, which waits until [`RequestSlot::wait_granted`].
    pub fn enqueue(self: &Arc<Self>, req: Waiting) -> Result<RequestSlot, Refusal> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (tx, verdict) = bounded(1);
        self.verdicts.lock().insert(id, tx);
        let admitted = self.slots.lock().admit(Instant::now(), id, req);
        let resident = admitted.inspect_err(|_| {
            self.verdicts.lock().remove(&id);
        })?;
        self.run_scheduler();
        Ok(RequestSlot {
            endpoint: self.clone(),
            id,
            verdict,
            resident,
            in_engine: false,
        })
    }

    /// Executes the actions that the scheduler returns for the current state.
    pub fn run_scheduler(self: &Arc<Self>) {
        let actions = self.slots.lock().schedule(Instant::now());
        for action in actions {
            match action {
                Action::Load(target) => exec::spawn(self.clone().load(target)).detach(),
                Action::Unload(target) => {
                    exec::spawn(self.clone().unload(target)).detach()
                }
                Action::Start(id) => self.send_verdict(id, Ok(())),
                Action::Refuse(id, refusal) => self.send_verdict(id, Err(refusal)),
            }
        }
        self.changed.notify(usize::MAX);
    }

    /// Applies a report of the engine.
    pub fn apply_report(self: &Arc<Self>, report: &Report) {
        let own_prefix = format!("{}-{}-", self.name(), self.fence.epoch());
        let foreign = |name: &str| {
            let of_adapter = report.running.iter().filter(|r| r.adapter == name);
            of_adapter.filter(|r| !r.id.starts_with(&own_prefix)).count()
        };
        let held = report.resident.iter().filter_map(|name| {
            let target = parse_target(name)?;
            Some(Held { target, foreign: foreign(name) })
        });
        let held: Vec<_> = held.collect();
        let run = Incarnation::from(report.incarnation.as_str());
        self.slots.lock().engine_is(Instant::now(), &run, &held);
        self.run_scheduler();
    }

    /// Records that the engine could not be reached.
    pub fn mark_unreachable(self: &Arc<Self>) {
        self.slots.lock().engine_lost();
        self.run_scheduler();
    }

    /// Records that an adapter is not resident in the engine.
    pub fn mark_not_resident(self: &Arc<Self>, target: &Target) {
        self.slots.lock().lost(target);
        self.run_scheduler();
    }

    /// Returns the run of the engine; `None` if unknown.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.slots.lock().incarnation().cloned()
    }

    /// Refuses new requests from now on, as the agent is stopping.
    pub fn stop(self: &Arc<Self>) {
        self.stopping.store(true, Ordering::Release);
        self.update_draining();
    }

    /// Starts or stops draining by the agent's state, the declared state and the VM list.
    pub fn update_draining(self: &Arc<Self>) {
        self.slots.lock().drain(self.is_draining());
        self.run_scheduler();
    }

    /// Whether the endpoint is draining, by its agent's stop, its declaration or its VM.
    pub fn is_draining(&self) -> bool {
        let state = self.in_force.state();
        let declared = state.endpoint(self.name());
        self.stopping.load(Ordering::Acquire)
            || declared.is_some_and(|e| e.leaving)
            || self.in_force.is_vm_leaving(&self.vm)
    }

    /// Waits, up to `limit`, until no request is waiting or running.
    pub async fn wait_idle(&self, limit: Duration) {
        let idle = async {
            loop {
                let listener = self.changed.listen();
                if self.slots.lock().is_idle() {
                    return;
                }
                listener.await;
            }
        };
        within(limit, idle).await;
    }

    /// Returns the load report for entries.
    pub fn load_report(&self) -> Hint {
        let leaving = self.is_draining();
        let slots = self.slots.lock();
        Hint {
            running: slots.running() as u32,
            waiting: slots.waiting() as u32,
            resident: slots.resident(),
            leaving,
            revision: self.in_force.state().revision,
            slots: self.cfg.slots as u32,
        }
    }

    async fn load(self: Arc<Self>, target: Target) {
        let state = self.in_force.state();
        let demand = self.slots.lock().demand(&target).unwrap_or_default();
        let load = format!("{}/{target}", self.name());
        let permit = self.load_permits.acquire(load, demand, state.engine_count()).await;
        if self.slots.lock().demand(&target).is_none() {
            self.slots.lock().not_loaded(&target);
            self.load_permits.release(permit).await;
            return self.run_scheduler();
        }
        let started = Instant::now();
        let ok = match state.weights(&target) {
            Some(weights) => self.load_checked(&target, weights).await,
            None => false,
        };
        let outcome = if ok { "ok" } else { "failed" };
        self.metrics.count("loads", "outcome", outcome);
        self.metrics.time("load_time", started.elapsed());
        self.slots.lock().loaded(Instant::now(), &target, ok);
        self.run_scheduler();
        self.load_permits.release(permit).await;
    }

    /// Loads an adapter and checks that the same run of the engine loaded that adapter.
    async fn load_checked(&self, target: &Target, weights: &str) -> bool {
        if !self.may_send_orders().await {
            tracing::warn!(adapter = %target, "not loaded: another agent may hold the epoch");
            return false;
        }
        let limit = self.cfg.load_timeout;
        let done =
            match self.backend.load(target, weights, self.fence.epoch(), limit).await {
                Ok(done) => done,
                Err(e) => {
                    tracing::warn!(adapter = %target, error = %e, "load failed");
                    return false;
                }
            };
        let run = self.incarnation();
        let same_run = run.as_deref() == Some(&*done.incarnation);
        let exact = done.adapter == target.to_string();
        if !exact {
            tracing::error!(adapter = %target, got = done.adapter, "wrong adapter loaded");
        }
        exact && same_run
    }

    async fn unload(self: Arc<Self>, target: Target) {
        if !self.may_send_orders().await {
            tracing::warn!(adapter = %target, "not unloaded: another agent may hold the epoch");
            self.slots.lock().unloaded(Instant::now(), &target, false);
            // No call was made, so without a pause the next attempt would follow at once.
            Timer::after(SKIPPED_ORDER_PAUSE).await;
            return self.run_scheduler();
        }
        let done = self.backend.unload(&target, self.fence.epoch()).await;
        if let Err(e) = &done {
            tracing::warn!(adapter = %target, error = %e, "unload failed");
        }
        self.slots.lock().unloaded(Instant::now(), &target, done.is_ok());
        self.run_scheduler();
    }

    fn send_verdict(&self, id: AttemptId, verdict: Verdict) {
        if let Some(tx) = self.verdicts.lock().remove(&id) {
            let _ = tx.try_send(verdict);
        }
    }

    /// Removes a request of which the engine holds no state.
    fn remove_request(self: &Arc<Self>, id: AttemptId) {
        self.verdicts.lock().remove(&id);
        let mut slots = self.slots.lock();
        if !slots.abandon(id) {
            slots.ended(Instant::now(), id);
        }
        drop(slots);
        self.run_scheduler();
    }

    /// Cancels a request at the engine and keeps its adapter pinned until the engine
    /// confirms or restarts.
    async fn cancel_until_confirmed(
        self: Arc<Self>,
        id: AttemptId,
        run: Option<Incarnation>,
    ) {
        let name = self.request_id(id);
        while self.incarnation() == run {
            if self.backend.cancel(&name).await.is_ok() {
                break;
            }
            Timer::after(CANCEL_INTERVAL).await;
        }
        self.remove_request(id);
    }
}

impl RequestSlot {
    /// Waits until the request may run or is refused.
    pub async fn wait_granted(&self) -> Verdict {
        match self.verdict.recv().await {
            Ok(verdict) => verdict,
            Err(_) => Ok(()),
        }
    }

    /// Marks that the engine may hold state of the request.
    pub fn mark_in_engine(&mut self) {
        self.in_engine = true;
    }

    /// Marks that the engine holds no state of the request.
    pub fn mark_out_of_engine(&mut self) {
        self.in_engine = false;
    }
}

impl Drop for RequestSlot {
    fn drop(&mut self) {
        let endpoint = self.endpoint.clone();
        match self.in_engine && endpoint.service().is_none() {
            true => {
                let run = endpoint.incarnation();
                exec::spawn(endpoint.cancel_until_confirmed(self.id, run)).detach();
            }
            false => endpoint.remove_request(self.id),
        }
    }
}

impl Debug for Endpoint {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Endpoint").field("name", &self.name()).finish_non_exhaustive()
    }
}

/// Parses `adapter@version`.
fn parse_target(name: &str) -> Option<Target> {
    let (adapter, version) = name.split_once(larkspring_core::ids::VERSION_MARK)?;
    Some(Target::new(adapter, version))
}
