//! The table of partition holders, stored as one object.

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use larkspring_core::tenure::{renewal, same_run, takeover, Holder, RunId, PARTITIONS};
use larkspring_proto::keys::{HelloReply, HelloRequest, KeyTable, Tenure};
use smol::Timer;

use super::{wall_clock, with_call_timeout, Keys};
use crate::exec;
use crate::platform::objects::{Object, ObjectApi, ObjectVersion};
use crate::platform::PlatformError;

/// The latest version of the table known from reads and from confirmed writes.
#[derive(Debug, Default)]
pub struct TableView {
    version: ObjectVersion,
    pub(super) table: KeyTable,
    /// Runs that did not answer, or are to be checked.
    suspects: HashSet<(String, RunId)>,
    /// Runs that are known to have ended.
    ended: HashSet<(String, RunId)>,
}

/// Minimum number of reads of the table during one lease.
const READS_PER_LEASE: u32 = 16;
/// Name of the object that holds the table.
pub const TABLE_OBJECT: &str = "keys/table";
/// Pause between two maintenance steps.
const STEP_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a failure of the object API.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);
/// Interval between reads of the table by an entry that holds partitions. The table is
/// polled because a watch would return at each renewal of any holder.
const HOLDER_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between reads of the table by an entry that holds no partition; such an entry
/// also reads the table whenever a key needs it.
const NON_HOLDER_INTERVAL: Duration = Duration::from_secs(60);
/// Number of other entries asked for their table in one refresh.
const MAX_ASKED_PER_REFRESH: usize = 3;
/// Free partitions taken in one write, so that entries that start together share them.
const MAX_TAKEN_PER_WRITE: usize = 8;

impl Keys {
    /// Follows the table, renews held partitions and takes over others; never returns.
    pub async fn maintain(self: Arc<Self>) {
        loop {
            let pause = match self.step().await {
                Ok(()) => STEP_INTERVAL,
                Err(e) => {
                    tracing::warn!(error = %e, "object API failed; key table not updated");
                    FAILURE_PAUSE
                }
            };
            self.check_suspects().await;
            let jitter = fastrand::f64() + 0.5;
            Timer::after(pause.mul_f64(jitter)).await;
        }
    }

    /// Reads the table now: from the object API, or from other entries if that fails.
    pub(super) async fn refresh(&self) {
        match self.api.get(TABLE_OBJECT).await {
            Ok(object) => drop(self.adopt_object(object)),
            Err(_) => self.refresh_from_others().await,
        }
        Timer::after(STEP_INTERVAL).await;
    }

    /// Returns the id of this run and the latest known table.
    pub(super) fn hello(&self) -> HelloReply {
        let view = self.view.lock();
        HelloReply {
            run: self.own_tenure.run,
            version: view.version,
            table: Some(view.table.clone()),
        }
    }

    /// Adopts newer tables known to other holders.
    async fn refresh_from_others(&self) {
        let mut holders = self.other_holders();
        fastrand::shuffle(&mut holders);
        for holder in holders.iter().take(MAX_ASKED_PER_REFRESH) {
            let Ok(mut client) = self.client(holder).await else { continue };
            let req = HelloRequest::default();
            let Ok(reply) = with_call_timeout(client.hello(req)).await else { continue };
            self.adopt(reply.version, reply.table.unwrap_or_default());
        }
    }

    /// Notifies the other holders of the partitions that this run took.
    ///
    /// They read the table only every few seconds, and cannot read the table at all while
    /// the object API is unavailable. Until then, a key of a partition whose holder they
    /// do not know would be refused as unknown.
    fn notify_other_holders(self: &Arc<Self>) {
        for holder in self.other_holders() {
            let keys = self.clone();
            let notify = async move {
                let (version, table) = keys.known_table();
                let req = HelloRequest { version, table: Some(table) };
                let notified = match keys.client(&holder).await {
                    Ok(mut client) => {
                        with_call_timeout(client.hello(req)).await.map(drop)
                    }
                    Err(e) => Err(e),
                };
                if let Err(e) = notified {
                    // The holder learns of the change by its next read of the table.
                    tracing::info!(event = "table not told", holder = holder.holder, error = %e);
                }
            };
            exec::spawn(notify).detach();
        }
    }

    /// Returns the other runs that hold partitions, each once.
    fn other_holders(&self) -> Vec<Tenure> {
        let mut holders = self.view.lock().table.partitions.clone();
        holders.retain(|t| !t.holder.is_empty() && !same_run(t, &self.own_tenure));
        holders.sort_by(|a, b| (&a.holder, a.run).cmp(&(&b.holder, b.run)));
        holders.dedup_by(|a, b| same_run(a, b));
        holders
    }

    /// Adopts a table if its version is newer than the known one.
    pub(super) fn adopt(&self, version: ObjectVersion, table: KeyTable) {
        let mut view = self.view.lock();
        if view.version < version {
            view.version = version;
            view.table = table;
        }
    }

    /// Records that a run did not answer.
    pub(super) fn suspect(&self, holder: &Tenure) {
        let run = (holder.holder.clone(), holder.run);
        self.view.lock().suspects.insert(run);
        self.changed.notify(usize::MAX);
    }

