//! Maximum run times below the timeout.

use dotterelsill_proto::config::Fleet;

use crate::{
    finding::Finding,
    index::Index,
    place::KeyPath, //
};

/// Returns a finding for each queue whose `max_run_ms` is below its `timeout_ms`:
/// requests would be aborted while their callers still wait.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let queues = fleet.queues.iter().enumerate();
    queues
        .filter(|(_, queue)| queue.max_run_ms != 0 && queue.max_run_ms < queue.timeout_ms)
        .map(|(i, queue)| {
            let path = KeyPath::list_item("queues", i).key("max_run_ms");
            let (max_run, timeout) = (queue.max_run_ms, queue.timeout_ms);
            let problem = format!("`max_run_ms` of {max_run} is below `timeout_ms` of {timeout}");
            let fix = format!("raise it to {timeout} or more, or lower `timeout_ms`");
            Finding::error("run-time", index, &path, problem, fix)
        })
        .collect()
}
