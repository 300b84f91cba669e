//! Queues that serve non-repeatable work while isolated.

use dotterelsill_proto::config::{
    Fleet,
    WhenIsolated, //
};

use crate::{
    finding::Finding,
    index::Index,
    place::KeyPath, //
};

/// Returns a warning for each non-repeatable queue with `when_isolated: serve`.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let serve = WhenIsolated::Serve as i32;
    let queues = fleet.queues.iter().enumerate();
    queues
        .filter(|(_, queue)| !queue.repeatable && queue.when_isolated == serve)
        .map(|(i, _)| {
            let path = KeyPath::list_item("queues", i).key("when_isolated");
            let problem = "while an instance is isolated it admits this work under its last \
                           revision, even with keys withdrawn since then, but a request runs only \
                           when its claim reaches the store; most are refused as not run, and \
                           each change waits for the instance up to the isolation limit";
            let fix = "write `refuse`, or keep `serve` if this is intended";
            Finding::error("isolated-serve", index, &path, problem, fix).into_warning()
        })
        .collect()
}
