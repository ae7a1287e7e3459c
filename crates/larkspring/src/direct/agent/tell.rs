//! Publishes the engine's state to the entries.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use larkspring_core::fleet::rate::Rate;
use larkspring_core::fleet::reading::Unread;
use larkspring_core::ids::{HallId, Incarnation, Target, TargetHash};
use larkspring_proto::residency::from_agent::Kind as Say;
use larkspring_proto::residency::{self as wire, Engagement};

use super::keeper::{Keeper, MAX_FAILURES};

/// The state that was published last.
pub(super) struct Told {
    pub(super) news: News,
    pub(super) at: Instant,
    /// Whether there are changes that were not published yet.
    pub(super) due: bool,
    /// The prefill backlog as the entries estimate it.
    pub(super) unread: Unread,
}

/// The part of the state whose changes are published at once; the other fields change
/// with every request and are sent along.
#[derive(Default, PartialEq, Eq)]
pub(super) struct News {
    pub(super) engagement: i32,
    pub(super) resident: HashSet<TargetHash>,
    pub(super) loading: HashSet<TargetHash>,
    pub(super) entries: usize,
    /// Whether the engine is draining.
    pub(super) leaving: bool,
    /// The engine's advertised rate limit.
    pub(super) rate: Option<Rate>,
    /// The run's name, and the run's number, which distinguishes it from an earlier run
    /// of the same name.
    pub(super) run: Option<(Incarnation, u64)>,
}

/// Interval at which the state is published, changed or not.
pub(super) const TELL_EVERY: Duration = Duration::from_millis(400);
/// Minimum interval between two updates: each update goes to every entry, and bytes
/// between halls are charged.
pub(super) const TELL_PAUSE: Duration = Duration::from_millis(40);
/// Increase of the prefill backlog that is published at once: so many tokens take a tenth
/// of a second of prefill, and the entries would place other prompts behind them.
const LONG_PROMPT: u32 = 4000;

impl Keeper {
    /// Publishes the state to the entries if it changed or if the interval has passed.
    pub(super) fn tell(&mut self, now: Instant) {
        let news = self.news(now);
        let since = now.saturating_duration_since(self.told.at);
        let more = self.unread.at(now).saturating_sub(self.told.unread.at(now));
        self.told.due = self.told.news != news || more >= LONG_PROMPT;
        let pause = match self.told.due {
            // Requests that are granted next are sent to this run.
            _ if news.run.is_some() && news.run != self.told.news.run => Duration::ZERO,
            true => TELL_PAUSE,
            false => TELL_EVERY,
        };
        if since < pause {
            return;
        }
        let changes = self.state(now, &news, &self.told.news);
        let all = self.state(now, &news, &News::default());
        let whole = wire::State { whole: true, ..all };
        let mut halls: HashMap<HallId, u32> = HashMap::new();
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
        self.told = Told { news, at: now, due: false, unread: self.unread };
    }

    fn news(&self, now: Instant) -> News {
        let (resident, loading) = self.slots.held();
        News {
            engagement: self.engagement(now).into(),
            resident: resident.into_iter().map(Target::hash).collect(),
            loading: loading.into_iter().map(Target::hash).collect(),
            entries: self.entries.len(),
            leaving: self.engine.said.leaves(),
            rate: self.engine.said.rate_named(),
            run: self.engine.named.clone().map(|name| (name, self.engine.runs)),
        }
    }

    fn engagement(&self, now: Instant) -> Engagement {
        let asked = self.engine.said.rests_for(now).is_none();
        match (self.engine.failures < MAX_FAILURES && asked, &self.engine.run) {
            (false, _) | (_, None) => Engagement::Away,
            _ if self.engine.report.bases.is_empty() => Engagement::Filling,
            _ => Engagement::Serving,
        }
    }

    /// Returns the state with the differences from an earlier one.
    fn state(&self, now: Instant, news: &News, told: &News) -> wire::State {
        let held = |of: &News, hash: &TargetHash| {
            of.resident.contains(hash) || of.loading.contains(hash)
        };
        let run = news.run.as_ref().filter(|_| news.run != told.run);
        let before = told.resident.iter().chain(&told.loading);
        wire::State {
            engagement: news.engagement,
            held: self.slots.running() as u32,
            free_places: self.slots.free_places() as u32,
            loads_ahead: self.slots.loads_ahead() as u32,
            entries: news.entries as u32,
            entries_in_hall: 0,
            whole: false,
            leaving: news.leaving,
            rate_millis: news.rate.map(Rate::as_millis),
            resident: news.resident.difference(&told.resident).copied().collect(),
            loading: news.loading.difference(&told.loading).copied().collect(),
            unread_tokens: self.unread.at(now),
            run: run.map(|(name, _)| name.to_string()).unwrap_or_default(),
            gone: before.filter(|hash| !held(news, hash)).copied().collect(),
        }
    }
}
