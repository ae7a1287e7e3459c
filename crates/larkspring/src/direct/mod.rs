//! Entries that send straight to endpoints, on a platform that lists them.
//!
//! The endpoint has the last word about its run and its adapters, so an agent is only
//! needed to give its engine orders. The stages of a request:
//!
//! 1. [`entry`]: it is read, routed, placed, sent and its answer relayed.
//! 2. [`agent`]: the adapter that it names is loaded and kept while it runs.
//!
//! What the platform says is followed by [`watch`] into [`beliefs`]. [`edge`] is all that
//! an adapter for a platform has to supply.

pub mod agent;
pub mod beliefs;
pub mod cfg;
mod conn;
pub mod edge;
pub mod entry;
mod limits;
mod logs;
mod quarantine;
mod reader;
mod side;
mod stats;
mod unknown;
pub mod watch;
