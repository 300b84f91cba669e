//! Names with characters or a length that are not allowed where they are used.

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

/// Returns a finding for each name that cannot be used in a URL path (queues), or
/// in a store key and a log line (all other names).
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    names(fleet)
        .filter(|record| !record.name.trim().is_empty())
        .filter_map(|record| {
            let (problem, fix) = problem_and_fix(&record)?;
            let path = record.path.key("name");
            Some(Finding::error("name-form", index, &path, problem, fix))
        })
        .collect()
}

/// Returns the problem of a name and its fix, or `None` if the name is valid.
fn problem_and_fix(record: &Name<'_>) -> Option<(String, String)> {
    let kind = record.kind;
    let bytes = record.name.len();
    if bytes > MAX_NAME_BYTES {
        let problem = format!("the name of the {kind} has {bytes} bytes");
        return Some((problem, format!("use at most {MAX_NAME_BYTES} bytes")));
    }
    if kind == "queue" && !is_path_segment(record.name) {
        let problem = "the name of the queue cannot be used in the path /q/<queue>/".into();
        let fix = "use only the letters a to z and A to Z, digits, `-`, `_`, `.` and `~`, \
                   and not `.` or `..` alone";
        return Some((problem, fix.into()));
    }
    let is_forbidden = |c: char| c == '/' || c.is_control() || c.is_whitespace();
    record.name.contains(is_forbidden).then(|| {
        let problem = format!("the name of the {kind} cannot be used in a key of the store");
        (problem, "use no `/`, space or control character".into())
    })
}

/// Returns whether a name is a URL path segment that needs no encoding: only
/// unreserved characters of RFC 3986, and not a dot segment.
fn is_path_segment(name: &str) -> bool {
    let unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    name.bytes().all(unreserved) && name != "." && name != ".."
}
