//! Two upstreams with the same address.

use std::{
    collections::HashMap,
    net::SocketAddr, //
};

use dotterelsill_proto::config::Fleet;

use super::upstreams;
use crate::{
    finding::Finding,
    index::Index,
    place::{
        shown,
        Place, //
    },
};

/// Returns a finding for each address that an earlier upstream has. Spellings
/// of the same address are equal.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let mut seen = HashMap::<SocketAddr, (Place<'_>, &str)>::new();
    let mut findings = Vec::new();
    for (place, upstream) in upstreams(fleet) {
        let Ok(address) = upstream.address.parse::<SocketAddr>() else {
            continue;
        };
        let address = SocketAddr::new(address.ip().to_canonical(), address.port());
        let place = place.key("address");
        if let Some((first, name)) = seen.get(&address) {
            let line = index.position(first).line;
            let name = shown(name);
            let problem = format!("the upstream `{name}` at line {line} has the address {address}");
            let fix = "correct one of the two, or remove it";
            findings.push(Finding::error(
                "address-duplicate",
                index,
                &place,
                problem,
                fix,
            ));
        } else {
            seen.insert(address, (place, upstream.name.as_str()));
        }
    }
    findings
}
