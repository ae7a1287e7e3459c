//! Holds of the entries on adapters, from the request to the grant or refusal.

use std::time::{Duration, Instant};

use larkspring_core::engine_scheduler::{Action, QueuedRequest};
use larkspring_core::fleet::choose::{should_load_in_hall, Distance};
use larkspring_core::fleet::following::accepts_unaware;
use larkspring_core::ids::{AttemptId, Target, TargetHash};
use larkspring_core::outcome::Refusal;
use larkspring_proto::residency as wire;
use larkspring_proto::residency::from_agent::Kind as AgentMessage;

use super::{Controller, EntryNumber};
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::Change;

/// A request that waits for its adapter.
pub(super) struct WaitingRequest {
    uncached_tokens: u32,
    adapter: TargetHash,
}

impl Controller {
    pub(super) fn hold(&mut self, now: Instant, number: EntryNumber, hold: wire::Hold) {
        let id = self.next_attempt;
        self.next_attempt += 1;
        let target = Target::new(&hold.adapter, &hold.version);
        self.holds.insert((number, hold.id), id);
        self.holds_by_attempt.insert(id, (number, hold.id));
        if hold.in_use {
            if !self.scheduler.adopt_running(now, id, &target) {
                self.unreported_requests.push((id, target));
            }
            return;
        }
        let req = QueuedRequest {
            target,
            priority: hold.priority,
            arrived_at: now,
            deadline: now + Duration::from_millis(hold.wait_ms),
            soft_deadline: now + Duration::from_millis(hold.in_time_ms),
            utility: hold.worth,
        };
        let holds = self.scheduler.request_count();
        if !accepts_unaware(holds, hold.max_holds as usize) {
            return self.refuse_full(id);
        }
        let adapter = req.target.hash();
        self.waiting
            .insert(id, WaitingRequest { uncached_tokens: hold.unread_tokens, adapter });
        if let Err(refusal) = self.scheduler.admit(now, id, req) {
            self.refuse(id, &refusal, &hold.request);
        }
    }

    pub(super) fn release(&mut self, now: Instant, key: (EntryNumber, u64)) {
        let Some(id) = self.holds.remove(&key) else { return };
        self.holds_by_attempt.remove(&id);
        self.waiting.remove(&id);
        self.unreported_requests.retain(|(waiting, _)| *waiting != id);
        if !self.scheduler.cancel(id) {
            self.scheduler.record_request_end(now, id);
        }
    }

    /// Carries out the actions of the slots; loads and unloads are queued for the driver.
    pub(super) fn schedule(&mut self, now: Instant) {
        for action in self.scheduler.schedule(now) {
            match action {
                Action::Start(id) => self.grant(now, id),
                Action::Refuse(id, refusal) => self.refuse(id, &refusal, ""),
                Action::Load(target) => {
                    self.queued_changes.push_back(Change::Load(target))
                }
                Action::Unload(target) => {
                    self.queued_changes.push_front(Change::Unload(target))
                }
            }
        }
    }

    fn grant(&mut self, now: Instant, id: AttemptId) {
        let Some(waiting) = self.waiting.remove(&id) else { return };
        self.prefill_backlog.add(now, waiting.uncached_tokens);
        let Some((number, hold)) = self.holds_by_attempt.get(&id).copied() else {
            return;
        };
        let copy_pays = self.copy_pays(now, number, waiting.adapter);
        self.send(number, AgentMessage::Granted(wire::Granted { id: hold, copy_pays }));
    }

    /// Counts a request and returns whether its hall should hold the adapter too.
    ///
    /// An agent sees all requests for the adapters that it holds. An entry sees only its
    /// share of its hall's requests: with 13 entries, each would have to count a single
    /// request as thirteen.
    fn copy_pays(
        &mut self,
        now: Instant,
        number: EntryNumber,
        adapter: TargetHash,
    ) -> bool {
        let entry = self.entries.get(&number);
        let Some(hall) = entry.and_then(|entry| entry.hall.clone()) else { return false };
        let distance = Distance::between(&self.hall, &hall, &self.regions);
        if distance == Distance::SameHall {
            return false;
        }
        let rate = self.request_rates.record(now, &(hall, adapter));
        should_load_in_hall(rate, distance)
    }

    fn refuse(&mut self, id: AttemptId, refusal: &Refusal, request: &str) {
        self.waiting.remove(&id);
        let Some(key) = self.holds_by_attempt.remove(&id) else { return };
        self.holds.remove(&key);
        let retry_after = refusal.retry_after.unwrap_or_default();
        if logs::is_allowed(LineKind::Failed) {
            tracing::info!(
                event = "hold refused",
                request,
                reason = refusal.message,
                run = self.engine.run.as_deref(),
            );
        }
        self.send(
            key.0,
            AgentMessage::Refused(wire::Refused {
                id: key.1,
                reason: refusal.message.clone(),
                retry_after_ms: retry_after.as_millis() as u64,
                full: false,
            }),
        );
    }

    /// Refuses the hold of an entry that did not know that the engine is full.
    fn refuse_full(&mut self, id: AttemptId) {
        let Some(key) = self.holds_by_attempt.remove(&id) else { return };
        self.holds.remove(&key);
        let (reason, full) = ("the engine is full".into(), true);
        let refused = wire::Refused { id: key.1, reason, full, retry_after_ms: 0 };
        self.send(key.0, AgentMessage::Refused(refused));
    }
}
