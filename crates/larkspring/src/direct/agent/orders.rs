//! Applies the engine's reports and issues the orders that follow.

use std::time::{Duration, Instant};

use larkspring_core::fleet::availability::{Availability, AvailabilityChanges, Notice};
use larkspring_core::fleet::permits::run_hash;
use larkspring_core::ids::{Incarnation, Target};

use super::controller::{Controller, MAX_REPORT_FAILURES};
use super::driver::Command;
use super::stream_ends::StreamEnds;
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::{Change, Order, OrderOutcome, Report};
use crate::direct::unknown_names::NameSource;

/// The engine's state as this agent knows it.
#[derive(Default)]
pub(super) struct Engine {
    pub(super) run: Option<Incarnation>,
    /// Number of runs seen by this agent; identifies a run until the run reports its
    /// name.
    pub(super) run_count: u64,
    /// The name that the run reported. Orders for adapters carry this name, so that an
    /// order that is carried out late never reaches another run.
    pub(super) run_name: Option<Incarnation>,
    /// When the run's name is requested again, if the last answer held none.
    pub(super) name_retry_at: Option<Instant>,
    /// Backoff, draining and advertised rate, by the run's notices.
    pub(super) availability: Availability,
    pub(super) report: Report,
    /// Consecutive report requests that failed.
    pub(super) report_failures: u32,
    /// When the latest load was ordered.
    pub(super) last_load_at: Option<Instant>,
    /// The latest order, for logs.
    pub(super) last_order: Option<(Instant, Change)>,
    /// The adapter of a load order without an answer: the engine may have accepted the
    /// order, or may accept it late, until the engine accepts another order.
    pub(super) unanswered_load: Option<Target>,
    /// When an order was last left without an answer.
    last_unanswered_at: Option<Instant>,
    /// The name of the previous run.
    previous_name: Option<Incarnation>,
    /// Until when an order to the previous run may reach this run, which has the same
    /// name.
    late_order_until: Option<Instant>,
}

/// Report interval: a failed engine has to be noticed well before a caller's objective of
/// 600 ms.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Report interval while an adapter loads that the engine held recently (about 27 ms).
const FAST_REPORT_INTERVAL: Duration = Duration::from_millis(10);
/// Time after a load order in which [`FAST_REPORT_INTERVAL`] applies.
const FAST_REPORT_PERIOD: Duration = Duration::from_millis(60);
/// Report interval while an adapter is fetched from the weight store (250 ms and more).
const LOADING_REPORT_INTERVAL: Duration = Duration::from_millis(25);
/// Delay before the name of a run is requested again: the engine's health check waits for
/// a batch slot and is charged.
const NAME_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time after which an order without an answer is no longer carried out: the platform's
/// operators state up to 12 s.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(13);

impl Controller {
    /// Sets the number of adapters that the engine may hold now.
    ///
    /// An order carries its run's name and the number of orders taken. A restarted run
    /// with the name of the previous run accepts a late order as soon as that number
    /// matches, so one adapter slot is kept free for that order; the report then shows
    /// which adapter was loaded.
    pub(super) fn update_slot_limit(&mut self, now: Instant) {
        let slots = self.declared.places as usize;
        let expects_late_order =
            self.engine.late_order_until.is_some_and(|until| until > now);
        let free = usize::from(expects_late_order && slots > 1);
        self.scheduler.set_adapter_slots(slots - free);
    }

