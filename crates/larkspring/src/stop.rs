//! Handling of process signals.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Action requested by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// Shut down gracefully: SIGTERM or SIGINT.
    Stop,
    /// Read the settings again: SIGHUP.
    Reload,
}

/// The signals received since [`Requests::new`].
#[derive(Debug)]
pub struct Requests(Signals);

impl Requests {
    /// Installs handlers for the signals, which then no longer end the process by
    /// default.
    pub fn new() -> io::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(Self(signals))
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Asked {
        match self.0.next().await {
            Some(Ok(Signal::Hup)) => Asked::Reload,
            _ => Asked::Stop,
        }
    }
}

/// Waits for a signal to stop; a request to reload is only logged.
pub async fn requested() -> io::Result<()> {
    let mut requests = Requests::new()?;
    while requests.next().await == Asked::Reload {
        tracing::info!(event = "reload", outcome = "settings are read at the start only");
    }
    Ok(())
}
