//! Keys in the store.

use dotterelsill_jobs::JobId;

/// Key held by the elected scheduler; its revision is the fencing token.
pub(crate) const LEADER: &str = "leader";

/// Workers that may run tasks.
pub(crate) const GRANTED: &str = "granted";

/// Instances that the scheduler has recently sent orders to.
pub(crate) const ORDERED: &str = "ordered";

/// Prefix of accepted jobs that have not ended.
pub(crate) const JOBS: &str = "jobs/";

/// Prefix of the progress of jobs.
pub(crate) const PROGRESS: &str = "progress/";

/// Prefix of jobs that were accepted while no scheduler answered.
pub(crate) const INTAKE: &str = "intake/";

/// Prefix of the maintenance waves that have started.
pub(crate) const WAVES: &str = "waves/";

/// Prefix of the registered instances of this daemon.
pub(crate) const NODES: &str = "nodes/";

/// Returns the key of a job under a prefix.
pub(crate) fn of_job(prefix: &str, id: JobId) -> String {
    format!("{prefix}{id}")
}

/// Parses the job identifier from a key under a prefix.
pub(crate) fn job_of(prefix: &str, key: &str) -> Option<JobId> {
    let digits = key.strip_prefix(prefix)?;
    u64::from_str_radix(digits, 16).ok().map(JobId)
}
