//! Permits to send to endpoints that take a limited rate from all VMs together.
//!
//! An entry asks the home of a run for a permit for each request that it sends there. The
//! home is one process, so its bucket counts for all entries: that of an engine is the agent
//! beside it, that of a plain service the agent that ranks first for the run. While the home
//! does not answer, the process that ranks second gives a part of the rate.
//!
//! The bound. In no span of `w` seconds may more than `1.5 r w + 5` requests reach a run that
//! names `r`. What reaches it in `w` was granted within `w` and [`UNUSED`]; with `w` of 4 s
//! that is `4.4 r + 2` by the home and `1.3 r + 1` by the second: below the bound for each `r`.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::rate::Rate;

/// Stands for a run of an endpoint between entries and homes.
pub type RunHash = u64;

/// What an entry wants to send to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// The run.
    pub run: RunHash,
    /// The rate that holds for it, as the entry heard.
    pub rate: Rate,
    /// How long ago the entry was told.
    pub age: Duration,
    /// As what it asks.
    pub home: Home,
}

/// Who grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Home {
    /// The home, which gives the whole rate.
    First,
    /// The process that is asked while the home does not answer.
    Second,
    /// The entry itself, which hears no agent at all.
    Alone,
}

/// What an entry may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send one request, within [`UNUSED`].
    Granted,
    /// Send none before this time has passed.
    Denied(Duration),
}

/// What a process has granted, by run.
#[derive(Debug, Default)]
pub struct Permits {
    buckets: HashMap<RunHash, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    rate: Rate,
    /// When the rate was told by an answer of the run.
    told: Instant,
    permits: f64,
    filled: Instant,
}

/// How long a permit holds: a few times what a connection takes to come up. What is not
/// used by then must not come on top of what is granted later.
pub const UNUSED: Duration = Duration::from_millis(250);
/// Time for a home to answer: a few times the way between halls and a turn of a busy
/// process.
pub const ANSWER: Duration = Duration::from_millis(80);
/// Permits that the home, and any other process, may save up, so that an endpoint gets its
/// rate although requests don't come evenly.
const SAVED: f64 = 2.0;
const SAVED_ELSEWHERE: f64 = 1.0;
/// Part of the rate that the second process gives.
const SECOND_PART: f64 = 0.3;
/// Part of the rate that an entry gives itself: it does not know how many others there are.
const ALONE_PART: f64 = 1.0 / 64.0;
/// The least rate that the home gives, in requests a second: an endpoint that takes next to
/// nothing is asked now and then, or nobody would learn that it takes more again.
const PROBED: f64 = 0.25;
/// Longest time for which an entry is denied: rates rise, and homes come back.
const DENIED_MOST: Duration = Duration::from_secs(2);
/// Runs that are remembered, and how long one that nobody asks for is.
const MAX_RUNS: usize = 16 * 1024;
const FORGOTTEN: Duration = Duration::from_secs(30);

/// Returns what stands for a run.
pub fn run_hash(run: &str) -> RunHash {
    xxh3_64(run.as_bytes())
}

impl Permits {
    /// Answers an entry.
    pub fn ask(&mut self, now: Instant, ask: &Ask) -> Verdict {
        self.told(now, ask.run, ask.rate, ask.age);
        let Some(bucket) = self.buckets.get_mut(&ask.run) else {
            return Verdict::Denied(DENIED_MOST);
        };
        bucket.take(now, ask.home)
    }

    /// Takes in the rate that holds for a run, told `age` ago. The latest word holds; one
    /// that lowers the rate also does if it is a little older, as clocks and ways differ.
    pub fn told(&mut self, now: Instant, run: RunHash, rate: Rate, age: Duration) {
        if self.buckets.len() >= MAX_RUNS {
            let since = |b: &Bucket| now.saturating_duration_since(b.filled);
            self.buckets.retain(|_, bucket| since(bucket) < FORGOTTEN);
        }
        let told = now.checked_sub(age).unwrap_or(now);
        let bucket = self.buckets.entry(run).or_insert(Bucket {
            rate,
            told,
            // What another process granted a moment ago is not known here.
            permits: 0.0,
            filled: now,
        });
        let newer = told > bucket.told;
        let lower = rate < bucket.rate && told + ANSWER > bucket.told;
        if newer || lower {
            bucket.rate = rate;
            bucket.told = told.max(bucket.told);
        }
    }
}

impl Bucket {
    fn take(&mut self, now: Instant, home: Home) -> Verdict {
        let named = self.rate.as_per_sec();
        let (per_sec, most) = match home {
            Home::First => (named.max(PROBED), SAVED),
            Home::Second => (named * SECOND_PART, SAVED_ELSEWHERE),
            Home::Alone => (named.max(PROBED) * ALONE_PART, SAVED_ELSEWHERE),
        };
        let since = now.saturating_duration_since(self.filled).as_secs_f64();
        self.permits = (self.permits + since * per_sec).min(most);
        self.filled = now;
        if self.permits >= 1.0 {
            self.permits -= 1.0;
            return Verdict::Granted;
        }
        let wait = (1.0 - self.permits) / per_sec;
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(DENIED_MOST);
        Verdict::Denied(wait.min(DENIED_MOST))
    }
}
