//! The platform's services, each behind a trait with one client over HTTP.

pub mod objects;
pub mod vms;

use std::future::Future;
use std::pin::Pin;

use quick_error::quick_error;

use crate::http::client::HttpError;

/// A future that a trait of this module returns.
pub type Answer<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

quick_error! {
    /// Why a call to the platform failed, with the step and the peer.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The call surely had no effect.
        NoEffect(step: &'static str, cause: String) { display("{step}: {cause}") }
        /// The call may have taken effect.
        Unclear(step: &'static str, cause: String) {
            display("{step}: unclear whether it took effect: {cause}")
        }
        /// The object was changed by someone else.
        Conflict(step: &'static str) { display("{step}: changed by someone else") }
        /// The answer makes no sense.
        Answer(step: &'static str, cause: String) { display("{step}: {cause}") }
    }
}

impl PlatformError {
    /// Sorts a failed call by whether it may have taken effect.
    pub fn from_http(step: &'static str, e: HttpError) -> Self {
        match e.nothing_sent() {
            true => Self::NoEffect(step, e.to_string()),
            false => Self::Unclear(step, e.to_string()),
        }
    }
}
