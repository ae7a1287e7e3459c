//! End-to-end flow control of one answer, from the caller to the endpoint.
//!
//! The receiver grants units and the sender spends them. A message costs one unit for
//! each started 256 bytes, so units bound both the bytes and the frames in flight.

use event_listener::Event;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Bytes per unit.
pub const BYTES_PER_UNIT: usize = 256;
/// Units granted at the start of an answer.
pub const INITIAL_UNITS: u32 = 64;
/// Maximum size of one message in bytes, so that a single message never exceeds the
/// credit.
pub const MAX_CHUNK_BYTES: usize = BYTES_PER_UNIT * INITIAL_UNITS as usize / 4;

/// Returns the cost in units of a message of `len` bytes.
pub fn units(len: usize) -> u32 {
    len.div_ceil(BYTES_PER_UNIT).max(1) as u32
}

/// Units that a sender may still spend.
#[derive(Debug, Default)]
pub struct Credit {
    left: AtomicU64,
    closed: AtomicBool,
    changed: Event,
}

impl Credit {
    /// Adds units.
    pub fn grant(&self, units: u32) {
        self.left.fetch_add(units.into(), Ordering::AcqRel);
        self.changed.notify(usize::MAX);
    }

    /// Marks that the receiver has disconnected.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
        self.changed.notify(usize::MAX);
    }

    /// Whether the receiver has disconnected.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Waits for and spends units; false if the receiver has disconnected.
    pub async fn take(&self, units: u32) -> bool {
        loop {
            let listener = self.changed.listen();
            if self.is_closed() {
                return false;
            }
            if self.try_take(units) {
                return true;
            }
            listener.await;
        }
    }

    /// Waits until the receiver has disconnected.
    pub async fn closed(&self) {
        loop {
            let listener = self.changed.listen();
            if self.is_closed() {
                return;
            }
            listener.await;
        }
    }

    fn try_take(&self, units: u32) -> bool {
        let take = |left: u64| left.checked_sub(units.into());
        self.left.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok()
    }
}
