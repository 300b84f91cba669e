//! Records without a name.

use dotterelsill_proto::config::Fleet;

use super::{
    missing_or,
    names, //
};
use crate::{
    finding::Finding,
    index::Index, //
};

/// Returns a finding for each record whose name is missing or empty.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    names(fleet)
        .filter(|record| record.name.trim().is_empty())
        .map(|record| {
            let path = record.path.key("name");
            let state = missing_or(index, &path, "empty");
            let problem = format!("the name of the {} is {state}", record.kind);
            let fix = "write `name:` with a unique name";
            Finding::error("name-missing", index, &path, problem, fix)
        })
        .collect()
}
