//! A reference to something that does not exist.

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
        shown,
        Place, //
    },
    suggest::nearest,
};

/// Returns a finding for each dependency, service of a queue and data centre of
/// an upstream that does not exist.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let services: Vec<&str> = fleet.services.iter().map(|s| s.name.as_str()).collect();
    let data_centres: Vec<&str> = fleet.data_centres.iter().map(|d| d.name.as_str()).collect();
    let needs = fleet.services.iter().enumerate().flat_map(|(i, service)| {
        let place = Place::item_of("services", i).key("depends_on");
        let needs = service.depends_on.iter().map(String::as_str).enumerate();
        needs.map(move |(j, need)| (place.item(j), need))
    });
    let runners = fleet.queues.iter().enumerate();
    let runners = runners.map(|(i, q)| (Place::item_of("queues", i).key("service"), &*q.service));
    let homes = upstreams(fleet).map(|(place, u)| (place.key("data_centre"), &*u.data_centre));
    let mut findings = unresolved(index, "service", &services, needs.chain(runners));
    findings.extend(unresolved(index, "data centre", &data_centres, homes));
    findings
}

/// Returns findings for the references that none of the names resolves.
///
/// No more are returned than can be shown, because each one is compared with
/// many names for a suggestion.
fn unresolved<'f>(
    index: &Index<'_>,
    kind: &str,
    names: &[&str],
    references: impl Iterator<Item = (Place<'static>, &'f str)>,
) -> Vec<Finding> {
    let known: HashSet<&str> = names.iter().copied().filter(|n| !n.is_empty()).collect();
    references
        .filter(|(_, reference)| !known.contains(reference))
        .take(MAX_FINDINGS)
        .map(|(place, reference)| finding(index, kind, names, &place, reference))
        .collect()
}

/// Returns the finding for one reference.
fn finding(
    index: &Index<'_>,
    kind: &str,
    names: &[&str],
    place: &Place<'_>,
    reference: &str,
) -> Finding {
    let problem = if reference.is_empty() {
        format!("the {kind} is {}", missing_or(index, place, "empty"))
    } else {
        format!("there is no {kind} `{}`", shown(reference))
    };
    let fix = match nearest(reference, names.iter().copied()) {
        Some(near) => format!("write `{}`", shown(near)),
        None => format!("write the name of a {kind} of this text, or add it"),
    };
    Finding::error("reference", index, place, problem, fix)
}
