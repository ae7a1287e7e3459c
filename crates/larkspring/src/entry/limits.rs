//! Limits on the requests in progress, in total and for each caller.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use larkspring_core::declared::Caller;
use larkspring_core::ids::CallerId;
use larkspring_core::outcome::{Refusal, Step};
use parking_lot::Mutex;

/// Counts and limits the requests in progress.
#[derive(Debug)]
pub struct CallerLimits {
    max: usize,
    max_per_caller: usize,
    counts: Arc<Counts>,
}

/// A slot for a request in progress, released when dropped.
#[derive(Debug)]
pub struct Permit {
    counts: Arc<Counts>,
    caller: CallerId,
}

#[derive(Debug, Default)]
struct Counts {
    all: AtomicUsize,
    by_caller: Mutex<HashMap<CallerId, usize>>,
    released: Event,
}

const OVER_LIMIT_RETRY_DELAY: Duration = Duration::from_secs(1);

impl CallerLimits {
    /// Creates limits with no requests in progress.
    pub fn new(max: usize, max_per_caller: usize) -> Self {
        Self { max, max_per_caller, counts: Arc::default() }
    }

    /// Takes a slot for a request, or refuses the request if a limit is reached.
    pub fn acquire(&self, caller: &Caller) -> Result<Permit, Refusal> {
        let refuse = |text| {
            Refusal::not_run(Step::Admit, text).retry_after(OVER_LIMIT_RETRY_DELAY)
        };
        if self.counts.all.load(Ordering::Relaxed) >= self.max {
            return Err(refuse("the entry has too many requests in progress"));
        }
        let limit = match caller.max_streams {
            0 => self.max_per_caller,
            n => n as usize,
        };
        let mut by_caller = self.counts.by_caller.lock();
        let count = by_caller.entry(caller.name.clone()).or_default();
        if *count >= limit {
            return Err(refuse("the caller has too many requests in progress"));
        }
        *count += 1;
        self.counts.all.fetch_add(1, Ordering::Relaxed);
        Ok(Permit { counts: self.counts.clone(), caller: caller.name.clone() })
    }

    /// Waits until no request is in progress.
    pub async fn wait_idle(&self) {
        loop {
            let listener = self.counts.released.listen();
            if self.counts.all.load(Ordering::Acquire) == 0 {
                return;
            }
            listener.await;
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut by_caller = self.counts.by_caller.lock();
        if let Some(count) = by_caller.get_mut(&self.caller) {
            *count -= 1;
            if *count == 0 {
                by_caller.remove(&self.caller);
            }
        }
        self.counts.all.fetch_sub(1, Ordering::AcqRel);
        self.counts.released.notify(usize::MAX);
    }
}
