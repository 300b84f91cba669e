//! One HTTP/1 client connection that carries one request at a time.

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

/// An exchange failed.
#[derive(Debug, Snafu)]
pub enum Http1Error {
    /// The connection cannot be made; nothing was sent.
    #[snafu(display("connect to {address}: {source}"))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Reason.
        source: io::Error,
    },
    /// The connection was closed before the request was handed to it; nothing
    /// was sent.
    #[snafu(display("connection was closed while idle: {source}"))]
    ClosedWhileIdle {
        /// Reason.
        source: hyper::Error,
    },
    /// The connection broke after the first byte may have left.
    #[snafu(display("connection broke after the request may have left: {source}"))]
    ConnectionLost {
        /// Reason.
        source: hyper::Error,
    },
    /// The answer broke off before its end or is longer than the limit.
    #[snafu(display("answer is not whole: {reason}"))]
    IncompleteResponse {
        /// Reason.
        reason: String,
    },
}

impl Http1Error {
    /// Returns whether it is certain that no byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::ClosedWhileIdle { .. })
    }
}

/// A client connection that carries one request at a time.
///
/// Dropping the value closes the connection, so that an answer that arrives
/// late is never taken for the answer to a later request.
pub struct Http1Connection {
    sender: SendRequest<Full<Bytes>>,
}

impl Http1Connection {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Returns [`Http1Error::Connect`] when no connection can be made.
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

    /// Returns whether the connection can carry another request.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the server keeps the connection open after an answer.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and reads the whole answer, up to a length in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection breaks or the answer is not whole;
    /// [`Http1Error::is_unsent`] tells whether the request may have left.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        answer_limit_bytes: usize,
    ) -> Result<Response<Bytes>, Http1Error> {
        self.sender.ready().await.context(ClosedWhileIdleSnafu)?;
        let answer = match self.sender.try_send_request(request).await {
            Ok(answer) => answer,
            // The request comes back only when no byte of it was written.
            Err(mut error) => {
                // The request comes back only when no byte of it was written.
                let is_unsent = error.take_message().is_some();
                let error = error.into_error();
                return if is_unsent {
                    Err(error).context(ClosedWhileIdleSnafu)
                } else {
                    Err(error).context(ConnectionLostSnafu)
                };
            }
        };
        let (head, body) = answer.into_parts();
        match Limited::new(body, answer_limit_bytes).collect().await {
            Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
            Err(error) if error.is::<LengthLimitError>() => IncompleteResponseSnafu {
                reason: format!("longer than {answer_limit_bytes} bytes"),
            }
            .fail(),
            Err(error) => IncompleteResponseSnafu {
                reason: error.to_string(),
            }
            .fail(),
        }
    }
}
