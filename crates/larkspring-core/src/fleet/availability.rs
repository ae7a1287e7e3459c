//! Whether an endpoint accepts requests, according to the headers of its answers.
//!
//! A notice applies to the run that sent it and to this VM. Older information does not
//! override a notice: while the platform's store is unavailable, its list still shows
//! draining endpoints as ready.

use std::time::{Duration, Instant};

use super::rate::{AdvertisedRate, Rate, RateLimit};
use crate::ids::StartMs;

/// The availability of one run of an endpoint, according to its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Availability {
    /// Start of the run, as the platform lists it.
    start: Option<StartMs>,
    /// When the run was first known to be draining.
    draining_since: Option<Instant>,
    backoff: Option<Backoff>,
    /// The advertised rate limit, for all VMs together.
    rate: Option<RateLimit>,
    cold: Option<ColdSpell>,
}

/// An interval during which an endpoint is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ColdSpell {
    known_since: Instant,
    until: Instant,
}

/// The request rate that an endpoint takes at the moment, from all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateInForce {
    /// The rate.
    pub rate: Rate,
    /// When the endpoint advertised the rate or was known to be cold.
    pub known_since: Instant,
}

/// An interval during which an endpoint asked this VM to send no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Backoff {
    received_at: Instant,
    until: Instant,
}

/// The endpoint's state, as given in the headers of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Notice {
    /// Whether the endpoint is draining: it finishes its requests and stops soon.
    pub leaving: bool,
    /// The backoff that the endpoint asks of this VM.
    pub rest: Option<Duration>,
    /// The advertised rate limit, for all VMs together.
    pub rate: AdvertisedRate,
    /// How much longer the endpoint is cold.
    pub cold: Option<Duration>,
}

/// The changes that an answer caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AvailabilityChanges {
    /// The endpoint is now known to be draining.
    pub draining: bool,
    /// The endpoint now asks for a backoff.
    pub backoff: bool,
    /// The advertised rate changed or was removed.
    pub rate: bool,
    /// The endpoint is now known to be cold.
    pub cold: bool,
}

/// The longest backoff that is applied, so that an endpoint that asks for a year by
/// mistake is tried again after an hour. During a longer backoff the endpoint gets one
/// request an hour; up to two requests may reach an endpoint during any backoff.
pub const MAX_BACKOFF: Duration = Duration::from_secs(3600);
/// The longest time for which an endpoint is believed to be cold.
const MAX_COLD: Duration = Duration::from_secs(60);
/// Part of the backoff over which VMs spread their return. Otherwise all of them would
/// send their withheld requests at once.
const BACKOFF_SPREAD: f64 = 0.1;

impl Notice {
    /// The notice of a draining endpoint.
    pub const DRAINING: Self =
        Self { leaving: true, rest: None, rate: AdvertisedRate::Invalid, cold: None };

    /// Creates a notice about the rate only.
    pub fn from_rate(rate: AdvertisedRate) -> Self {
        Self { rate, ..Self::default() }
    }

    /// Whether the notice contains no information.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the notice with a missing rate replaced by [`AdvertisedRate::Invalid`],
    /// for answers in which a missing rate does not show that the endpoint has no limit.
    pub fn ignoring_missing_rate(self) -> Self {
        match self.rate {
            AdvertisedRate::Missing => Self { rate: AdvertisedRate::Invalid, ..self },
            AdvertisedRate::Invalid | AdvertisedRate::Limit(_) => self,
        }
    }
}

impl AvailabilityChanges {
    /// Whether anything changed.
    pub fn is_any(self) -> bool {
        self.draining || self.backoff || self.rate || self.cold
    }
}

