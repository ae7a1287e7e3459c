//! Connections to agents: holds of adapters, and what agents say of their engines.

mod hold;
mod permit;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use event_listener::Event;
use fastrand::Rng;
use larkspring_core::fleet::choose::Holding;
use larkspring_core::fleet::permits::Verdict;
use larkspring_core::fleet::rate::RateWord;
use larkspring_core::fleet::routes::Routing;
use larkspring_core::ids::{HallId, Incarnation, ServiceId, TargetHash, VmId};
use larkspring_core::limits::home::{Ask, Grant};
use larkspring_core::retry::backoff;
use larkspring_proto::residency as wire;
use larkspring_proto::residency::from_agent::Kind as FromAgentKind;
use larkspring_proto::residency::from_entry::Kind;
use larkspring_proto::residency::residency_client::ResidencyClient;
use parking_lot::Mutex;
use smol::channel::{self, Sender};
use smol::Timer;
use tonic::Status;

use self::hold::Held;
pub(super) use self::hold::{Hold, HoldEnd, Need};
use super::known::{EngineView, Known, NamedRun};
use crate::direct::limits::{read_grant, write_want};
use crate::direct::logs;
use crate::direct::quarantine::Findings;
use crate::exec::within;
use crate::rpc::channel::Pool;

/// The connection to the agent beside one engine.
#[derive(Debug)]
pub(super) struct Link {
    addr: String,
    tx: Mutex<Option<Sender<wire::FromEntry>>>,
    known: Mutex<Known>,
    holds: Mutex<HashMap<u64, Held>>,
    /// Asks for permits that are out.
    permits: Mutex<HashMap<u64, Sender<Verdict>>>,
    next_id: AtomicU64,
    granted: AtomicU32,
    /// Number of the connection.
    connection: AtomicU64,
    heard: Heard,
    since: Instant,
}

/// Who is told what an agent says.
#[derive(Debug, Clone)]
pub(super) struct Heard {
    /// Notified when the agent can be asked again, or its engine serves again.
    pub news: Arc<Event>,
    /// Notified when the engine turns out to be another run, to leave, or to take another
    /// rate.
    pub runs: Arc<Event>,
    /// Where what the agent tells goes.
    pub told: Told,
}

/// Where what agents tell goes.
#[derive(Debug, Clone)]
pub(super) struct Told {
    /// Gets what an agent grants as the home of limits.
    pub grants: Sender<Vec<Grant>>,
    /// What is known of requests that end endpoints.
    pub findings: Arc<Findings>,
}

/// Who this entry is.
#[derive(Debug, Clone)]
pub(super) struct Who {
    pub vm: VmId,
    pub hall: HallId,
}

/// An agent speaks every 400 ms; after two that did not come it counts as silent.
const SILENCE: Duration = Duration::from_millis(900);
/// An agent that lives is heard well within this time of the first attempt; just after a
/// start of all processes it takes 100 ms.
const FIRST_WORD: Duration = Duration::from_millis(700);
/// After this time of silence the connection is opened anew.
const GIVE_UP: Duration = Duration::from_millis(2500);
/// Time for a connection to come up, and for the agent's first answer: some tens of ways
/// between halls. A VM without power answers nothing, and the system's own repeat of an
/// unanswered connect comes after a second, so after a loss of power of all whoever tried
/// too early knew the late half of the engines 0.7 s after the early ones.
const CONNECT: Duration = Duration::from_millis(150);
/// First and longest pause before the connection is opened again.
const RECONNECT_FIRST: Duration = Duration::from_millis(60);
const RECONNECT_MOST: Duration = Duration::from_millis(250);
/// Messages that may wait for the connection; an agent that does not take them is lost.
const MAX_UNTAKEN: usize = 4096;

impl Link {
    /// Creates the connection to an agent, closed as yet.
    pub fn new(addr: String, heard: Heard) -> Arc<Self> {
        Arc::new(Self {
            addr,
            tx: Mutex::default(),
            known: Mutex::default(),
            holds: Mutex::default(),
            permits: Mutex::default(),
            next_id: AtomicU64::new(1),
            granted: AtomicU32::new(0),
            connection: AtomicU64::new(0),
            heard,
            since: Instant::now(),
        })
    }

    /// Address of the agent.
    pub fn addr(&self) -> &str {
        &self.addr
    }

    /// Whether the agent was heard a moment ago.
    pub fn is_live(&self) -> bool {
        self.known.lock().live
    }

