//! The state of an engine's adapters and of the holds on them, owned by one task.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::future;
use larkspring_core::ids::{AttemptId, Incarnation, Target, TargetHash};
use larkspring_core::outcome::Refusal;
use larkspring_core::slots::{Action, Eviction, Limits, LoadOrder, Slots, Waiting};
use larkspring_proto::residency::from_agent::Kind as Say;
use larkspring_proto::residency::from_entry::Kind as Said;
use larkspring_proto::residency::{self as wire, Engagement};
use smol::channel::{Receiver, Sender};
use smol::Timer;

use super::driver::{Command, Driven};
use crate::direct::cfg::AgentCfg;
use crate::direct::edge::{Change, Order, OrderEnd, Report};
use crate::direct::logs::{self, Line};
use crate::direct::stats::Stats;

/// Number of an entry's connection in this agent's life.
pub(super) type EntryNumber = u64;

/// What the keeper is told.
#[derive(Debug)]
pub(super) enum Event {
    EntryUp(EntryNumber, Sender<wire::FromAgent>),
    EntrySaid(EntryNumber, Said),
    EntryDown(EntryNumber),
    Driven(Driven),
}

/// Decides what the engine is told.
pub(super) struct Keeper {
    holder: String,
    slots: Slots,
    commands: Sender<Command>,
    stats: Arc<Stats>,
    entries: HashMap<EntryNumber, Follower>,
    holds: HashMap<(EntryNumber, u64), AttemptId>,
    asked_by: HashMap<AttemptId, (EntryNumber, u64)>,
    next_attempt: AttemptId,
    /// What the engine may hold, by the highest version of the routing that was told.
    declared: wire::Engine,
    engine: Engine,
    /// Changes that are decided and not ordered yet.
    todo: VecDeque<Change>,
    /// Whether the driver works on a command.
    driving: bool,
    report_at: Instant,
    told: Told,
    /// Requests that ran before this agent's life, with adapters not reported yet.
    in_use: Vec<(AttemptId, Target)>,
}

/// An entry that follows.
struct Follower {
    tx: Sender<wire::FromAgent>,
    hall: String,
    /// Whether it was not told the whole state yet.
    is_new: bool,
}

/// What is known of the engine.
#[derive(Default)]
struct Engine {
    run: Option<Incarnation>,
    /// Number of runs that this agent saw; names a run until it names itself.
    runs: u64,
    /// The name that the run gave itself. Orders for adapters carry it, so that one which
    /// is carried out late never reaches another run.
    named: Option<Incarnation>,
    /// When the run is asked for its name again, if it gave none.
    ask_name_at: Option<Instant>,
    report: Report,
    /// Reports in a row that did not come.
    failures: u32,
    /// When the latest load was ordered.
    load_ordered: Option<Instant>,
}

/// What the entries were told last.
struct Told {
    news: News,
    at: Instant,
    /// Whether there is news that was not told yet.
    due: bool,
}

/// The part of the state that entries are told at once; the rest changes with every
/// request and goes along.
#[derive(Default, PartialEq, Eq)]
struct News {
    engagement: i32,
    resident: HashSet<TargetHash>,
    loading: HashSet<TargetHash>,
    entries: usize,
}

/// How often the engine is asked for its report: a failed engine is to be noticed well
/// before a caller's objective of 600 ms.
const REPORT_EVERY: Duration = Duration::from_millis(100);
/// The same while an adapter that the engine held lately is on its way (about 27 ms).
const REPORT_SOON: Duration = Duration::from_millis(10);
/// How long after an order reports are asked for at that pace.
const SOON_FOR: Duration = Duration::from_millis(60);
/// The same while an adapter comes from the weight store (250 ms and more).
const REPORT_LOADING: Duration = Duration::from_millis(25);
/// Pause before an engine that did not tell its run is asked again: its health check waits
/// for a place in the batch and is charged.
const ASK_NAME_AGAIN: Duration = Duration::from_millis(300);
/// Reports in a row without an answer after which the engine counts as failed.
const MAX_FAILURES: u32 = 2;
/// How often entries are told the state, changed or not.
const TELL_EVERY: Duration = Duration::from_millis(400);
/// Least time between two tellings: each goes to every entry, and bytes between halls are
/// charged.
const TELL_PAUSE: Duration = Duration::from_millis(40);
/// Messages that an entry may leave untaken before it is cut off.
const MAX_UNTAKEN: usize = 1024;
/// Adapter loads that an engine takes at a time.
const MAX_LOADING: usize = 4;
/// Requests that may wait for adapters.
const MAX_WAITING: usize = 1024;
/// Wait after which a request may stop new use of a busy adapter to get its place.
const PATIENCE: Duration = Duration::from_millis(150);

