//! Flow control of one answer, end to end from the caller to the endpoint.
//!
//! The receiver grants units and the sender takes them. A message takes one unit for
//! each started 256 bytes, so units bound both the bytes and the frames in flight.

use event_listener::Event;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Bytes that one unit stands for.
pub const UNIT: usize = 256;
/// Units granted at the start of an answer.
pub const INITIAL_UNITS: u32 = 64;
/// Most bytes of one message, so that a single one never exceeds the credit.
pub const MAX_CHUNK: usize = UNIT * INITIAL_UNITS as usize / 4;

/// Returns the units that a message of `len` bytes takes.
pub fn units(len: usize) -> u32 {
    len.div_ceil(UNIT).max(1) as u32
}

/// Units that a sender may still use.
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

    /// Marks that the receiver is gone.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
        self.changed.notify(usize::MAX);
    }

    /// Whether the receiver is gone.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Takes units as soon as there are enough; false if the receiver is gone.
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

    /// Returns when the receiver is gone.
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
