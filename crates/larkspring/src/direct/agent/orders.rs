//! What the engine reports, and the orders that follow.

use std::time::{Duration, Instant};

use larkspring_core::fleet::availability::{Availability, News, Notice};
use larkspring_core::fleet::permits::run_hash;
use larkspring_core::ids::{Incarnation, Target};

use super::driver::Command;
use super::keeper::{Keeper, MAX_FAILURES};
use crate::direct::edge::{Change, Order, OrderEnd, Report};
use crate::direct::logs::{self, Line};
use crate::direct::unknown::Place;

/// What is known of the engine.
#[derive(Default)]
pub(super) struct Engine {
    pub(super) run: Option<Incarnation>,
    /// Number of runs that this agent saw; names a run until it names itself.
    pub(super) runs: u64,
    /// The name that the run gave itself. Orders for adapters carry it, so that one which
    /// is carried out late never reaches another run.
    pub(super) named: Option<Incarnation>,
    /// When the run is asked for its name again, if it gave none.
    pub(super) ask_name_at: Option<Instant>,
    /// What the run said of whether it wants requests.
    pub(super) said: Availability,
    pub(super) report: Report,
    /// Reports in a row that did not come.
    pub(super) failures: u32,
    /// When the latest load was ordered.
    pub(super) load_ordered: Option<Instant>,
    /// The latest order, for logs.
    pub(super) last_order: Option<(Instant, Change)>,
    /// The adapter of a load whose order got no answer: it may have been taken, or be taken
    /// late, until the engine takes another order.
    pub(super) unclear: Option<Target>,
    /// When the latest order got no answer.
    unanswered: Option<Instant>,
    /// What the run before called itself.
    former: Option<Incarnation>,
    /// Until when an order to the run before may reach this one, which has the same name.
    late_until: Option<Instant>,
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

/// How long after it was given an order without an answer may be carried out: the platform's
/// operators state up to 12 s.
const LATE_ORDER: Duration = Duration::from_secs(13);

impl Keeper {
    /// Puts the number of adapters in force that the engine may hold now.
    ///
    /// An order carries the name of its run and the number of orders taken. A run that came
    /// back under the name of the one before takes a late order once the number fits, so one
    /// place is kept free for it; the report then shows what it brought.
    pub(super) fn put_places(&mut self, now: Instant) {
        let places = self.declared.places as usize;
        let awaits_late = self.engine.late_until.is_some_and(|until| until > now);
        let free = usize::from(awaits_late && places > 1);
        self.slots.set_places(places - free);
    }