impl Keeper {
    /// Creates the keeper of an engine that nothing is known of.
    pub fn new(cfg: &AgentCfg, commands: Sender<Command>, stats: Arc<Stats>) -> Self {
        let now = Instant::now();
        let limits = Limits {
            slots: 0,
            max_running: usize::MAX,
            max_waiting: MAX_WAITING,
            max_loading: MAX_LOADING,
            patience: PATIENCE,
            settle: Duration::ZERO,
            eviction: Eviction::Heat,
            order: LoadOrder::Demand,
        };
        Self {
            holder: cfg.process.vm.to_string(),
            slots: Slots::new(limits),
            commands,
            stats,
            entries: HashMap::new(),
            holds: HashMap::new(),
            asked_by: HashMap::new(),
            next_attempt: 1,
            declared: wire::Engine::default(),
            engine: Engine::default(),
            todo: VecDeque::new(),
            driving: false,
            report_at: now,
            told: Told { news: News::default(), at: now, due: false },
            in_use: Vec::new(),
        }
    }

    /// Works for ever.
    pub async fn run(mut self, events: Receiver<Event>) {
        loop {
            let wake = self.wake_at();
            let timer = async {
                Timer::at(wake).await;
                None
            };
            let event = async { Some(events.recv().await) };
            match future::or(event, timer).await {
                Some(Ok(event)) => self.take(Instant::now(), event),
                Some(Err(_)) => return,
                None => {}
            }
            while let Ok(event) = events.try_recv() {
                self.take(Instant::now(), event);
            }
            let now = Instant::now();
            self.schedule(now);
            self.drive(now);
            self.tell(now);
        }
    }

    fn wake_at(&self) -> Instant {
        let tell = match self.told.due {
            true => self.told.at + TELL_PAUSE,
            false => self.told.at + TELL_EVERY,
        };
        let ask = self.engine.ask_name_at.filter(|_| !self.todo.is_empty());
        match self.driving {
            true => tell,
            false => tell.min(self.report_at).min(ask.unwrap_or(tell)),
        }
    }

    fn take(&mut self, now: Instant, event: Event) {
        match event {
            Event::EntryUp(number, tx) => {
                let follower = Follower { tx, hall: String::new(), is_new: true };
                self.entries.insert(number, follower);
            }
            Event::EntrySaid(number, said) => self.entry_said(now, number, said),
            Event::EntryDown(number) => self.entry_down(now, number),
            Event::Driven(driven) => {
                self.driving = false;
                match driven {
                    Driven::Report(Ok(report)) => self.reported(now, report),
                    Driven::Report(Err(cause)) => self.no_report(now, &cause),
                    Driven::Identified(named) => self.identified(now, named),
                    Driven::Order(order, end) => self.ordered(now, order, end),
                }
            }
        }
    }

    fn entry_said(&mut self, now: Instant, number: EntryNumber, said: Said) {
        match said {
            Said::Hello(hello) => {
                if let Some(entry) = self.entries.get_mut(&number) {
                    entry.hall = hello.hall;
                }
                logs::dependency(&format!("entry {}", hello.entry), true, "");
            }
            Said::Engine(declared) => {
                if declared.routing_version > self.declared.routing_version {
                    self.slots.set_places(declared.places as usize);
                    self.declared = declared;
                    self.report_at = now;
                }
            }
            Said::Hold(hold) => self.hold(now, number, hold),
            Said::Release(release) => self.release(now, (number, release.id)),
        }
    }

