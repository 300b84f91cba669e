//! Validation rules, one per file.

mod address;
mod address_duplicate;
mod dependency_cycle;
mod failure_domain;
mod isolated_serve;
mod isolation_limit;
mod limit_floor;
mod name_duplicate;
mod name_form;
mod name_missing;
mod percent;
mod reference;
mod run_time;
mod share_total;
pub(crate) mod structure;
mod unit;
pub(crate) mod unknown_key;
pub(crate) mod value;
mod zero;

use dotterelsill_proto::config::Fleet;

use crate::{
    finding::Finding,
    index::Index,
    place::KeyPath, //
};

/// A rule, which returns the findings about a fleet.
type Rule = fn(&Fleet, &Index<'_>) -> Vec<Finding>;

/// Rules about the deserialized fleet.
const RULES: [Rule; 15] = [
    address::check,
    address_duplicate::check,
    dependency_cycle::check,
    failure_domain::check,
    isolated_serve::check,
    isolation_limit::check,
    limit_floor::check,
    name_duplicate::check,
    name_form::check,
    name_missing::check,
    percent::check,
    reference::check,
    run_time::check,
    share_total::check,
    zero::check,
];

/// Returns the findings of all rules.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    RULES.iter().flat_map(|rule| rule(fleet, index)).collect()
}

/// Name of a record.
struct Name<'f> {
    /// Kind of the record for messages, such as `team`.
    kind: &'static str,
    /// Path to the record.
    path: KeyPath<'static>,
    /// Name, which may be empty.
    name: &'f str,
}

/// Returns the names of all records of a fleet.
fn names(fleet: &Fleet) -> impl Iterator<Item = Name<'_>> {
    let data_centres = fleet.data_centres.iter().map(|d| d.name.as_str());
    let teams = fleet.teams.iter().map(|t| t.name.as_str());
    let services = fleet.services.iter().map(|s| s.name.as_str());
    let queues = fleet.queues.iter().map(|q| q.name.as_str());
    let upstreams = upstreams(fleet).map(|(path, upstream)| Name {
        kind: "upstream",
        path,
        name: &upstream.name,
    });
    names_in_list("data centre", "data_centres", data_centres)
        .chain(names_in_list("team", "teams", teams))
        .chain(names_in_list("service", "services", services))
        .chain(upstreams)
        .chain(names_in_list("queue", "queues", queues))
}

/// Returns the names of the records of one top-level list.
fn names_in_list<'f>(
    kind: &'static str,
    list: &'static str,
    names: impl Iterator<Item = &'f str>,
) -> impl Iterator<Item = Name<'f>> {
    names.enumerate().map(move |(i, name)| Name {
        kind,
        path: KeyPath::list_item(list, i),
        name,
    })
}

/// Returns all upstreams of a fleet with their paths.
fn upstreams(
    fleet: &Fleet,
) -> impl Iterator<Item = (KeyPath<'static>, &dotterelsill_proto::config::Upstream)> {
    fleet.services.iter().enumerate().flat_map(|(i, service)| {
        let path = KeyPath::list_item("services", i).key("upstreams");
        let with_path = move |(j, upstream)| (path.item(j), upstream);
        service.upstreams.iter().enumerate().map(with_path)
    })
}

/// Returns how a message describes a default value: `missing` if the text does not
/// contain its key, else `word`.
fn missing_or(index: &Index<'_>, path: &KeyPath<'_>, word: &'static str) -> &'static str {
    if index.contains(path) {
        word
    } else {
        "missing"
    }
}
