//! Simulates a fleet without a network in steps of a millisecond: entries that choose by
//! the engines' reports, agents that load adapters, and a weight store that all engines
//! share.
//!
//! The decisions are those of the library. Only time, arrivals and faults are simulated,
//! the latter two from a seed.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::call_timeout::{CallTimeout, TimeoutBounds};
use larkspring_core::engine_scheduler::{
    Action, EngineLimits, EngineScheduler, EvictionPolicy, LoadOrder, QueuedRequest,
};
use larkspring_core::fleet::choose::{
    choose_for_adapter, rank_endpoints, AdapterLocation, Distance, EndpointView,
};
use larkspring_core::fleet::host_copies::HostCopies;
use larkspring_core::fleet::mechanisms::DisabledMechanisms;
use larkspring_core::ids::{AttemptId, Incarnation, Target, TargetHash};

/// Milliseconds since the start.
pub type Ms = u64;

/// A workload with faults.
#[derive(Debug, Clone)]
pub struct Scene {
    pub seed: u64,
    pub engines: usize,
    /// Requests a second, over all engines.
    pub rate: f64,
    pub length: Ms,
    /// Fraction of orders without an answer; half of these are carried out all the same.
    pub lost_orders: f64,
    /// Bounds on the wait for the answer to an order.
    pub answer: TimeoutBounds,
}

/// Outcomes of the requests, and the number of fetches.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub fetched: u32,
}

/// Batch slots, adapter slots and requested adapters of an engine: those of the largest
/// known deployment, the last in proportion to its engines.
const BATCH_SLOTS: u32 = 12;
const ADAPTER_SLOTS: usize = 9;
const ADAPTERS_PER_ENGINE: usize = 324;
/// Exponent of the Zipf distribution of requests over adapters.
const ZIPF_EXPONENT: f64 = 1.2;
/// Objective for the first token, deadline of a caller, and duration of an answer.
const OBJECTIVE: Ms = 600;
const DEADLINE: Ms = 5_000;
const ANSWER: Ms = 300;
/// Duration of a fetch in ms, and number of fetches at full speed for each engine (72 for
/// 74).
const FETCH_MS: f64 = 250.0;
const FETCHES_PER_ENGINE: f64 = 1.0;
/// Duration of a load from the memory of the engine's VM, in ms.
const HOST_COPY_LOAD_MS: f64 = 30.0;
/// Time for an engine to answer its agent, and time between two reports.
const CALL_TIME: Ms = 2;
const REPORT_INTERVAL: Ms = 25;
/// Shortest interval between two reports to entries.
const REPORT_TO_ENTRIES_INTERVAL: Ms = 40;

struct Engine {
    id: Incarnation,
    slots: EngineScheduler,
    orders: VecDeque<Order>,
    /// Orders carried out, pending loads with the remaining work in ms, and resident
    /// adapters.
    taken: u64,
    pending: HashMap<Target, f64>,
    held: HashSet<Target>,
    copies: HostCopies,
    /// Until when the agent waits for an answer, and the event that follows.
    pending_call: Option<(Ms, CallResult)>,
    time: CallTimeout,
    report_at: Ms,
    known_taken: u64,
    running: Vec<(AttemptId, Ms)>,
    reported: ReportedState,
}

#[derive(Clone)]
enum Order {
    Load(Target),
    Unload(Target),
}

enum CallResult {
    Report,
    Answered(Order),
    Lost(Order),
}

#[derive(Default)]
struct ReportedState {
    at: Ms,
    resident: HashSet<TargetHash>,
    loading: HashSet<TargetHash>,
    copies: HostCopies,
    free_places: u32,
    loads_ahead: u32,
    running: u32,
}

struct Request {
    arrived_at: Ms,
    engine: usize,
}

/// The whole fleet.
pub struct Fleet {
    scene: Scene,
    start: Instant,
    now: Ms,
    rng: Rng,
    engines: Vec<Engine>,
    requests: HashMap<AttemptId, Request>,
    weights: Vec<f64>,
    outcome: Outcome,
}

