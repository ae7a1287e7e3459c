//! HTTP towards callers, endpoints and the platform, by async-h1.

pub mod client;
pub mod head;
pub mod server;
