//! Fair shares of a saturated plain service between workspaces, at one entry.
//!
//! The requests that the service answered recently are its capacity. They are divided
//! among the workspaces by weight; what a workspace does not request is divided among the
//! others.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::WorkspaceHash;

/// Recent requests of workspaces to one service, and its recent answers.
#[derive(Debug, Default)]
pub struct FairShares {
    workspaces: HashMap<WorkspaceHash, Usage>,
    answered: Count,
    pruned_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct Usage {
    /// Weight; `None` for the mean of the others.
    weight: Option<f64>,
    requested: Count,
    admitted: Count,
}

/// A count that decays with [`TIME_CONSTANT`].
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    value: f64,
    updated_at: Option<Instant>,
}

/// Time constant of the counts: several requests of each workspace at an entry with a few
/// dozen requests a second, and short against the seconds for which an overload lasts.
const TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Square roots of a share by which the count of steady requests may exceed it by chance:
/// four standard deviations of a count that decays.
const CHANCE: f64 = 3.0;
/// Requested count below which a workspace is dropped: five seconds without a request.
const IDLE_COUNT: f64 = 0.01;
/// Interval at which idle workspaces are dropped.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// Limits the number of workspaces; requests of further ones are never over their share.
const MAX_WORKSPACES: usize = 1024;

impl FairShares {
    /// Records that a workspace requested something. `weight` is the workspace's declared
    /// limit; `None` for the mean weight of the others.
    pub fn record(
        &mut self,
        now: Instant,
        workspace: WorkspaceHash,
        weight: Option<f64>,
    ) {
        self.prune(now);
        let is_known = self.workspaces.contains_key(&workspace);
        if !is_known && self.workspaces.len() >= MAX_WORKSPACES {
            return;
        }
        let usage = self.workspaces.entry(workspace).or_default();
        usage.weight = weight.filter(|weight| *weight > 0.0);
        usage.requested.add(now);
    }

    /// Records that a request of a workspace was not refused here.
    pub fn record_admitted(&mut self, now: Instant, workspace: WorkspaceHash) {
        if let Some(usage) = self.workspaces.get_mut(&workspace) {
            usage.admitted.add(now);
        }
    }

    /// Records that the service answered a request.
    pub fn record_answer(&mut self, now: Instant) {
        self.answered.add(now);
    }

    /// Returns whether a workspace has used more than its share of what was answered.
    ///
    /// Never so for a workspace whose requests exceed its part by weight no more than
    /// steady requests do by chance.
    pub fn is_over(&self, now: Instant, workspace: WorkspaceHash) -> bool {
        let Some(usage) = self.workspaces.get(&workspace) else { return false };
        let Some(level) = self.level(now) else { return false };
        let mean_weight = self.mean_weight();
        let weight = usage.weight.unwrap_or(mean_weight);
        let weights = self.workspaces.values().map(|u| u.weight.unwrap_or(mean_weight));
        let own_part = self.answered.at(now) * weight / weights.sum::<f64>();
        let is_within_part =
            usage.requested.at(now) <= own_part + CHANCE * own_part.sqrt();
        !is_within_part && usage.admitted.at(now) > level * weight
    }

    /// Returns the answers for each unit of weight at which all answers are divided;
    /// `None` if there are enough for all requests, or none to divide.
    fn level(&self, now: Instant) -> Option<f64> {
        let mean_weight = self.mean_weight();
        let mut demands: Vec<_> = self
            .workspaces
            .values()
            .map(|u| (u.requested.at(now), u.weight.unwrap_or(mean_weight)))
            .collect();
        let by_weight = |(requested, weight): &(f64, f64)| requested / weight;
        demands.sort_by(|a, b| by_weight(a).total_cmp(&by_weight(b)));
        let mut left = self.answered.at(now);
        if left < 1.0 {
            return None;
        }
        let mut weights: f64 = demands.iter().map(|(_, weight)| weight).sum();
        for demand in &demands {
            let level = left / weights;
            if by_weight(demand) > level {
                return Some(level);
            }
            left -= demand.0;
            weights -= demand.1;
        }
        None
    }

    fn mean_weight(&self) -> f64 {
        let declared = || self.workspaces.values().filter_map(|usage| usage.weight);
        match declared().count() {
            0 => 1.0,
            count => declared().sum::<f64>() / count as f64,
        }
    }

    fn prune(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= PRUNE_INTERVAL;
        if self.pruned_at.is_some_and(|at| !is_due(at)) {
            return;
        }
        self.pruned_at = Some(now);
        self.workspaces.retain(|_, usage| usage.requested.at(now) > IDLE_COUNT);
    }
}

impl Count {
    fn add(&mut self, now: Instant) {
        self.value = self.at(now) + 1.0;
        self.updated_at = Some(now);
    }

    fn at(&self, now: Instant) -> f64 {
        let age = self.updated_at.map(|at| now.saturating_duration_since(at));
        let age = age.unwrap_or_default().as_secs_f64();
        self.value * (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