    /// Gives the driver its next command, if the driver is idle.
    pub(super) fn send_next_command(&mut self, now: Instant) {
        // An engine in backoff gets neither orders nor report requests.
        if self.driver_busy || self.engine.availability.remaining_backoff(now).is_some() {
            return;
        }
        self.cancel_unneeded_loads();
        let engine = &self.engine;
        let command = match self.queued_changes.front() {
            _ if self.next_report_at <= now => Command::Report,
            // An engine that does not answer report requests gets no series of orders.
            _ if engine.report_failures > 0 => return,
            Some(Change::Load(_) | Change::Unload(_)) if engine.run_name.is_none() => {
                if engine.name_retry_at.is_some_and(|at| at > now) {
                    return;
                }
                Command::Identify(self.declared.health_path.clone())
            }
            // Entries identify a run by its name, some seconds before the platform lists
            // the run.
            None if engine.run_name.is_none() && !engine.report.bases.is_empty() => {
                let path = &self.declared.health_path;
                if path.is_empty() || engine.name_retry_at.is_some_and(|at| at > now) {
                    return;
                }
                Command::Identify(path.clone())
            }
            Some(change) => Command::Order(Order {
                change: change.clone(),
                orders_taken: engine.report.orders_taken,
                incarnation: engine.run_name.clone(),
                sender: self.holder.clone(),
            }),
            None => return,
        };
        if matches!(command, Command::Order(_)) {
            self.queued_changes.pop_front();
        }
        // The driver takes one command at a time and is idle.
        self.driver_busy = self.commands.try_send(command).is_ok();
    }

    /// Cancels the next queued loads that no request waits for: the fetch would be
    /// charged and would delay other fetches from the weight store.
    ///
    /// A load that the engine may have accepted keeps its slot until the outcome is
    /// known: with another adapter in this slot the engine would hold one too many.
    fn cancel_unneeded_loads(&mut self) {
        while let Some(Change::Load(target)) = self.queued_changes.front() {
            let may_be_accepted = self.engine.unanswered_load.as_ref() == Some(target);
            if may_be_accepted || self.scheduler.demand(target).is_some() {
                return;
            }
            self.scheduler.cancel_load(target);
            self.queued_changes.pop_front();
        }
    }

    /// Applies a notice from an engine's answer.
    pub(super) fn apply_notice(
        &mut self,
        now: Instant,
        sent_at: Instant,
        notice: Notice,
    ) {
        let changes = self.engine.availability.apply_notice(now, sent_at, notice, 0.0);
        if changes.is_any() {
            let rate = self.engine.availability.advertised_rate();
            tracing::info!(
                event = match changes {
                    AvailabilityChanges { draining: true, .. } => "engine leaves",
                    AvailabilityChanges { backoff: true, .. } => "engine rests",
                    AvailabilityChanges { .. } if rate.is_some() => "engine names a rate",
                    AvailabilityChanges { .. } => "engine names no rate any more",
                },
                endpoint = self.engine.run_name.as_deref(),
                rest_ms = notice.rest.map(|rest| rest.as_millis() as u64),
                rate_per_sec = rate.map(|rate| rate.as_per_sec()),
            );
        }
        if let (Some(run), Some(rate)) =
            (&self.engine.run_name, self.engine.availability.advertised_rate())
        {
            self.permit_issuer.update_rate(now, run_hash(run), rate, Duration::ZERO);
        }
        if let Some(left) = self.engine.availability.remaining_backoff(now) {
            // Requests that wait for an adapter go to other engines; the next report
            // makes this engine available again.
            self.scheduler.record_unreachable();
            self.next_report_at = now + left;
        }
    }

    pub(super) fn apply_report(&mut self, now: Instant, report: Report) {
        self.stats.count_report(true);
        self.stats.count_unknown_names(NameSource::Report, &report.unknown);
        self.update_slot_limit(now);
        let run = self.current_run(&report);
        if self.engine.report_failures >= MAX_REPORT_FAILURES {
            logs::log_dependency("engine", true, "");
        }
        self.engine.report_failures = 0;
        let bases = &self.declared.bases;
        let has_base =
            report.bases.iter().any(|b| bases.iter().any(|name| **name == **b));
        self.engine.report = report;
        if has_base {
            let report = &self.engine.report;
            self.queued_changes.retain(|change| !is_applied(change, report));
            let queued = &self.queued_changes;
            let ordered = |t: &Target| !queued.iter().any(|c| affects(c, t));
            let failed = self.scheduler.apply_current_report(
                now,
                &run,
                &report.adapters,
                &report.pending,
                ordered,
            );
            for target in failed {
                tracing::warn!(event = "load failed", adapter = %target);
            }
            let slots = &mut self.scheduler;
            self.unreported_requests
                .retain(|(id, target)| !slots.adopt_running(now, *id, target));
        } else {
            self.scheduler.record_base_loading(&run);
            self.load_base();
        }
        self.next_report_at = now + self.report_interval(now);
    }

