//! Data centres without a region and upstreams without a rack.

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

/// Returns a warning for each data centre without a region and each upstream
/// without a rack, because a missing name merges failure domains.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let regions = (0..fleet.data_centres.len())
        .filter(|i| fleet.data_centres[*i].region.is_empty())
        .map(|i| KeyPath::list_item("data_centres", i).key("region"))
        .map(|path| {
            let state = missing_or(index, &path, "empty");
            let problem =
                format!("the region is {state}; all data centres without one count as one region");
            warning(index, &path, problem)
        });
    let racks = upstreams(fleet)
        .filter(|(_, upstream)| upstream.rack.is_empty())
        .map(|(path, _)| path.key("rack"))
        .map(|path| {
            let state = missing_or(index, &path, "empty");
            let problem = format!(
                "the rack is {state}; all upstreams of a data centre without one \
                 count as one failure domain"
            );
            warning(index, &path, problem)
        });
    regions.chain(racks).collect()
}

/// Creates a warning of this rule.
fn warning(index: &Index<'_>, path: &KeyPath<'_>, problem: String) -> Finding {
    let fix = "write its name";
    Finding::error("failure-domain", index, path, problem, fix).into_warning()
}