    /// Keeps the connection open for ever; `engine` says what the engine may hold.
    pub async fn run(
        self: Arc<Self>,
        who: Who,
        engine: impl Fn() -> wire::Engine + Sync,
    ) {
        let pool = Pool::new(1, CONNECT);
        let mut rng = Rng::new();
        let mut failures = 0;
        loop {
            let end = self.connection(&pool, &who, &engine).await;
            failures = match self.lost() {
                true => {
                    self.log_lost(&end);
                    0
                }
                false => failures + 1,
            };
            let pause = backoff(RECONNECT_FIRST, RECONNECT_MOST, failures, &mut rng);
            Timer::after(pause).await;
        }
    }

    async fn connection(
        &self,
        pool: &Pool,
        who: &Who,
        engine: &(impl Fn() -> wire::Engine + Sync),
    ) -> String {
        let channel = match pool.get(&self.addr).await {
            Ok(channel) => channel,
            Err(e) => return e.to_string(),
        };
        let origin = channel.origin();
        let mut client = ResidencyClient::with_origin(channel, origin);
        let (tx, rx) = channel::unbounded();
        let hello = wire::Hello { entry: who.vm.to_string(), hall: who.hall.to_string() };
        send(&tx, Kind::Hello(hello));
        let first = engine();
        let mut told = first.routing_version;
        send(&tx, Kind::Engine(first));
        self.restore(&tx);
        if let Some(findings) = self.heard.told.findings.all() {
            send(&tx, Kind::Findings(findings));
        }
        let up = match within(CONNECT, client.follow(rx)).await {
            Some(Ok(up)) => up,
            Some(Err(e)) => return e.to_string(),
            None => return "no answer".into(),
        };
        let mut down = up.into_inner();
        self.connection.fetch_add(1, Ordering::Relaxed);
        *self.tx.lock() = Some(tx);
        loop {
            let declared = engine();
            if declared.routing_version > told {
                told = declared.routing_version;
                self.say(Kind::Engine(declared));
            }
            match within(SILENCE, down.message()).await {
                Some(Ok(Some(message))) => self.heard(message),
                Some(Ok(None)) => return "the agent ended the connection".into(),
                Some(Err(e)) => return status_text(&e),
                None if self.silent_for() > GIVE_UP => return "silent".into(),
                None if self.silent() => self.log_lost("silent"),
                None => {}
            }
        }
    }

    /// Asks the agent, as the home of limits, for units; whether it could be asked.
    pub fn reserve(&self, ask: &Ask<'_>) -> bool {
        self.say(Kind::Reserve(wire::Reserve {
            wants: ask.wants.iter().map(write_want).collect(),
            told_ms: ask.told.time.as_millis() as u64,
            joined: ask.told.joined,
            entries: ask.entries as u32,
        }))
    }

    /// Tells the agent of ends of endpoints; whether it could be told.
    pub fn ended_under(&self, ends: wire::EndedUnder) -> bool {
        self.say(Kind::EndedUnder(ends))
    }

    /// Tells the agent what this entry found; whether it could be told.
    pub fn found(&self, findings: wire::Findings) -> bool {
        self.say(Kind::Findings(findings))
    }

    /// Number of the connection: an agent that started again was told nothing on this one.
    pub fn connection_number(&self) -> u64 {
        self.connection.load(Ordering::Relaxed)
    }

    /// What is known of the engine.
    pub fn view(&self) -> EngineView {
        let mine = self.granted.load(Ordering::Relaxed);
        self.known.lock().view(Instant::now(), mine)
    }

    /// Whether the agent said that the engine holds an adapter; `None` if it never spoke.
    pub fn holding(&self, target: TargetHash) -> Option<Holding> {
        self.known.lock().holding(target)
    }

    /// Whether the agent was not heard yet but may well be: what the platform lists of the
    /// engine is then no reason to do without it.
    pub fn is_coming(&self) -> bool {
        self.known.lock().heard.is_none() && self.since.elapsed() < FIRST_WORD
    }

    /// The run that the engine last named itself.
    ///
    /// Its agent knows a new run at once, the platform lists it after its first sign of
    /// life: on the large deployment 29 engines were back for 1.5 to 4 s while 68 entries
    /// sent 910 requests to their former runs.
    pub fn run_named(&self) -> Option<NamedRun> {
        self.known.lock().run.clone()
    }

