//! Conversion of the messages between entries and bucket owners.

use std::time::Duration;

use larkspring_core::limits::home::{Grant, Want};
use larkspring_proto::residency as wire;

/// Encodes a request for units; needed units are rounded up.
pub(super) fn write_want(want: &Want) -> wire::Want {
    wire::Want {
        workspace: want.workspace,
        ask: want.ask,
        debt: want.debt.ceil() as u64,
        returned: want.returned as u64,
        need: want.need.ceil() as u64,
        first: want.first.ceil() as u64,
        ahead: want.ahead.ceil() as u64,
        per_sec: want.per_sec as u64,
        burst: want.burst as u64,
        routing_version: want.version,
    }
}

/// Decodes a grant.
pub(super) fn read_grant(grant: &wire::Grant) -> Grant {
    Grant {
        workspace: grant.workspace,
        ask: grant.ask,
        units: grant.units as f64,
        wait: Duration::from_millis(grant.wait_ms),
    }
}

/// Decodes a request for units.
pub(super) fn read_want(want: &wire::Want) -> Want {
    Want {
        workspace: want.workspace,
        ask: want.ask,
        debt: want.debt as f64,
        returned: want.returned as f64,
        need: want.need as f64,
        first: want.first as f64,
        ahead: want.ahead as f64,
        per_sec: want.per_sec as f64,
        burst: want.burst as f64,
        version: want.routing_version,
    }
}

/// Encodes a grant; units are rounded down, so that no entry gets more than was taken
/// from the bucket.
pub(super) fn write_grant(grant: &Grant) -> wire::Grant {
    wire::Grant {
        workspace: grant.workspace,
        ask: grant.ask,
        units: grant.units as u64,
        wait_ms: (grant.wait.as_secs_f64() * 1000.0).ceil() as u64,
    }
}