    /// Updates the table if a partition can be renewed or taken; otherwise waits.
    async fn step(self: &Arc<Self>) -> Result<(), PlatformError> {
        let seen = self.view.lock().version;
        if seen == 0 {
            let object = self.api.get(TABLE_OBJECT).await?;
            self.adopt_object(object)?;
        }
        let (version, next) = {
            let view = self.view.lock();
            (view.version, self.next_table(&view))
        };
        let Some(next) = next else { return self.wait().await };
        let held = self.held();
        self.write(version, next).await?;
        if self.held() > held {
            self.notify_other_holders();
        }
        Ok(())
    }

    /// Waits for the next interval or a suspected run, then reads the table.
    async fn wait(&self) -> Result<(), PlatformError> {
        use futures_lite::FutureExt;
        let interval = match self.held() {
            0 => NON_HOLDER_INTERVAL,
            _ => HOLDER_INTERVAL,
        };
        // With a short lease the usual interval would be too long.
        let interval = interval.min(self.terms.lease / READS_PER_LEASE);
        let suspicion = async {
            self.changed.listen().await;
            true
        };
        let late = async {
            Timer::after(interval.mul_f64(fastrand::f64() * 0.5 + 0.75)).await;
            false
        };
        if !suspicion.or(late).await {
            self.suspect_random();
        }
        let object = self.api.get(TABLE_OBJECT).await?;
        self.adopt_object(object)
    }

    /// Marks a random holder for a check, so that ended runs are found without requests.
    fn suspect_random(&self) {
        let mut view = self.view.lock();
        let partition = fastrand::usize(..PARTITIONS);
        let holder = view.table.partitions.get(partition).cloned().unwrap_or_default();
        if !holder.holder.is_empty() && !same_run(&holder, &self.own_tenure) {
            view.suspects.insert((holder.holder, holder.run));
        }
    }

    /// Returns the known table and its version.
    pub(super) fn known_table(&self) -> (ObjectVersion, KeyTable) {
        let view = self.view.lock();
        (view.version, view.table.clone())
    }

    /// Writes the table; the view changes only if the write is confirmed.
    pub(super) async fn write(
        &self,
        version: ObjectVersion,
        table: KeyTable,
    ) -> Result<(), PlatformError> {
        let value = serde_json::to_vec(&table).unwrap_or_default();
        match self.api.put(TABLE_OBJECT, version, value).await {
            Ok(version) => {
                self.adopt(version, table);
                Ok(())
            }
            Err(PlatformError::Conflict(_) | PlatformError::Unclear(..)) => {
                let object = self.api.get(TABLE_OBJECT).await?;
                self.adopt_object(object)
            }
            Err(e) => Err(e),
        }
    }

    fn adopt_object(&self, object: Option<Object>) -> Result<(), PlatformError> {
        let Some(object) = object else { return Ok(()) };
        let table = serde_json::from_slice(&object.value)
            .map_err(|e| PlatformError::Answer("read the keys' table", e.to_string()))?;
        self.adopt(object.version, table);
        Ok(())
    }

    /// Returns the table with the partitions that this run renews or takes; `None` if
    /// there are none.
    fn next_table(&self, view: &TableView) -> Option<KeyTable> {
        if self.closing.load(Ordering::Acquire) {
            return None;
        }
        let now = wall_clock();
        let mut next = view.table.clone();
        next.partitions.resize(PARTITIONS, Tenure::default());
        let mut changed = false;
        for t in next.partitions.iter_mut().filter(|t| same_run(t, &self.own_tenure)) {
            if let Some(renewed) = renewal(t, &self.terms, now) {
                *t = renewed;
                changed = true;
            }
        }
        let mut partitions: Vec<_> = (0..PARTITIONS).collect();
        fastrand::shuffle(&mut partitions);
        let held =
            next.partitions.iter().filter(|t| same_run(t, &self.own_tenure)).count();
        let room = self.max_partitions.saturating_sub(held).min(MAX_TAKEN_PER_WRITE);
        let mut taken = 0;
        for partition in partitions {
            if taken == room {
                break;
            }
            let t = &mut next.partitions[partition];
            let Some(new) = takeover(
                t,
                &self.own_tenure,
                self.holder_state(view, t),
                &self.terms,
                now,
            ) else {
                continue;
            };
            *t = new;
            taken += 1;
        }
        (changed || taken > 0).then_some(next)
    }

    /// Returns whether the run that holds a partition is known to have ended.
    fn holder_state(&self, view: &TableView, t: &Tenure) -> Holder {
        // Only one run can listen at an address.
        let replaced = t.holder == self.own_tenure.holder && t.run != self.own_tenure.run;
        let ended = view.ended.contains(&(t.holder.clone(), t.run));
        match replaced || ended {
            true => Holder::Ended,
            false => Holder::MayLive,
        }
    }

    /// Asks each suspect for its run id; a different id proves that the old run has
    /// ended.
    async fn check_suspects(&self) {
        let suspects = std::mem::take(&mut self.view.lock().suspects);
        for (addr, run) in suspects {
            let holder = Tenure { holder: addr.clone(), run, ..Tenure::default() };
            let Ok(mut client) = self.client(&holder).await else { continue };
            match with_call_timeout(client.hello(HelloRequest::default())).await {
                Ok(reply) if reply.run != run => {
                    self.view.lock().ended.insert((addr, run));
                }
                _ => {}
            }
        }
    }
}
