//! Engines whose agent runs on the same VM: their reports are up to date, and they hold
//! one version of an adapter at a time.

use std::time::Instant;

use super::residency::{Phase, Residency};
use super::{Action, EngineScheduler, Running};
use crate::ids::{AttemptId, Incarnation, Target};

impl EngineScheduler {
    /// Records a report that is not older than the answer to the last order.
    ///
    /// `is_ordered` returns whether the engine has been asked for a load or unload.
    /// Returns the loads that failed: those that were ordered and are neither resident
    /// nor pending.
    pub fn apply_current_report(
        &mut self,
        now: Instant,
        run: &Incarnation,
        holds: &[Target],
        pending: &[Target],
        is_ordered: impl Fn(&Target) -> bool,
    ) -> Vec<Target> {
        self.set_run(run);
        self.reachable = true;
        self.loads_paused = false;
        self.unloads_allowed_at.get_or_insert(now);
        let mut failed = Vec::new();
        let mut removed = Vec::new();
        for (target, adapter) in &mut self.adapters {
            let held = holds.contains(target);
            let loading = pending.contains(target);
            match adapter.phase {
                Phase::Loading { .. } if held || loading || !is_ordered(target) => {}
                Phase::Loading { .. } => failed.push(target.clone()),
                Phase::Resident | Phase::Retiring if held => {}
                Phase::Unloading if held => {}
                _ => removed.push(target.clone()),
            }
        }
        for target in &removed {
            if let Some(adapter) = self.adapters.remove(target) {
                self.keep_uses(now, target, adapter.uses);
                self.host_copies.record_unload(target.hash());
            }
        }
        for target in &failed {
            self.record_load_end(now, target, false);
        }
        for target in holds {
            let new = || Residency::new(now, Phase::Resident);
            self.adapters.entry(target.clone()).or_insert_with(new);
            self.record_load_end(now, target, true);
        }
        for target in pending {
            let new = || Residency::new(now, Phase::Loading { since: now });
            self.adapters.entry(target.clone()).or_insert_with(new);
        }
        failed
    }

    /// Records that an order for a load was answered, or that its answer is lost.
    ///
    /// The duration of the load is counted from here. The wait for the order is not
    /// caused by the weight store; if included, the store would look overloaded and later
    /// loads would be held back.
    pub fn record_load_order(&mut self, now: Instant, target: &Target) {
        let Some(adapter) = self.adapters.get_mut(target) else { return };
        if adapter.is_loading() {
            adapter.phase = Phase::Loading { since: now };
        }
    }

    /// Records a request that is already running and uses an adapter, as after a restart
    /// of this agent. Returns false if the engine does not hold the adapter.
    pub fn adopt_running(
        &mut self,
        now: Instant,
        id: AttemptId,
        target: &Target,
    ) -> bool {
        let Some(adapter) = self.adapters.get_mut(target) else { return false };
        adapter.pins += 1;
        adapter.last_used = now;
        let incarnation = self.incarnation.clone();
        let run = Running { target: target.clone(), incarnation, since: now };
        self.running.insert(id, run);
        true
    }

    /// Records that the engine is still loading its base model: requests wait and no
    /// adapters are loaded.
    pub fn record_base_loading(&mut self, run: &Incarnation) {
        self.set_run(run);
        self.reachable = true;
        self.loads_paused = true;
    }

    /// Sets the run of the engine; the adapters of an earlier run are dropped.
    fn set_run(&mut self, run: &Incarnation) {
        if self.incarnation.as_ref() != Some(run) {
            self.adapters.clear();
            self.host_copies.clear();
            self.incarnation = Some(run.clone());
        }
    }

    /// Sets the number of adapter slots.
    pub fn set_adapter_slots(&mut self, adapter_slots: usize) {
        self.limits.adapter_slots = adapter_slots;
    }

    /// Adapters that could be loaded without waiting for a request to end, in addition to
    /// those that requests wait for.
    pub fn free_adapter_slots(&self) -> usize {
        let idle = |a: &&Residency| a.pins + a.other_requests == 0 && !a.is_loading();
        let idle = self.adapters.values().filter(idle).count();
        let empty = self.limits.adapter_slots.saturating_sub(self.adapters.len());
        (empty + idle).saturating_sub(self.missing_adapters() as usize)
    }

    /// Loads that requests wait for and that are not ordered yet.
    pub fn queued_loads(&self) -> usize {
        self.missing_adapters() as usize
    }

    /// The resident adapters, and those being loaded.
    pub fn resident_and_loading(&self) -> (Vec<&Target>, Vec<&Target>) {
        let resident = self.adapters.iter().filter(|(_, a)| a.phase == Phase::Resident);
        let loading = self.adapters.iter().filter(|(_, a)| a.is_loading());
        (resident.map(|(t, _)| t).collect(), loading.map(|(t, _)| t).collect())
    }

    /// Returns whether another version of the same adapter blocks `target`. That version
    /// is unloaded, or gets no new requests until it can be.
    pub(super) fn evict_other_version(
        &mut self,
        target: &Target,
        actions: &mut Vec<Action>,
    ) -> bool {
        let mut others =
            self.adapters.iter_mut().filter(|(t, _)| t.adapter == target.adapter);
        let Some((other, adapter)) = others.next() else { return false };
        match adapter.phase {
            Phase::Resident | Phase::Retiring
                if adapter.pins + adapter.other_requests == 0 =>
            {
                adapter.phase = Phase::Unloading;
                actions.push(Action::Unload(other.clone()));
            }
            Phase::Resident => adapter.phase = Phase::Retiring,
            Phase::Retiring | Phase::Loading { .. } | Phase::Unloading => {}
        }
        true
    }
}
