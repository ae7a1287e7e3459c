//! Small stand-ins for the systems that larkspring meets, one file each.
//!
//! They speak the published protocols over HTTP. Their faults are set by `POST /faults`
//! and what they saw is read by `GET /stats`, so that tests, trials and `larkspring dev`
//! use the same surface.

pub mod engine;
pub mod objects;
pub mod service;
pub mod vms;
pub mod web;
pub mod weights;
