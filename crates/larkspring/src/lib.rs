//! The larkspring processes as a library; `larkspring-cli` is the program that runs them.
//!
//! The stages that a request passes:
//!
//! 1. [`http`]: the caller's request is read within limits.
//! 2. [`entry`]: the request is checked, an endpoint is chosen and the answer is relayed.
//! 3. [`rpc`]: the request goes to the endpoint's agent, and the answer returns under
//!    flow control by credit.
//! 4. [`agent`]: the request waits for its adapter and runs on the engine or service.
//!
//! On a platform whose endpoints decide themselves whether a request runs, [`direct`]
//! replaces stages 2 to 4.

pub mod agent;
pub mod clock;
pub mod convert;
pub mod direct;
pub mod distribution;
pub mod entry;
pub mod exec;
pub mod http;
pub mod in_force;
pub mod operate;
pub mod platform;
pub mod rpc;
pub mod settings;
pub mod signals;
pub mod telemetry;