    /// Gives the driver its next command, if it is free.
    pub(super) fn drive(&mut self, now: Instant) {
        // An engine that asked this VM for rest is sent neither orders nor calls for reports.
        if self.driving || self.engine.said.rests_for(now).is_some() {
            return;
        }
        self.forget_unwanted();
        let engine = &self.engine;
        let command = match self.todo.front() {
            _ if self.report_at <= now => Command::Report,
            // An engine that does not even report is not given orders in a row.
            _ if engine.failures > 0 => return,
            Some(Change::Load(_) | Change::Unload(_)) if engine.named.is_none() => {
                if engine.ask_name_at.is_some_and(|at| at > now) {
                    return;
                }
                Command::Identify(self.declared.health_path.clone())
            }
            // Entries know a run by its name, some seconds before the platform lists it.
            None if engine.named.is_none() && !engine.report.bases.is_empty() => {
                let path = &self.declared.health_path;
                if path.is_empty() || engine.ask_name_at.is_some_and(|at| at > now) {
                    return;
                }
                Command::Identify(path.clone())
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

    /// Takes back the next loads while nobody waits for them any more: the fetch would cost
    /// its price and keep others of the weight store waiting for nothing.
    ///
    /// One that may have been taken keeps its place until that is known, as the engine would
    /// hold one adapter too many with another in its place.
    fn forget_unwanted(&mut self) {
        while let Some(Change::Load(target)) = self.todo.front() {
            let unclear = self.engine.unclear.as_ref() == Some(target);
            if unclear || self.slots.demand(target).is_some() {
                return;
            }
            self.slots.not_loaded(target);
            self.todo.pop_front();
        }
    }

    /// Takes in what an answer of the engine says of it.
    pub(super) fn noticed(&mut self, now: Instant, asked: Instant, notice: Notice) {
        let news = self.engine.said.hear(now, asked, notice, 0.0);
        if news.is_any() {
            let rate = self.engine.said.rate_named();
            tracing::info!(
                event = match news {
                    News { leaves: true, .. } => "engine leaves",
                    News { rests: true, .. } => "engine rests",
                    News { .. } if rate.is_some() => "engine names a rate",
                    News { .. } => "engine names no rate any more",
                },
                endpoint = self.engine.named.as_deref(),
                rest_ms = notice.rest.map(|rest| rest.as_millis() as u64),
                rate_per_sec = rate.map(|rate| rate.as_per_sec()),
            );
        }
        if let (Some(run), Some(rate)) =
            (&self.engine.named, self.engine.said.rate_named())
        {
            self.permits.told(now, run_hash(run), rate, Duration::ZERO);
        }
        if let Some(left) = self.engine.said.rests_for(now) {
            // What waits for an adapter goes to other engines; the next report brings it back.
            self.slots.engine_lost();
            self.report_at = now + left;
        }
    }

    pub(super) fn reported(&mut self, now: Instant, report: Report) {
        self.stats.report(true);
        self.stats.unknown_words(Place::Report, &report.unknown);
        self.put_places(now);
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

    pub(super) fn no_report(&mut self, now: Instant, cause: &str) {
        self.stats.report(false);
        // A refusal that asks for rest is an answer: the engine is there.
        if self.engine.said.rests_for(now).is_some() {
            return;
        }
        self.engine.failures += 1;
        if self.engine.failures == MAX_FAILURES {
            logs::dependency("engine", false, cause);
            self.log_lost(now);
            self.slots.engine_lost();
        }
        self.report_at = now + REPORT_EVERY;
    }

    pub(super) fn identified(
        &mut self,
        now: Instant,
        named: Result<Incarnation, String>,
    ) {
        match named {
            Ok(named) => {
                let engine = &mut self.engine;
                if engine.former.as_ref() == Some(&named) {
                    engine.late_until = engine.unanswered.map(|at| at + LATE_ORDER);
                }
                engine.named = Some(named);
                self.put_places(now);
            }
            Err(cause) => {
                if logs::allows(Line::Order) {
                    let path = &self.declared.health_path;
                    tracing::warn!(event = "engine not identified", cause, path);
                }
                self.engine.ask_name_at = Some(now + ASK_NAME_AGAIN);
            }
        }
    }

    pub(super) fn ordered(
        &mut self,
        now: Instant,
        order: Order,
        end: Result<OrderEnd, String>,
    ) {
        self.log_order(&order, &end);
        self.engine.last_order = Some((now, order.change.clone()));
        if end.is_err() {
            self.engine.unanswered = Some(now);
        }
        if let (Change::Load(target), Ok(OrderEnd::UnderWay) | Err(_)) =
            (&order.change, &end)
        {
            self.slots.load_ordered(now, target);
        }
        match (&order.change, &end) {
            (Change::Load(target), Err(_)) => self.engine.unclear = Some(target.clone()),
            (_, Ok(OrderEnd::Done | OrderEnd::UnderWay)) => self.engine.unclear = None,
            _ => {}
        }
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
        let began_again = report.start.is_some()
            && known.start.is_some_and(|start| Some(start) != report.start);
        if let Some(run) = &self.engine.run {
            if counts_on && keeps_base && !began_again {
                return run.clone();
            }
            tracing::warn!(event = "engine restarted", run = %run);
            self.todo.clear();
            self.engine.unclear = None;
            self.engine.said = Availability::default();
        }
        self.engine.runs += 1;
        self.engine.former = self.engine.named.take();
        let run: Incarnation = format!("run {}", self.engine.runs).into();
        self.engine.run = Some(run.clone());
        run
    }

    pub(super) fn report_pause(&self, now: Instant) -> Duration {
        let since = self.engine.load_ordered.map(|at| now.saturating_duration_since(at));
        match since {
            _ if self.engine.report.pending.is_empty() && !self.engine.report.busy => {
                REPORT_EVERY
            }
            Some(since) if since < SOON_FOR => REPORT_SOON,
            _ => REPORT_LOADING,
        }
    }

    /// Logs what the engine was at when it was lost: requests or an order may have ended it.
    fn log_lost(&self, now: Instant) {
        let last = self.engine.last_order.as_ref();
        let since = |at: &Instant| now.saturating_duration_since(*at).as_millis() as u64;
        tracing::warn!(
            event = "engine lost",
            endpoint = self.engine.named.as_deref(),
            held = self.slots.running(),
            resident = self.engine.report.adapters.len(),
            pending = self.engine.report.pending.len(),
            places = self.declared.places,
            last_order = last.map(|(_, change)| format!("{change:?}")),
            last_order_ms = last.map(|(at, _)| since(at)),
        );
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
