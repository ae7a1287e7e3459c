//! Admission of requests that compete for scarce capacity.
//!
//! While a workspace requests more units per second than its limit provides, requests
//! with the highest utility per unit are admitted first, equally at all entries, and
//! every class of requests keeps a minimum share.
//!
//! 1. [`shares`]: the classes of requests, and the share of each class that fits into the
//!    supply; kept by the bucket owner.
//! 2. [`gate`]: admits these shares at an entry and counts the arriving units.
//!
//! [`fair`] holds the shares of workspaces in a saturated plain service.

pub mod fair;
pub mod gate;
pub mod shares;
pub(crate) mod smoothed_rate;
