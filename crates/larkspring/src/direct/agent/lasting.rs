//! Quarantined contents that outlive all processes, in the platform's store.
//!
//! Without them a loss of all processes would cost three more endpoints for each content. The
//! store is read once at the start; it is written once for each content, and read again only
//! while there are any, so that an operator lifts one by removing its object, and forbids
//! another by making one.
//!
//! Several agents may count one content, and each stores it when it comes to that. So what an
//! operator lifts is noted beside it, and an agent that has not taken the note in counted
//! before it: that is cleared, and not stored.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::ids::{ContentHash, StoreEpoch};
use larkspring_proto::residency as wire;
use smol::channel::Sender;
use smol::Timer;

use super::keeper::Event;
use crate::direct::edge::QuarantineStore;
use crate::direct::logs;
use crate::direct::quarantine::Findings;
use crate::platform::PlatformError;

/// What this agent knows to lie in the store.
struct Lasting {
    store: Arc<dyn QuarantineStore>,
    findings: Arc<Findings>,
    events: Sender<Event>,
    stored: BTreeSet<ContentHash>,
    /// The store's history in which they were stored.
    epoch: StoreEpoch,
    /// What operators lifted, and since when this agent knows.
    lifted: BTreeMap<ContentHash, Instant>,
    listed_at: Instant,
}

/// How often it is looked whether something has to be written or removed.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// How often the store is read for what an operator lifted, while there is anything.
const LIST_EVERY: Duration = Duration::from_secs(30);
/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);
/// How long it is noted that a content was lifted: what another process counted before is
/// forgotten by then.
const LIFT_KEPT: Duration = Duration::from_secs(3600);
/// Contents that one agent keeps in the store, so that a caller with ever new fatal requests
/// does not fill it.
const MAX_STORED: usize = 512;

/// Keeps the store and the findings in step, for ever.
pub(super) async fn run(
    store: Arc<dyn QuarantineStore>,
    findings: Arc<Findings>,
    events: Sender<Event>,
) {
    let (stored, listed_at) = (BTreeSet::new(), Instant::now());
    let lifted = BTreeMap::new();
    let epoch = store.epoch();
    let mut lasting =
        Lasting { store, findings, events, stored, epoch, lifted, listed_at };
    let mut began = false;
    loop {
        let step = match began {
            false => lasting.begin().await,
            true => lasting.step().await,
        };
        match step {
            Ok(()) => began = true,
            Err(e) => {
                tracing::warn!(event = "quarantine not kept", cause = %e);
                Timer::after(FAILURE_PAUSE).await;
            }
        }
        Timer::after(LOOK_EVERY).await;
    }
}

impl Lasting {
    /// Takes in what the store holds at the agent's start.
    async fn begin(&mut self) -> Result<(), PlatformError> {
        let listed = self.store.list().await?;
        self.epoch = self.store.epoch();
        let news = self.findings.quarantine(&listed);
        self.stored.extend(listed);
        self.tell(news).await;
        self.take_in_lifts().await
    }

    async fn step(&mut self) -> Result<(), PlatformError> {
        if self.is_restored() {
            self.store_again().await?;
        }
        let refused: BTreeSet<_> = self.findings.refused().into_iter().collect();
        for content in refused.difference(&self.stored.clone()) {
            if self.stored.len() >= MAX_STORED {
                break;
            }
            self.keep(*content).await?;
        }
        for content in self.stored.clone().difference(&refused) {
            self.store.remove(*content).await?;
            self.stored.remove(content);
        }
        self.forget_old_lifts().await?;
        if self.stored.is_empty() || self.listed_at.elapsed() < LIST_EVERY {
            return Ok(());
        }
        self.listed_at = Instant::now();
        self.take_in_lifts().await?;
        let listed: BTreeSet<_> = self.store.list().await?.into_iter().collect();
        if self.is_restored() {
            return self.store_again().await;
        }
        for content in self.stored.clone().difference(&listed) {
            self.lift(*content).await;
        }
        let forbidden: Vec<_> = listed.difference(&self.stored).copied().collect();
        let news = self.findings.quarantine(&forbidden);
        self.stored.extend(forbidden);
        self.tell(news).await;
        Ok(())
    }

    /// Whether the store was restored from a copy that may lack what this agent stored.
    fn is_restored(&self) -> bool {
        self.store.epoch() != self.epoch
    }

    /// Notes again what was lifted; what is refused follows as if it had not been stored.
    async fn store_again(&mut self) -> Result<(), PlatformError> {
        let epoch = self.store.epoch();
        for content in self.lifted.keys() {
            self.store.lift(*content).await?;
        }
        self.stored.clear();
        self.epoch = epoch;
        Ok(())
    }

    /// Stores a content that is refused, unless an operator has lifted it since it was
    /// counted.
    async fn keep(&mut self, content: ContentHash) -> Result<(), PlatformError> {
        if self.lifted.contains_key(&content) {
            // It ended endpoints again after it was lifted.
            self.store.forget_lift(content).await?;
            self.lifted.remove(&content);
        }
        self.take_in_lifts().await?;
        if self.lifted.contains_key(&content) {
            return Ok(());
        }
        self.store.add(content).await?;
        self.stored.insert(content);
        // One that was lifted in between is removed again.
        self.take_in_lifts().await
    }

    /// Takes in what operators lifted: what was counted before is not held against it.
    async fn take_in_lifts(&mut self) -> Result<(), PlatformError> {
        for content in self.store.lifted().await? {
            if self.lifted.contains_key(&content) {
                continue;
            }
            if self.stored.contains(&content) {
                self.store.remove(content).await?;
            }
            self.lift(content).await;
        }
        Ok(())
    }

    async fn lift(&mut self, content: ContentHash) {
        tracing::warn!(event = "request lifted", content = logs::hash(content));
        self.stored.remove(&content);
        self.lifted.insert(content, Instant::now());
        let cleared = self.findings.answered(content);
        self.tell(cleared.into_iter().collect()).await;
    }

    async fn forget_old_lifts(&mut self) -> Result<(), PlatformError> {
        let is_old = |at: &Instant| at.elapsed() >= LIFT_KEPT;
        let old: Vec<_> =
            self.lifted.iter().filter(|(_, at)| is_old(at)).map(|(c, _)| *c).collect();
        for content in old {
            self.store.forget_lift(content).await?;
            self.lifted.remove(&content);
        }
        Ok(())
    }

    async fn tell(&self, news: Vec<wire::Finding>) {
        if !news.is_empty() {
            // The keeper is gone only if the whole process ends.
            let _ = self.events.send(Event::Found(news)).await;
        }
    }
}
