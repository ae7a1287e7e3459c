//! Connections to agents: holds of adapters, permits, and the agents' reports on their
//! engines.

mod hold;
mod permit;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use event_listener::Event;
use fastrand::Rng;
use larkspring_core::fleet::choose::AdapterLocation;
use larkspring_core::fleet::permits::PermitResponse;
use larkspring_core::fleet::rate::AdvertisedRate;
use larkspring_core::fleet::routes::Routing;
use larkspring_core::ids::{HallId, Incarnation, ServiceId, TargetHash, VmId};
use larkspring_core::limits::bucket_owner::{Grant, UnitsRequest};
use larkspring_core::retry::backoff;
use larkspring_proto::residency as wire;
use larkspring_proto::residency::from_agent::Kind as FromAgentKind;
use larkspring_proto::residency::from_entry::Kind;
use larkspring_proto::residency::residency_client::ResidencyClient;
use parking_lot::Mutex;
use smol::channel::{self, Sender};
use smol::Timer;
use tonic::Status;

use self::hold::HoldRecord;
pub(super) use self::hold::{Hold, HoldEnd, HoldRequest};
use super::engine_state::{EngineState, EngineView, ReportedRun};
use crate::direct::limits::{decode_grant, encode_unit_request};
use crate::direct::logs;
use crate::direct::quarantine::CrashReports;
use crate::exec::with_timeout;
use crate::rpc::channel::Pool;

/// The connection to the agent beside an engine.
#[derive(Debug)]
pub(super) struct Link {
    addr: String,
    tx: Mutex<Option<Sender<wire::FromEntry>>>,
    engine_state: Mutex<EngineState>,
    holds: Mutex<HashMap<u64, HoldRecord>>,
    /// Permit requests that await a reply, by id.
    pending_permits: Mutex<HashMap<u64, Sender<PermitResponse>>>,
    next_id: AtomicU64,
    granted_holds: AtomicU32,
    /// Number of connections opened so far.
    connections: AtomicU64,
    events: LinkEvents,
    created: Instant,
}

/// Receivers of an agent's messages.
#[derive(Debug, Clone)]
pub(super) struct LinkEvents {
    /// Notified when the agent is live again, or its engine's engagement changes.
    pub availability_changed: Arc<Event>,
    /// Notified when the agent reports another run of the engine, that the engine drains,
    /// or another rate limit.
    pub run_changed: Arc<Event>,
    /// Receivers of grants and crash reports.
    pub sinks: MessageSinks,
}

/// Receivers of the agents' grants and crash reports.
#[derive(Debug, Clone)]
pub(super) struct MessageSinks {
    /// Receives the grants of agents that are bucket owners.
    pub grants: Sender<Vec<Grant>>,
    /// The known crash reports.
    pub crash_reports: Arc<CrashReports>,
}

/// The identity of this entry.
#[derive(Debug, Clone)]
pub(super) struct EntryIdentity {
    pub vm: VmId,
    pub hall: HallId,
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
/// Limits the messages queued for an agent. The connection to an agent that lets more
/// pile up is closed.
const MAX_QUEUED_MESSAGES: usize = 4096;

impl Link {
    /// Creates a connection to an agent that is not open yet.
    pub fn new(addr: String, events: LinkEvents) -> Arc<Self> {
        Arc::new(Self {
            addr,
            tx: Mutex::default(),
            engine_state: Mutex::default(),
            holds: Mutex::default(),
            pending_permits: Mutex::default(),
            next_id: AtomicU64::new(1),
            granted_holds: AtomicU32::new(0),
            connections: AtomicU64::new(0),
            events,
            created: Instant::now(),
        })
    }

    /// Returns the address of the agent.
    pub fn addr(&self) -> &str {
        &self.addr
    }

    /// Returns whether the agent is responsive.
    pub fn is_live(&self) -> bool {
        self.engine_state.lock().live
    }

    /// Keeps the connection open, for ever; `engine` returns the engine's declaration.
    pub async fn run(
        self: Arc<Self>,
        identity: EntryIdentity,
        engine: impl Fn() -> wire::Engine + Sync,
    ) {
        let pool = Pool::new(1, CONNECT_TIMEOUT);
        let mut rng = Rng::new();
        let mut failures = 0;
        loop {
            let end = self.run_connection(&pool, &identity, &engine).await;
            failures = match self.disconnect() {
                true => {
                    self.log_lost(&end);
                    0
                }
                false => failures + 1,
            };
            let pause =
                backoff(MIN_RECONNECT_PAUSE, MAX_RECONNECT_PAUSE, failures, &mut rng);
            Timer::after(pause).await;
        }
    }