    /// Orders a base model for an engine that holds none.
    fn load_base(&mut self) {
        let engine = &self.engine.report;
        let declared = self.declared.bases.first().map(|base| base.as_str().into());
        // A base model that the engine held before has a copy on its VM, so it can be
        // loaded before an entry sends the declaration.
        let base = match &engine.copied_bases[..] {
            [only] => declared.or_else(|| Some(only.clone())),
            _ => declared,
        };
        let Some(base) = base else { return };
        let is_queued =
            self.queued_changes.iter().any(|c| matches!(c, Change::LoadBase(_)));
        if !engine.busy && engine.bases.is_empty() && !is_queued {
            self.queued_changes.clear();
            self.queued_changes.push_back(Change::LoadBase(base));
        }
    }

    pub(super) fn report_failed(&mut self, now: Instant, cause: &str) {
        self.stats.count_report(false);
        // A refusal that asks for backoff is an answer, so the engine has not failed.
        if self.engine.availability.remaining_backoff(now).is_some() {
            return;
        }
        self.engine.report_failures += 1;
        if self.engine.report_failures == MAX_REPORT_FAILURES {
            logs::log_dependency("engine", false, cause);
            self.log_engine_lost(now);
            self.scheduler.record_unreachable();
        }
        self.next_report_at = now + REPORT_INTERVAL;
    }

    pub(super) fn apply_run_name(
        &mut self,
        now: Instant,
        name: Result<Incarnation, String>,
    ) {
        match name {
            Ok(name) => {
                let engine = &mut self.engine;
                if engine.previous_name.as_ref() == Some(&name) {
                    engine.late_order_until =
                        engine.last_unanswered_at.map(|at| at + MAX_ORDER_DELAY);
                }
                engine.run_name = Some(name);
                self.update_slot_limit(now);
            }
            Err(cause) => {
                if logs::is_allowed(LineKind::Order) {
                    let path = &self.declared.health_path;
                    tracing::warn!(event = "engine not identified", cause, path);
                }
                self.engine.name_retry_at = Some(now + NAME_RETRY_DELAY);
            }
        }
    }

    pub(super) fn apply_order_result(
        &mut self,
        now: Instant,
        order: Order,
        end: Result<OrderOutcome, String>,
    ) {
        self.log_order(&order, &end);
        self.engine.last_order = Some((now, order.change.clone()));
        if end.is_err() {
            self.engine.last_unanswered_at = Some(now);
        }
        if let (Change::Load(target), Ok(OrderOutcome::UnderWay) | Err(_)) =
            (&order.change, &end)
        {
            self.scheduler.record_load_order(now, target);
        }
        match (&order.change, &end) {
            (Change::Load(target), Err(_)) => {
                self.engine.unanswered_load = Some(target.clone())
            }
            (_, Ok(OrderOutcome::Done | OrderOutcome::UnderWay)) => {
                self.engine.unanswered_load = None
            }
            _ => {}
        }
        match end {
            Ok(OrderOutcome::Done) => {
                self.engine.report.orders_taken += 1;
                match &order.change {
                    Change::LoadBase(_) => self.next_report_at = now,
                    Change::Load(target) => {
                        self.scheduler.record_load_end(now, target, true)
                    }
                    Change::Unload(target) => {
                        self.scheduler.record_unload_end(now, target, true)
                    }
                }
            }
            Ok(OrderOutcome::UnderWay) => {
                self.engine.report.orders_taken += 1;
                self.engine.last_load_at = Some(now);
                self.next_report_at = self.next_report_at.min(now + FAST_REPORT_INTERVAL);
            }
            Ok(OrderOutcome::Moved) => {
                self.engine.run_name = None;
                self.queued_changes.push_front(order.change);
                self.next_report_at = now;
            }
            Ok(OrderOutcome::Stale) | Err(_) => {
                // The report shows whether the order was accepted. If not, the order is
                // sent again, with a number of orders taken that rules out the earlier
                // order.
                self.queued_changes.push_front(order.change);
                self.next_report_at = now;
            }
            Ok(OrderOutcome::Refused(_)) => {
                match &order.change {
                    Change::LoadBase(_) => {}
                    Change::Load(target) => {
                        self.scheduler.record_load_end(now, target, false)
                    }
                    Change::Unload(target) => {
                        self.scheduler.record_unload_end(now, target, false)
                    }
                }
                self.next_report_at = now;
            }
        }
    }

