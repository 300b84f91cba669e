//! Runs that may go on after their job has ended.
//!
//! They count towards the cap of the job's workspace. The final record of a job names
//! the workers with such runs, and the next scheduler counts them until the status of
//! these workers was read or their leases have certainly ended.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration, //
};

use dotterelsill_proto::jobs::{
    Phase,
    ProgressRecord,
    UnendedRuns, //
};

use crate::{
    job::Job,
    unread_places::UnreadPlaces,
    worker::Worker,
    JobId,
    Resources,
    Scheduler, //
};

/// Runs of one ended job on one worker, restored from the record of the job.
#[derive(Debug)]
pub(crate) struct Unended {
    job: JobId,
    workspace: String,
    /// Identifier of the worker.
    worker: String,
    resources: Resources,
}

impl Scheduler {
    /// Returns for the final record of a job which of its runs may go on; nothing for
    /// an open job and for one without a workspace.
    pub(crate) fn unended_runs(&self, id: JobId) -> Vec<UnendedRuns> {
        let Some(job) = self.jobs.get(&id) else {
            return Vec::new();
        };
        if job.spec.workspace.is_none() || !may_leave_runs(job) {
            return Vec::new();
        }
        let unseen = if job.is_restored {
            job.waiting_resources()
        } else {
            Resources::default()
        };
        let on_worker = |worker: &Worker| {
            let mut resources = Resources::default();
            let booked = worker.booked_of_job(id);
            booked.for_each(|booked| resources.add(&booked.resources));
            if self.may_run_unseen(worker, self.planned_at)
                && job.may_run_at(&UnreadPlaces::of(worker))
            {
                resources.add(&unseen);
            }
            (resources != Resources::default()).then(|| UnendedRuns {
                worker: worker.report.id.clone(),
                room: Some((&resources).into()),
            })
        };
        self.workers.values().filter_map(on_worker).collect()
    }

    /// Restores the runs that the record of an ended job names.
    pub(crate) fn restore_unended(&mut self, job: JobId, record: &ProgressRecord) {
        for runs in &record.unended {
            self.unended.push(Unended {
                job,
                workspace: record.workspace.clone(),
                worker: runs.worker.clone(),
                resources: runs.room.as_ref().map(Resources::from).unwrap_or_default(),
            });
        }
    }

    /// Returns, by workspace, an upper bound on the resources of runs of jobs that ended
    /// under earlier schedulers, and forgets the runs that have certainly ended.
    pub(crate) fn count_unended(&mut self, now: Duration) -> HashMap<String, Resources> {
        let mut unended = std::mem::take(&mut self.unended);
        unended.retain(|runs| self.may_go_on(runs, now));
        let mut by_worker: BTreeMap<(&str, &str), Resources> = BTreeMap::new();
        for runs in &unended {
            let key = (runs.workspace.as_str(), runs.worker.as_str());
            by_worker.entry(key).or_default().add(&runs.resources);
        }
        let mut by_workspace: HashMap<String, Resources> = HashMap::new();
        for ((workspace, worker), resources) in by_worker {
            // The records of jobs that ended long ago still name their runs, but all runs
            // of a worker fit into it.
            let capacity = self.capacity_of(worker);
            let resources = capacity.map_or(resources, |capacity| resources.min(&capacity));
            let sum = by_workspace.entry(workspace.to_owned()).or_default();
            sum.add(&resources);
        }
        self.unended = unended;
        by_workspace
    }

    fn may_go_on(&self, runs: &Unended, now: Duration) -> bool {
        let worker = self.by_id.get(&runs.worker);
        let Some(worker) = worker.and_then(|key| self.workers.get(key)) else {
            return false;
        };
        // An adopted run of a job whose specification is gone counts for no workspace.
        let is_adopted = || {
            worker.booked_of_job(runs.job).next().is_some() && self.workspace_of(runs.job).is_none()
        };
        self.may_run_unseen(worker, now) || is_adopted()
    }

    /// Returns the capacity of a worker, if it is registered.
    fn capacity_of(&self, id: &str) -> Option<Resources> {
        let worker = self.workers.get(self.by_id.get(id)?)?;
        worker.is_listed.then_some(worker.report.capacity)
    }
}

/// Returns whether runs may be left of a job. Of one that is completed only copies of
/// tasks are, as the members of a gang end together.
fn may_leave_runs(job: &Job) -> bool {
    match job.phase {
        Phase::Open => false,
        Phase::Completed => job.spec.steps.iter().any(|step| step.is_speculative),
        Phase::Failed | Phase::Cancelled => true,
    }
}
