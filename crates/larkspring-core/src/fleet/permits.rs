//! Permits to send to endpoints that limit their request rate over all VMs.
//!
//! An entry requests a permit from the run's permit issuer for each request that it sends
//! there. The issuer is a single process, so that its token bucket counts for all
//! entries: for an engine the agent beside the engine, for a plain service the agent that
//! ranks first for the run. While the primary issuer does not answer, the agent that
//! ranks second issues permits for a part of the rate.
//!
//! Bound: in no interval of `w` seconds may more than `1.5 r w + 5` requests reach a run
//! that advertises the rate `r`. Requests that arrive within `w` were granted within `w`
//! plus [`PERMIT_LIFETIME`]. For `w` of 4 s these are `4.4 r + 2` by the primary and
//! `1.3 r + 1` by the secondary issuer, which is below the bound for each `r`.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::rate::Rate;

/// Hash of a run's name, used between entries and permit issuers.
pub type RunHash = u64;

/// An entry's request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitQuery {
    /// The run.
    pub run: RunHash,
    /// The advertised rate, as the entry knows it.
    pub rate: Rate,
    /// Age of the rate: the time since the entry received it.
    pub age: Duration,
    /// The issuer that the request is addressed to.
    pub issuer: IssuerRole,
}

/// The issuers of permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IssuerRole {
    /// The primary issuer, which grants the whole rate.
    Primary,
    /// The secondary issuer, used while the primary issuer does not answer.
    Secondary,
    /// The entry itself, when it reaches no agent.
    SelfIssued,
}

/// The answer to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitResponse {
    /// One request may be sent, within [`PERMIT_LIFETIME`].
    Granted,
    /// No request may be sent before this time has passed.
    Denied(Duration),
}

/// The token buckets of one issuer, by run.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    buckets: HashMap<RunHash, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    rate: Rate,
    /// When an answer of the run advertised the rate.
    advertised_at: Instant,
    permits: f64,
    refilled_at: Instant,
}

/// How long a permit is valid: a few times the duration of a connection set-up. Unused
/// permits expire so that they are not spent on top of later ones.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(250);
/// Time for an issuer to answer: a few times the round trip between halls plus the
/// scheduling delay of a busy process.
pub const ISSUER_TIMEOUT: Duration = Duration::from_millis(80);
/// Bucket sizes of the primary issuer and of the others, so that an endpoint is used at
/// its full rate although requests arrive unevenly.
const PRIMARY_BUCKET_SIZE: f64 = 2.0;
const OTHER_BUCKET_SIZE: f64 = 1.0;
/// Part of the rate that the secondary issuer grants.
const SECONDARY_RATE_FRACTION: f64 = 0.3;
/// Upper bound of the requests that arrive in one second under permits of the primary and
/// of the secondary issuer, as a multiple of the rate and in addition.
pub const MAX_RATE_FACTOR: f64 =
    (1.0 + SECONDARY_RATE_FRACTION) * (1.0 + PERMIT_LIFETIME.as_millis() as f64 / 1000.0);
/// See [`MAX_RATE_FACTOR`].
pub const MAX_WINDOW_EXCESS: f64 = PRIMARY_BUCKET_SIZE + OTHER_BUCKET_SIZE;
/// Part of the rate that an entry grants itself, as it does not know the number of other
/// entries.
const SELF_ISSUED_RATE_FRACTION: f64 = 1.0 / 64.0;
/// Lowest rate that the primary issuer grants, in requests a second. An endpoint that
/// advertises nearly zero still gets occasional requests, or a raised rate would go
/// unnoticed.
const MIN_PRIMARY_RATE_PER_SEC: f64 = 0.25;
/// Longest denial: the rate may rise, or an issuer may recover.
const MAX_DENIAL: Duration = Duration::from_secs(2);
/// Maximum number of runs that are kept, and the idle time after which a run is dropped.
const MAX_RUNS: usize = 16 * 1024;
const RUN_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the hash of a run's name.
pub fn run_hash(run: &str) -> RunHash {
    xxh3_64(run.as_bytes())
}

impl PermitIssuer {
    /// Answers a request for a permit.
    pub fn request(&mut self, now: Instant, ask: &PermitQuery) -> PermitResponse {
        self.update_rate(now, ask.run, ask.rate, ask.age);
        let Some(bucket) = self.buckets.get_mut(&ask.run) else {
            return PermitResponse::Denied(MAX_DENIAL);
        };
        bucket.take(now, ask.issuer)
    }

    /// Applies the rate of a run, received `age` ago. The latest rate applies; a lower
    /// rate also applies if it is slightly older, to allow for clock and transmission
    /// differences.
    pub fn update_rate(&mut self, now: Instant, run: RunHash, rate: Rate, age: Duration) {
        if self.buckets.len() >= MAX_RUNS {
            let since = |b: &Bucket| now.saturating_duration_since(b.refilled_at);
            self.buckets.retain(|_, bucket| since(bucket) < RUN_IDLE_TIMEOUT);
        }
        let advertised_at = now.checked_sub(age).unwrap_or(now);
        let bucket = self.buckets.entry(run).or_insert(Bucket {
            rate,
            advertised_at,
            // Starts empty, as recent grants of another issuer are not known here.
            permits: 0.0,
            refilled_at: now,
        });
        let newer = advertised_at > bucket.advertised_at;
        let lower =
            rate < bucket.rate && advertised_at + ISSUER_TIMEOUT > bucket.advertised_at;
        if newer || lower {
            bucket.rate = rate;
            bucket.advertised_at = advertised_at.max(bucket.advertised_at);
        }
    }
}

impl Bucket {
    fn take(&mut self, now: Instant, role: IssuerRole) -> PermitResponse {
        let advertised = self.rate.as_per_sec();
        let (per_sec, bucket_size) = match role {
            IssuerRole::Primary => {
                (advertised.max(MIN_PRIMARY_RATE_PER_SEC), PRIMARY_BUCKET_SIZE)
            }
            IssuerRole::Secondary => {
                (advertised * SECONDARY_RATE_FRACTION, OTHER_BUCKET_SIZE)
            }
            IssuerRole::SelfIssued => (
                advertised.max(MIN_PRIMARY_RATE_PER_SEC) * SELF_ISSUED_RATE_FRACTION,
                OTHER_BUCKET_SIZE,
            ),
        };
        let since = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.permits = (self.permits + since * per_sec).min(bucket_size);
        self.refilled_at = now;
        if self.permits >= 1.0 {
            self.permits -= 1.0;
            return PermitResponse::Granted;
        }
        let wait = (1.0 - self.permits) / per_sec;
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(MAX_DENIAL);
        PermitResponse::Denied(wait.min(MAX_DENIAL))
    }
}
