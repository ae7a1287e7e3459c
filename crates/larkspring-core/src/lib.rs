//! Decisions of larkspring, without I/O.
//!
//! The daemons pass events and the current time to this crate and carry out the returned
//! actions. The stages of a request, in order:
//!
//! 1. [`declared`]: the declared state in force; the caller and the target of a request.
//! 2. [`tenure`] and [`claims`]: whether a request that must run at most once may run.
//! 3. [`route`]: the endpoint for the request.
//! 4. [`engine_scheduler`]: when the endpoint's agent loads the adapter and starts the
//!    request.
//! 5. [`load_budget`]: which agent's load is next at the weight store.
//! 6. [`outcome`] and [`retry`]: the outcome, and whether another attempt is allowed.
//!
//! Where entries send directly to endpoints, [`fleet`] replaces stages 1 to 3.
//! [`workspaces`] maps callers to workspaces; [`limits`] bounds the usage of a workspace
//! over all entries. [`call_timeout`] determines how long to wait for the answer to a
//! call. [`admission`] decides which requests get scarce capacity.

pub mod admission;
pub mod call_timeout;
pub mod claims;
pub mod declared;
pub mod engine_scheduler;
pub mod event_stream;
pub mod fleet;
pub mod ids;
pub mod limits;
pub mod load_budget;
pub mod outcome;
pub mod quarantine;
pub mod retry;
pub mod route;
pub mod tenure;
pub mod workspaces;
