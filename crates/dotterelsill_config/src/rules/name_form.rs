//! A name that cannot stand where it is used.

use dotterelsill_proto::config::Fleet;

use super::{
    names,
    Name, //
};
use crate::{
    finding::Finding,
    index::Index,
    limits::MAX_NAME_BYTES, //
};

/// Returns a finding for each name that cannot stand in a URL path (queues) or
/// in a key of the store and a log line (all others).
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    names(fleet)
        .filter(|record| !record.name.trim().is_empty())
        .filter_map(|record| {
            let (problem, fix) = fault(&record)?;
            let place = record.place.key("name");
            Some(Finding::error("name-form", index, &place, problem, fix))
        })
        .collect()
}

/// Returns what is wrong with a name, and the fix.
fn fault(record: &Name<'_>) -> Option<(String, String)> {
    let kind = record.kind;
    let bytes = record.name.len();
    if bytes > MAX_NAME_BYTES {
        let problem = format!("the name of the {kind} has {bytes} bytes");
        return Some((problem, format!("use at most {MAX_NAME_BYTES} bytes")));
    }
    if kind == "queue" && !is_path_segment(record.name) {
        let problem = "the name of the queue cannot stand in the path /q/<queue>/".into();
        let fix = "use only the letters a to z and A to Z, digits, `-`, `_`, `.` and `~`, \
                   and not `.` or `..` alone";
        return Some((problem, fix.into()));
    }
    let is_bad = |c: char| c == '/' || c.is_control() || c.is_whitespace();
    record.name.contains(is_bad).then(|| {
        let problem = format!("the name of the {kind} cannot stand in a key of the store");
        (problem, "use no `/`, space or control character".into())
    })
}

/// Returns whether a name stands in a URL path without being encoded, by the
/// unreserved characters of RFC 3986.
fn is_path_segment(name: &str) -> bool {
    let unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    name.bytes().all(unreserved) && name != "." && name != ".."
}
