//! Zero where it makes no sense.

use dotterelsill_proto::config::Fleet;

use super::{
    missing_or,
    upstreams, //
};
use crate::{
    finding::Finding,
    index::Index,
    place::Place, //
};

/// Returns a finding for each limit, slot or connection count and time that is
/// zero.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let teams = fleet.teams.iter().enumerate().map(|(i, team)| {
        let place = Place::item_of("teams", i);
        (place, "limit_requests", team.limit_requests)
    });
    let upstreams = upstreams(fleet).flat_map(|(place, upstream)| {
        let slots = (place.clone(), "slots", upstream.slots);
        [slots, (place, "connections", upstream.connections)]
    });
    let queues = fleet.queues.iter().enumerate().flat_map(|(i, queue)| {
        let place = Place::item_of("queues", i);
        let timeout = (place.clone(), "timeout_ms", queue.timeout_ms);
        [timeout, (place, "max_run_ms", queue.max_run_ms)]
    });
    teams
        .chain(upstreams)
        .chain(queues)
        .filter(|(_, _, value)| *value == 0)
        .map(|(place, key, _)| finding(index, &place.key(key), key))
        .collect()
}

/// Returns the finding for a key that is zero.
fn finding(index: &Index<'_>, place: &Place<'_>, key: &str) -> Finding {
    let effect = match key {
        "limit_requests" => "the team could run nothing",
        "slots" | "connections" => "the upstream could run nothing",
        _ => "every request would be refused",
    };
    let problem = format!("`{key}` is {}: {effect}", missing_or(index, place, "0"));
    let fix = format!("write `{key}` with a value of at least 1");
    Finding::error("zero", index, place, problem, fix)
}
