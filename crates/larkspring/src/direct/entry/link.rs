//! Connections to agents: holds of adapters, permits, and the agents' reports on their
//! engines. A connection is open while the entry follows the agent or uses it.

mod context;
mod hold;
mod incoming;
mod permit;
mod stream_query;
mod usage;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::fleet::choose::AdapterLocation;
use larkspring_core::fleet::permits::PermitResponse;
use larkspring_core::fleet::rate::AdvertisedRate;
use larkspring_core::fleet::routes::{Routing, RoutingVersion};
use larkspring_core::fleet::stream_origins::KeptOrigin;
use larkspring_core::fleet::stream_outcomes::StreamReport;
use larkspring_core::ids::{Incarnation, ServiceId, TargetHash};
use larkspring_core::limits::bucket_owner::UnitsRequest;
use larkspring_core::quarantine::{Crash, CrashReport, Feature};
use larkspring_core::retry::backoff;
use larkspring_proto::residency as wire;
use larkspring_proto::residency::from_entry::Kind;
use larkspring_proto::residency::residency_client::ResidencyClient;
use parking_lot::Mutex;
use smol::channel::{self, Sender};
use smol::Timer;
use tonic::Status;

pub(super) use self::context::{EntryIdentity, LinkContext, MessageSinks};
use self::hold::HoldRecord;
pub(super) use self::hold::{Hold, HoldEnd, HoldRequest};
pub(super) use self::stream_query::StreamQuery;
use self::usage::LinkUsage;
use super::engine_state::{EngineState, EngineView, ReportedRun};
use crate::direct::limits::encode_unit_request;
use crate::direct::logs;
use crate::direct::quarantine::{encode_crashes, encode_reports};
use crate::exec::{self, with_timeout};
use crate::rpc::channel::Pool;

/// The connection to the agent beside an engine.
#[derive(Debug)]
pub(super) struct Link {
    addr: String,
    /// The service of the engine.
    service: ServiceId,
    context: Arc<LinkContext>,
    usage: Mutex<LinkUsage>,
    /// Locked after `usage` if both are.
    outgoing: Mutex<Outgoing>,
    engine_state: Mutex<EngineState>,
    holds: Mutex<HashMap<u64, HoldRecord>>,
    /// Permit requests that await a reply, by id.
    pending_permits: Mutex<HashMap<u64, Sender<PermitResponse>>>,
    /// Queries of streams that await a reply, by id.
    pending_queries: Mutex<HashMap<u64, Sender<KeptOrigin>>>,
    next_id: AtomicU64,
    granted_holds: AtomicU32,
    /// Number of connections opened so far.
    connections: AtomicU64,
    created: Instant,
}

/// Messages to the agent.
#[derive(Debug, Default)]
struct Outgoing {
    tx: Option<Sender<wire::FromEntry>>,
    /// Messages that wait for the connection.
    queued: Vec<wire::FromEntry>,
}

/// What is known of an agent's responsiveness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AgentStatus {
    /// It is connected and sends its reports.
    Live,
    /// It is not connected yet, and no recent attempt failed.
    Unknown,
    /// It is silent, or a recent attempt to connect failed.
    Unresponsive,
}

/// How a connection ended.
enum ConnectionEnd {
    /// The entry no longer uses or follows the agent.
    Unused,
    /// The connection or the agent failed.
    Lost(String),
}

/// Time without a message after which an agent counts as unresponsive. Agents send one
/// every 400 ms, so two are missing by then.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time within which a running agent surely sends its first message, from the creation of
/// the connection. Just after a start of all processes that takes 100 ms.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without a message after which the connection is replaced.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time-out for connecting, and for the agent's first reply: some tens of round trips
/// between halls. A VM without power does not answer, and the operating system resends an
/// unanswered connect only after a second. With that delay, after a power loss of all
/// VMs, entries that connected too early learned of the later half of the engines 0.7 s
/// after the first half.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// First and longest pause before reconnecting.
const MIN_RECONNECT_PAUSE: Duration = Duration::from_millis(60);
const MAX_RECONNECT_PAUSE: Duration = Duration::from_millis(250);
/// Limits the messages that wait for a connection.
const MAX_WAITING_MESSAGES: usize = 256;
/// Limits the messages queued for an agent. The connection to an agent that lets more
/// pile up is closed.
const MAX_QUEUED_MESSAGES: usize = 4096;

