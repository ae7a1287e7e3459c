//! The entry: the process that callers connect to. It forwards requests directly to
//! endpoints.
//!
//! 1. [`connections`]: caller connections and their limits; [`shutdown`]: the planned stop.
//! 2. [`serving`]: serving of one request, whose state is in [`request_handler`];
//!    [`admission`] authenticates its
//!    caller, [`workspace_limits`] enforces the limit of its workspace. [`absence`]
//!    confirms that a route or key is missing before a request is refused for that.
//! 3. [`select`]: endpoint selection and the wait for the request's adapter;
//!    [`select_plain`] selects for plain services, by [`answer_times`].
//!    [`fair`] divides a saturated plain service among workspaces.
//! 4. [`attempt`]: sending to an endpoint; [`classify`] classifies the answer by its head.
//! 5. [`relay`]: the answer's body; an interrupted stream is resumed at another endpoint.
//!    [`framing`] tells how a body is framed and how it ended.
//! 6. [`notices`]: notices about endpoints in the headers of their answers.
//! 7. [`permits`]: permits to send to rate-limited endpoints.
//! 8. [`crashes`]: detection of endpoint crashes and of the requests that cause them.
//! 9. [`stream_tracker`]: where streams began, so that callers can take them up.
//! 10. [`answer_ends`]: what the end of an answer says about its endpoint.
//! 11. [`unread_answers`]: the bound of the bytes held for callers that read slowly.
//! 12. [`version_recorder`]: the record of the newest versions in the store.
//! 13. [`build_record`]: the record of software versions in the store.
//! 14. [`routing_exchange`]: the newest routing, told to agents and asked of them.

mod absence;
mod admission;
mod answer;
mod answer_ends;
mod answer_times;
mod attempt;
mod body;
mod build_record;
mod classify;
mod connections;
mod crashes;
mod directory;
mod end_check;
mod engine_state;
mod event_splitter;
mod fair;
mod features;
mod fleet;
mod framing;
mod hop_by_hop;
mod idle_connections;
mod link;
mod log;
mod longest_pause;
mod notices;
mod peer;
mod permits;
mod relay;
mod request_handler;
mod reused_connection;
mod routing_exchange;
mod select;
mod select_plain;
mod selection_inputs;
mod serving;
mod shutdown;
mod stream_tracker;
mod unread_answers;
mod version_recorder;
mod view;
mod workspace_limits;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, Guard};
use http::StatusCode;
use larkspring_core::ids::{ContentHash, ServiceId, TargetHash};
use larkspring_core::retry::RetryWindow;
use parking_lot::Mutex;
use quick_error::quick_error;
use smol::net::TcpListener;
use smol::{channel, Task};

use self::absence::AbsenceCheck;
use self::build_record::BuildRecord;
use self::crashes::CrashDetector;
use self::directory::HallDirectory;
use self::fair::ServiceShares;
use self::fleet::Fleet;
use self::link::MessageSinks;
use self::permits::Permits;
use self::routing_exchange::RoutingExchange;
use self::shutdown::Shutdown;
use self::stream_tracker::StreamTracker;
use self::unread_answers::UnreadAnswers;
use self::version_recorder::VersionRecorder;
use self::workspace_limits::Limits;
use super::cfg::EntryCfg;
use super::platform_api::{BuildStore, Protocol, StateKind, StateStore, VersionStore};
use super::quarantine::CrashReports;
use super::reader::StoreReader;
use super::replicated_state::ReplicatedState;
use super::stats::Stats;
use super::{logs, status_server, watch};
use crate::exec;

quick_error! {
    /// The reason why a process can't start.
    #[derive(Debug)]
    pub enum StartError {
        /// Binding or listening on an address failed.
        Listen(what: &'static str, addr: SocketAddr, cause: io::Error) {
            display("can't listen for {what} on {addr}: {cause}")
        }
    }
}

/// A running entry.
pub struct Entry {
    /// The address on which callers are accepted.
    pub addr: SocketAddr,
    inner: Arc<EntryState>,
    tasks: Vec<Task<()>>,
}

/// The state shared by all requests of an entry.
pub(super) struct EntryState {
    cfg: ArcSwap<EntryCfg>,
    protocol: Arc<dyn Protocol>,
    replicated_state: Arc<ReplicatedState>,
    absence: AbsenceCheck,
    fleet: Arc<Fleet>,
    limits: Arc<Limits>,
    permits: Permits,
    shares: ServiceShares,
    crashes: Arc<CrashDetector>,
    streams: Arc<StreamTracker>,
    stats: Arc<Stats>,
    retry_budgets: Mutex<HashMap<ServiceId, RetryWindow>>,
    /// Adapters whose preloading was requested, with the time of the request.
    preloads: Mutex<HashMap<TargetHash, Instant>>,
    /// Requests refused with a retry time, with the time of the refusal.
    recent_refusals: Mutex<HashMap<ContentHash, Instant>>,
    shutdown: Shutdown,
    buffered_bytes: AtomicUsize,
    unread_answers: Arc<UnreadAnswers>,
}

