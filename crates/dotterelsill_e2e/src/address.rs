//! Allocates loopback addresses for the listeners of tests.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::atomic::{
        AtomicU16,
        Ordering, //
    }, //
};

/// Next port to hand out. The first one lies below the ephemeral range, because a
/// socket bound to all addresses may hold an ephemeral port.
static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);

/// Returns a loopback address and port that this process has not used before.
///
/// Reusing a freed address would route calls meant for its previous listener to
/// the new one. The IP address is derived from the process identifier, so no
/// other process listens on it, and outgoing connections use 127.0.0.1 as their
/// source unless they are bound. The port therefore stays free until the caller
/// listens on it.
///
/// # Panics
///
/// Panics if all ports have been handed out.
pub fn new_address() -> SocketAddr {
    let [address] = new_addresses();
    address
}

/// Returns addresses as [`new_address`] does, with consecutive ports.
///
/// # Panics
///
/// Panics if all ports have been handed out.
pub fn new_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    // Linux has at most 2^22 processes, so this stays below 127.192.0.0.
    let base = Ipv4Addr::new(127, 128, 0, 0).to_bits();
    let ip = Ipv4Addr::from_bits(base | std::process::id());
    let count = u16::try_from(COUNT).expect("the number of addresses fits in 16 bits");
    let first = NEXT_PORT.fetch_add(count, Ordering::Relaxed);
    let end = first.checked_add(count);
    assert!(
        end.is_some_and(|end| end < u16::MAX),
        "all ports have been handed out"
    );
    let mut port = first;
    [(); COUNT].map(|()| {
        port += 1;
        SocketAddr::from((ip, port - 1))
    })
}
