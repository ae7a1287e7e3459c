//! The state of an engine's adapters and of the entries' holds on them, owned by one
//! task.

mod holds;

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::future;
use larkspring_core::engine_scheduler::{
    EngineLimits, EngineScheduler, EvictionPolicy, LoadOrder,
};
use larkspring_core::fleet::availability::Notice;
use larkspring_core::fleet::mechanisms::Mechanism;
use larkspring_core::fleet::permits::{self, PermitIssuer, PermitResponse};
use larkspring_core::fleet::prefill::PrefillBacklog;
use larkspring_core::fleet::rate::Rate;
use larkspring_core::fleet::request_rates::RequestRates;
use larkspring_core::fleet::routes::HallRegions;
use larkspring_core::fleet::stream_origins::StreamOrigins;
use larkspring_core::ids::{AttemptId, HallId, Target, TargetHash};
use larkspring_core::limits::bucket_owner::{BucketOwner, UnitsRequest};
use larkspring_core::limits::reporting_entries::EntryId;
use larkspring_core::limits::serving_time;
use larkspring_core::quarantine::CrashReport;
use larkspring_proto::residency as wire;
use larkspring_proto::residency::from_agent::Kind as AgentMessage;
use larkspring_proto::residency::from_entry::Kind as EntryMessage;
use smol::channel::{Receiver, Sender};
use smol::Timer;

use self::holds::WaitingRequest;
use super::driver::{Command, CommandResult};
use super::orders::Engine;
use super::publish::{EngineState, LastUpdate, PUBLISH_INTERVAL};
use super::stream_ends::StreamEnds;
use crate::direct::cfg::AgentCfg;
use crate::direct::limits::{decode_unit_request, encode_grant, entry_id};
use crate::direct::logs;
use crate::direct::platform_api::Change;
use crate::direct::quarantine::{
    decode_crashes, decode_reports, encode_reports, CrashReports,
};
use crate::direct::stats::Stats;
use crate::direct::streams::{decode_start, encode_stream_reply};

/// Number of an entry's connection, unique during this agent's life.
pub(super) type EntryNumber = u64;

/// An input of the controller.
#[derive(Debug)]
pub(super) enum Event {
    EntryConnected(EntryNumber, Sender<wire::FromAgent>),
    EntryMessage(EntryNumber, EntryMessage),
    EntryDisconnected(EntryNumber),
    CommandDone(CommandResult),
    /// A notice from the headers of an engine's answer; sent ahead of the answer's own
    /// event.
    EngineNotice {
        sent_at: Instant,
        notice: Notice,
    },
    /// Crash reports to be forwarded to all entries.
    CrashReports(Vec<CrashReport>),
}

/// Decides which orders the engine gets, and answers the entries.
pub(super) struct Controller {
    pub(super) holder: String,
    pub(super) scheduler: EngineScheduler,
    pub(super) commands: Sender<Command>,
    pub(super) stats: Arc<Stats>,
    pub(super) entries: HashMap<EntryNumber, EntryConnection>,
    holds: HashMap<(EntryNumber, u64), AttemptId>,
    holds_by_attempt: HashMap<AttemptId, (EntryNumber, u64)>,
    /// Requests that wait for their adapter.
    waiting: HashMap<AttemptId, WaitingRequest>,
    /// Granted requests by hall and adapter.
    request_rates: RequestRates<(HallId, TargetHash)>,
    hall: HallId,
    pub(super) regions: HallRegions,
    next_attempt: AttemptId,
    /// The adapters and base models that the engine may hold, by the highest routing
    /// version that an entry sent.
    pub(super) declared: wire::Engine,
    pub(super) engine: Engine,
    /// Changes that are decided but not ordered yet.
    pub(super) queued_changes: VecDeque<Change>,
    /// Whether the driver is executing a command.
    pub(super) driver_busy: bool,
    pub(super) next_report_at: Instant,
    pub(super) last_update: LastUpdate,
    /// Prefill backlog: prompt tokens of the granted requests that the engine has not
    /// processed yet.
    pub(super) prefill_backlog: PrefillBacklog,
    /// Buckets of the workspaces that this agent owns.
    bucket_owner: BucketOwner,
    /// Permits for the runs of which this agent is the issuer.
    pub(super) permit_issuer: PermitIssuer,
    /// Where streams of the entries began.
    pub(super) stream_origins: StreamOrigins,
    /// How streams of the engine end.
    pub(super) stream_ends: StreamEnds,
    /// Crash reports known to this agent.
    crash_reports: Arc<CrashReports>,
    /// Notes that an entry follows this agent.
    pub(super) followed: Sender<()>,
    /// Since when entries follow this agent whether they use it or not.
    pub(super) followed_since: Option<Instant>,
    /// Requests that were running before this agent started, on adapters that the engine
    /// has not reported yet.
    pub(super) unreported_requests: Vec<(AttemptId, Target)>,
}

