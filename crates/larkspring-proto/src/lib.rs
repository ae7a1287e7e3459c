//! Generated messages, settings and service stubs; the sources are in `schema/`.
//!
//! `cargo run -p xtask -- generate` writes them anew.
#![allow(clippy::all, missing_docs)]

pub mod codec;

/// Messages between entries and agents.
pub mod agent {
    include!("gen/larkspring.agent.rs");
}

/// Passing the declared state on.
pub mod config {
    include!("gen/larkspring.config.rs");
}

/// Declared state, as kept in the object API.
pub mod declared {
    include!("gen/larkspring.declared.rs");
}

/// Keys of requests that run at most once.
pub mod keys {
    include!("gen/larkspring.keys.rs");
}

/// Sharing the weight store's budget.
pub mod loads {
    include!("gen/larkspring.loads.rs");
}

/// Messages between entries that send straight to endpoints and agents.
pub mod residency {
    include!("gen/larkspring.residency.rs");
}

/// Settings of a process.
pub mod settings {
    include!("gen/larkspring.settings.rs");
}
