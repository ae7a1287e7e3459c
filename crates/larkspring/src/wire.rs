//! Conversions between RPC messages and core types.

use std::time::Duration;

use larkspring_core::outcome::{Outcome, Refusal, Step};
use larkspring_core::route;
use larkspring_proto::agent as wire;

/// Converts a refusal to its message.
pub fn refusal_to_wire(r: Refusal, hint: Option<wire::Hint>) -> wire::Refusal {
    wire::Refusal {
        outcome: r.outcome.code(),
        step: r.step.code(),
        message: r.message,
        retry_after_ms: r.retry_after.map_or(0, |d| d.as_millis().max(1) as u64),
        elsewhere: r.elsewhere,
        hint,
    }
}

/// Converts an agent's refusal from its message.
pub fn refusal_from_wire(r: wire::Refusal, peer: &str) -> Refusal {
    let retry_after =
        (r.retry_after_ms > 0).then(|| Duration::from_millis(r.retry_after_ms));
    Refusal {
        outcome: Outcome::from_code(r.outcome),
        step: Step::from_code(r.step),
        peer: peer.into(),
        message: r.message,
        retry_after,
        elsewhere: r.elsewhere,
    }
}

/// Converts a load report from its message.
pub fn load_report_from_wire(hint: wire::Hint) -> route::Hint {
    route::Hint {
        running: hint.running,
        waiting: hint.waiting,
        resident: hint.resident,
        leaving: hint.leaving,
    }
}
