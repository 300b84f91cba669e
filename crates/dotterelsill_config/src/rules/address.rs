//! An address that is not an IP number with a port.

use std::net::SocketAddr;

use dotterelsill_proto::config::Fleet;

use super::{
    missing_or,
    upstreams, //
};
use crate::{
    finding::Finding,
    index::Index,
    place::shown, //
};

/// Returns a finding for each address that no connection can be made to.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    upstreams(fleet)
        .filter_map(|(place, upstream)| {
            let place = place.key("address");
            let address = upstream.address.as_str();
            let problem = if address.is_empty() {
                format!("the address is {}", missing_or(index, &place, "empty"))
            } else {
                fault(address)?
            };
            let fix = "write an IP number and a port, such as `10.1.0.7:8080` or `[fd00::7]:8080`";
            Some(Finding::error("address", index, &place, problem, fix))
        })
        .collect()
}

/// Returns what is wrong with an address.
fn fault(address: &str) -> Option<String> {
    let Ok(socket) = address.parse::<SocketAddr>() else {
        let address = shown(address);
        return Some(format!("`{address}` is not an IP number with a port"));
    };
    if socket.port() == 0 {
        return Some(format!("`{address}` has the port 0"));
    }
    let ip = socket.ip().to_canonical();
    let is_broadcast = ip == std::net::Ipv4Addr::BROADCAST;
    (ip.is_unspecified() || ip.is_multicast() || is_broadcast)
        .then(|| format!("`{address}` is not the address of one instance"))
}
