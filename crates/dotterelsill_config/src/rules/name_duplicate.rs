//! Records of the same kind with the same name.

use std::collections::{
    hash_map::Entry,
    HashMap, //
};

use dotterelsill_proto::config::Fleet;

use super::names;
use crate::{
    finding::Finding,
    index::Index,
    place::for_display, //
};

/// Returns a finding for each name that an earlier record of its kind already has.
///
/// Upstream names must be unique in the whole fleet, because the store records the
/// pool of an upstream under its name alone.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let mut seen = HashMap::new();
    let mut findings = Vec::new();
    for record in names(fleet).filter(|record| !record.name.is_empty()) {
        match seen.entry((record.kind, record.name)) {
            Entry::Vacant(entry) => {
                entry.insert(record.path);
            }
            Entry::Occupied(first) => {
                let line = index.position(&first.get().key("name")).line;
                let name = for_display(record.name);
                let problem = format!(
                    "the {} name `{name}` is already used at line {line}",
                    record.kind
                );
                let path = record.path.key("name");
                let fix = "rename one of the two";
                findings.push(Finding::error("name-duplicate", index, &path, problem, fix));
            }
        }
    }
    findings
}
