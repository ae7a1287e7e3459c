//! The epoch of an endpoint: which agent may give it orders.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use larkspring_core::retry::backoff;
use smol::Timer;

use crate::platform::objects::ObjectApi;
use crate::platform::PlatformError;

/// The epoch of one endpoint, as one agent holds it.
pub struct Fence {
    api: Box<dyn ObjectApi>,
    object: String,
    epoch: AtomicU64,
}

/// Pause after a failed try to take an epoch, at first and at most.
const FIRST_RETRY: Duration = Duration::from_millis(250);
const LONGEST_RETRY: Duration = Duration::from_secs(5);

impl Fence {
    /// Creates the fence of an endpoint, before an epoch is taken.
    pub fn new(endpoint: &str, api: Box<dyn ObjectApi>) -> Self {
        Self { api, object: format!("epoch/{endpoint}"), epoch: AtomicU64::new(0) }
    }

    /// The epoch that stamps the orders of this agent; 0 before there is one.
    pub fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Acquire)
    }

    /// Raises the epoch and holds it; retries until it could.
    pub async fn take(&self) -> u64 {
        let mut rng = fastrand::Rng::new();
        let mut failures = 0;
        loop {
            match self.try_take().await {
                Ok(epoch) => return epoch,
                Err(e) => tracing::warn!(error = %e, "no epoch yet"),
            }
            let wait = backoff(FIRST_RETRY, LONGEST_RETRY, failures, &mut rng);
            failures += 1;
            Timer::after(wait).await;
        }
    }

    /// Whether no later agent has taken an epoch; false if that can't be found out.
    ///
    /// For endpoints that do not check epochs themselves. A pause between this and the
    /// order is not covered.
    pub async fn is_held(&self) -> bool {
        match self.api.get(&self.object).await {
            Ok(Some(object)) => object.version == self.epoch(),
            Ok(None) | Err(_) => false,
        }
    }

    /// The version of the object is the epoch: it grows with each conditional write.
    ///
    /// After a write whose reply was lost the next try takes a higher epoch, which is as
    /// good.
    async fn try_take(&self) -> Result<u64, PlatformError> {
        let seen = self.api.get(&self.object).await?.map_or(0, |o| o.version);
        let epoch = self.api.put(&self.object, seen, b"{}".to_vec()).await?;
        self.epoch.store(epoch, Ordering::Release);
        Ok(epoch)
    }
}
