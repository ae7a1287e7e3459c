//! Entries that send requests directly to endpoints, on a platform that lists its
//! endpoints.
//!
//! The endpoint is authoritative for its run and its adapters, so an agent is only needed
//! to give orders to its engine. The stages of a request:
//!
//! 1. [`entry`]: reads the request, selects a route and an endpoint, sends the request
//!    and relays the answer.
//! 2. [`agent`]: loads the adapter that the request names and keeps it resident while the
//!    request runs.
//!
//! [`watch`] follows the platform's declared state and applies it to
//! [`replicated_state`]. [`platform_api`] holds all interfaces that an adapter for a
//! platform has to implement.

pub mod agent;
mod applier;
pub mod cfg;
mod conn;
pub mod entry;
mod limits;
mod logs;
pub mod platform_api;
mod quarantine;
mod reader;
pub mod replicated_state;
mod stats;
mod status_server;
mod streams;
mod unknown_names;
pub mod watch;
