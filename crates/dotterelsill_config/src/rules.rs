//! Rules of the check, one per file.

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
    place::Place, //
};

/// A rule: returns what is wrong with a fleet.
type Rule = fn(&Fleet, &Index<'_>) -> Vec<Finding>;

/// Rules on a fleet that could be read.
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

/// The name of a record.
struct Name<'f> {
    /// What the name is of, such as `team`.
    kind: &'static str,
    /// The record.
    place: Place<'static>,
    /// The name.
    name: &'f str,
}

/// Returns the names of all records of a fleet.
fn names(fleet: &Fleet) -> impl Iterator<Item = Name<'_>> {
    let data_centres = fleet.data_centres.iter().map(|d| d.name.as_str());
    let teams = fleet.teams.iter().map(|t| t.name.as_str());
    let services = fleet.services.iter().map(|s| s.name.as_str());
    let queues = fleet.queues.iter().map(|q| q.name.as_str());
    let upstreams = upstreams(fleet).map(|(place, upstream)| Name {
        kind: "upstream",
        place,
        name: &upstream.name,
    });
    names_of("data centre", "data_centres", data_centres)
        .chain(names_of("team", "teams", teams))
        .chain(names_of("service", "services", services))
        .chain(upstreams)
        .chain(names_of("queue", "queues", queues))
}

/// Returns the names of one list of records.
fn names_of<'f>(
    kind: &'static str,
    list: &'static str,
    names: impl Iterator<Item = &'f str>,
) -> impl Iterator<Item = Name<'f>> {
    names.enumerate().map(move |(i, name)| Name {
        kind,
        place: Place::item_of(list, i),
        name,
    })
}

/// Returns all upstreams of a fleet with their places.
fn upstreams(
    fleet: &Fleet,
) -> impl Iterator<Item = (Place<'static>, &dotterelsill_proto::config::Upstream)> {
    fleet.services.iter().enumerate().flat_map(|(i, service)| {
        let place = Place::item_of("services", i).key("upstreams");
        let item = move |(j, upstream)| (place.item(j), upstream);
        service.upstreams.iter().enumerate().map(item)
    })
}

/// Returns the word for a value that is at its default: `missing` when the text
/// does not hold its key, else the word given.
fn missing_or(index: &Index<'_>, place: &Place<'_>, word: &'static str) -> &'static str {
    if index.has(place) {
        word
    } else {
        "missing"
    }
}
