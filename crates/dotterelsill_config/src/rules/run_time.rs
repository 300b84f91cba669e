//! A longest run time below the timeout.

use dotterelsill_proto::config::Fleet;

use crate::{
    finding::Finding,
    index::Index,
    place::Place, //
};

/// Returns a finding for each queue whose `max_run_ms` is below its
/// `timeout_ms`: a request would be stopped while its caller still waits.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let queues = fleet.queues.iter().enumerate();
    queues
        .filter(|(_, queue)| queue.max_run_ms != 0 && queue.max_run_ms < queue.timeout_ms)
        .map(|(i, queue)| {
            let place = Place::item_of("queues", i).key("max_run_ms");
            let (run, timeout) = (queue.max_run_ms, queue.timeout_ms);
            let problem = format!("`max_run_ms` of {run} is below `timeout_ms` of {timeout}");
            let fix = format!("raise it to {timeout} or more, or lower `timeout_ms`");
            Finding::error("run-time", index, &place, problem, fix)
        })
        .collect()
}
