//! Zero where the schema requires a positive value.

use dotterelsill_proto::config::Fleet;

use super::{
    missing_or,
    upstreams, //
};
use crate::{
    finding::Finding,
    index::Index,
    place::KeyPath, //
};

/// Returns a finding for each limit, slot count, connection count or time that is
/// zero.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let teams = fleet.teams.iter().enumerate().map(|(i, team)| {
        let path = KeyPath::list_item("teams", i);
        (path, "limit_requests", team.limit_requests)
    });
    let upstreams = upstreams(fleet).flat_map(|(path, upstream)| {
        let slots = (path.clone(), "slots", upstream.slots);
        [slots, (path, "connections", upstream.connections)]
    });
    let queues = fleet.queues.iter().enumerate().flat_map(|(i, queue)| {
        let path = KeyPath::list_item("queues", i);
        let timeout = (path.clone(), "timeout_ms", queue.timeout_ms);
        [timeout, (path, "max_run_ms", queue.max_run_ms)]
    });
    teams
        .chain(upstreams)
        .chain(queues)
        .filter(|(_, _, value)| *value == 0)
        .map(|(path, key, _)| finding(index, &path.key(key), key))
        .collect()
}

/// Returns the finding for a key that is zero.
fn finding(index: &Index<'_>, path: &KeyPath<'_>, key: &str) -> Finding {
    let effect = match key {
        "limit_requests" => "the team could not run any request",
        "slots" | "connections" => "the upstream could not run any request",
        _ => "every request would be refused",
    };
    let problem = format!("`{key}` is {}: {effect}", missing_or(index, path, "0"));
    let fix = format!("write `{key}` with a value of at least 1");
    Finding::error("zero", index, path, problem, fix)
}
