//! Addresses for listeners of tests.

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

/// The next port; it begins below the ephemeral ports, which sockets bound to all
/// addresses may have.
static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);

/// Returns a loopback address with a port, which nobody has had before.
///
/// A freed address that is given to somebody else gets the calls of those who
/// still know the one before. No other process listens on the address of this
/// one, and outgoing connections have 127.0.0.1 as their source unless they are
/// bound, so nothing takes the port before it is listened on.
///
/// # Panics
///
/// Panics when all ports were given out.
pub fn new_address() -> SocketAddr {
    let [address] = new_addresses();
    address
}

/// Returns addresses like [`new_address`], with ports that follow each other.
///
/// # Panics
///
/// Panics when all ports were given out.
pub fn new_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    // Linux has at most 2^22 processes, so this stays below 127.192.0.0.
    let base = Ipv4Addr::new(127, 128, 0, 0).to_bits();
    let ip = Ipv4Addr::from_bits(base | std::process::id());
    let count = u16::try_from(COUNT).expect("few addresses are wanted");
    let first = NEXT_PORT.fetch_add(count, Ordering::Relaxed);
    let end = first.checked_add(count);
    assert!(end.is_some_and(|end| end < u16::MAX), "no port is left");
    let mut port = first;
    [(); COUNT].map(|()| {
        port += 1;
        SocketAddr::from((ip, port - 1))
    })
}
