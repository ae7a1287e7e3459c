//! The signals by which a process is asked to stop.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// Waits for SIGTERM or SIGINT.
pub async fn requested() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    signals.next().await;
    Ok(())
}
