//! Conversion of the messages between entries and bucket owners.

use std::time::Duration;

use larkspring_core::admission::shares::Class;
use larkspring_core::limits::bucket_owner::{Grant, RequestedUnits};
use larkspring_core::limits::reporting_entries::EntryId;
use larkspring_proto::residency as wire;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the id of an entry at a bucket owner, which stays the same when the entry
/// connects again.
pub(super) fn entry_id(name: &str) -> EntryId {
    xxh3_64(name.as_bytes())
}

/// Encodes a request for units; needed units are rounded up.
pub(super) fn encode_unit_request(want: &RequestedUnits) -> wire::Want {
    wire::Want {
        workspace: want.workspace,
        ask: want.sequence,
        demand: want.demand.iter().map(encode_demand).collect(),
        debt: want.overdraft.ceil() as u64,
        returned: want.expired as u64,
        need: want.waiting.ceil() as u64,
        first: want.first_waiting.ceil() as u64,
        ahead: want.reserve_ahead.ceil() as u64,
        per_sec: want.per_sec as u64,
        burst: want.burst as u64,
        routing_version: want.version,
    }
}

/// Decodes a grant.
pub(super) fn decode_grant(grant: &wire::Grant) -> Grant {
    Grant {
        workspace: grant.workspace,
        sequence: grant.ask,
        units: grant.units as f64,
        wait: Duration::from_millis(grant.wait_ms),
        shares: grant.shares.iter().filter_map(decode_share).collect(),
    }
}

/// Decodes a request for units.
pub(super) fn decode_unit_request(want: &wire::Want) -> RequestedUnits {
    RequestedUnits {
        workspace: want.workspace,
        sequence: want.ask,
        overdraft: want.debt as f64,
        expired: want.returned as f64,
        waiting: want.need as f64,
        first_waiting: want.first as f64,
        reserve_ahead: want.ahead as f64,
        per_sec: want.per_sec as f64,
        burst: want.burst as f64,
        version: want.routing_version,
        demand: want.demand.iter().filter_map(decode_demand).collect(),
    }
}

/// Encodes a grant; units are rounded down, so that no entry gets more than was taken
/// from the bucket.
pub(super) fn encode_grant(grant: &Grant) -> wire::Grant {
    wire::Grant {
        workspace: grant.workspace,
        ask: grant.sequence,
        units: grant.units as u64,
        wait_ms: (grant.wait.as_secs_f64() * 1000.0).ceil() as u64,
        shares: grant.shares.iter().map(encode_share).collect(),
    }
}

fn encode_demand((class, units): &(Class, f64)) -> wire::ClassUnits {
    wire::ClassUnits { class: (*class).into(), units: units.ceil() as u64 }
}

fn decode_demand(demand: &wire::ClassUnits) -> Option<(Class, f64)> {
    Some((demand.class.try_into().ok()?, demand.units as f64))
}

/// Encodes a share; no class gets nothing.
fn encode_share((class, share): &(Class, f64)) -> wire::ClassShare {
    let thousandths = (share * 1000.0).round().max(1.0) as u32;
    wire::ClassShare { class: (*class).into(), thousandths }
}

fn decode_share(share: &wire::ClassShare) -> Option<(Class, f64)> {
    Some((share.class.try_into().ok()?, f64::from(share.thousandths) / 1000.0))
}
