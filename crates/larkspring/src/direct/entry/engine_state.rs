//! The state of an engine as last reported by the agent beside it.

use std::collections::HashSet;
use std::time::Instant;

use larkspring_core::fleet::choose::AdapterLocation;
use larkspring_core::fleet::host_copies::HostCopies;
use larkspring_core::fleet::prefill::PrefillBacklog;
use larkspring_core::fleet::rate::{AdvertisedRate, Rate};
use larkspring_core::fleet::stream_outcomes::StreamReport;
use larkspring_core::ids::{Incarnation, TargetHash};
use larkspring_proto::residency::{self as wire, Engagement};

/// The agent's latest reports.
#[derive(Debug, Default)]
pub(super) struct EngineState {
    /// When the agent's last message came; `None` before the first one.
    pub last_message: Option<Instant>,
    /// Whether the agent is responsive.
    pub live: bool,
    /// The run of the engine that was last reported.
    pub run: Option<ReportedRun>,
    /// Whether the agent has reported a run on the current connection. Each connection
    /// begins with a whole state.
    run_on_connection: bool,
    /// The latest change of the advertised rate that was not taken yet.
    rate_change: Option<AdvertisedRate>,
    state: wire::State,
    resident: HashSet<TargetHash>,
    loading: HashSet<TargetHash>,
    host_copies: HostCopies,
    prefill_backlog: Option<PrefillBacklog>,
    /// Granted holds of this entry at the time of the last state report.
    own_holds_at_report: u32,
}

/// The known state of an engine for endpoint selection.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineView {
    /// Whether the agent is responsive.
    pub live: bool,
    /// Whether the engine serves, is loading its base model or is unavailable.
    pub engagement: Engagement,
    /// Requests of all entries in the engine.
    pub running: u32,
    pub free_adapter_slots: u32,
    pub loads_ahead: u32,
    /// Prefill backlog of all entries' requests, in tokens.
    pub prefill_backlog_tokens: u32,
}

/// A run of an engine as reported by the agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ReportedRun {
    pub id: Incarnation,
    /// When the run was first reported.
    pub since: Instant,
    /// Whether the agent reported the previous run on the same connection. Otherwise the
    /// address may have passed to another VM, whose engine may belong to another service.
    pub in_place: bool,
}

/// The changes by a new state report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StateChanges {
    /// Whether the engagement changed.
    pub engagement: bool,
    /// Whether the engine is another run or has begun to drain.
    pub run: bool,
    /// Whether the advertised rate changed or ended.
    pub rate: bool,
}

impl EngineState {
    /// Applies a state report; `own_holds` is the number of granted holds of this entry.
    pub fn apply(
        &mut self,
        now: Instant,
        state: wire::State,
        own_holds: u32,
    ) -> StateChanges {
        let engagement = state.engagement != self.state.engagement;
        let drains = state.leaving && !self.state.leaving;
        let run = self.apply_run(now, &state) || drains;
        let rate = self.record_rate(&state);
        self.prefill_backlog = Some(PrefillBacklog::new(now, state.unread_tokens));
        self.own_holds_at_report = own_holds;
        self.state = state;
        StateChanges { engagement, run, rate }
    }

    /// Returns the known state of the engine; `own_holds` is the number of granted holds
    /// of this entry.
    pub fn view(&self, now: Instant, own_holds: u32) -> EngineView {
        let held = self.state.held.saturating_sub(self.own_holds_at_report) + own_holds;
        EngineView {
            live: self.live,
            engagement: self.state.engagement(),
            running: held.max(own_holds),
            free_adapter_slots: self.state.free_places,
            loads_ahead: self.state.loads_ahead + self.loading.len() as u32,
            prefill_backlog_tokens: self.prefill_backlog.map_or(0, |u| u.tokens_at(now)),
        }
    }

    /// Returns the run that the agent reports as draining, if any.
    pub fn draining_run(&self) -> Option<Incarnation> {
        let run = self.run.as_ref().filter(|_| self.state.leaving);
        run.map(|run| run.id.clone())
    }

