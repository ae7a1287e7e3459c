//! Messages, settings and service stubs, generated from `schema/` by
//! `cargo run -p xtask -- generate`.
#![allow(clippy::all, missing_docs)]

pub mod codec;

/// Messages between entries and agents.
pub mod agent {
    include!("gen/larkspring.agent.rs");
}

/// Distribution of the declared state.
pub mod config {
    include!("gen/larkspring.config.rs");
}

/// Declared state, as stored in the object API.
pub mod declared {
    include!("gen/larkspring.declared.rs");
}

/// Idempotency keys of requests that run at most once.
pub mod keys {
    include!("gen/larkspring.keys.rs");
}

/// Sharing of the weight store's load budget.
pub mod loads {
    include!("gen/larkspring.loads.rs");
}

/// Messages between agents and the entries that send directly to endpoints.
pub mod residency {
    include!("gen/larkspring.residency.rs");
}

/// Settings of a process.
pub mod settings {
    include!("gen/larkspring.settings.rs");
}