impl Availability {
    /// Applies the notice of an answer of the run, and returns the changes.
    ///
    /// `sent_at` is when the request was sent. `share`, from 0 to 1, is this VM's
    /// position in the spread of VMs that return after a backoff. Each answer's backoff
    /// is independent: a shorter backoff, or none, does not end a longer one.
    pub fn apply_notice(
        &mut self,
        now: Instant,
        sent_at: Instant,
        notice: Notice,
        share: f64,
    ) -> AvailabilityChanges {
        let before = *self;
        self.rate = RateLimit::updated(self.rate, now, sent_at, notice.rate);
        if let Some(left) = notice.cold {
            self.record_cold(now, left);
        }
        if notice.leaving {
            self.draining_since.get_or_insert(now);
        }
        if let Some(backoff) = notice.rest.filter(|backoff| !backoff.is_zero()) {
            let backoff = backoff.min(MAX_BACKOFF);
            let until =
                now + backoff + backoff.mul_f64(BACKOFF_SPREAD * share.clamp(0.0, 1.0));
            if self.backoff.is_none_or(|known| until > known.until) {
                self.backoff = Some(Backoff { received_at: now, until });
            }
        }
        AvailabilityChanges {
            draining: self.is_draining() && !before.is_draining(),
            backoff: self.remaining_backoff(now).is_some()
                && before.remaining_backoff(now).is_none(),
            rate: self.advertised_rate() != before.advertised_rate(),
            cold: self.is_cold(now) && !before.is_cold(now),
        }
    }

    /// Records the start of the run, as the platform lists it. A later start is another
    /// run of the same name, so the state is cleared; an earlier start comes from an
    /// outdated list and is ignored.
    pub fn record_listed_start(&mut self, start: Option<StartMs>) {
        match (self.start, start) {
            (Some(known), Some(start)) if start > known => {
                *self = Self { start: Some(start), ..Self::default() };
            }
            (None, Some(_)) => self.start = start,
            _ => {}
        }
    }

    /// Records that the endpoint is cold for the time `left`. Another source may know
    /// only of a shorter time, so the longest one counts.
    pub fn record_cold(&mut self, now: Instant, left: Duration) {
        let until = now + left.min(MAX_COLD);
        if until > now && self.cold.is_none_or(|known| until > known.until) {
            let known_since = self.cold_at(now).map_or(now, |known| known.known_since);
            self.cold = Some(ColdSpell { known_since, until });
        }
    }

    /// Whether the endpoint is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_at(now).is_some()
    }

    fn cold_at(&self, now: Instant) -> Option<ColdSpell> {
        self.cold.filter(|spell| spell.until > now)
    }

    /// Returns the rate that the endpoint takes: the lower of its advertised rate and,
    /// while it is cold, `cold_rate`. `None` for no limit.
    pub fn rate_in_force(
        &self,
        now: Instant,
        cold_rate: Option<Rate>,
    ) -> Option<RateInForce> {
        let advertised = self.rate.and_then(|limit| {
            let known_since = limit.updated_at();
            Some(RateInForce { rate: limit.in_force(now)?, known_since })
        });
        let cold = self.cold_at(now).and_then(|spell| {
            Some(RateInForce { rate: cold_rate?, known_since: spell.known_since })
        });
        advertised.into_iter().chain(cold).min_by_key(|limit| limit.rate)
    }

    /// Records that another run of the same name began no later than `since`. Notices
    /// received before do not apply to that run.
    pub fn clear_before(&mut self, since: Instant) {
        self.draining_since = self.draining_since.filter(|at| *at >= since);
        self.backoff = self.backoff.filter(|backoff| backoff.received_at >= since);
        self.rate = self.rate.filter(|rate| rate.updated_at() >= since);
        self.cold = self.cold.filter(|spell| spell.known_since >= since);
    }

    /// Whether the run is draining.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// The remaining backoff; `None` if the endpoint accepts requests.
    pub fn remaining_backoff(&self, now: Instant) -> Option<Duration> {
        let left = self.backoff?.until.checked_duration_since(now)?;
        (!left.is_zero()).then_some(left)
    }

    /// The advertised rate limit, while it is in force.
    pub fn rate_limit(&self, now: Instant) -> Option<RateLimit> {
        self.rate.filter(|rate| rate.in_force(now).is_some())
    }

    /// The advertised rate.
    pub fn advertised_rate(&self) -> Option<Rate> {
        self.rate?.advertised()
    }

    /// Whether the endpoint accepts requests, according to its answers.
    pub fn is_open(&self, now: Instant) -> bool {
        !self.is_draining() && self.remaining_backoff(now).is_none()
    }

    /// Whether no notice of the run is recorded.
    pub fn is_empty(&self) -> bool {
        self.draining_since.is_none()
            && self.backoff.is_none()
            && self.rate.is_none()
            && self.cold.is_none()
    }
}
