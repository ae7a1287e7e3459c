//! How many requests a second an endpoint takes from all VMs together, by its own word.

use std::time::{Duration, Instant};

/// Requests a second, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Rate(u64);

/// What an answer says of the rate that its endpoint takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RateWord {
    /// Nothing: the endpoint takes what comes.
    #[default]
    Silent,
    /// Something that is no rate: it neither sets one nor takes one back.
    Unreadable,
    /// This many requests.
    Named(Rate),
}

/// The rate that one run of an endpoint takes, by what its answers said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimit {
    rate: Rate,
    named_at: Instant,
    /// When an answer said nothing of it any more.
    ended_at: Option<Instant>,
}

/// Once a limit has ended, the rate doubles this often, so that an endpoint which just
/// recovered does not get at once all that was kept from it.
const DOUBLES_EVERY: Duration = Duration::from_millis(500);
/// Time after which an ended limit is forgotten: 64 times what it was.
const RECOVERED: Duration = Duration::from_secs(3);
/// Rates from here on bound nothing: no endpoint gets as many, and to ask for each request
/// would only cost.
const UNBOUND: Rate = Rate::from_millis(10_000_000);
/// The least rate from which one grows, in requests a second.
const GROWS_FROM: f64 = 1.0;

impl Rate {
    /// Creates a rate from thousandths of requests a second.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Creates a rate of requests a second; `None` if the number is negative or none.
    pub fn per_sec(number: f64) -> Option<Self> {
        let is_rate = number.is_finite() && number >= 0.0;
        is_rate.then_some(Self((number * 1000.0) as u64))
    }

    /// Thousandths of requests a second.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Requests a second.
    pub fn as_per_sec(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl RateLimit {
    /// Takes in what an answer says, that was asked for at `asked` and came now.
    ///
    /// Answers on different connections overtake each other. One that was asked for before
    /// the rate was last named may be older than that: it lowers the rate, but neither
    /// raises nor ends it.
    pub fn heard(
        known: Option<Self>,
        now: Instant,
        asked: Instant,
        word: RateWord,
    ) -> Option<Self> {
        let newer = known.is_none_or(|known| asked > known.named_at);
        match word {
            RateWord::Named(rate) => {
                let bound = known.filter(|known| !newer && known.ended_at.is_none());
                let rate = bound.map_or(rate, |known| rate.min(known.rate));
                Some(Self { rate, named_at: now, ended_at: None })
            }
            RateWord::Silent if newer => known
                .map(|known| Self { ended_at: known.ended_at.or(Some(now)), ..known }),
            RateWord::Silent | RateWord::Unreadable => known,
        }
    }

    /// The rate that holds now; `None` if the endpoint takes what comes.
    pub fn in_force(&self, now: Instant) -> Option<Rate> {
        let Some(ended) = self.ended_at else {
            return Some(self.rate).filter(|rate| *rate < UNBOUND);
        };
        let since = now.saturating_duration_since(ended);
        if since >= RECOVERED {
            return None;
        }
        let doubled = since.as_secs_f64() / DOUBLES_EVERY.as_secs_f64();
        Rate::per_sec(self.rate.as_per_sec().max(GROWS_FROM) * doubled.exp2())
    }

    /// When an answer last told of it: that it holds, or that it ended.
    pub fn told_at(&self) -> Instant {
        self.ended_at.unwrap_or(self.named_at)
    }

    /// The rate that was named, unless an answer has taken it back.
    pub fn named(&self) -> Option<Rate> {
        self.ended_at.is_none().then_some(self.rate)
    }
}
