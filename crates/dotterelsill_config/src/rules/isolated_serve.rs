//! A queue that is not repeatable and serves while cut off.

use dotterelsill_proto::config::{
    Fleet,
    WhenIsolated, //
};

use crate::{
    finding::Finding,
    index::Index,
    place::Place, //
};

/// Returns a warning for each queue that is not repeatable and has
/// `when_isolated: serve`.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let serve = WhenIsolated::Serve as i32;
    let queues = fleet.queues.iter().enumerate();
    queues
        .filter(|(_, queue)| !queue.repeatable && queue.when_isolated == serve)
        .map(|(i, _)| {
            let place = Place::item_of("queues", i).key("when_isolated");
            let problem = "while an instance is cut off it admits this work under its last \
                           revision, with keys withdrawn since then, but a request runs only \
                           when its claim reaches the store; most are refused as not run, and \
                           each change waits for the instance up to the isolation limit";
            let fix = "write `refuse`, or keep `serve` if this is meant";
            Finding::error("isolated-serve", index, &place, problem, fix).into_warning()
        })
        .collect()
}
