//! References to services and data centres that do not exist.

use std::collections::HashSet;

use dotterelsill_proto::config::Fleet;

use super::{
    missing_or,
    upstreams, //
};
use crate::{
    finding::Finding,
    index::Index,
    limits::MAX_FINDINGS,
    place::{
        for_display,
        KeyPath, //
    },
    suggest::nearest, //
};

/// Returns a finding for each dependency, service of a queue and data centre of an
/// upstream that is not defined.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let services: Vec<&str> = fleet.services.iter().map(|s| s.name.as_str()).collect();
    let data_centres: Vec<&str> = fleet.data_centres.iter().map(|d| d.name.as_str()).collect();
    let dependencies = fleet.services.iter().enumerate().flat_map(|(i, service)| {
        let path = KeyPath::list_item("services", i).key("depends_on");
        let names = service.depends_on.iter().map(String::as_str).enumerate();
        names.map(move |(j, name)| (path.item(j), name))
    });
    let queue_services = fleet.queues.iter().enumerate();
    let queue_services =
        queue_services.map(|(i, q)| (KeyPath::list_item("queues", i).key("service"), &*q.service));
    let locations = upstreams(fleet).map(|(path, u)| (path.key("data_centre"), &*u.data_centre));
    let mut findings = unresolved(
        index,
        "service",
        &services,
        dependencies.chain(queue_services),
    );
    findings.extend(unresolved(index, "data centre", &data_centres, locations));
    findings
}

/// Returns findings for the references that match none of the names.
///
/// At most [`MAX_FINDINGS`] are returned, because each reference is compared with
/// many names to find a suggestion.
fn unresolved<'f>(
    index: &Index<'_>,
    kind: &str,
    names: &[&str],
    references: impl Iterator<Item = (KeyPath<'static>, &'f str)>,
) -> Vec<Finding> {
    let known: HashSet<&str> = names.iter().copied().filter(|n| !n.is_empty()).collect();
    references
        .filter(|(_, reference)| !known.contains(reference))
        .take(MAX_FINDINGS)
        .map(|(path, reference)| finding(index, kind, names, &path, reference))
        .collect()
}

/// Returns the finding for an unresolved reference.
fn finding(
    index: &Index<'_>,
    kind: &str,
    names: &[&str],
    path: &KeyPath<'_>,
    reference: &str,
) -> Finding {
    let problem = if reference.is_empty() {
        format!("the {kind} is {}", missing_or(index, path, "empty"))
    } else {
        format!("there is no {kind} `{}`", for_display(reference))
    };
    let fix = match nearest(reference, names.iter().copied()) {
        Some(suggestion) => format!("write `{}`", for_display(suggestion)),
        None => format!("write the name of a {kind} of this text, or add it"),
    };
    Finding::error("reference", index, path, problem, fix)
}
