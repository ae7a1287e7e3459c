//! The request rate that a cold endpoint takes.
//!
//! An endpoint is cold after its start and may turn cold again later. While it is cold it
//! bears only a declared rate, from all VMs together. The rate is kept by the same
//! [`permits`](super::permits) as an advertised one.

use super::permits::MAX_RATE_FACTOR;
use super::permits::MAX_WINDOW_EXCESS;
use super::rate::Rate;

/// The excess over the declared rate of a cold endpoint that is allowed in any second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTolerance {
    /// Multiple of the rate.
    pub factor: f64,
    /// Requests in addition.
    pub extra: f64,
}

/// Returns the rate at which permits are issued for a cold endpoint that bears
/// `per_sec` requests a second; `None` if the endpoint declares no such rate.
///
/// Without a tolerance the declared rate applies as it is. With one, the rate is lowered
/// as far as the permits' own excess in a second requires.
pub fn permit_rate(per_sec: f64, tolerance: Option<ColdTolerance>) -> Option<Rate> {
    if per_sec <= 0.0 {
        return None;
    }
    let Some(tolerance) = tolerance else { return Rate::per_sec(per_sec) };
    let allowed = per_sec * tolerance.factor + tolerance.extra;
    let kept = (allowed - MAX_WINDOW_EXCESS) / MAX_RATE_FACTOR;
    Rate::per_sec(kept.max(0.0).min(per_sec))
}
