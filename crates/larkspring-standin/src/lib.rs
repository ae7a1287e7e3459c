//! Stand-ins for the outside systems that larkspring depends on, a module each.
//!
//! They implement the published protocols over HTTP. `POST /faults` sets their behaviour
//! and faults, and `GET /stats` returns their counts, so that tests, experiments and
//! `larkspring dev` use the same interface.

pub mod engine;
pub mod objects;
pub mod service;
pub mod vms;
pub mod web;
pub mod weights;
