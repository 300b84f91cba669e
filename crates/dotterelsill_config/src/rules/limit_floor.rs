//! Team limits below their floor.

use dotterelsill_proto::config::Fleet;

use crate::{
    finding::Finding,
    index::Index,
    place::KeyPath, //
};

/// Returns a finding for each team whose `limit_requests` is below its
/// `floor_requests`. A limit of 0 is left to the rule `zero`.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let teams = fleet.teams.iter().enumerate();
    let below = teams.filter(|(_, t)| t.limit_requests != 0 && t.limit_requests < t.floor_requests);
    below
        .map(|(i, team)| {
            let path = KeyPath::list_item("teams", i).key("limit_requests");
            let (limit, floor) = (team.limit_requests, team.floor_requests);
            let problem = format!("the limit of {limit} requests is below the floor of {floor}");
            let fix = format!("raise it to {floor} or more, or lower `floor_requests`");
            Finding::error("limit-floor", index, &path, problem, fix)
        })
        .collect()
}