impl Link {
    /// Creates a connection to an agent that is not open yet.
    pub fn new(addr: String, service: ServiceId, context: Arc<LinkContext>) -> Arc<Self> {
        Arc::new(Self {
            addr,
            service,
            context,
            usage: Mutex::default(),
            outgoing: Mutex::default(),
            engine_state: Mutex::default(),
            holds: Mutex::default(),
            pending_permits: Mutex::default(),
            pending_queries: Mutex::default(),
            next_id: AtomicU64::new(1),
            granted_holds: AtomicU32::new(0),
            connections: AtomicU64::new(0),
            created: Instant::now(),
        })
    }

    /// Returns the address of the agent.
    pub fn addr(&self) -> &str {
        &self.addr
    }

    /// Returns what is known of the agent's responsiveness.
    pub fn status(&self) -> AgentStatus {
        if self.engine_state.lock().live {
            return AgentStatus::Live;
        }
        match self.usage.lock().has_failed_recently() {
            true => AgentStatus::Unresponsive,
            false => AgentStatus::Unknown,
        }
    }

    /// Returns whether requests may be sent to the agent: nothing is known against it.
    pub fn is_usable(&self) -> bool {
        self.status() != AgentStatus::Unresponsive
    }

    /// Sets whether the connection stays open without use.
    pub fn set_followed(self: &Arc<Self>, is_followed: bool) {
        let was_followed = {
            let mut usage = self.usage.lock();
            if is_followed {
                self.start(&mut usage);
            }
            std::mem::replace(&mut usage.is_followed, is_followed)
        };
        if is_followed != was_followed {
            // The agent does not count on a connection that may be closed soon.
            self.send_message(Kind::Hello(self.hello()));
        }
    }

    /// Ends the connection for good, since the engine is no longer in the fleet.
    pub fn retire(&self) {
        self.usage.lock().is_retired = true;
    }

    /// Starts the task that keeps the connection open, unless it runs.
    fn start(self: &Arc<Self>, usage: &mut LinkUsage) {
        if !usage.is_retired && !std::mem::replace(&mut usage.is_running, true) {
            exec::spawn(self.clone().run()).detach();
        }
    }

    /// Keeps the connection open while the agent is followed or used.
    async fn run(self: Arc<Self>) {
        let pool = Pool::new(1, CONNECT_TIMEOUT);
        let mut rng = Rng::new();
        let mut failures = 0;
        while !self.close_if_unused() {
            let cause = match self.run_connection(&pool).await {
                ConnectionEnd::Unused => return,
                ConnectionEnd::Lost(cause) => cause,
            };
            failures = match self.disconnect() {
                true => {
                    self.log_lost(&cause);
                    0
                }
                false => failures + 1,
            };
            let pause =
                backoff(MIN_RECONNECT_PAUSE, MAX_RECONNECT_PAUSE, failures, &mut rng);
            Timer::after(pause).await;
        }
    }

    /// Closes the connection and forgets the engine's state if the agent is neither
    /// followed nor used. Returns whether it did; the task then ends.
    fn close_if_unused(&self) -> bool {
        let mut usage = self.usage.lock();
        if usage.is_needed() || !self.holds.lock().is_empty() && !usage.is_retired {
            return false;
        }
        usage.is_running = false;
        self.fail_waiting();
        *self.outgoing.lock() = Outgoing::default();
        *self.engine_state.lock() = EngineState::default();
        true
    }

    async fn run_connection(&self, pool: &Pool) -> ConnectionEnd {
        match self.exchange_messages(pool).await {
            Ok(()) => ConnectionEnd::Unused,
            Err(cause) => ConnectionEnd::Lost(cause),
        }
    }

