//! Shares of workspaces in a pool.
//!
//! Load pattern: one workspace sends 4 to 7 times its usual load for some seconds, next to
//! a burst.

use std::collections::HashMap;

use super::WaitingJob;

/// Weights and running work of the workspaces of a pool.
#[derive(Clone, Debug, Default)]
pub struct Shares<'a> {
    /// Weight of each workspace that has one.
    pub weights: HashMap<&'a str, u64>,
    /// Work of the running tasks of each workspace, as the time in milliseconds for which
    /// it takes the whole pool.
    pub running_ms: HashMap<&'a str, f64>,
}

/// Planned work of the workspaces with a weight.
#[derive(Debug, Default)]
pub(super) struct PlannedShares<'a> {
    workspaces: HashMap<&'a str, Planned>,
    /// Planned work for each unit of weight up to which a workspace is within its share.
    level_ms: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Planned {
    weight: f64,
    planned_ms: f64,
}

impl<'a> PlannedShares<'a> {
    /// Plans all given jobs for a pool that finishes `capacity_ms` of work.
    pub(super) fn new(shares: &Shares<'a>, jobs: &[&WaitingJob<'a>], capacity_ms: f64) -> Self {
        let mut planned = Self::default();
        for job in jobs {
            let weight = job.workspace.and_then(|name| shares.weights.get(name));
            let (Some(name), Some(&weight)) = (job.workspace, weight.filter(|&&w| w > 0)) else {
                continue;
            };
            let running_ms = shares.running_ms.get(name).copied().unwrap_or_default();
            let entry = planned.workspaces.entry(name).or_insert(Planned {
                weight: weight as f64,
                planned_ms: running_ms,
            });
            entry.planned_ms += job.work_ms;
        }
        planned.level_ms = level_of(planned.workspaces.values().copied(), capacity_ms);
        planned
    }

    /// Returns the workspaces above their share, those that are the most above it first.
    pub(super) fn above(&self) -> Vec<&'a str> {
        let names = self.workspaces.keys();
        let excess = |name: &'a str| Some((self.excess(Some(name))?, name));
        let mut above: Vec<(f64, &str)> = names.filter_map(|name| excess(name)).collect();
        above.sort_unstable_by(|one, other| other.0.total_cmp(&one.0).then(one.1.cmp(other.1)));
        above.into_iter().map(|(_, name)| name).collect()
    }

    /// Returns by how much a workspace exceeds its share, as the ratio of its planned work
    /// to it; `None` if it does not, or has no weight.
    pub(super) fn excess(&self, workspace: Option<&str>) -> Option<f64> {
        let planned = self.workspaces.get(workspace?)?;
        let ratio = planned.planned_ms / (planned.weight * self.level_ms).max(f64::MIN_POSITIVE);
        (ratio > 1.0).then_some(ratio)
    }

    /// Removes a job that is put back.
    pub(super) fn remove(&mut self, job: &WaitingJob<'_>) {
        if let Some(planned) = job.workspace.and_then(|name| self.workspaces.get_mut(name)) {
            planned.planned_ms -= job.work_ms;
        }
    }
}

/// Returns the level, in work for each unit of weight, at which workspaces that plan no
/// more than it, and the others with it, use the whole capacity.
fn level_of(workspaces: impl Iterator<Item = Planned>, capacity_ms: f64) -> f64 {
    let mut workspaces: Vec<Planned> = workspaces.collect();
    let level = |planned: &Planned| planned.planned_ms / planned.weight;
    workspaces.sort_unstable_by(|one, other| level(one).total_cmp(&level(other)));
    let mut weight_left: f64 = workspaces.iter().map(|planned| planned.weight).sum();
    let mut left_ms = capacity_ms;
    for planned in &workspaces {
        if level(planned) * weight_left > left_ms {
            return left_ms.max(0.0) / weight_left;
        }
        left_ms -= planned.planned_ms;
        weight_left -= planned.weight;
    }
    f64::INFINITY
}