impl Outcome {
    /// Number of requests that ended.
    pub fn all(&self) -> u32 {
        self.in_time + self.late + self.refused
    }
}

/// Simulates a scene to its end.
pub fn simulate(scene: Scene) -> Outcome {
    let mut fleet = Fleet::new(scene);
    let mut next = 0.0;
    let mut id: AttemptId = 0;
    while fleet.now < fleet.scene.length {
        while next <= fleet.now as f64 {
            id += 1;
            fleet.add_request(id);
            next +=
                -fleet.rng.f64().max(f64::MIN_POSITIVE).ln() * 1000.0 / fleet.scene.rate;
        }
        fleet.step();
    }
    let end = fleet.now + DEADLINE;
    while fleet.now < end {
        fleet.step();
    }
    fleet.outcome
}

impl Fleet {
    fn new(scene: Scene) -> Self {
        let adapters = scene.engines * ADAPTERS_PER_ENGINE;
        let start = Instant::now();
        let mut sum = 0.0;
        let weights = (1..=adapters).map(|n| {
            sum += (n as f64).powf(-ZIPF_EXPONENT);
            sum
        });
        let engines = (0..scene.engines).map(|n| Engine::new(n, start, &scene)).collect();
        Self {
            start,
            now: 0,
            rng: Rng::with_seed(scene.seed),
            engines,
            requests: HashMap::new(),
            weights: weights.collect(),
            outcome: Outcome::default(),
            scene,
        }
    }

    fn at(&self, ms: Ms) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn add_request(&mut self, id: AttemptId) {
        let all = *self.weights.last().unwrap();
        let point = self.rng.f64() * all;
        let adapter = self.weights.partition_point(|sum| *sum < point);
        let target = Target::new(&format!("base/a{adapter}"), "1");
        let hash = target.hash();
        let order = self.engines.iter().enumerate().map(|(n, e)| (e.id.clone(), n));
        let order = rank_endpoints(hash, order.collect(), |(id, _)| id);
        let views: Vec<_> =
            order.iter().map(|(_, n)| self.engines[*n].view(hash)).collect();
        let Some(at) = choose_for_adapter(&views, DisabledMechanisms::default()) else {
            self.outcome.refused += 1;
            return;
        };
        let engine = order[at].1;
        self.requests.insert(id, Request { arrived_at: self.now, engine });
        let now = self.at(self.now);
        let req = QueuedRequest {
            target,
            priority: 0,
            arrived_at: now,
            deadline: self.at(self.now + DEADLINE),
            soft_deadline: self.at(self.now + OBJECTIVE),
            utility: 1.0,
        };
        if self.engines[engine].slots.admit(now, id, req).is_err() {
            self.requests.remove(&id);
            self.outcome.refused += 1;
        }
    }

    fn step(&mut self) {
        self.now += 1;
        self.expire_requests();
        let fetching: usize = self.engines.iter().map(Engine::fetching).sum();
        let most = FETCHES_PER_ENGINE * self.engines.len() as f64;
        let speed = (most / fetching.max(1) as f64).min(1.0);
        let now = self.at(self.now);
        for n in 0..self.engines.len() {
            let engine = &mut self.engines[n];
            engine.load(speed);
            engine.end_runs(now, self.now);
            let started = engine.decide(now, self.now);
            for id in started {
                let req = &self.requests[&id];
                let waited = self.now - req.arrived_at;
                match waited <= OBJECTIVE {
                    true => self.outcome.in_time += 1,
                    false => self.outcome.late += 1,
                }
                self.requests.remove(&id);
            }
            let lost = self.scene.lost_orders;
            let rng = &mut self.rng;
            let engine = &mut self.engines[n];
            self.outcome.fetched += engine.send_order(now, self.now, || rng.f64() < lost);
            engine.report_state(self.now);
        }
    }