    /// Takes the latest change of a run's advertised rate, if any.
    pub fn take_rate_change(&mut self) -> Option<(Incarnation, AdvertisedRate)> {
        let run = self.run.as_ref()?.id.clone();
        Some((run, self.rate_change.take()?))
    }

    /// Returns what the agent reports of the streams of a run; `None` if it is not
    /// responsive or does not know.
    pub fn stream_report(&self, run: &str) -> Option<StreamReport> {
        let is_of_run = self.run.as_ref().is_some_and(|known| &*known.id == run);
        let thousandths = self.state.broken_thousandths?;
        (self.live && is_of_run).then(|| StreamReport {
            probability: f64::from(thousandths) / 1000.0,
            breaks_off: self.state.breaks_off,
        })
    }

    /// Returns whether the agent is responsive and reports an advertised rate of the
    /// engine.
    pub fn has_advertised_rate(&self) -> bool {
        self.live && self.state.rate_millis.is_some()
    }

    /// Records the advertised rate in a state report; returns whether the rate changed.
    ///
    /// The first state on a connection may precede the engine's first report to the
    /// agent, so a missing rate is then no change.
    fn record_rate(&mut self, state: &wire::State) -> bool {
        let has_changed = match state.rate_millis {
            Some(rate) => self.state.rate_millis != Some(rate),
            None => self.state.rate_millis.is_some() && !state.whole,
        };
        if has_changed {
            let rate = state.rate_millis.map(Rate::from_millis);
            self.rate_change =
                Some(rate.map_or(AdvertisedRate::Missing, AdvertisedRate::Limit));
        }
        has_changed
    }

    /// Returns how the engine holds an adapter; `None` before the agent's first message.
    pub fn holding(&self, target: TargetHash) -> Option<AdapterLocation> {
        self.last_message?;
        Some(if self.resident.contains(&target) {
            AdapterLocation::Resident
        } else if self.loading.contains(&target) {
            AdapterLocation::Loading
        } else if self.host_copies.contains(target) {
            AdapterLocation::HostMemory
        } else {
            AdapterLocation::WeightStore
        })
    }

    /// Records that the engine holds an adapter, ahead of the agent's next state report.
    pub fn record_held(&mut self, target: TargetHash) {
        self.loading.remove(&target);
        self.resident.insert(target);
    }

    /// Records that the engine refused a request for lack of an adapter.
    pub fn record_missing(&mut self, target: TargetHash) {
        self.resident.remove(&target);
    }

    /// Returns the number of entries connected to the agent, in all and in this entry's
    /// hall.
    pub fn entry_counts(&self) -> (u32, u32) {
        match self.live {
            true => (self.state.entries, self.state.entries_in_hall),
            false => (0, 0),
        }
    }

    /// Applies a state's run and adapters; returns whether the engine is another run.
    fn apply_run(&mut self, now: Instant, state: &wire::State) -> bool {
        let known = self.run.as_ref().map(|run| &*run.id);
        let is_later_run = self.run_on_connection && !state.whole;
        let is_new = !state.run.is_empty() && (is_later_run || known != Some(&state.run));
        if state.whole {
            self.run_on_connection = false;
            self.resident.clear();
            self.loading.clear();
        }
        for hash in state.loading.iter().chain(&state.gone) {
            if self.resident.remove(hash) {
                self.host_copies.record_unload(*hash);
            }
        }
        for hash in state.resident.iter().chain(&state.gone) {
            self.loading.remove(hash);
        }
        self.resident.extend(&state.resident);
        self.loading.extend(&state.loading);
        if state.engagement() == Engagement::Filling || (is_new && self.run.is_some()) {
            // Host-memory copies are lost with the run that made them.
            self.host_copies.clear();
        }
        if is_new {
            let id = state.run.as_str().into();
            let in_place = self.run_on_connection;
            self.run = Some(ReportedRun { id, since: now, in_place });
        }
        self.run_on_connection |= !state.run.is_empty();
        is_new
    }
}
