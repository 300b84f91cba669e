//! A limit below its floor.

use dotterelsill_proto::config::Fleet;

use crate::{
    finding::Finding,
    index::Index,
    place::Place, //
};

/// Returns a finding for each team whose upper limit is below its floor.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let teams = fleet.teams.iter().enumerate();
    let below = teams.filter(|(_, t)| t.limit_requests != 0 && t.limit_requests < t.floor_requests);
    below
        .map(|(i, team)| {
            let place = Place::item_of("teams", i).key("limit_requests");
            let (limit, floor) = (team.limit_requests, team.floor_requests);
            let problem = format!("the limit of {limit} requests is below the floor of {floor}");
            let fix = format!("raise it to {floor} or more, or lower `floor_requests`");
            Finding::error("limit-floor", index, &place, problem, fix)
        })
        .collect()
}
