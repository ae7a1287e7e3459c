//! Refusals of requests that an engine can't accept.

use std::time::Duration;

use crate::outcome::{Refusal, Step};

/// Retry delay for an engine that could not be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_secs(1);

/// Returns the refusal of a request to an engine that can't be reached.
pub(super) fn unreachable_refusal() -> Refusal {
    let refusal = Refusal::not_run(Step::Queue, "the engine can't be reached");
    refusal.elsewhere().retry_after(UNREACHABLE_RETRY)
}

/// Returns the refusal of a request to a draining endpoint.
pub(super) fn draining_refusal() -> Refusal {
    let refusal = Refusal::not_run(Step::Queue, "the endpoint is leaving");
    refusal.elsewhere().retry_after(Duration::ZERO)
}
