//! Connections to upstreams and the exchange of one request.

use std::net::SocketAddr;

use async_channel::{
    Receiver,
    Sender, //
};
use bytes::Bytes;
use dotterelsill_rpc::{
    Http1Connection,
    Http1Error,
    Tasks, //
};
use http_body_util::Full;
use hyper::{
    Request,
    Response, //
};

/// Longest answer of an upstream, in bytes.
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// An upstream with its idle connections.
pub(crate) struct Upstream {
    pub(crate) name: String,
    pub(crate) data_centre: String,
    address: SocketAddr,
    slots: u32,
    idle: (Sender<Http1Connection>, Receiver<Http1Connection>),
}

impl Upstream {
    /// Creates an upstream without connections.
    pub(crate) fn new(
        upstream: &dotterelsill_proto::config::Upstream,
        address: SocketAddr,
    ) -> Self {
        Self {
            name: upstream.name.clone(),
            data_centre: upstream.data_centre.clone(),
            address,
            slots: upstream.slots,
            idle: async_channel::bounded(upstream.connections.max(1) as usize),
        }
    }

    /// Returns whether the upstream stands unchanged in a newer text.
    pub(crate) fn is_same(
        &self,
        upstream: &dotterelsill_proto::config::Upstream,
        address: SocketAddr,
    ) -> bool {
        self.name == upstream.name
            && self.data_centre == upstream.data_centre
            && self.address == address
            && self.slots == upstream.slots
    }

    /// Sends a request on an idle connection, or on a new one when there is none.
    ///
    /// A connection that was closed while idle is replaced once; the request
    /// has not left then.
    pub(crate) async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        tasks: &Tasks,
    ) -> Result<Response<Bytes>, Http1Error> {
        while let Ok(mut connection) = self.idle.1.try_recv() {
            if !connection.is_ready() {
                continue;
            }
            let result = connection
                .exchange(request.clone(), ANSWER_LIMIT_BYTES)
                .await;
            if !matches!(&result, Err(error) if error.is_unsent()) {
                return self.keep(connection, result);
            }
        }
        let mut connection = Http1Connection::connect(self.address, tasks).await?;
        let result = connection.exchange(request, ANSWER_LIMIT_BYTES).await;
        self.keep(connection, result)
    }

    fn keep(
        &self,
        connection: Http1Connection,
        result: Result<Response<Bytes>, Http1Error>,
    ) -> Result<Response<Bytes>, Http1Error> {
        if result.is_ok() {
            // A full pool closes the connection.
            let _ = self.idle.0.try_send(connection);
        }
        result
    }
}