    fn hold(&mut self, now: Instant, number: EntryNumber, hold: wire::Hold) {
        let id = self.next_attempt;
        self.next_attempt += 1;
        let target = Target::new(&hold.adapter, &hold.version);
        self.holds.insert((number, hold.id), id);
        self.asked_by.insert(id, (number, hold.id));
        if hold.in_use {
            if !self.slots.adopt(now, id, &target) {
                self.in_use.push((id, target));
            }
            return;
        }
        let req = Waiting {
            target,
            priority: hold.priority,
            since: now,
            deadline: now + Duration::from_millis(hold.wait_ms),
        };
        if let Err(refusal) = self.slots.admit(now, id, req) {
            self.refuse(id, &refusal, &hold.request);
        }
    }

    fn release(&mut self, now: Instant, key: (EntryNumber, u64)) {
        let Some(id) = self.holds.remove(&key) else { return };
        self.asked_by.remove(&id);
        self.in_use.retain(|(waiting, _)| *waiting != id);
        if !self.slots.abandon(id) {
            self.slots.ended(now, id);
        }
    }

    fn entry_down(&mut self, now: Instant, number: EntryNumber) {
        if self.entries.remove(&number).is_none() {
            return;
        }
        let keys: Vec<_> =
            self.holds.keys().filter(|(n, _)| *n == number).copied().collect();
        logs::dependency(&format!("entry connection {number}"), false, "it ended");
        for key in keys {
            self.release(now, key);
        }
    }

    /// Carries out what the slots decide, except for orders, which wait for the driver.
    fn schedule(&mut self, now: Instant) {
        for action in self.slots.schedule(now) {
            match action {
                Action::Start(id) => self.grant(id),
                Action::Refuse(id, refusal) => self.refuse(id, &refusal, ""),
                Action::Load(target) => self.todo.push_back(Change::Load(target)),
                Action::Unload(target) => self.todo.push_front(Change::Unload(target)),
            }
        }
    }

    fn grant(&mut self, id: AttemptId) {
        let Some((number, hold)) = self.asked_by.get(&id).copied() else { return };
        self.say(number, Say::Granted(wire::Granted { id: hold }));
    }

    fn refuse(&mut self, id: AttemptId, refusal: &Refusal, request: &str) {
        let Some(key) = self.asked_by.remove(&id) else { return };
        self.holds.remove(&key);
        let retry_after = refusal.retry_after.unwrap_or_default();
        if logs::allows(Line::Unserved) {
            tracing::info!(
                event = "hold refused",
                request,
                reason = refusal.message,
                run = self.engine.run.as_deref(),
            );
        }
        self.say(
            key.0,
            Say::Refused(wire::Refused {
                id: key.1,
                reason: refusal.message.clone(),
                retry_after_ms: retry_after.as_millis() as u64,
            }),
        );
    }

    /// Gives the driver its next command, if it is free.
    fn drive(&mut self, now: Instant) {
        if self.driving {
            return;
        }
        let engine = &self.engine;
        let command = match self.todo.front() {
            _ if self.report_at <= now => Command::Report,
            Some(Change::Load(_) | Change::Unload(_)) if engine.named.is_none() => {
                if engine.ask_name_at.is_some_and(|at| at > now) {
                    return;
                }
                Command::Identify(self.declared.health_path.clone())
            }
            Some(change) => Command::Order(Order {
                change: change.clone(),
                orders_taken: engine.report.orders_taken,
                incarnation: engine.named.clone(),
                holder: self.holder.clone(),
            }),
            None => return,
        };
        if matches!(command, Command::Order(_)) {
            self.todo.pop_front();
        }
        // The driver takes one command at a time and is free.
        self.driving = self.commands.try_send(command).is_ok();
    }

    fn reported(&mut self, now: Instant, report: Report) {
        let run = self.run_of(&report);
        if self.engine.failures >= MAX_FAILURES {
            logs::dependency("engine", true, "");
        }
        self.engine.failures = 0;
        let bases = &self.declared.bases;
        let has_base =
            report.bases.iter().any(|b| bases.iter().any(|name| **name == **b));
        self.engine.report = report;
        if has_base {
            let report = &self.engine.report;
            self.todo.retain(|change| !is_done(change, report));
            let todo = &self.todo;
            let ordered = |t: &Target| !todo.iter().any(|c| concerns(c, t));
            let failed = self.slots.engine_is_now(
                now,
                &run,
                &report.adapters,
                &report.pending,
                ordered,
            );
            for target in failed {
                tracing::warn!(event = "load failed", adapter = %target);
            }
            let slots = &mut self.slots;
            self.in_use.retain(|(id, target)| !slots.adopt(now, *id, target));
        } else {
            self.slots.engine_fills(&run);
            self.load_base();
        }
        self.report_at = now + self.report_pause(now);
    }

