//! Connection to an entry instance.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use dotterelsill_proto::peer::operator_client::OperatorClient;
use dotterelsill_rpc::{
    Channel,
    Tasks, //
};
use tonic::codegen::http::Uri;

/// Longest time to connect to an entry instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Client of the operators' calls.
pub(crate) type Client = OperatorClient<Channel>;

/// Creates a client that connects with its first call.
pub(crate) fn connect(entry: SocketAddr, tasks: &Tasks) -> Client {
    let origin = Uri::builder()
        .scheme("http")
        .authority(entry.to_string())
        .path_and_query("/")
        .build()
        .expect("a socket address is a valid authority");
    OperatorClient::with_origin(Channel::new(entry, CONNECT_TIMEOUT, tasks), origin)
}
