//! The request rate that an endpoint accepts from all VMs together, as it advertises.

use std::time::{Duration, Instant};

/// A rate in thousandths of requests a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Rate(u64);

/// The rate header of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AdvertisedRate {
    /// No rate is advertised: the endpoint sets no limit.
    #[default]
    Missing,
    /// The value is not a rate: it neither sets nor ends a limit.
    Invalid,
    /// The advertised rate.
    Limit(Rate),
}

/// The rate limit of one run of an endpoint, according to its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimit {
    rate: Rate,
    advertised_at: Instant,
    /// When an answer first came without a rate.
    ended_at: Option<Instant>,
}

/// Interval at which the rate doubles once a limit has ended, so that an endpoint that
/// just recovered does not receive all withheld requests at once.
const DOUBLING_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an ended limit is dropped, at 64 times its rate.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Rates from this value on count as no limit: no endpoint gets as many requests, so
/// permits would only add cost.
const MIN_UNLIMITED: Rate = Rate::from_millis(10_000_000);
/// Lowest initial rate of the growth after a limit has ended, in requests a second.
const MIN_RECOVERY_RATE_PER_SEC: f64 = 1.0;

impl Rate {
    /// Creates a rate from thousandths of requests a second.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Creates a rate from requests a second; `None` if the number is negative or not
    /// finite.
    pub fn per_sec(number: f64) -> Option<Self> {
        let is_rate = number.is_finite() && number >= 0.0;
        is_rate.then_some(Self((number * 1000.0) as u64))
    }

    /// Returns the rate in thousandths of requests a second.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the rate in requests a second.
    pub fn as_per_sec(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl RateLimit {
    /// Applies the rate header of an answer that arrives now, to a request sent at
    /// `sent_at`.
    ///
    /// Answers on different connections may arrive out of order. An answer to a request
    /// sent before the rate was last advertised may be outdated: it lowers the rate, but
    /// neither raises nor ends it.
    pub fn updated(
        known: Option<Self>,
        now: Instant,
        sent_at: Instant,
        word: AdvertisedRate,
    ) -> Option<Self> {
        let newer = known.is_none_or(|known| sent_at > known.advertised_at);
        match word {
            AdvertisedRate::Limit(rate) => {
                let bound = known.filter(|known| !newer && known.ended_at.is_none());
                let rate = bound.map_or(rate, |known| rate.min(known.rate));
                Some(Self { rate, advertised_at: now, ended_at: None })
            }
            AdvertisedRate::Missing if newer => known
                .map(|known| Self { ended_at: known.ended_at.or(Some(now)), ..known }),
            AdvertisedRate::Missing | AdvertisedRate::Invalid => known,
        }
    }

    /// The rate in force at `now`; `None` if the endpoint has no limit.
    pub fn in_force(&self, now: Instant) -> Option<Rate> {
        let Some(ended) = self.ended_at else {
            return Some(self.rate).filter(|rate| *rate < MIN_UNLIMITED);
        };
        let since = now.saturating_duration_since(ended);
        if since >= RECOVERY_TIME {
            return None;
        }
        let doublings = since.as_secs_f64() / DOUBLING_INTERVAL.as_secs_f64();
        Rate::per_sec(
            self.rate.as_per_sec().max(MIN_RECOVERY_RATE_PER_SEC) * doublings.exp2(),
        )
    }

    /// When an answer last advertised the limit or showed that it ended.
    pub fn updated_at(&self) -> Instant {
        self.ended_at.unwrap_or(self.advertised_at)
    }

    /// The advertised rate, unless the limit has ended.
    pub fn advertised(&self) -> Option<Rate> {
        self.ended_at.is_none().then_some(self.rate)
    }
}