    /// Has the base model loaded into an engine that holds none.
    fn load_base(&mut self) {
        let engine = &self.engine.report;
        let declared = self.declared.bases.first().map(|base| base.as_str().into());
        // What it held before is on its VM; no need to wait for an entry to name it.
        let base = match &engine.copied_bases[..] {
            [only] => declared.or_else(|| Some(only.clone())),
            _ => declared,
        };
        let Some(base) = base else { return };
        let asked = self.todo.iter().any(|c| matches!(c, Change::LoadBase(_)));
        if !engine.busy && engine.bases.is_empty() && !asked {
            self.todo.clear();
            self.todo.push_back(Change::LoadBase(base));
        }
    }

    fn no_report(&mut self, now: Instant, cause: &str) {
        self.engine.failures += 1;
        if self.engine.failures == MAX_FAILURES {
            logs::dependency("engine", false, cause);
            self.slots.engine_lost();
        }
        self.report_at = now + REPORT_EVERY;
    }

    fn identified(&mut self, now: Instant, named: Result<Incarnation, String>) {
        match named {
            Ok(named) => self.engine.named = Some(named),
            Err(cause) => {
                if logs::allows(Line::Order) {
                    let path = &self.declared.health_path;
                    tracing::warn!(event = "engine not identified", cause, path);
                }
                self.engine.ask_name_at = Some(now + ASK_NAME_AGAIN);
            }
        }
    }

    fn ordered(&mut self, now: Instant, order: Order, end: Result<OrderEnd, String>) {
        self.log_order(&order, &end);
        match end {
            Ok(OrderEnd::Done) => {
                self.engine.report.orders_taken += 1;
                match &order.change {
                    Change::LoadBase(_) => self.report_at = now,
                    Change::Load(target) => self.slots.loaded(now, target, true),
                    Change::Unload(target) => self.slots.unloaded(now, target, true),
                }
            }
            Ok(OrderEnd::UnderWay) => {
                self.engine.report.orders_taken += 1;
                self.engine.load_ordered = Some(now);
                self.report_at = self.report_at.min(now + REPORT_SOON);
            }
            Ok(OrderEnd::Moved) => {
                self.engine.named = None;
                self.todo.push_front(order.change);
                self.report_at = now;
            }
            Ok(OrderEnd::Stale) | Err(_) => {
                // The report tells whether it was taken; else it is given again, with the
                // number of orders that rules out the earlier one.
                self.todo.push_front(order.change);
                self.report_at = now;
            }
            Ok(OrderEnd::Refused(_)) => {
                match &order.change {
                    Change::LoadBase(_) => {}
                    Change::Load(target) => self.slots.loaded(now, target, false),
                    Change::Unload(target) => self.slots.unloaded(now, target, false),
                }
                self.report_at = now;
            }
        }
    }

    /// Names the run that a report comes from; a run that took fewer orders is a new one.
    fn run_of(&mut self, report: &Report) -> Incarnation {
        let known = &self.engine.report;
        let counts_on = report.orders_taken >= known.orders_taken;
        let keeps_base = known.bases.is_empty() || !report.bases.is_empty();
        if let Some(run) = &self.engine.run {
            if counts_on && keeps_base {
                return run.clone();
            }
            tracing::warn!(event = "engine restarted", run = %run);
            self.todo.clear();
        }
        self.engine.runs += 1;
        self.engine.named = None;
        let run: Incarnation = format!("run {}", self.engine.runs).into();
        self.engine.run = Some(run.clone());
        run
    }

    fn report_pause(&self, now: Instant) -> Duration {
        let since = self.engine.load_ordered.map(|at| now.saturating_duration_since(at));
        match since {
            _ if self.engine.report.pending.is_empty() && !self.engine.report.busy => {
                REPORT_EVERY
            }
            Some(since) if since < SOON_FOR => REPORT_SOON,
            _ => REPORT_LOADING,
        }
    }

