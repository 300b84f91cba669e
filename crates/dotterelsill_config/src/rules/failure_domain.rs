//! A region or rack that is left out.

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

/// Returns a warning for each data centre without a region and each upstream
/// without a rack.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let regions = (0..fleet.data_centres.len())
        .filter(|i| fleet.data_centres[*i].region.is_empty())
        .map(|i| Place::item_of("data_centres", i).key("region"))
        .map(|place| {
            let state = missing_or(index, &place, "empty");
            let problem =
                format!("the region is {state}; all data centres without one count as one region");
            warning(index, &place, problem)
        });
    let racks = upstreams(fleet)
        .filter(|(_, upstream)| upstream.rack.is_empty())
        .map(|(place, _)| place.key("rack"))
        .map(|place| {
            let state = missing_or(index, &place, "empty");
            let problem = format!(
                "the rack is {state}; all upstreams of a data centre without one \
                 count as lost together"
            );
            warning(index, &place, problem)
        });
    regions.chain(racks).collect()
}

/// Returns a warning of this rule.
fn warning(index: &Index<'_>, place: &Place<'_>, problem: String) -> Finding {
    let fix = "write its name";
    Finding::error("failure-domain", index, place, problem, fix).into_warning()
}
