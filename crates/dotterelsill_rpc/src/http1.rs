//! HTTP/1 client connections, each with one request at a time.

use std::{
    io,
    net::{
        SocketAddr,
        TcpStream, //
    }, //
};

use async_io::Async;
use bytes::Bytes;
use http_body_util::{
    BodyExt as _,
    Full,
    LengthLimitError,
    Limited, //
};
use hyper::{
    client::conn::http1::{
        handshake,
        SendRequest, //
    },
    Request,
    Response, //
};
use smol_hyper::rt::FuturesIo;
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::Tasks;

/// An HTTP exchange failed.
#[derive(Debug, Snafu)]
pub enum Http1Error {
    /// The connection could not be established; nothing was sent.
    #[snafu(display("connect to {address}: {source}"))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// The connection was closed before the request was written to it; nothing
    /// was sent.
    #[snafu(display("connection was closed while idle: {source}"))]
    ClosedWhileIdle {
        /// Underlying error.
        source: hyper::Error,
    },
    /// The connection was lost after part of the request may have been sent.
    #[snafu(display("connection was lost after the request may have been sent: {source}"))]
    ConnectionLost {
        /// Underlying error.
        source: hyper::Error,
    },
    /// The response ended early or exceeds the size limit.
    #[snafu(display("incomplete response: {reason}"))]
    IncompleteResponse {
        /// What is wrong with the response.
        reason: String,
    },
}

impl Http1Error {
    /// Returns whether certainly no byte of the request was sent, so that it can be
    /// sent again.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::ClosedWhileIdle { .. })
    }
}

/// A client connection that carries one request at a time.
///
/// Dropping it closes the connection, so that a late response is never taken for the
/// response to a later request.
pub struct Http1Connection {
    sender: SendRequest<Full<Bytes>>,
}

impl Http1Connection {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Returns [`Http1Error::Connect`] if the connection cannot be established.
    pub async fn connect(address: SocketAddr, tasks: &Tasks) -> Result<Self, Http1Error> {
        let stream = Async::<TcpStream>::connect(address)
            .await
            .context(ConnectSnafu { address })?;
        stream
            .get_ref()
            .set_nodelay(true)
            .context(ConnectSnafu { address })?;
        let (sender, connection) = handshake(FuturesIo::new(stream))
            .await
            .context(ClosedWhileIdleSnafu)?;
        tasks.spawn_until_stop(async move {
            let _ = connection.await;
        });
        Ok(Self { sender })
    }

    /// Returns whether the connection can take another request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection is still open, so that it can be reused after
    /// a response.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and reads the whole response, whose body may have at most
    /// `max_response_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is lost or the response is incomplete;
    /// [`Http1Error::is_unsent`] tells whether the request may have been sent.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_response_bytes: usize,
    ) -> Result<Response<Bytes>, Http1Error> {
        self.sender.ready().await.context(ClosedWhileIdleSnafu)?;
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                // The request is returned only if no byte of it was written.
                let is_unsent = error.take_message().is_some();
                let error = error.into_error();
                return if is_unsent {
                    Err(error).context(ClosedWhileIdleSnafu)
                } else {
                    Err(error).context(ConnectionLostSnafu)
                };
            }
        };
        let (head, body) = response.into_parts();
        match Limited::new(body, max_response_bytes).collect().await {
            Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
            Err(error) if error.is::<LengthLimitError>() => IncompleteResponseSnafu {
                reason: format!("longer than {max_response_bytes} bytes"),
            }
            .fail(),
            Err(error) => IncompleteResponseSnafu {
                reason: error.to_string(),
            }
            .fail(),
        }
    }
}
