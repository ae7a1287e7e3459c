//! What an entry knows of one engine, by what the agent beside it last said.

use std::collections::HashSet;
use std::time::Instant;

use larkspring_core::fleet::choose::Holding;
use larkspring_core::fleet::copies::Copies;
use larkspring_core::fleet::rate::{Rate, RateWord};
use larkspring_core::fleet::reading::Unread;
use larkspring_core::ids::{Incarnation, TargetHash};
use larkspring_proto::residency::{self as wire, Engagement};

/// What the agent last said.
#[derive(Debug, Default)]
pub(super) struct Known {
    /// When it last spoke; `None` if it never did.
    pub heard: Option<Instant>,
    /// Whether it spoke a moment ago.
    pub live: bool,
    /// The run that the engine last named itself.
    pub run: Option<NamedRun>,
    /// Whether the agent named a run on this connection, which begins with a whole state.
    named_here: bool,
    /// What was said of the rate and not taken up yet.
    rate_word: Option<RateWord>,
    state: wire::State,
    resident: HashSet<TargetHash>,
    loading: HashSet<TargetHash>,
    copies: Copies,
    unread: Option<Unread>,
    /// Granted holds of this entry when the agent said so.
    mine_then: u32,
}

/// What an entry believes of an engine, by its agent.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineView {
    /// Whether the agent was heard a moment ago.
    pub live: bool,
    /// What the engine can be asked for.
    pub engagement: Engagement,
    /// Requests in the engine, of all entries.
    pub running: u32,
    pub free_places: u32,
    pub loads_ahead: u32,
    /// Prompt tokens that are still to be read, of all entries.
    pub unread_tokens: u32,
}

/// The run that an engine named itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct NamedRun {
    pub id: Incarnation,
    /// Since when it is known.
    pub since: Instant,
    /// Whether the agent named the run before it on the same connection. Else the
    /// address may have passed to another VM, whose engine may belong to another service.
    pub in_place: bool,
}

/// What changed with a new state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Changed {
    /// Whether the engine can be asked for something else than before.
    pub engagement: bool,
    /// Whether the engine is another run, or leaves and did not before.
    pub run: bool,
    /// Whether it names another rate than before, or none any more.
    pub rate: bool,
}

impl Known {
    /// Takes in a state; `mine` is the number of granted holds of this entry.
    pub fn take(&mut self, now: Instant, state: wire::State, mine: u32) -> Changed {
        let engagement = state.engagement != self.state.engagement;
        let leaves = state.leaving && !self.state.leaving;
        let run = self.apply(now, &state) || leaves;
        let rate = self.hear_rate(&state);
        self.unread = Some(Unread::new(now, state.unread_tokens));
        self.mine_then = mine;
        self.state = state;
        Changed { engagement, run, rate }
    }

    /// What is believed of the engine now; `mine` is the number of granted holds of this
    /// entry.
    pub fn view(&self, now: Instant, mine: u32) -> EngineView {
        let held = self.state.held.saturating_sub(self.mine_then) + mine;
        EngineView {
            live: self.live,
            engagement: self.state.engagement(),
            running: held.max(mine),
            free_places: self.state.free_places,
            loads_ahead: self.state.loads_ahead + self.loading.len() as u32,
            unread_tokens: self.unread.map_or(0, |u| u.at(now)),
        }
    }

    /// The run of which the agent says that it leaves, if any.
    pub fn leaving(&self) -> Option<Incarnation> {
        let run = self.run.as_ref().filter(|_| self.state.leaving);
        run.map(|run| run.id.clone())
    }

    /// What the agent said of the rate that a run takes, since this was last asked.
    pub fn take_rate_word(&mut self) -> Option<(Incarnation, RateWord)> {
        let run = self.run.as_ref()?.id.clone();
        Some((run, self.rate_word.take()?))
    }

    /// Whether the agent, heard a moment ago, says that the engine names a rate.
    pub fn names_rate(&self) -> bool {
        self.live && self.state.rate_millis.is_some()
    }

    /// Takes in the rate that a state tells; whether it is news.
    ///
    /// The first state on a connection may come before the agent has a report: that it names
    /// none then says nothing.
    fn hear_rate(&mut self, state: &wire::State) -> bool {
        let is_news = match state.rate_millis {
            Some(rate) => self.state.rate_millis != Some(rate),
            None => self.state.rate_millis.is_some() && !state.whole,
        };
        if is_news {
            let named = state.rate_millis.map(Rate::from_millis);
            self.rate_word = Some(named.map_or(RateWord::Silent, RateWord::Named));
        }
        is_news
    }

    /// Whether the engine holds an adapter; `None` if the agent never spoke.
    pub fn holding(&self, target: TargetHash) -> Option<Holding> {
        self.heard?;
        Some(if self.resident.contains(&target) {
            Holding::Resident
        } else if self.loading.contains(&target) {
            Holding::Loading
        } else if self.copies.contains(target) {
            Holding::Copied
        } else {
            Holding::Absent
        })
    }

    /// Records that the engine holds an adapter, before its agent tells so.
    pub fn holds(&mut self, target: TargetHash) {
        self.loading.remove(&target);
        self.resident.insert(target);
    }

    /// Records that the engine turned out not to hold an adapter.
    pub fn lacks(&mut self, target: TargetHash) {
        self.resident.remove(&target);
    }

    /// Entries that follow the agent: in all, and in this entry's hall.
    pub fn entries(&self) -> (u32, u32) {
        match self.live {
            true => (self.state.entries, self.state.entries_in_hall),
            false => (0, 0),
        }
    }

    /// Takes in what changed; whether the engine is another run.
    fn apply(&mut self, now: Instant, state: &wire::State) -> bool {
        let known = self.run.as_ref().map(|run| &*run.id);
        let is_again = self.named_here && !state.whole;
        let is_new = !state.run.is_empty() && (is_again || known != Some(&state.run));
        if state.whole {
            self.named_here = false;
            self.resident.clear();
            self.loading.clear();
        }
        for hash in state.loading.iter().chain(&state.gone) {
            if self.resident.remove(hash) {
                self.copies.leave(*hash);
            }
        }
        for hash in state.resident.iter().chain(&state.gone) {
            self.loading.remove(hash);
        }
        self.resident.extend(&state.resident);
        self.loading.extend(&state.loading);
        if state.engagement() == Engagement::Filling || (is_new && self.run.is_some()) {
            // The copies went with the run that made them, and so did what it held.
            self.copies.clear();
        }
        if is_new {
            let id = state.run.as_str().into();
            let in_place = self.named_here;
            self.run = Some(NamedRun { id, since: now, in_place });
        }
        self.named_here |= !state.run.is_empty();
        is_new
    }
}
