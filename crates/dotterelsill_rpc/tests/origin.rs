//! Origins of the calls to servers.

use std::net::SocketAddr;

/// Guards against a process that ends because the store names a peer by an address with a
/// scope, which no URI may have.
#[test]
fn address_with_a_scope_has_an_origin() {
    for (address, origin) in [
        ("127.0.0.1:80", "http://127.0.0.1:80/"),
        ("[::1]:80", "http://[::1]:80/"),
        ("[fe80::1%3]:80", "http://[fe80::1]:80/"),
    ] {
        let address: SocketAddr = address.parse().expect("the text is an address");
        assert_eq!(dotterelsill_rpc::origin(address).to_string(), origin);
    }
}
