//! Upstreams with the same address.

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
        for_display,
        KeyPath, //
    }, //
};

/// Returns a finding for each address that an earlier upstream already has.
///
/// Addresses are compared by value, not by spelling.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    let mut seen = HashMap::<SocketAddr, (KeyPath<'_>, &str)>::new();
    let mut findings = Vec::new();
    for (path, upstream) in upstreams(fleet) {
        let Ok(address) = upstream.address.parse::<SocketAddr>() else {
            continue;
        };
        let address = SocketAddr::new(address.ip().to_canonical(), address.port());
        let path = path.key("address");
        if let Some((first, name)) = seen.get(&address) {
            let line = index.position(first).line;
            let name = for_display(name);
            let problem =
                format!("the upstream `{name}` at line {line} already has the address {address}");
            let fix = "correct one of the two, or remove it";
            findings.push(Finding::error(
                "address-duplicate",
                index,
                &path,
                problem,
                fix,
            ));
        } else {
            seen.insert(address, (path, upstream.name.as_str()));
        }
    }
    findings
}
