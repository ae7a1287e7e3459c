//! Publishes the engine's state to the entries.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use larkspring_core::fleet::following::{report_interval, EntryCounts};
use larkspring_core::fleet::prefill::PrefillBacklog;
use larkspring_core::fleet::rate::Rate;
use larkspring_core::ids::{HallId, Incarnation, Target, TargetHash};
use larkspring_proto::residency::from_agent::Kind as AgentMessage;
use larkspring_proto::residency::{self as wire, Engagement};

use super::controller::{Controller, EntryConnection, MAX_REPORT_FAILURES};

/// The state that was published last.
pub(super) struct LastUpdate {
    pub(super) state: EngineState,
    pub(super) at: Instant,
    /// Whether there are changes that were not published yet.
    pub(super) due: bool,
    /// The prefill backlog as the entries estimate it.
    pub(super) prefill_backlog: PrefillBacklog,
}

/// The part of the state whose changes are published at once; the other fields change
/// with every request and are sent along.
#[derive(Default, PartialEq, Eq)]
pub(super) struct EngineState {
    pub(super) engagement: i32,
    pub(super) resident: HashSet<TargetHash>,
    pub(super) loading: HashSet<TargetHash>,
    /// Whether the engine is draining.
    pub(super) draining: bool,
    /// The engine's advertised rate limit.
    pub(super) advertised_rate: Option<Rate>,
    /// Whether the engine breaks streams off.
    pub(super) breaks_off: bool,
    /// The run's name, and the run's number, which distinguishes it from an earlier run
    /// of the same name.
    pub(super) run: Option<(Incarnation, u64)>,
}

/// Interval at which the state is published, changed or not.
pub(super) const PUBLISH_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which an entry that follows this agent is likely to go on.
const FOLLOWED_AFTER: Duration = Duration::from_secs(3);
/// Increase of the prefill backlog that is published at once: so many tokens take a tenth
/// of a second of prefill, and the entries would place other prompts behind them.
const MIN_BACKLOG_CHANGE_TOKENS: u32 = 4000;

impl Controller {
    /// Publishes the state to the entries if it changed or if the interval has passed.
    pub(super) fn publish(&mut self, now: Instant) {
        let current = self.engine_state(now);
        let since = now.saturating_duration_since(self.last_update.at);
        let more = self
            .prefill_backlog
            .tokens_at(now)
            .saturating_sub(self.last_update.prefill_backlog.tokens_at(now));
        self.last_update.due =
            self.last_update.state != current || more >= MIN_BACKLOG_CHANGE_TOKENS;
        let pause = match self.last_update.due {
            // Requests that are granted next are sent to this run.
            _ if current.run.is_some() && current.run != self.last_update.state.run => {
                Duration::ZERO
            }
            // Until they know it, all entries lose streams to the engine.
            _ if current.breaks_off != self.last_update.state.breaks_off => {
                Duration::ZERO
            }
            true => self.min_publish_interval(),
            false => PUBLISH_INTERVAL,
        };
        let is_due = since >= pause;
        self.note_followers(now);
        if !is_due && !self.entries.values().any(EntryConnection::needs_whole_state) {
            return;
        }
        let changes = self.state_update(now, &current, &self.last_update.state);
        let all = self.state_update(now, &current, &EngineState::default());
        let whole = wire::State { whole: true, ..all };
        let counts = self.entries_by_hall();
        let numbers: Vec<_> = self.entries.keys().copied().collect();
        for number in numbers {
            let Some(entry) = self.entries.get_mut(&number) else { continue };
            let Some(hall) = entry.hall.clone() else { continue };
            let is_new = std::mem::take(&mut entry.is_new);
            if !is_new && !is_due {
                continue;
            }
            let state = if is_new { whole.clone() } else { changes.clone() };
            let entries_in_hall = counts[&hall];
            let entries = self.entry_count(&counts);
            self.send(
                number,
                AgentMessage::State(wire::State { entries, entries_in_hall, ..state }),
            );
        }
        if !is_due {
            // Only entries that connected since got the state.
            return;
        }
        self.last_update = LastUpdate {
            state: current,
            at: now,
            due: false,
            prefill_backlog: self.prefill_backlog,
        };
    }

