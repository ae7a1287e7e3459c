//! Handling of process signals.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Action requested by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalAction {
    /// Shut down gracefully: SIGTERM or SIGINT.
    Stop,
    /// Read the settings again: SIGHUP.
    Reload,
}

/// The signals received since [`SignalStream::new`].
#[derive(Debug)]
pub struct SignalStream(Signals);

impl SignalStream {
    /// Installs handlers for the signals, which then no longer end the process by
    /// default.
    pub fn new() -> io::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(Self(signals))
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalAction {
        match self.0.next().await {
            Some(Ok(Signal::Hup)) => SignalAction::Reload,
            _ => SignalAction::Stop,
        }
    }
}

/// Waits for a signal to stop; a request to reload is only logged.
pub async fn wait_for_stop_signal() -> io::Result<()> {
    let mut requests = SignalStream::new()?;
    while requests.next().await == SignalAction::Reload {
        tracing::info!(event = "reload", outcome = "settings are read at the start only");
    }
    Ok(())
}
