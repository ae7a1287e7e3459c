//! The epoch of an endpoint, a fencing token: only the agent with the latest epoch may
//! send orders.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use larkspring_core::retry::backoff;
use smol::Timer;

use crate::platform::objects::ObjectApi;
use crate::platform::PlatformError;

/// The epoch that one agent holds for its endpoint.
pub struct Fence {
    api: Box<dyn ObjectApi>,
    object: String,
    epoch: AtomicU64,
}

/// Initial and maximum pause after a failed attempt to take an epoch.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

impl Fence {
    /// Creates the fence of an endpoint, without an epoch.
    pub fn new(endpoint: &str, api: Box<dyn ObjectApi>) -> Self {
        Self { api, object: format!("epoch/{endpoint}"), epoch: AtomicU64::new(0) }
    }

    /// Returns the epoch sent with the orders of this agent; 0 before one is taken.
    pub fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Acquire)
    }

    /// Takes the next epoch; retries until that succeeds.
    pub async fn take(&self) -> u64 {
        let mut rng = fastrand::Rng::new();
        let mut failures = 0;
        loop {
            match self.try_take().await {
                Ok(epoch) => return epoch,
                Err(e) => tracing::warn!(error = %e, "epoch not taken, retrying"),
            }
            let wait = backoff(INITIAL_BACKOFF, MAX_BACKOFF, failures, &mut rng);
            failures += 1;
            Timer::after(wait).await;
        }
    }

    /// Whether no later agent has taken an epoch; false if the epoch cannot be read.
    ///
    /// Used for endpoints that do not check epochs themselves. It gives no protection if
    /// the agent pauses between this check and the order.
    pub async fn is_held(&self) -> bool {
        match self.api.get(&self.object).await {
            Ok(Some(object)) => object.version == self.epoch(),
            Ok(None) | Err(_) => false,
        }
    }

    /// Takes an epoch once. The epoch is the object's version, which grows with each
    /// conditional write.
    ///
    /// If the reply to a write is lost, the next attempt takes a higher epoch, which
    /// serves as well.
    async fn try_take(&self) -> Result<u64, PlatformError> {
        let seen = self.api.get(&self.object).await?.map_or(0, |o| o.version);
        let epoch = self.api.put(&self.object, seen, b"{}".to_vec()).await?;
        self.epoch.store(epoch, Ordering::Release);
        Ok(epoch)
    }
}