    /// Tells the entries the state, if it changed or now and then.
    fn tell(&mut self, now: Instant) {
        let news = self.news();
        let since = now.saturating_duration_since(self.told.at);
        self.told.due = self.told.news != news;
        let pause = if self.told.due { TELL_PAUSE } else { TELL_EVERY };
        if since < pause {
            return;
        }
        let changes = self.state(&news, &self.told.news);
        let whole = wire::State { whole: true, ..self.state(&news, &News::default()) };
        let mut halls: HashMap<String, u32> = HashMap::new();
        for entry in self.entries.values() {
            *halls.entry(entry.hall.clone()).or_default() += 1;
        }
        let numbers: Vec<_> = self.entries.keys().copied().collect();
        for number in numbers {
            let Some(entry) = self.entries.get_mut(&number) else { continue };
            let is_new = std::mem::take(&mut entry.is_new);
            let state = if is_new { whole.clone() } else { changes.clone() };
            let entries_in_hall = halls[&entry.hall];
            self.say(number, Say::State(wire::State { entries_in_hall, ..state }));
        }
        self.told = Told { news, at: now, due: false };
    }

    fn news(&self) -> News {
        let (resident, loading) = self.slots.held();
        News {
            engagement: self.engagement().into(),
            resident: resident.into_iter().map(Target::hash).collect(),
            loading: loading.into_iter().map(Target::hash).collect(),
            entries: self.entries.len(),
        }
    }

    fn engagement(&self) -> Engagement {
        match (self.engine.failures < MAX_FAILURES, &self.engine.run) {
            (false, _) | (_, None) => Engagement::Away,
            _ if self.engine.report.bases.is_empty() => Engagement::Filling,
            _ => Engagement::Serving,
        }
    }

    /// The state as it differs from what was told.
    fn state(&self, news: &News, told: &News) -> wire::State {
        let held = |of: &News, hash: &TargetHash| {
            of.resident.contains(hash) || of.loading.contains(hash)
        };
        let before = told.resident.iter().chain(&told.loading);
        wire::State {
            engagement: news.engagement,
            held: self.slots.running() as u32,
            free_places: self.slots.free_places() as u32,
            loads_ahead: self.slots.loads_ahead() as u32,
            entries: news.entries as u32,
            entries_in_hall: 0,
            whole: false,
            resident: news.resident.difference(&told.resident).copied().collect(),
            loading: news.loading.difference(&told.loading).copied().collect(),
            gone: before.filter(|hash| !held(news, hash)).copied().collect(),
        }
    }

    /// Sends a message; an entry that does not take its messages is cut off.
    fn say(&mut self, number: EntryNumber, kind: Say) {
        let Some(entry) = self.entries.get(&number) else { return };
        let sent = entry.tx.try_send(wire::FromAgent { kind: Some(kind) });
        if sent.is_err() || entry.tx.len() > MAX_UNTAKEN {
            entry.tx.close();
        }
    }

    fn log_order(&self, order: &Order, end: &Result<OrderEnd, String>) {
        let (kind, of) = match &order.change {
            Change::LoadBase(base) => ("load base", base.to_string()),
            Change::Load(target) => ("load", target.to_string()),
            Change::Unload(target) => ("unload", target.to_string()),
        };
        let answer = match end {
            Ok(OrderEnd::Done) => "done",
            Ok(OrderEnd::UnderWay) => "under way",
            Ok(OrderEnd::Stale) => "stale",
            Ok(OrderEnd::Moved) => "moved",
            Ok(OrderEnd::Refused(_)) => "refused",
            Err(_) => "no answer",
        };
        self.stats.order(kind, answer);
        if logs::allows(Line::Order) {
            let taken = order.orders_taken;
            tracing::info!(event = "order", kind, of, answer, taken, end = ?end);
        }
    }
}

fn concerns(change: &Change, target: &Target) -> bool {
    match change {
        Change::LoadBase(_) => false,
        Change::Load(t) | Change::Unload(t) => t == target,
    }
}

/// Whether the engine's report shows that a change was made, or is being made.
fn is_done(change: &Change, report: &Report) -> bool {
    match change {
        Change::LoadBase(base) => report.bases.contains(base),
        Change::Load(target) => {
            report.adapters.contains(target) || report.pending.contains(target)
        }
        Change::Unload(target) => !report.adapters.contains(target),
    }
}
