//! Whether an endpoint takes requests, by what it says of itself in its answers.
//!
//! What is said holds for the run that said it, and for this VM. Nothing older takes it back:
//! while the platform's store is away, its list goes on to call a leaving endpoint ready.

use std::time::{Duration, Instant};

use super::rate::{Rate, RateLimit, RateWord};
use crate::ids::StartMs;

/// What is known of one run of an endpoint by its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Availability {
    /// When the run began, as the platform lists it.
    start: Option<StartMs>,
    /// Since when it is known to leave.
    leaving_since: Option<Instant>,
    rest: Option<Rest>,
    /// The rate of requests that it takes from all VMs together.
    rate: Option<RateLimit>,
}

/// A time in which an endpoint wants no requests of this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Rest {
    asked_at: Instant,
    until: Instant,
}

/// What an answer says of its endpoint, beside what it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notice {
    /// Whether the endpoint leaves: it serves what it has and is gone soon.
    pub leaving: bool,
    /// For how long it wants no requests of this VM.
    pub rest: Option<Duration>,
    /// The rate of requests that it takes from all VMs together.
    pub rate: RateWord,
}

/// What changed with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct News {
    /// It is known to leave, and was not before.
    pub leaves: bool,
    /// It rests, and did not before.
    pub rests: bool,
    /// It names another rate than before, or none any more.
    pub rate: bool,
}

/// The longest rest that is kept: an endpoint that names a year by mistake is tried again
/// after an hour. Within a longer one it then gets one request an hour, of the two that may
/// cross any rest.
pub const MAX_REST: Duration = Duration::from_secs(3600);
/// Part of the named rest over which the VMs that were asked for it come back: else all of
/// them send at once what they have kept from the endpoint.
const SPREAD: f64 = 0.1;

impl Notice {
    /// What an endpoint says that leaves.
    pub const LEAVING: Self =
        Self { leaving: true, rest: None, rate: RateWord::Unreadable };

    /// What is said of the rate alone.
    pub fn of_rate(rate: RateWord) -> Self {
        Self { rate, ..Self::default() }
    }

    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// The same, where its silence is no word of the endpoint.
    pub fn without_silence(self) -> Self {
        match self.rate {
            RateWord::Silent => Self { rate: RateWord::Unreadable, ..self },
            RateWord::Unreadable | RateWord::Named(_) => self,
        }
    }
}

impl News {
    /// Whether anything changed.
    pub fn is_any(self) -> bool {
        self.leaves || self.rests || self.rate
    }
}

impl Availability {
    /// Takes in what an answer of the run says, and returns what is news.
    ///
    /// It was asked for at `asked`. `share` of 0 to 1 is this VM's place among those that
    /// come back after a rest. Each answer's time stands by itself: a shorter one, or none,
    /// does not end a longer one.
    pub fn hear(
        &mut self,
        now: Instant,
        asked: Instant,
        notice: Notice,
        share: f64,
    ) -> News {
        let before = *self;
        self.rate = RateLimit::heard(self.rate, now, asked, notice.rate);
        if notice.leaving {
            self.leaving_since.get_or_insert(now);
        }
        if let Some(rest) = notice.rest.filter(|rest| !rest.is_zero()) {
            let rest = rest.min(MAX_REST);
            let until = now + rest + rest.mul_f64(SPREAD * share.clamp(0.0, 1.0));
            if self.rest.is_none_or(|known| until > known.until) {
                self.rest = Some(Rest { asked_at: now, until });
            }
        }
        News {
            leaves: self.leaves() && !before.leaves(),
            rests: self.rests_for(now).is_some() && before.rests_for(now).is_none(),
            rate: self.rate_named() != before.rate_named(),
        }
    }

    /// Takes in when the run began, as the platform lists it. A later start is another run
    /// of the same name, of which nothing is known; an earlier one is an old list.
    pub fn listed(&mut self, start: Option<StartMs>) {
        match (self.start, start) {
            (Some(known), Some(start)) if start > known => {
                *self = Self { start: Some(start), ..Self::default() };
            }
            (None, Some(_)) => self.start = start,
            _ => {}
        }
    }

    /// Takes in that another run of the same name has begun by `since`: what was said before
    /// is not about it.
    pub fn renewed(&mut self, since: Instant) {
        self.leaving_since = self.leaving_since.filter(|at| *at >= since);
        self.rest = self.rest.filter(|rest| rest.asked_at >= since);
        self.rate = self.rate.filter(|rate| rate.told_at() >= since);
    }

    /// Whether the run said that it leaves.
    pub fn leaves(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// How long it still wants no requests; `None` if it takes them.
    pub fn rests_for(&self, now: Instant) -> Option<Duration> {
        let left = self.rest?.until.checked_duration_since(now)?;
        (!left.is_zero()).then_some(left)
    }

    /// What it said of the rate of requests that it takes, while that bounds it.
    pub fn rate_limit(&self, now: Instant) -> Option<RateLimit> {
        self.rate.filter(|rate| rate.in_force(now).is_some())
    }

    /// The rate that it names.
    pub fn rate_named(&self) -> Option<Rate> {
        self.rate?.named()
    }

    /// Whether it takes requests, as far as it said.
    pub fn is_open(&self, now: Instant) -> bool {
        !self.leaves() && self.rests_for(now).is_none()
    }

    /// Whether the run never said anything that still may hold.
    pub fn is_silent(&self) -> bool {
        self.leaving_since.is_none() && self.rest.is_none() && self.rate.is_none()
    }
}