    fn expire_requests(&mut self) {
        let now = self.now;
        let late: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, req)| now >= req.arrived_at + DEADLINE)
            .map(|(id, req)| (*id, req.engine))
            .collect();
        for (id, engine) in late {
            self.requests.remove(&id);
            self.engines[engine].slots.cancel(id);
            self.outcome.refused += 1;
        }
    }
}

impl Engine {
    fn new(n: usize, start: Instant, scene: &Scene) -> Self {
        let mut slots = EngineScheduler::new(EngineLimits {
            adapter_slots: ADAPTER_SLOTS,
            max_running: usize::MAX,
            max_waiting: 1024,
            max_loading: 4,
            limits_fetches: true,
            busy_eviction_delay: Duration::from_millis(150),
            initial_no_unload: Duration::ZERO,
            eviction: EvictionPolicy::LeastUsed,
            load_order: LoadOrder::Utility,
        });
        slots.apply_current_report(start, &"run".into(), &[], &[], |_| true);
        Self {
            id: format!("engine-{n}").into(),
            slots,
            orders: VecDeque::new(),
            taken: 0,
            pending: HashMap::new(),
            held: HashSet::new(),
            copies: HostCopies::default(),
            pending_call: None,
            time: CallTimeout::new(scene.answer),
            report_at: 0,
            known_taken: 0,
            running: Vec::new(),
            reported: ReportedState {
                free_places: ADAPTER_SLOTS as u32,
                ..ReportedState::default()
            },
        }
    }

    fn view(&self, target: TargetHash) -> EndpointView {
        let reported = &self.reported;
        let adapter_location = if reported.resident.contains(&target) {
            AdapterLocation::Resident
        } else if reported.loading.contains(&target) {
            AdapterLocation::Loading
        } else if reported.copies.contains(target) {
            AdapterLocation::HostMemory
        } else {
            AdapterLocation::WeightStore
        };
        EndpointView {
            distance: Distance::SameHall,
            adapter_location,
            running: reported.running,
            max_concurrent: BATCH_SLOTS,
            free_adapter_slots: reported.free_places,
            loads_ahead: reported.loads_ahead + reported.loading.len() as u32,
            can_load: true,
            loading_base: false,
            uncached_prompt_tokens: 640,
            prefill_backlog_tokens: 0,
            failure_cost: Duration::ZERO,
            stream_loss: Default::default(),
            connection_cost: Duration::ZERO,
            avoided: false,
            is_rate_limited: false,
        }
    }

    fn fetching(&self) -> usize {
        self.pending.keys().filter(|t| !self.copies.contains(t.hash())).count()
    }

    /// Advances the loads.
    fn load(&mut self, speed: f64) {
        let copies = &self.copies;
        let done = self.pending.extract_if(|target, left| {
            *left -= if copies.contains(target.hash()) { 1.0 } else { speed };
            *left <= 0.0
        });
        self.held.extend(done.map(|(target, _)| target));
    }

    fn end_runs(&mut self, now: Instant, ms: Ms) {
        let ended: Vec<_> = self.running.extract_if(.., |(_, at)| *at <= ms).collect();
        for (id, _) in ended {
            self.slots.record_request_end(now, id);
        }
    }

    /// Carries out the agent's decisions; returns the requests that begin.
    fn decide(&mut self, now: Instant, ms: Ms) -> Vec<AttemptId> {
        let mut started = Vec::new();
        for action in self.slots.schedule(now) {
            match action {
                Action::Start(id) => {
                    self.running.push((id, ms + ANSWER));
                    started.push(id);
                }
                Action::Load(target) => self.orders.push_back(Order::Load(target)),
                Action::Unload(target) => self.orders.push_front(Order::Unload(target)),
                Action::Refuse(..) => {}
            }
        }
        started
    }