    async fn run_connection(
        &self,
        pool: &Pool,
        identity: &EntryIdentity,
        engine: &(impl Fn() -> wire::Engine + Sync),
    ) -> String {
        let channel = match pool.get(&self.addr).await {
            Ok(channel) => channel,
            Err(e) => return e.to_string(),
        };
        let origin = channel.origin();
        let mut client = ResidencyClient::with_origin(channel, origin);
        let (tx, rx) = channel::unbounded();
        let hello = wire::Hello {
            entry: identity.vm.to_string(),
            hall: identity.hall.to_string(),
        };
        send(&tx, Kind::Hello(hello));
        let first = engine();
        let mut declared_version = first.routing_version;
        send(&tx, Kind::Engine(first));
        self.restore_holds(&tx);
        if let Some(reports) = self.events.sinks.crash_reports.latest() {
            send(&tx, Kind::Findings(reports));
        }
        let up = match with_timeout(CONNECT_TIMEOUT, client.follow(rx)).await {
            Some(Ok(up)) => up,
            Some(Err(e)) => return e.to_string(),
            None => return "no answer".into(),
        };
        let mut down = up.into_inner();
        self.connections.fetch_add(1, Ordering::Relaxed);
        *self.tx.lock() = Some(tx);
        loop {
            let declared = engine();
            if declared.routing_version > declared_version {
                declared_version = declared.routing_version;
                self.send_message(Kind::Engine(declared));
            }
            match with_timeout(MESSAGE_TIMEOUT, down.message()).await {
                Some(Ok(Some(message))) => self.receive(message),
                Some(Ok(None)) => return "the agent closed the connection".into(),
                Some(Err(e)) => return status_text(&e),
                None if self.time_since_message() > RECONNECT_TIMEOUT => {
                    return "silent".into()
                }
                None if self.mark_unresponsive() => self.log_lost("silent"),
                None => {}
            }
        }
    }

    /// Requests units from the agent as bucket owner; returns whether the request was
    /// queued.
    pub fn request_units(&self, ask: &UnitsRequest<'_>) -> bool {
        self.send_message(Kind::Reserve(wire::Reserve {
            wants: ask.units.iter().map(encode_unit_request).collect(),
            told_ms: ask.serving_time.elapsed.as_millis() as u64,
            joined: ask.serving_time.is_new_owner,
            entries: ask.entry_count as u32,
        }))
    }

    /// Reports crashes of endpoints to the agent; returns whether the report was queued.
    pub fn report_crashes(&self, ends: wire::EndedUnder) -> bool {
        self.send_message(Kind::EndedUnder(ends))
    }

    /// Sends crash reports to the agent; returns whether they were queued.
    pub fn send_crash_reports(&self, reports: wire::Findings) -> bool {
        self.send_message(Kind::Findings(reports))
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

    fn receive(&self, message: wire::FromAgent) {
        let mut engine_state = self.engine_state.lock();
        let now = Instant::now();
        engine_state.last_message = Some(now);
        let regained = !std::mem::replace(&mut engine_state.live, true);
        match message.kind {
            Some(FromAgentKind::State(state)) => {
                let own_holds = self.granted_holds.load(Ordering::Relaxed);
                let changed = engine_state.apply(now, state, own_holds);
                if regained || changed.engagement {
                    self.events.availability_changed.notify(usize::MAX);
                }
                if changed.run || changed.rate {
                    self.events.run_changed.notify(usize::MAX);
                }
            }
            Some(FromAgentKind::Granted(granted)) => {
                drop(engine_state);
                let copy_pays = granted.copy_pays;
                self.end_wait(granted.id, HoldEnd::Granted { copy_pays });
            }
            Some(FromAgentKind::Reserved(reserved)) => {
                drop(engine_state);
                let grants = reserved.grants.iter().map(decode_grant).collect();
                // The receiver lives as long as the entry.
                let _ = self.events.sinks.grants.try_send(grants);
            }
            Some(FromAgentKind::Permitted(reply)) => {
                drop(engine_state);
                self.receive_permit(&reply);
            }
            Some(FromAgentKind::Findings(findings)) => {
                drop(engine_state);
                self.events.sinks.crash_reports.apply(&findings);
            }
            Some(FromAgentKind::Refused(refused)) => {
                drop(engine_state);
                let retry_after = Duration::from_millis(refused.retry_after_ms);
                let end = HoldEnd::Refused { reason: refused.reason, retry_after };
                self.end_wait(refused.id, end);
            }
            None => {}
        }
        if regained {
            logs::log_dependency(&format!("agent {}", self.addr), true, "");
        }
    }

    /// Marks the agent as unresponsive and fails the holds and permits that await a
    /// reply; returns whether the agent was live before.
    fn mark_unresponsive(&self) -> bool {
        let was_live = std::mem::replace(&mut self.engine_state.lock().live, false);
        // Dropping the senders ends the waits for permits.
        self.pending_permits.lock().clear();
        let mut holds = self.holds.lock();
        holds.retain(|_, held| match held.waiter.take() {
            Some(waiter) => {
                let _ = waiter.try_send(HoldEnd::Lost);
                false
            }
            None => true,
        });
        was_live
    }

    fn disconnect(&self) -> bool {
        *self.tx.lock() = None;
        self.mark_unresponsive()
    }

    fn log_lost(&self, cause: &str) {
        logs::log_dependency(&format!("agent {}", self.addr), false, cause);
    }

    fn time_since_message(&self) -> Duration {
        self.engine_state.lock().last_message.map_or(RECONNECT_TIMEOUT, |at| at.elapsed())
    }

    fn send_message(&self, kind: Kind) -> bool {
        self.tx.lock().as_ref().is_some_and(|tx| send(tx, kind))
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
