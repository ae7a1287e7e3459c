//! The platform's services, each a trait with an HTTP client.

pub mod objects;
pub mod vms;

use std::future::Future;
use std::pin::Pin;

use quick_error::quick_error;

use crate::http::client::HttpError;

/// Future returned by the traits of this module.
pub type PlatformFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

quick_error! {
    /// Error of a call to the platform, with the step and the cause.
    #[derive(Debug)]
    pub enum PlatformError {
        /// The call certainly had no effect.
        NoEffect(step: &'static str, cause: String) { display("{step}: {cause}") }
        /// The call may have taken effect.
        Unclear(step: &'static str, cause: String) {
            display("{step}: unclear whether it took effect: {cause}")
        }
        /// The object was changed concurrently.
        Conflict(step: &'static str) { display("{step}: changed by someone else") }
        /// The answer could not be parsed or lacks data.
        Answer(step: &'static str, cause: String) { display("{step}: {cause}") }
    }
}

impl PlatformError {
    /// Creates the error of a call that was answered with a status that is not expected.
    pub fn unexpected_status(step: &'static str, status: u16) -> Self {
        Self::NoEffect(step, format!("answered {status}"))
    }

    /// Classifies a failed call by whether it may have taken effect.
    pub fn from_http(step: &'static str, e: HttpError) -> Self {
        match e.nothing_sent() {
            true => Self::NoEffect(step, e.to_string()),
            false => Self::Unclear(step, e.to_string()),
        }
    }
}
