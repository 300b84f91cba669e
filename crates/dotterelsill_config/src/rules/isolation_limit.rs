//! An isolation limit above its maximum.

use dotterelsill_proto::config::Fleet;

use crate::{
    finding::Finding,
    index::Index,
    limits::MAX_ISOLATION_LIMIT_S,
    place::KeyPath, //
};

/// Returns a finding if the isolation limit is above [`MAX_ISOLATION_LIMIT_S`].
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let limit = fleet.isolation_limit_s;
    if limit <= MAX_ISOLATION_LIMIT_S {
        return Vec::new();
    }
    let path = KeyPath::default().key("isolation_limit_s");
    let problem = format!(
        "the isolation limit of {limit} s is over {MAX_ISOLATION_LIMIT_S} s: a claim log \
         could outlive its seal, and a request run twice"
    );
    let fix = format!("write at most {MAX_ISOLATION_LIMIT_S}");
    vec![Finding::error(
        "isolation-limit",
        index,
        &path,
        problem,
        fix,
    )]
}
