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

/// Ratio of a workspace's planned work for its weight to that of the other workspaces from
/// which on it is above its share. Below it, the difference may be that of a few jobs, and
/// deferral by cost serves more callers.
const EXCESS_RATIO: f64 = 2.0;

/// Planned work of the workspaces with a weight that have any.
#[derive(Debug, Default)]
pub(super) struct PlannedShares<'a> {
    workspaces: HashMap<&'a str, Planned>,
    total: Planned,
}

#[derive(Clone, Copy, Debug, Default)]
struct Planned {
    weight: f64,
    planned_ms: f64,
}

impl<'a> PlannedShares<'a> {
    /// Plans all given jobs.
    pub(super) fn new(shares: &Shares<'a>, jobs: &[&WaitingJob<'a>]) -> Self {
        let mut planned = Self::default();
        let running = shares.running_ms.iter().map(|(name, ms)| (*name, *ms));
        let waiting = jobs.iter().map(|job| (job.workspace, job.work_ms));
        let waiting = waiting.filter_map(|(name, ms)| Some((name?, ms)));
        for (name, work_ms) in running.chain(waiting) {
            let weight = shares.weights.get(name).copied().unwrap_or_default();
            if weight == 0 {
                continue;
            }
            let weight = weight as f64;
            let total = &mut planned.total;
            let entry = planned.workspaces.entry(name).or_insert_with(|| {
                total.weight += weight;
                Planned {
                    weight,
                    planned_ms: 0.0,
                }
            });
            entry.planned_ms += work_ms;
            total.planned_ms += work_ms;
        }
        planned
    }

    /// Returns the workspaces above their share, those that are the most above it first.
    pub(super) fn above(&self) -> Vec<&'a str> {
        let names = self.workspaces.keys().copied();
        let excess = |name| Some((self.excess(Some(name))?, name));
        let mut above: Vec<(f64, &str)> = names.filter_map(excess).collect();
        above.sort_unstable_by(|one, other| other.0.total_cmp(&one.0).then(one.1.cmp(other.1)));
        above.into_iter().map(|(_, name)| name).collect()
    }

    /// Returns the ratio of a workspace's planned work for its weight to that of the other
    /// workspaces; `None` if it is within its share or has no weight, or if there are no
    /// others.
    pub(super) fn excess(&self, workspace: Option<&str>) -> Option<f64> {
        let planned = self.workspaces.get(workspace?)?;
        let others_weight = self.total.weight - planned.weight;
        if others_weight <= 0.0 {
            return None;
        }
        let others = (self.total.planned_ms - planned.planned_ms).max(0.0) / others_weight;
        let ratio = planned.planned_ms / planned.weight / others.max(f64::MIN_POSITIVE);
        (ratio > EXCESS_RATIO).then_some(ratio)
    }

    /// Removes a job that is put back.
    pub(super) fn remove(&mut self, job: &WaitingJob<'_>) {
        if let Some(planned) = job.workspace.and_then(|name| self.workspaces.get_mut(name)) {
            planned.planned_ms -= job.work_ms;
            self.total.planned_ms -= job.work_ms;
        }
    }
}
