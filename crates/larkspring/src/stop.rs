//! The signals that a process heeds.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// What a signal asks of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// To stop as planned: SIGTERM or SIGINT.
    Stop,
    /// To read its settings again: SIGHUP.
    Reload,
}

/// The signals sent to this process from now on.
#[derive(Debug)]
pub struct Requests(Signals);

impl Requests {
    /// Takes the signals over, so that none of them ends the process by itself.
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

/// Waits for a signal to stop; there is nothing to reload.
pub async fn requested() -> io::Result<()> {
    let mut requests = Requests::new()?;
    while requests.next().await == Asked::Reload {
        tracing::info!(event = "reload", outcome = "settings are read at the start only");
    }
    Ok(())
}
