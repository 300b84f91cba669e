//! Percentages over 100.

use dotterelsill_proto::config::Fleet;

use crate::{
    finding::Finding,
    index::Index,
    place::KeyPath, //
};

/// Returns a finding for each share and availability floor over 100%.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let shares = fleet.teams.iter().enumerate().map(|(i, team)| {
        let path = KeyPath::list_item("teams", i).key("share_percent");
        (path, team.share_percent)
    });
    let floors = fleet.services.iter().enumerate().map(|(i, service)| {
        let path = KeyPath::list_item("services", i).key("availability_floor_percent");
        (path, service.availability_floor_percent)
    });
    shares
        .chain(floors)
        .filter(|(_, percent)| *percent > 100)
        .map(|(path, percent)| {
            let problem = format!("{percent} percent is more than 100 percent");
            Finding::error("percent", index, &path, problem, "write 0 to 100")
        })
        .collect()
}