/// A connected entry.
pub(super) struct EntryConnection {
    tx: Sender<wire::FromAgent>,
    /// Hash of the entry's name; 0 until its first message.
    id: EntryId,
    /// The entry's hall; `None` until its first message.
    pub(super) hall: Option<HallId>,
    /// Whether the entry has not received the whole state yet.
    pub(super) is_new: bool,
    /// Whether the entry stays connected only while it uses this agent.
    pub(super) by_use: bool,
}

impl EntryConnection {
    /// Whether the entry has identified itself and got no state yet.
    pub(super) fn needs_whole_state(&self) -> bool {
        self.is_new && self.hall.is_some()
    }
}

/// Consecutive unanswered report requests after which the engine counts as failed.
pub(super) const MAX_REPORT_FAILURES: u32 = 2;
/// Limits the queued messages of an entry; its connection is closed beyond that.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Limits the adapter loads in progress at an engine.
const MAX_CONCURRENT_LOADS: usize = 4;
/// Limits the requests that wait for adapters.
const MAX_WAITING_REQUESTS: usize = 1024;
/// Wait after which a request may block new use of a busy adapter to free its slot.
const RETIRE_ADAPTER_AFTER: Duration = Duration::from_millis(150);

impl Controller {
    /// Creates the controller of an engine whose state is unknown.
    pub fn new(
        cfg: &AgentCfg,
        commands: Sender<Command>,
        stats: Arc<Stats>,
        crash_reports: Arc<CrashReports>,
        followed: Sender<()>,
    ) -> Self {
        let now = Instant::now();
        let uses = |mechanism| cfg.disabled_mechanisms.is_enabled(mechanism);
        let limits = EngineLimits {
            adapter_slots: 0,
            max_running: usize::MAX,
            max_waiting: MAX_WAITING_REQUESTS,
            max_loading: MAX_CONCURRENT_LOADS,
            limits_fetches: uses(Mechanism::PacedFetches),
            busy_eviction_delay: if uses(Mechanism::Retiring) {
                RETIRE_ADAPTER_AFTER
            } else {
                Duration::MAX
            },
            initial_no_unload: Duration::ZERO,
            eviction: EvictionPolicy::LeastUsed,
            load_order: match uses(Mechanism::UtilityOrder) {
                true => LoadOrder::Utility,
                false => LoadOrder::Urgency,
            },
        };
        Self {
            holder: cfg.process.vm.to_string(),
            scheduler: EngineScheduler::new(limits),
            commands,
            stats,
            entries: HashMap::new(),
            holds: HashMap::new(),
            holds_by_attempt: HashMap::new(),
            next_attempt: 1,
            declared: wire::Engine::default(),
            engine: Engine::default(),
            queued_changes: VecDeque::new(),
            driver_busy: false,
            next_report_at: now,
            last_update: LastUpdate {
                state: EngineState::default(),
                at: now,
                due: false,
                prefill_backlog: PrefillBacklog::new(now, 0),
            },
            prefill_backlog: PrefillBacklog::new(now, 0),
            waiting: HashMap::new(),
            request_rates: RequestRates::default(),
            hall: cfg.process.hall.clone(),
            regions: cfg.process.regions.clone(),
            bucket_owner: BucketOwner::new(cfg.process.limits),
            permit_issuer: PermitIssuer::default(),
            stream_origins: StreamOrigins::default(),
            stream_ends: StreamEnds::new(now),
            crash_reports,
            followed,
            followed_since: None,
            unreported_requests: Vec::new(),
        }
    }

