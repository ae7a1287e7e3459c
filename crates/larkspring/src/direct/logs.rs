//! Rate limits for log lines.
//!
//! Each kind of line has a budget per second. Lines over the budget are left out and
//! counted, and the count is logged, so that a reader knows that lines are missing.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use larkspring_core::ids::StorePoint;
use parking_lot::Mutex;
use smol::Timer;

/// Kinds of lines whose number grows with the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LineKind {
    /// A request was served.
    Served,
    /// A request was refused, or ended without a complete answer.
    Failed,
    /// An attempt ended without an answer that could be delivered.
    Attempt,
    /// An adapter was ordered to be loaded or unloaded.
    Order,
    /// The replicated state of the process changed.
    StateChange,
    /// A connection or request of a caller could not be read.
    Caller,
    /// A request was over its workspace's limit.
    Limit,
}

const KINDS: [(LineKind, &str, f64); 7] = [
    // Lines per second: a served request is one of hundreds, a failure has to be found.
    (LineKind::Served, "served", 30.0),
    (LineKind::Failed, "unserved", 100.0),
    (LineKind::Attempt, "attempt", 60.0),
    (LineKind::Order, "order", 40.0),
    (LineKind::StateChange, "belief", 40.0),
    (LineKind::Caller, "caller", 10.0),
    (LineKind::Limit, "limit", 20.0),
];

/// Seconds of its rate for which a kind of line may accumulate budget.
const BURST_SECONDS: f64 = 2.0;
/// Interval at which the number of lines left out is logged.
const LEFT_OUT_LOG_INTERVAL: Duration = Duration::from_secs(5);

struct Bucket {
    tokens: f64,
    filled_at: Option<Instant>,
}

static BUCKETS: [Mutex<Bucket>; KINDS.len()] =
    [const { Mutex::new(Bucket { tokens: 0.0, filled_at: None }) }; KINDS.len()];
static LEFT_OUT: [AtomicU64; KINDS.len()] = [const { AtomicU64::new(0) }; KINDS.len()];

/// Returns whether a line of a kind may be written now; if not, counts the line as left
/// out.
pub(crate) fn is_allowed(line: LineKind) -> bool {
    let index = line as usize;
    let (_, _, rate) = KINDS[index];
    let now = Instant::now();
    let mut bucket = BUCKETS[index].lock();
    let gained = match bucket.filled_at.replace(now) {
        None => rate * BURST_SECONDS,
        Some(at) => now.saturating_duration_since(at).as_secs_f64() * rate,
    };
    bucket.tokens = (bucket.tokens + gained).min(rate * BURST_SECONDS);
    if bucket.tokens < 1.0 {
        LEFT_OUT[index].fetch_add(1, Ordering::Relaxed);
        return false;
    }
    bucket.tokens -= 1.0;
    true
}

/// Returns the number of lines left out so far, by kind.
pub(crate) fn dropped_lines() -> impl Iterator<Item = (&'static str, u64)> {
    let counts = LEFT_OUT.iter().map(|n| n.load(Ordering::Relaxed));
    KINDS.iter().map(|(_, name, _)| *name).zip(counts)
}

/// Logs periodically how many lines were left out.
pub(crate) async fn log_dropped_lines() {
    let mut before = [0; KINDS.len()];
    loop {
        Timer::after(LEFT_OUT_LOG_INTERVAL).await;
        for (index, (kind, count)) in dropped_lines().enumerate() {
            let more = count - before[index];
            before[index] = count;
            if more > 0 {
                tracing::warn!(event = "lines left out", kind, more);
            }
        }
    }
}

/// Formats a hash as in all log lines, so that the lines of one request fingerprint can
/// be found.
pub(crate) fn format_hash(hash: u64) -> String {
    format!("{hash:016x}")
}

/// Logs that a dependency was lost or regained.
pub(crate) fn log_dependency(name: &str, regained: bool, cause: &str) {
    let event = if regained { "dependency regained" } else { "dependency lost" };
    tracing::warn!(event, name, cause);
}

/// Logs a change of the replicated state.
pub(crate) fn log_state_change(event: &'static str, at: StorePoint, count: usize) {
    if is_allowed(LineKind::StateChange) {
        let (epoch, revision) = (at.epoch(), at.revision());
        tracing::info!(event, epoch, revision, count);
    }
}