/// Minimum interval between two preload requests for the same adapter version.
const PRELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Limits the number of recent preload requests that are remembered.
const MAX_RECENT_PRELOADS: usize = 1024;

impl Entry {
    /// Starts an entry in the background.
    pub async fn start(
        cfg: EntryCfg,
        protocol: Arc<dyn Protocol>,
        directory: Arc<dyn StateStore>,
        version_store: Arc<dyn VersionStore>,
        build_store: Arc<dyn BuildStore>,
    ) -> Result<Self, StartError> {
        let replicated_state = Arc::new(ReplicatedState::default());
        let stats = Arc::new(Stats::new());
        let (tx, grants) = channel::unbounded();
        let crash_reports = Arc::new(CrashReports::new(stats.clone()));
        let sinks = MessageSinks { grants: tx, crash_reports: crash_reports.clone() };
        let fleet = Fleet::new(replicated_state.clone(), &cfg, sinks);
        let crashes = CrashDetector::new(fleet.clone(), crash_reports, stats.clone());
        let builds = BuildRecord::new(build_store, fleet.clone(), stats.clone());
        let streams = StreamTracker::new(fleet.clone(), builds.clone(), stats.clone());
        let terms = cfg.process.limits;
        let limits = Limits::new(terms, replicated_state.clone(), fleet.clone(), grants);
        let listener = TcpListener::bind(cfg.listen).await;
        let listener =
            listener.map_err(|e| StartError::Listen("callers", cfg.listen, e))?;
        let addr = listener.local_addr().unwrap_or(cfg.listen);
        let (readiness, metrics) = (cfg.readiness, cfg.process.metrics);
        let unread_answers = UnreadAnswers::new(cfg.max_unread_bytes, stats.clone());
        let inner = Arc::new(EntryState {
            cfg: ArcSwap::from_pointee(cfg),
            protocol,
            replicated_state: replicated_state.clone(),
            absence: AbsenceCheck::new(
                directory.clone(),
                replicated_state.clone(),
                stats.clone(),
            ),
            fleet: fleet.clone(),
            limits: limits.clone(),
            permits: Permits::new(fleet.clone(), stats.clone()),
            shares: ServiceShares::default(),
            crashes: crashes.clone(),
            streams: streams.clone(),
            stats: stats.clone(),
            retry_budgets: Mutex::default(),
            preloads: Mutex::default(),
            recent_refusals: Mutex::default(),
            shutdown: Shutdown::default(),
            buffered_bytes: AtomicUsize::new(0),
            unread_answers,
        });
        let process = inner.cfg().process.clone();
        let recorder = VersionRecorder::new(
            version_store,
            replicated_state.clone(),
            fleet.clone(),
            stats.clone(),
        );
        let exchange = RoutingExchange::new(
            directory.clone(),
            replicated_state.clone(),
            fleet.clone(),
        );
        let store = StoreReader::new(directory, stats.clone());
        let directory = Arc::new(HallDirectory::new(store, fleet.clone(), &process));
        let mut tasks =
            watch::follow(directory, replicated_state, stats.clone(), &process);
        tasks.push(exec::spawn(recorder.run()));
        tasks.push(exec::spawn(builds.run()));
        tasks.push(exec::spawn(exchange.run()));
        tasks.push(exec::spawn(limits.run()));
        tasks.push(exec::spawn(crashes.run()));
        tasks.push(exec::spawn(streams.run()));
        tasks.push(exec::spawn(fleet.clone().follow()));
        tasks.push(exec::spawn(fleet.sweep()));
        tasks.push(exec::spawn(logs::log_dropped_lines()));
        let ready = inner.clone();
        let answer = move |_: &str| (ready.readiness(), Vec::new());
        let served = status_server::serve(readiness, Arc::new(answer)).await;
        tasks.push(served.map_err(|e| StartError::Listen("readiness", readiness, e))?);
        let metered = inner.clone();
        let answer = move |_: &str| (StatusCode::OK, metered.metrics());
        let served = status_server::serve(metrics, Arc::new(answer)).await;
        tasks.push(served.map_err(|e| StartError::Listen("metrics", metrics, e))?);
        tasks.push(exec::spawn(connections::accept(listener, inner.clone())));
        tracing::info!(
            event = "start",
            process = "entry",
            hall = %inner.cfg().process.hall,
            addr = %addr,
        );
        Ok(Self { addr, inner, tasks })
    }

    /// Applies changed settings, except for addresses, which need a restart.
    pub fn reload(&self, cfg: EntryCfg) {
        for window in self.inner.retry_budgets.lock().values_mut() {
            window.set_terms(cfg.retries);
        }
        self.inner.unread_answers.set_max(cfg.max_unread_bytes);
        self.inner.cfg.store(Arc::new(cfg));
    }