    /// Sends orders one at a time; returns the number of fetches that began.
    fn send_order(
        &mut self,
        now: Instant,
        ms: Ms,
        mut lost: impl FnMut() -> bool,
    ) -> u32 {
        if let Some((at, _)) = &self.pending_call {
            if *at > ms {
                return 0;
            }
        }
        match self.pending_call.take().map(|(_, result)| result) {
            Some(CallResult::Report) => self.apply_report(now, ms),
            Some(CallResult::Answered(order)) => {
                self.time.record_answer(Duration::from_millis(CALL_TIME));
                self.known_taken += 1;
                match order {
                    Order::Load(target) => {
                        self.slots.record_load_order(now, &target);
                        self.report_at = self.report_at.min(ms + CALL_TIME);
                    }
                    Order::Unload(target) => {
                        self.slots.record_unload_end(now, &target, true)
                    }
                }
            }
            Some(CallResult::Lost(order)) => {
                self.time.record_loss();
                if let Order::Load(target) = &order {
                    self.slots.record_load_order(now, target);
                }
                self.orders.push_front(order);
                self.report_at = ms;
            }
            None => {}
        }
        if self.report_at <= ms {
            self.pending_call = Some((ms + CALL_TIME, CallResult::Report));
            return 0;
        }
        let Some(order) = self.orders.pop_front() else { return 0 };
        let is_lost = lost();
        // Half of the orders without an answer are carried out.
        let is_taken = !is_lost || lost();
        let fetched = if is_taken { self.take(&order) } else { 0 };
        let wait = self.time.current().as_millis() as Ms;
        self.pending_call = Some(match is_lost {
            true => (ms + wait, CallResult::Lost(order)),
            false => (ms + CALL_TIME, CallResult::Answered(order)),
        });
        fetched
    }

    /// Carries out an order at the engine; returns 1 for a fetch.
    fn take(&mut self, order: &Order) -> u32 {
        if self.known_taken != self.taken {
            return 0;
        }
        self.taken += 1;
        match order {
            Order::Load(target) => {
                let copied = self.copies.contains(target.hash());
                self.pending.insert(
                    target.clone(),
                    if copied { HOST_COPY_LOAD_MS } else { FETCH_MS },
                );
                u32::from(!copied)
            }
            Order::Unload(target) => {
                self.held.remove(target);
                self.copies.record_unload(target.hash());
                0
            }
        }
    }

    fn apply_report(&mut self, now: Instant, ms: Ms) {
        self.known_taken = self.taken;
        let held: Vec<_> = self.held.iter().cloned().collect();
        let pending: Vec<_> = self.pending.keys().cloned().collect();
        self.orders.retain(|order| match order {
            Order::Load(t) => !held.contains(t) && !pending.contains(t),
            Order::Unload(t) => held.contains(t),
        });
        let orders = &self.orders;
        let ordered = |target: &Target| {
            !orders.iter().any(|order| match order {
                Order::Load(t) | Order::Unload(t) => t == target,
            })
        };
        self.slots.apply_current_report(now, &"run".into(), &held, &pending, ordered);
        self.report_at = ms + REPORT_INTERVAL;
    }

    fn report_state(&mut self, ms: Ms) {
        if ms < self.reported.at + REPORT_TO_ENTRIES_INTERVAL {
            return;
        }
        let (resident, loading) = self.slots.resident_and_loading();
        let hashes = |of: Vec<&Target>| of.into_iter().map(Target::hash).collect();
        let resident: HashSet<_> = hashes(resident);
        let loading: HashSet<_> = hashes(loading);
        let gone: Vec<_> =
            self.reported.resident.difference(&resident).copied().collect();
        for hash in gone {
            self.reported.copies.record_unload(hash);
        }
        self.reported.at = ms;
        self.reported.resident = resident;
        self.reported.loading = loading;
        self.reported.free_places = self.slots.free_adapter_slots() as u32;
        self.reported.loads_ahead = self.slots.queued_loads() as u32;
        self.reported.running = self.slots.running() as u32;
    }
}
