//! Decides which adapters are loaded and which are evicted for them.

use std::cmp::Ordering;
use std::time::Instant;

use super::residency::{Phase, Residency, UseCount};
use super::{Action, EngineScheduler, EvictionPolicy, LoadOrder, QueuedRequest};
use crate::ids::Target;

/// Maximum number of adapters that are not resident and whose use counts are kept.
const MAX_PAST_USES: usize = 4096;
/// Use count below which an adapter that is not resident is dropped when the limit is
/// reached.
const MIN_PAST_USES: f64 = 0.5;

impl EngineScheduler {
    /// Loads the adapters that the most urgent requests wait for.
    pub(super) fn schedule_loads(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.loads_paused {
            return;
        }
        let order = match self.limits.load_order {
            LoadOrder::Urgency => self.by_urgency(),
            LoadOrder::Utility => self.by_utility(now),
        };
        for id in order {
            let loading = self.adapters.values().filter(|a| a.is_loading()).count();
            if loading >= self.limits.max_loading {
                return;
            }
            let req = self.waiting[&id].clone();
            if self.adapters.contains_key(&req.target) {
                continue;
            }
            if !self.may_fetch(now, &req.target) {
                continue;
            }
            if self.evict_other_version(&req.target, actions) {
                continue;
            }
            if self.adapters.len() < self.limits.adapter_slots {
                let mut loading = Residency::new(now, Phase::Loading { since: now });
                if let Some(uses) = self.past_uses.remove(&req.target) {
                    loading.uses = uses;
                }
                self.adapters.insert(req.target.clone(), loading);
                actions.push(Action::Load(req.target));
                continue;
            }
            self.free_slot(now, &req, actions);
            return;
        }
    }

    /// Whether a fetch of `target` may begin now. A load from a host-memory copy needs no
    /// fetch.
    fn may_fetch(&mut self, now: Instant, target: &Target) -> bool {
        if !self.limits.limits_fetches || self.host_copies.contains(target.hash()) {
            return true;
        }
        let host_copies = &self.host_copies;
        let fetched = |(t, a): &(&Target, &Residency)| {
            a.is_loading() && !host_copies.contains(t.hash())
        };
        let fetching = self.adapters.iter().filter(fetched).count();
        self.fetch_window.is_open(now, fetching)
    }

    /// Keeps the use count of an adapter that is removed; drops the least used ones when
    /// the limit is reached.
    pub(super) fn keep_uses(&mut self, now: Instant, target: &Target, uses: UseCount) {
        if self.past_uses.len() >= MAX_PAST_USES {
            self.past_uses.retain(|_, uses| uses.at(now) >= MIN_PAST_USES);
        }
        if self.past_uses.len() < MAX_PAST_USES {
            self.past_uses.insert(target.clone(), uses);
        }
    }

    /// Evicts an adapter for `req`, or marks one for eviction, unless an eviction is in
    /// progress.
    fn free_slot(
        &mut self,
        now: Instant,
        req: &QueuedRequest,
        actions: &mut Vec<Action>,
    ) {
        let freeing = |a: &Residency| matches!(a.phase, Phase::Unloading);
        let may_unload = self.unloads_allowed_at.is_some_and(|at| at <= now);
        if !may_unload || self.adapters.values().any(freeing) {
            return;
        }
        if let Some(evicted) = self.least_used(now, |a| a.pins + a.other_requests == 0) {
            self.set_phase(&evicted, Phase::Unloading);
            actions.push(Action::Unload(evicted));
            return;
        }
        let retiring = self.adapters.values().any(|a| a.phase == Phase::Retiring);
        if retiring
            || now.saturating_duration_since(req.arrived_at)
                < self.limits.busy_eviction_delay
        {
            return;
        }
        if let Some(evicted) = self.least_used(now, |a| a.phase == Phase::Resident) {
            self.set_phase(&evicted, Phase::Retiring);
        }
    }

    /// Finds the adapter to evict among those for which `is_candidate` returns true.
    fn least_used(
        &self,
        now: Instant,
        is_candidate: impl Fn(&Residency) -> bool,
    ) -> Option<Target> {
        let candidates =
            self.adapters.iter().filter(|(_, a)| a.is_resident() && is_candidate(a));
        let least = candidates.min_by(|(t1, a1), (t2, a2)| {
            let by_uses = match self.limits.eviction {
                EvictionPolicy::LeastUsed => a1.uses.at(now).total_cmp(&a2.uses.at(now)),
                EvictionPolicy::Lru => Ordering::Equal,
            };
            by_uses.then(a1.last_used.cmp(&a2.last_used)).then(t1.cmp(t2))
        });
        least.map(|(target, _)| target.clone())
    }

    fn set_phase(&mut self, target: &Target, phase: Phase) {
        if let Some(adapter) = self.adapters.get_mut(target) {
            adapter.phase = phase;
        }
    }
}