    /// Returns the run that a report comes from; fewer orders taken than before means a
    /// new run.
    fn current_run(&mut self, report: &Report) -> Incarnation {
        let known = &self.engine.report;
        let count_continues = report.orders_taken >= known.orders_taken;
        let keeps_base = known.bases.is_empty() || !report.bases.is_empty();
        let is_restarted = report.start.is_some()
            && known.start.is_some_and(|start| Some(start) != report.start);
        if let Some(run) = &self.engine.run {
            if count_continues && keeps_base && !is_restarted {
                return run.clone();
            }
            tracing::warn!(event = "engine restarted", run = %run);
            self.queued_changes.clear();
            self.engine.unanswered_load = None;
            self.engine.availability = Availability::default();
        }
        self.engine.run_count += 1;
        self.stream_ends = StreamEnds::new(Instant::now());
        self.engine.previous_name = self.engine.run_name.take();
        let run: Incarnation = format!("run {}", self.engine.run_count).into();
        self.engine.run = Some(run.clone());
        run
    }

    pub(super) fn report_interval(&self, now: Instant) -> Duration {
        let since = self.engine.last_load_at.map(|at| now.saturating_duration_since(at));
        match since {
            _ if self.engine.report.pending.is_empty() && !self.engine.report.busy => {
                REPORT_INTERVAL
            }
            Some(since) if since < FAST_REPORT_PERIOD => FAST_REPORT_INTERVAL,
            _ => LOADING_REPORT_INTERVAL,
        }
    }

    /// Logs the engine's state when it was lost: requests or an order may have caused the
    /// crash.
    fn log_engine_lost(&self, now: Instant) {
        let last = self.engine.last_order.as_ref();
        let since = |at: &Instant| now.saturating_duration_since(*at).as_millis() as u64;
        tracing::warn!(
            event = "engine lost",
            endpoint = self.engine.run_name.as_deref(),
            held = self.scheduler.running(),
            resident = self.engine.report.adapters.len(),
            pending = self.engine.report.pending.len(),
            places = self.declared.places,
            last_order = last.map(|(_, change)| format!("{change:?}")),
            last_order_ms = last.map(|(at, _)| since(at)),
        );
    }

    fn log_order(&self, order: &Order, end: &Result<OrderOutcome, String>) {
        let (kind, of) = match &order.change {
            Change::LoadBase(base) => ("load base", base.to_string()),
            Change::Load(target) => ("load", target.to_string()),
            Change::Unload(target) => ("unload", target.to_string()),
        };
        let answer = match end {
            Ok(OrderOutcome::Done) => "done",
            Ok(OrderOutcome::UnderWay) => "under way",
            Ok(OrderOutcome::Stale) => "stale",
            Ok(OrderOutcome::Moved) => "moved",
            Ok(OrderOutcome::Refused(_)) => "refused",
            Err(_) => "no answer",
        };
        self.stats.count_order(kind, answer);
        if logs::is_allowed(LineKind::Order) {
            let taken = order.orders_taken;
            tracing::info!(event = "order", kind, of, answer, taken, end = ?end);
        }
    }
}

fn affects(change: &Change, target: &Target) -> bool {
    match change {
        Change::LoadBase(_) => false,
        Change::Load(t) | Change::Unload(t) => t == target,
    }
}

/// Whether the engine's report shows that a change was made or is in progress.
fn is_applied(change: &Change, report: &Report) -> bool {
    match change {
        Change::LoadBase(base) => report.bases.contains(base),
        Change::Load(target) => {
            report.adapters.contains(target) || report.pending.contains(target)
        }
        Change::Unload(target) => !report.adapters.contains(target),
    }
}
