//! A percentage over 100.

use dotterelsill_proto::config::Fleet;

use crate::{
    finding::Finding,
    index::Index,
    place::Place, //
};

/// Returns a finding for each share and availability floor over 100%.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let shares = fleet.teams.iter().enumerate().map(|(i, team)| {
        let place = Place::item_of("teams", i).key("share_percent");
        (place, team.share_percent)
    });
    let floors = fleet.services.iter().enumerate().map(|(i, service)| {
        let place = Place::item_of("services", i).key("availability_floor_percent");
        (place, service.availability_floor_percent)
    });
    shares
        .chain(floors)
        .filter(|(_, percent)| *percent > 100)
        .map(|(place, percent)| {
            let problem = format!("{percent} percent is more than the whole");
            Finding::error("percent", index, &place, problem, "write 0 to 100")
        })
        .collect()
}