    /// Handles events until the channel is closed.
    pub async fn run(mut self, events: Receiver<Event>) {
        loop {
            let wakeup = self.next_wakeup();
            let timer = async {
                Timer::at(wakeup).await;
                None
            };
            let event = async { Some(events.recv().await) };
            match future::or(event, timer).await {
                Some(Ok(event)) => self.handle_event(Instant::now(), event),
                Some(Err(_)) => return,
                None => {}
            }
            while let Ok(event) = events.try_recv() {
                self.handle_event(Instant::now(), event);
            }
            let now = Instant::now();
            self.schedule(now);
            self.send_next_command(now);
            self.publish(now);
        }
    }

    fn next_wakeup(&self) -> Instant {
        let publish_at = match self.last_update.due {
            true => self.last_update.at + self.min_publish_interval(),
            false => self.last_update.at + PUBLISH_INTERVAL,
        };
        let name_retry =
            self.engine.name_retry_at.filter(|_| !self.queued_changes.is_empty());
        match self.driver_busy {
            true => publish_at,
            false => {
                publish_at.min(self.next_report_at).min(name_retry.unwrap_or(publish_at))
            }
        }
    }

    fn handle_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::EntryConnected(number, tx) => {
                let connection =
                    EntryConnection { tx, id: 0, hall: None, is_new: true, by_use: true };
                self.entries.insert(number, connection);
            }
            Event::EntryMessage(number, message) => {
                self.handle_message(now, number, message)
            }
            Event::EntryDisconnected(number) => self.remove_entry(now, number),
            Event::CrashReports(reports) => self.forward_crash_reports(&reports),
            Event::EngineNotice { sent_at, notice } => {
                self.apply_notice(now, sent_at, notice)
            }
            Event::CommandDone(result) => {
                self.driver_busy = false;
                match result {
                    CommandResult::Report(Ok(report)) => self.apply_report(now, report),
                    CommandResult::Report(Err(cause)) => self.report_failed(now, &cause),
                    CommandResult::RunName(name) => self.apply_run_name(now, name),
                    CommandResult::Order(order, end) => {
                        self.apply_order_result(now, order, end)
                    }
                }
            }
        }
    }

    fn handle_message(
        &mut self,
        now: Instant,
        number: EntryNumber,
        message: EntryMessage,
    ) {
        match message {
            EntryMessage::Hello(hello) => {
                if let Some(entry) = self.entries.get_mut(&number) {
                    entry.id = entry_id(&hello.entry);
                    entry.hall = Some(hello.hall.as_str().into());
                    entry.by_use = hello.by_use;
                }
                let reports = self.crash_reports.latest();
                if !reports.is_empty() {
                    let reports = encode_reports(&reports);
                    self.send(number, AgentMessage::Findings(reports));
                }
                logs::log_dependency(&format!("entry {}", hello.entry), true, "");
            }
            EntryMessage::Engine(declared) => {
                if declared.routing_version > self.declared.routing_version {
                    self.declared = declared;
                    self.update_slot_limit(now);
                    self.next_report_at = now;
                }
            }
            EntryMessage::Hold(hold) => self.hold(now, number, hold),
            EntryMessage::Release(release) => {
                self.stream_ends.record(now, &release);
                self.release(now, (number, release.id));
            }
            EntryMessage::Reserve(req) => self.grant_units(now, number, &req),
            EntryMessage::Permit(req) => self.answer_permit_request(now, number, &req),
            EntryMessage::StreamStarts(told) => {
                for start in &told.starts {
                    let until = now + Duration::from_millis(start.kept_ms);
                    let kept = decode_start(start);
                    self.stream_origins.record(now, start.key, kept, until);
                }
            }
            EntryMessage::StreamQuery(query) => {
                let origin = self.stream_origins.get(now, query.key);
                let reply = encode_stream_reply(&query, &origin);
                self.send(number, AgentMessage::StreamReply(reply));
            }
            EntryMessage::EndedUnder(crashes) => {
                let crashes = decode_crashes(&crashes).into_iter();
                let record =
                    |(feature, end)| self.crash_reports.record_crash(feature, end);
                let reports: Vec<_> = crashes.filter_map(record).collect();
                self.forward_crash_reports(&reports);
            }
            EntryMessage::Findings(received) => {
                let new_reports = self.crash_reports.apply(&decode_reports(&received));
                self.forward_crash_reports(&new_reports);
            }
        }
    }

    /// Forwards crash reports to all entries.
    fn forward_crash_reports(&mut self, reports: &[CrashReport]) {
        if reports.is_empty() {
            return;
        }
        let numbers: Vec<_> = self.entries.keys().copied().collect();
        for number in numbers {
            self.send(number, AgentMessage::Findings(encode_reports(reports)));
        }
    }

    /// Answers a request for units, as the bucket owner.
    fn grant_units(&mut self, now: Instant, number: EntryNumber, req: &wire::Reserve) {
        let requests: Vec<_> = req.wants.iter().map(decode_unit_request).collect();
        let serving_time = serving_time::ServingTime {
            elapsed: Duration::from_millis(req.told_ms),
            is_new_owner: req.joined,
        };
        let entry = self.entries.get(&number).map_or(0, |entry| entry.id);
        let entry_count = self.entries.len().max(req.entries as usize);
        let grants = self.bucket_owner.grant_units(
            now,
            &UnitsRequest { entry, serving_time, entry_count, units: &requests },
        );
        if !grants.is_empty() {
            let grants = grants.iter().map(encode_grant).collect();
            self.send(number, AgentMessage::Reserved(wire::Reserved { grants }));
        }
    }

    /// Answers a request for a permit, as the permit issuer of a rate-limited run.
    fn answer_permit_request(
        &mut self,
        now: Instant,
        number: EntryNumber,
        req: &wire::PermitAsk,
    ) {
        let ask = permits::PermitQuery {
            run: req.run,
            rate: Rate::from_millis(req.rate_millis),
            age: Duration::from_millis(req.age_ms),
            issuer: match req.second {
                true => permits::IssuerRole::Secondary,
                false => permits::IssuerRole::Primary,
            },
        };
        let wait_ms = match self.permit_issuer.request(now, &ask) {
            PermitResponse::Granted => 0,
            PermitResponse::Denied(wait) => wait.as_millis().max(1) as u64,
        };
        self.send(
            number,
            AgentMessage::Permitted(wire::PermitReply { id: req.id, wait_ms }),
        );
    }

    fn remove_entry(&mut self, now: Instant, number: EntryNumber) {
        if self.entries.remove(&number).is_none() {
            return;
        }
        let keys: Vec<_> =
            self.holds.keys().filter(|(n, _)| *n == number).copied().collect();
        logs::log_dependency(
            &format!("entry connection {number}"),
            false,
            "the connection has ended",
        );
        for key in keys {
            self.release(now, key);
        }
    }

    /// Sends a message to an entry; closes the connection if the entry's queue is too
    /// long.
    pub(super) fn send(&mut self, number: EntryNumber, kind: AgentMessage) {
        let Some(entry) = self.entries.get(&number) else { return };
        let sent = entry.tx.try_send(wire::FromAgent { kind: Some(kind) });
        if sent.is_err() || entry.tx.len() > MAX_QUEUED_MESSAGES {
            entry.tx.close();
        }
    }
}
