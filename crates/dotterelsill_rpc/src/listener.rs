//! Servers for HTTP/1 and gRPC.

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

/// Time within which a caller must have sent the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// An address cannot be listened on.
#[derive(Debug, Snafu)]
pub enum ListenError {
    /// The setting is not an IP number with a port.
    #[snafu(display("{address:?} is not a socket address; write it as 127.0.0.1:8080"))]
    Address {
        /// Text of the setting.
        address: String,
        /// Reason.
        source: std::net::AddrParseError,
    },
    /// The socket cannot be bound.
    #[snafu(display("listen on {address}: {source}; choose a free port"))]
    Bind {
        /// Address.
        address: SocketAddr,
        /// Reason.
        source: io::Error,
    },
}

/// A bound TCP socket.
pub struct Listener {
    socket: Async<TcpListener>,
    address: SocketAddr,
}

impl Listener {
    /// Binds a socket address given as text; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is no socket address or cannot be bound.
    pub fn bind(address: &str) -> Result<Self, ListenError> {
        let address: SocketAddr = address.parse().context(AddressSnafu { address })?;
        let socket = Async::<TcpListener>::bind(address).context(BindSnafu { address })?;
        let address = socket
            .get_ref()
            .local_addr()
            .context(BindSnafu { address })?;
        Ok(Self { socket, address })
    }

    /// Returns the bound address.
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
                    async_io::Timer::after(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// Serves HTTP/1 until the group stops, then lets requests in flight finish.
pub async fn serve_http1<H, F>(listener: Listener, tasks: Tasks, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    accept_until_stop(&listener, &tasks, |stream| {
        let handler = handler.clone();
        let stopping = tasks.clone();
        async move {
            let service = service_fn(move |request| {
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let connection = std::pin::pin!(http1::Builder::new()
                .timer(SmolTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .serve_connection(FuturesIo::new(stream), service));
            until_stop(connection, &stopping, |connection| {
                connection.graceful_shutdown();
            })
            .await;
        }
    })
    .await;
}

/// Serves gRPC until the group stops, then lets calls in flight finish.
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
        let stopping = tasks.clone();
        async move {
            let connection = std::pin::pin!(http2::Builder::new(stopping.clone())
                .timer(SmolTimer::new())
                .serve_connection(FuturesIo::new(stream), service));
            until_stop(connection, &stopping, |connection| {
                connection.graceful_shutdown();
            })
            .await;
        }
    })
    .await;
}

/// Drives a connection to its end; when the group stops, lets it finish what is
/// in flight.
async fn until_stop<C: Future>(
    mut connection: Pin<&mut C>,
    stopping: &Tasks,
    shut_down: impl FnOnce(Pin<&mut C>),
) {
    let ended = async {
        // A broken connection has ended as well.
        let _ = connection.as_mut().await;
        true
    };
    let stopped = async {
        stopping.stopped().await;
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
