//! Team shares of more than 100% in total.

use dotterelsill_proto::config::Fleet;

use crate::{
    finding::Finding,
    index::Index,
    place::KeyPath, //
};

/// Returns a finding at the team whose share raises the sum above 100%.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let total: u64 = fleet.teams.iter().map(|t| u64::from(t.share_percent)).sum();
    let mut sum = 0;
    let crossing = fleet.teams.iter().position(|team| {
        sum += u64::from(team.share_percent);
        sum > 100
    });
    let finding = crossing.map(|i| {
        let path = KeyPath::list_item("teams", i).key("share_percent");
        let problem =
            format!("the shares of all teams add up to {total}%, and exceed 100% with this one");
        let fix = format!("lower the shares by {} in total", total - 100);
        Finding::error("share-total", index, &path, problem, fix)
    });
    finding.into_iter().collect()
}