    /// Connects, and receives messages until the agent is no longer used. Returns the
    /// cause of a failure.
    async fn exchange_messages(&self, pool: &Pool) -> Result<(), String> {
        let channel = pool.get(&self.addr).await.map_err(|e| e.to_string())?;
        let origin = channel.origin();
        let mut client = ResidencyClient::with_origin(channel, origin);
        let (tx, rx) = channel::unbounded();
        let mut declared_version = self.open(tx);
        let up = with_timeout(CONNECT_TIMEOUT, client.follow(rx)).await;
        let up = up.ok_or("no answer")?.map_err(|e| e.to_string())?;
        let mut down = up.into_inner();
        self.connections.fetch_add(1, Ordering::Relaxed);
        self.context.keepers_changed.notify(usize::MAX);
        let connected_at = Instant::now();
        while !self.close_if_unused() {
            let declared = self.engine_declaration();
            if declared.routing_version > declared_version {
                declared_version = declared.routing_version;
                self.send_message(Kind::Engine(declared));
            }
            match with_timeout(MESSAGE_TIMEOUT, down.message()).await {
                Some(Ok(Some(message))) => self.receive(message),
                Some(Ok(None)) => return Err("the agent closed the connection".into()),
                Some(Err(e)) => return Err(status_text(&e)),
                None if self.time_since_message(connected_at) > RECONNECT_TIMEOUT => {
                    return Err("silent".into())
                }
                None if self.mark_unresponsive() => self.log_lost("silent"),
                None => {}
            }
        }
        Ok(())
    }

    /// Sends what every connection begins with and the messages that waited for it, and
    /// returns the version of the routing that was declared.
    fn open(&self, tx: Sender<wire::FromEntry>) -> RoutingVersion {
        send(&tx, Kind::Hello(self.hello()));
        let first = self.engine_declaration();
        let declared_version = first.routing_version;
        send(&tx, Kind::Engine(first));
        self.restore_holds(&tx);
        let reports = self.context.sinks.crash_reports.latest();
        if !reports.is_empty() {
            send(&tx, Kind::Findings(encode_reports(&reports)));
        }
        let mut outgoing = self.outgoing.lock();
        for message in outgoing.queued.drain(..) {
            let _ = tx.try_send(message);
        }
        outgoing.tx = Some(tx);
        declared_version
    }

    fn hello(&self) -> wire::Hello {
        let identity = &self.context.identity;
        wire::Hello {
            entry: identity.vm.to_string(),
            hall: identity.hall.to_string(),
            by_use: !self.usage.lock().is_followed,
        }
    }

    fn engine_declaration(&self) -> wire::Engine {
        let routing = self.context.replicated_state.routing();
        engine_declaration(routing.as_deref(), &self.service)
    }

    /// Requests units from the agent as bucket owner; returns whether the request was
    /// queued.
    pub fn request_units(self: &Arc<Self>, ask: &UnitsRequest<'_>) -> bool {
        self.send_request(Kind::Reserve(wire::Reserve {
            wants: ask.units.iter().map(encode_unit_request).collect(),
            told_ms: ask.serving_time.elapsed.as_millis() as u64,
            joined: ask.serving_time.is_new_owner,
            entries: ask.entry_count as u32,
        }))
    }

    /// Reports crashes of endpoints to the agent; returns whether the report was queued.
    pub fn report_crashes(self: &Arc<Self>, crashes: &[(Feature, Crash)]) -> bool {
        self.send_request(Kind::EndedUnder(encode_crashes(crashes)))
    }

    /// Sends crash reports to the agent; returns whether they were queued.
    pub fn send_crash_reports(self: &Arc<Self>, reports: &[CrashReport]) -> bool {
        self.send_request(Kind::Findings(encode_reports(reports)))
    }