    /// Returns the minimum interval between two updates: each update goes to every entry,
    /// and bytes between halls are charged.
    pub(super) fn min_publish_interval(&self) -> Duration {
        report_interval(self.entries.len(), PUBLISH_INTERVAL)
    }

    /// Notes that entries follow this agent for longer than the start of a fleet takes, in
    /// which each entry knows a part of the endpoints.
    fn note_followers(&mut self, now: Instant) {
        if self.entries.values().all(|entry| entry.by_use) {
            self.followed_since = None;
            return;
        }
        let since = *self.followed_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= FOLLOWED_AFTER {
            // The channel is full once this was noted.
            let _ = self.followed.try_send(());
        }
    }

    fn entries_by_hall(&self) -> HashMap<HallId, u32> {
        let mut counts = HashMap::new();
        for hall in self.entries.values().filter_map(|entry| entry.hall.clone()) {
            *counts.entry(hall).or_default() += 1;
        }
        counts
    }

    /// Returns the number of all entries, by this agent's own connections. If some entries
    /// connect only to the agents that they use, assumes as many in each hall as in the
    /// one of which the most are connected.
    fn entry_count(&self, in_halls: &HashMap<HallId, u32>) -> u32 {
        let connected = self.entries.len() as u32;
        if !self.entries.values().any(|entry| entry.by_use) {
            return connected;
        }
        let most = in_halls.values().copied().max().unwrap_or_default();
        connected.max(EntryCounts::from_hall(most, self.regions.len()).all)
    }

    fn engine_state(&self, now: Instant) -> EngineState {
        let (resident, loading) = self.scheduler.resident_and_loading();
        EngineState {
            engagement: self.engagement(now).into(),
            resident: resident.into_iter().map(Target::hash).collect(),
            loading: loading.into_iter().map(Target::hash).collect(),
            draining: self.engine.availability.is_draining(),
            advertised_rate: self.engine.availability.advertised_rate(),
            breaks_off: self.stream_ends.report(now).breaks_off,
            run: self.engine.run_name.clone().map(|name| (name, self.engine.run_count)),
        }
    }

    fn engagement(&self, now: Instant) -> Engagement {
        let accepts = self.engine.availability.remaining_backoff(now).is_none();
        match (
            self.engine.report_failures < MAX_REPORT_FAILURES && accepts,
            &self.engine.run,
        ) {
            (false, _) | (_, None) => Engagement::Away,
            _ if self.engine.report.bases.is_empty() => Engagement::Filling,
            _ => Engagement::Serving,
        }
    }

    /// Returns the state with the differences from an earlier one.
    fn state_update(
        &self,
        now: Instant,
        new: &EngineState,
        old: &EngineState,
    ) -> wire::State {
        let held = |of: &EngineState, hash: &TargetHash| {
            of.resident.contains(hash) || of.loading.contains(hash)
        };
        let run = new.run.as_ref().filter(|_| new.run != old.run);
        let before = old.resident.iter().chain(&old.loading);
        let ends = self.stream_ends.report(now);
        wire::State {
            engagement: new.engagement,
            held: self.scheduler.running() as u32,
            free_places: self.scheduler.free_adapter_slots() as u32,
            loads_ahead: self.scheduler.queued_loads() as u32,
            entries: 0,
            entries_in_hall: 0,
            whole: false,
            leaving: new.draining,
            broken_thousandths: Some((ends.probability * 1000.0) as u32)
                .filter(|thousandths| *thousandths > 0),
            breaks_off: new.breaks_off,
            rate_millis: new.advertised_rate.map(Rate::as_millis),
            resident: new.resident.difference(&old.resident).copied().collect(),
            loading: new.loading.difference(&old.loading).copied().collect(),
            unread_tokens: self.prefill_backlog.tokens_at(now),
            run: run.map(|(name, _)| name.to_string()).unwrap_or_default(),
            gone: before.filter(|hash| !held(new, hash)).copied().collect(),
        }
    }
}
