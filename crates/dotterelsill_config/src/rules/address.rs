//! Addresses that are not an IP address with a port.

use std::net::SocketAddr;

use dotterelsill_proto::config::Fleet;

use super::{
    missing_or,
    upstreams, //
};
use crate::{
    finding::Finding,
    index::Index,
    place::for_display, //
};

/// Returns a finding for each upstream address that cannot be connected to.
pub(crate) fn check(fleet: &Fleet, index: &Index<'_>) -> Vec<Finding> {
    upstreams(fleet)
        .filter_map(|(path, upstream)| {
            let path = path.key("address");
            let address = upstream.address.as_str();
            let problem = if address.is_empty() {
                format!("the address is {}", missing_or(index, &path, "empty"))
            } else {
                problem_of(address)?
            };
            let fix = "write an IP address and a port, such as `10.1.0.7:8080` or `[fd00::7]:8080`";
            Some(Finding::error("address", index, &path, problem, fix))
        })
        .collect()
}

/// Returns the problem of an address, or `None` if it is valid.
fn problem_of(address: &str) -> Option<String> {
    let Ok(socket) = address.parse::<SocketAddr>() else {
        let address = for_display(address);
        return Some(format!("`{address}` is not an IP address with a port"));
    };
    if socket.port() == 0 {
        return Some(format!("`{address}` has port 0"));
    }
    let ip = socket.ip().to_canonical();
    let is_broadcast = ip == std::net::Ipv4Addr::BROADCAST;
    (ip.is_unspecified() || ip.is_multicast() || is_broadcast)
        .then(|| format!("`{address}` is not a unicast address"))
}