    /// Returns the number of connections opened so far. An agent with a new connection
    /// may have restarted and lost its state.
    pub fn connection_count(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns the known state of the engine.
    pub fn view(&self) -> EngineView {
        let own_holds = self.granted_holds.load(Ordering::Relaxed);
        self.engine_state.lock().view(Instant::now(), own_holds)
    }

    /// Returns how the engine holds an adapter by the agent's reports; `None` before the
    /// first one.
    pub fn holding(&self, target: TargetHash) -> Option<AdapterLocation> {
        self.engine_state.lock().holding(target)
    }

    /// Returns whether the agent's first message is still expected. Until then the
    /// platform's list does not show what the engine holds.
    pub fn is_first_message_pending(&self) -> bool {
        self.engine_state.lock().last_message.is_none()
            && self.created.elapsed() < FIRST_MESSAGE_TIMEOUT
    }

    /// Returns the run of the engine that the agent last reported.
    ///
    /// The agent knows a new run at once, the platform lists the run only after its first
    /// heartbeat. By the list alone, 68 entries of the large deployment sent 910 requests
    /// to the former runs of 29 engines that had been back for 1.5 to 4 s.
    pub fn reported_run(&self) -> Option<ReportedRun> {
        self.engine_state.lock().run.clone()
    }

    /// Returns the run that the agent reports as draining, if any.
    pub fn draining_run(&self) -> Option<Incarnation> {
        self.engine_state.lock().draining_run()
    }

    /// Returns what the agent reports of the streams of a run, if it knows.
    pub fn stream_report(&self, run: &str) -> Option<StreamReport> {
        self.engine_state.lock().stream_report(run)
    }

    /// Takes the agent's latest change of a run's advertised rate, if any.
    pub fn take_rate_change(&self) -> Option<(Incarnation, AdvertisedRate)> {
        self.engine_state.lock().take_rate_change()
    }

    /// Returns whether the agent is responsive and reports an advertised rate of the
    /// engine.
    pub fn has_advertised_rate(&self) -> bool {
        self.engine_state.lock().has_advertised_rate()
    }

    /// Records that the engine refused a request for lack of an adapter.
    pub fn record_missing(&self, target: TargetHash) {
        self.engine_state.lock().record_missing(target);
    }

    /// Returns the number of entries connected to the agent, in all and in this entry's
    /// hall.
    pub fn entry_counts(&self) -> (u32, u32) {
        self.engine_state.lock().entry_counts()
    }

    fn disconnect(&self) -> bool {
        *self.outgoing.lock() = Outgoing::default();
        let was_responsive = self.mark_unresponsive();
        self.context.keepers_changed.notify(usize::MAX);
        was_responsive
    }

    fn log_lost(&self, cause: &str) {
        logs::log_dependency(&format!("agent {}", self.addr), false, cause);
    }

    fn time_since_message(&self, connected_at: Instant) -> Duration {
        let last = self.engine_state.lock().last_message;
        last.map_or(connected_at, |at| at.max(connected_at)).elapsed()
    }

    /// Sends a message that needs an answer or changes the agent's state, over a new
    /// connection if none is open. Returns whether it was sent or queued.
    fn send_request(self: &Arc<Self>, kind: Kind) -> bool {
        if !self.is_usable() {
            return false;
        }
        let mut usage = self.usage.lock();
        usage.last_used = Some(Instant::now());
        self.start(&mut usage);
        let mut outgoing = self.outgoing.lock();
        if let Some(tx) = &outgoing.tx {
            return send(tx, kind);
        }
        if outgoing.queued.len() >= MAX_WAITING_MESSAGES {
            return false;
        }
        outgoing.queued.push(wire::FromEntry { kind: Some(kind) });
        true
    }

    /// Sends a message if a connection is open.
    fn send_message(&self, kind: Kind) -> bool {
        self.outgoing.lock().tx.as_ref().is_some_and(|tx| send(tx, kind))
    }
}

/// Returns the declaration of a service's engines: base models, adapter slots, health
/// path.
pub(super) fn engine_declaration(
    routing: Option<&Routing>,
    service: &ServiceId,
) -> wire::Engine {
    let Some(routing) = routing else { return wire::Engine::default() };
    let service = routing.service(service);
    let engine = service.and_then(|s| s.engine.as_ref());
    let models = engine.map_or(&[][..], |e| &e.models[..]);
    let adapter_slots =
        engine.and_then(|e| models.iter().map(|m| e.adapter_slots_for(m)).min());
    wire::Engine {
        routing_version: routing.version,
        places: adapter_slots.unwrap_or_default() as u64,
        bases: models.iter().map(|m| m.name.to_string()).collect(),
        health_path: service.map(|s| s.health_path.clone()).unwrap_or_default(),
    }
}

fn send(tx: &Sender<wire::FromEntry>, kind: Kind) -> bool {
    if tx.len() > MAX_QUEUED_MESSAGES {
        tx.close();
    }
    tx.try_send(wire::FromEntry { kind: Some(kind) }).is_ok()
}

fn status_text(status: &Status) -> String {
    format!("{}: {}", status.code(), status.message())
}