    /// Stops the entry: fails readiness checks and refuses requests whose answers would not
    /// end in time, then closes the listener and idle connections, then waits for running
    /// requests until the grace period ends.
    pub async fn stop(self) {
        tracing::info!(event = "stop", process = "entry");
        let grace = self.inner.cfg().process.stop_grace;
        self.inner.shutdown.run(grace).await;
        drop(self.tasks);
    }
}

impl EntryState {
    /// Returns the current settings.
    fn cfg(&self) -> Guard<Arc<EntryCfg>> {
        self.cfg.load()
    }

    /// Returns 200 while the newest routing, the versions of adapters and an endpoint are
    /// known, the API keys are fresh enough to authenticate with, and the entry is not
    /// stopping; 503 otherwise.
    fn readiness(&self) -> StatusCode {
        let view = self.replicated_state.routing_view();
        let keys_fresh = view.is_some_and(|view| {
            view.routing.workspaces.is_none() || self.has_fresh_keys(&view)
        });
        let knows_versions = self.replicated_state.knows_versions();
        let knows_newest = !self.replicated_state.awaits_keepers();
        let is_routable =
            keys_fresh && knows_newest && knows_versions && !self.fleet.is_empty();
        match is_routable && !self.shutdown.is_draining() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn metrics(&self) -> Vec<u8> {
        let unavailable_ms = self
            .replicated_state
            .store_unavailable_since()
            .map_or(0, |at| at.elapsed().as_millis());
        let version = self.replicated_state.routing().map_or(0, |r| r.version);
        self.stats.set_gauge("routing_version", version as i64);
        self.stats.set_gauge("store_away_ms", unavailable_ms as i64);
        for kind in StateKind::ALL {
            self.stats.set_proof_age(kind.name(), self.replicated_state.proof_age(kind));
        }
        let list_age = self.replicated_state.routing_view().and_then(|v| v.list_age());
        let list_age_ms = list_age.map_or(-1, |age| age.as_millis() as i64);
        self.stats.set_gauge("routing_list_age_ms", list_age_ms);
        for (workspace, units) in self.limits.reserved() {
            self.stats.set_reserved_units(&workspace, units as i64);
        }
        self.crashes.update_metrics();
        self.stats.set_gauge("endpoints", self.fleet.len() as i64);
        let connections = self.shutdown.connections.load(Ordering::Relaxed);
        let unread = self.unread_answers.total();
        self.stats.set_gauge("unread_answer_bytes", unread as i64);
        self.stats.set_gauge("caller_connections", connections as i64);
        self.stats.encode()
    }

    /// Counts a request toward the retry budget that the service's entries share.
    fn count_request(&self, service: &ServiceId) {
        let mut retry_budgets = self.retry_budgets.lock();
        let terms = self.cfg().retries;
        let fresh = || RetryWindow::new(terms, fastrand::f64());
        retry_budgets
            .entry(service.clone())
            .or_insert_with(fresh)
            .record_request(Instant::now());
    }

    /// Takes one retry from the shared budget; `false` if the budget is used up.
    fn take_retry(&self, service: &ServiceId) -> bool {
        let entries = self.fleet.entry_counts().all;
        let mut retry_budgets = self.retry_budgets.lock();
        let window = retry_budgets.get_mut(service);
        window.is_some_and(|w| w.try_retry(Instant::now(), entries as usize))
    }

    /// Returns whether an adapter may be preloaded now, and if so records the request.
    fn start_preload(&self, target: TargetHash) -> bool {
        let now = Instant::now();
        let mut preloads = self.preloads.lock();
        let recent = |at: &Instant| now.saturating_duration_since(*at) < PRELOAD_INTERVAL;
        if preloads.get(&target).is_some_and(recent) {
            return false;
        }
        if preloads.len() >= MAX_RECENT_PRELOADS {
            preloads.retain(|_, at| recent(at));
        }
        preloads.insert(target, now);
        true
    }
}

/// How long a refused request is recognised when its caller retries it.
const RETRY_WINDOW: Duration = Duration::from_secs(8);
/// Limits the number of refused requests that are remembered.
const MAX_RECENT_REFUSALS: usize = 8192;

impl EntryState {
    /// Records that a request was refused with a retry time.
    fn record_refusal(&self, fingerprint: ContentHash) {
        let now = Instant::now();
        let mut recent_refusals = self.recent_refusals.lock();
        if recent_refusals.len() >= MAX_RECENT_REFUSALS {
            recent_refusals
                .retain(|_, at| now.saturating_duration_since(*at) < RETRY_WINDOW);
        }
        if recent_refusals.len() < MAX_RECENT_REFUSALS {
            recent_refusals.insert(fingerprint, now);
        }
    }

    /// Returns whether a request was refused recently, and forgets the refusal.
    fn take_refusal(&self, fingerprint: ContentHash) -> bool {
        let at = self.recent_refusals.lock().remove(&fingerprint);
        at.is_some_and(|at| at.elapsed() < RETRY_WINDOW)
    }
}