    /// The run of which the agent says that it leaves, if any.
    pub fn leaving(&self) -> Option<Incarnation> {
        self.known.lock().leaving()
    }

    /// What the agent said of the rate that a run takes, since this was last asked.
    pub fn take_rate_word(&self) -> Option<(Incarnation, RateWord)> {
        self.known.lock().take_rate_word()
    }

    /// Whether the agent, heard a moment ago, says that the engine names a rate.
    pub fn names_rate(&self) -> bool {
        self.known.lock().names_rate()
    }

    /// Records that the engine turned out not to hold an adapter.
    pub fn lacks(&self, target: TargetHash) {
        self.known.lock().lacks(target);
    }

    /// Entries that follow the agent: in all, and in this entry's hall.
    pub fn entries(&self) -> (u32, u32) {
        self.known.lock().entries()
    }

    fn heard(&self, message: wire::FromAgent) {
        let mut known = self.known.lock();
        let now = Instant::now();
        known.heard = Some(now);
        let regained = !std::mem::replace(&mut known.live, true);
        match message.kind {
            Some(FromAgentKind::State(state)) => {
                let mine = self.granted.load(Ordering::Relaxed);
                let changed = known.take(now, state, mine);
                if regained || changed.engagement {
                    self.heard.news.notify(usize::MAX);
                }
                if changed.run || changed.rate {
                    self.heard.runs.notify(usize::MAX);
                }
            }
            Some(FromAgentKind::Granted(granted)) => {
                drop(known);
                let copy_pays = granted.copy_pays;
                self.end_wait(granted.id, HoldEnd::Granted { copy_pays });
            }
            Some(FromAgentKind::Reserved(reserved)) => {
                drop(known);
                let grants = reserved.grants.iter().map(read_grant).collect();
                // The receiver lives as long as the entry.
                let _ = self.heard.told.grants.try_send(grants);
            }
            Some(FromAgentKind::Permitted(reply)) => {
                drop(known);
                self.permitted(&reply);
            }
            Some(FromAgentKind::Findings(findings)) => {
                drop(known);
                self.heard.told.findings.learn(&findings);
            }
            Some(FromAgentKind::Refused(refused)) => {
                drop(known);
                let retry_after = Duration::from_millis(refused.retry_after_ms);
                let end = HoldEnd::Refused { reason: refused.reason, retry_after };
                self.end_wait(refused.id, end);
            }
            None => {}
        }
        if regained {
            logs::dependency(&format!("agent {}", self.addr), true, "");
        }
    }

    /// Ends what waits for an agent that has gone silent.
    fn silent(&self) -> bool {
        let was_live = std::mem::replace(&mut self.known.lock().live, false);
        // Who asked for a permit sees that no answer will come.
        self.permits.lock().clear();
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

    fn lost(&self) -> bool {
        *self.tx.lock() = None;
        self.silent()
    }

    fn log_lost(&self, cause: &str) {
        logs::dependency(&format!("agent {}", self.addr), false, cause);
    }

    fn silent_for(&self) -> Duration {
        self.known.lock().heard.map_or(GIVE_UP, |heard| heard.elapsed())
    }

    fn say(&self, kind: Kind) -> bool {
        self.tx.lock().as_ref().is_some_and(|tx| send(tx, kind))
    }
}

/// Says what the engines of a service may hold.
pub(super) fn engine_of(routing: Option<&Routing>, service: &ServiceId) -> wire::Engine {
    let Some(routing) = routing else { return wire::Engine::default() };
    let service = routing.service(service);
    let engine = service.and_then(|s| s.engine.as_ref());
    let models = engine.map_or(&[][..], |e| &e.models[..]);
    let places = engine.and_then(|e| models.iter().map(|m| e.places(m)).min());
    wire::Engine {
        routing_version: routing.version,
        places: places.unwrap_or_default() as u64,
        bases: models.iter().map(|m| m.name.to_string()).collect(),
        health_path: service.map(|s| s.health_path.clone()).unwrap_or_default(),
    }
}

fn send(tx: &Sender<wire::FromEntry>, kind: Kind) -> bool {
    if tx.len() > MAX_UNTAKEN {
        tx.close();
    }
    tx.try_send(wire::FromEntry { kind: Some(kind) }).is_ok()
}

fn status_text(status: &Status) -> String {
    format!("{}: {}", status.code(), status.message())
}
