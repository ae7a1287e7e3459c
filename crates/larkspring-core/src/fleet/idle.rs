//! How long an idle connection to an endpoint may be reused.
//!
//! An endpoint may forget an idle connection without closing it. A request that is sent
//! on such a connection gets no answer, so the time is shortened for an endpoint whose
//! connections break when they are reused.

use std::time::{Duration, Instant};

/// What a request needs of the connection that it is sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// The request can be sent again on a new connection.
    Repeatable,
    /// The request must not run twice, or its body can be sent only once.
    Once,
}

/// The learned part of the time for which idle connections to an endpoint are reused.
#[derive(Debug, Clone, Copy)]
pub struct IdleTime {
    /// Learned fraction of the full time.
    fraction: f64,
    /// Longest idle time that a connection has survived, as a fraction of the full time.
    survived: f64,
    /// The last connection that broke.
    broken: Option<Break>,
}

/// A connection that broke when it was reused.
#[derive(Debug, Clone, Copy)]
struct Break {
    at: Instant,
    /// Time for which the connection had been idle, as a fraction of the full time.
    idle: f64,
}

/// Fraction of the named keep-alive time for which a connection is reused. The rest
/// covers requests that are on their way when the endpoint closes the connection.
const KEEP_ALIVE_FRACTION: f64 = 0.8;
/// Fraction of the named keep-alive time for a request that must not run twice.
const ONCE_FRACTION: f64 = 0.5;
/// Time for a request that must not run twice, whose outcome would be unclear if the
/// endpoint had dropped the connection.
const ONCE_LIMIT: Duration = Duration::from_millis(500);
/// Time for an endpoint that names no keep-alive time. A request on a connection that such
/// an endpoint has forgotten silently gets no answer before its deadline, and nothing
/// tells how soon the endpoint forgets.
const UNNAMED_LIMIT: Duration = Duration::from_millis(1500);
/// Longest time for any endpoint, which bounds the descriptors of idle connections in
/// large fleets. After ten seconds without a request, a new connection is a small cost.
const MAX_LIMIT: Duration = Duration::from_secs(10);
/// Increase of the fraction for each successful reuse.
const RAISE: f64 = 0.1;
/// Fraction below which a break is not attributed to the idle time.
const MIN_FRACTION: f64 = 0.05;
/// Part of the idle time of a connection that broke up to which others are reused, even
/// if some have survived for longer.
const CEILING_FRACTION: f64 = 0.8;
/// How long a break counts. Then the full time is tried again, since the endpoint may
/// have been restarted with another setting. At a request every 2 s, the new connections
/// of this time cost less than one request that is lost at its deadline of 5 s.
const BREAK_LIFETIME: Duration = Duration::from_secs(600);

/// Bounds of the idle connections that an entry keeps to an endpoint.
const IDLE_CONNECTIONS: (usize, usize) = (2, 32);

impl Default for IdleTime {
    fn default() -> Self {
        Self { fraction: 1.0, survived: 0.0, broken: None }
    }
}

impl IdleTime {
    /// Returns the time for which a connection may have been idle when it is reused.
    /// `keep_alive` is the time that the endpoint names, if any.
    pub fn limit(
        &self,
        now: Instant,
        keep_alive: Option<Duration>,
        reuse: Reuse,
    ) -> Duration {
        let learned = full_time(keep_alive).mul_f64(self.fraction(now));
        match reuse {
            Reuse::Repeatable => learned,
            Reuse::Once => learned.min(once_time(keep_alive)).min(ONCE_LIMIT),
        }
    }

    /// Records that an endpoint answered on a connection that had been idle for `idle`.
    /// After a break, a connection that had been idle for more than half of the present
    /// limit raises it again, up to the time that connections have survived: a longer time
    /// would put another request at risk.
    pub fn record_success(
        &mut self,
        now: Instant,
        keep_alive: Option<Duration>,
        idle: Duration,
    ) {
        self.forget_old_break(now);
        let idle = idle.div_duration_f64(full_time(keep_alive)).min(1.0);
        self.survived = self.survived.max(idle);
        let Some(broken) = self.broken else { return };
        let ceiling = self.survived.min(broken.idle * CEILING_FRACTION);
        if idle > self.fraction / 2.0 {
            self.fraction = (self.fraction + RAISE).min(ceiling).max(self.fraction);
        }
    }

    /// Records that a connection that had been idle for `idle` broke when it was reused;
    /// returns whether the time is shortened.
    pub fn record_break(
        &mut self,
        now: Instant,
        keep_alive: Option<Duration>,
        idle: Duration,
    ) -> bool {
        self.forget_old_break(now);
        let idle = idle.div_duration_f64(full_time(keep_alive)).min(1.0);
        if idle < MIN_FRACTION {
            return false;
        }
        self.fraction = (self.fraction.min(idle) / 2.0).max(MIN_FRACTION);
        self.broken = Some(Break { at: now, idle });
        true
    }

    fn fraction(&self, now: Instant) -> f64 {
        match self.broken {
            Some(broken) if !broken.is_old(now) => self.fraction,
            _ => 1.0,
        }
    }

    fn forget_old_break(&mut self, now: Instant) {
        if self.broken.is_some_and(|broken| broken.is_old(now)) {
            *self = Self::default();
        }
    }
}

impl Break {
    fn is_old(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) >= BREAK_LIFETIME
    }
}

/// Returns whether a connection had been idle for longer than a request that must not run
/// twice would allow by the endpoint's keep-alive time.
pub fn is_late(keep_alive: Option<Duration>, idle: Duration) -> bool {
    idle >= once_time(keep_alive)
}

/// Returns the number of idle connections that an entry keeps to an endpoint that accepts
/// `max_connections` from all `entries` together.
pub fn max_idle_connections(max_connections: usize, entries: usize) -> usize {
    let (min, max) = IDLE_CONNECTIONS;
    (max_connections / entries.max(1)).clamp(min, max)
}

fn full_time(keep_alive: Option<Duration>) -> Duration {
    let named = keep_alive.map(|time| time.mul_f64(KEEP_ALIVE_FRACTION));
    named.unwrap_or(UNNAMED_LIMIT).min(MAX_LIMIT)
}

fn once_time(keep_alive: Option<Duration>) -> Duration {
    keep_alive.map_or(UNNAMED_LIMIT, |time| time.mul_f64(ONCE_FRACTION))
}
