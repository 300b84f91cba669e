//! HTTP/1 and gRPC servers.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    pin::Pin,
    time::Duration, //
};

use async_io::Async;
use bytes::Bytes;
use futures_lite::FutureExt as _;
use http_body_util::Full;
use hyper::{
    body::Incoming,
    server::conn::{
        http1,
        http2, //
    },
    service::service_fn,
    Request,
    Response, //
};
use hyper_util::service::TowerToHyperService;
use smol_hyper::rt::{
    FuturesIo,
    SmolTimer, //
};
use snafu::{
    ResultExt,
    Snafu, //
};
use tower_service::Service;

use crate::Tasks;

/// Time within which a caller must send the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay before a failed accept is retried, for example when no file descriptor is
/// free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A listener cannot be created.
#[derive(Debug, Snafu)]
pub enum ListenError {
    /// The text is not an IP address with a port.
    #[snafu(display("{address:?} is not a socket address; write it as 127.0.0.1:8080"))]
    Address {
        /// Text that was given as the address.
        address: String,
        /// Parse error.
        source: std::net::AddrParseError,
    },
    /// The socket cannot be bound.
    #[snafu(display("listen on {address}: {source}; choose a free port"))]
    Bind {
        /// Address to bind.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
}

/// A TCP socket that listens on an address.
pub struct Listener {
    socket: Async<TcpListener>,
    address: SocketAddr,
}

impl Listener {
    /// Listens on a socket address given as text, such as `127.0.0.1:8080`; port 0
    /// selects any free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a socket address or the address cannot be
    /// bound.
    pub fn bind(address: &str) -> Result<Self, ListenError> {
        let address: SocketAddr = address.parse().context(AddressSnafu { address })?;
        let socket = Async::<TcpListener>::bind(address).context(BindSnafu { address })?;
        let address = socket
            .get_ref()
            .local_addr()
            .context(BindSnafu { address })?;
        Ok(Self { socket, address })
    }

    /// Returns the bound address, with the port that was selected.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn accept(&self) -> Async<TcpStream> {
        loop {
            match self.socket.accept().await {
                Ok((stream, _)) if stream.get_ref().set_nodelay(true).is_ok() => return stream,
                // The peer closed the connection before it was accepted.
                Ok(_) => {}
                Err(error) => {
                    log::warn!(address:% = self.address, error:%; "accept_failed");
                    async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Serves HTTP/1 until the task group stops. Requests in flight finish in tasks of the
/// group.
pub async fn serve_http1<H, F>(listener: Listener, tasks: Tasks, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    accept_until_stop(&listener, &tasks, |stream| {
        let handler = handler.clone();
        let group = tasks.clone();
        async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = std::pin::pin!(http1::Builder::new()
                .timer(SmolTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .serve_connection(FuturesIo::new(stream), service));
            until_stop(connection, &group, |connection| {
                connection.graceful_shutdown();
            })
            .await;
        }
    })
    .await;
}

/// Serves gRPC until the task group stops. Calls in flight finish in tasks of the
/// group.
pub async fn serve_grpc<S>(listener: Listener, tasks: Tasks, service: S)
where
    S: Service<Request<Incoming>, Response = Response<tonic::body::Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    accept_until_stop(&listener, &tasks, |stream| {
        let service = TowerToHyperService::new(service.clone());
        let group = tasks.clone();
        async move {
            let connection = std::pin::pin!(http2::Builder::new(group.clone())
                .timer(SmolTimer::new())
                .serve_connection(FuturesIo::new(stream), service));
            until_stop(connection, &group, |connection| {
                connection.graceful_shutdown();
            })
            .await;
        }
    })
    .await;
}

/// Runs a connection until it ends. When the task group stops, shuts it down
/// gracefully: requests in flight finish first.
async fn until_stop<C: Future>(
    mut connection: Pin<&mut C>,
    group: &Tasks,
    shut_down: impl FnOnce(Pin<&mut C>),
) {
    let ended = async {
        // A connection that fails has ended, too.
        let _ = connection.as_mut().await;
        true
    };
    let stopped = async {
        group.stopped().await;
        false
    };
    if !ended.or(stopped).await {
        shut_down(connection.as_mut());
        let _ = connection.await;
    }
}

async fn accept_until_stop<F>(
    listener: &Listener,
    tasks: &Tasks,
    serve: impl Fn(Async<TcpStream>) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            tasks.stopped().await;
            None
        };
        match accepted.or(stopped).await {
            Some(stream) => tasks.spawn(serve(stream)),
            None => return,
        }
    }
}
