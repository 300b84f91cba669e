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
    sync::Arc,
    time::Duration, //
};

use async_io::Async;
use bytes::Bytes;
use futures_lite::{
    AsyncWriteExt as _,
    FutureExt as _, //
};
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

/// Maximum size of the head of a request where no other is set, in bytes.
const DEFAULT_HEAD_BYTES: usize = 408 * 1024;

/// Delay before a failed accept is retried, for example when no file descriptor is
/// free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Smallest buffer of a connection, which `hyper` requires, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Time within which a peer must take the answer that its connection is refused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);

/// Answer on a connection above the limit.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Limits of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of connections at a time. Further ones are answered with status
    /// 503 and closed.
    pub connections: usize,
    /// Maximum size of the head of a request, in bytes. A longer one is answered with
    /// status 431, and the connection is closed.
    pub head_bytes: usize,
}

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

/// Serves HTTP/1 until the task group stops, with any number of connections. Requests in
/// flight finish in tasks of the group.
pub async fn serve_http1<H, F>(listener: Listener, tasks: Tasks, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let limits = || ConnectionLimits {
        connections: usize::MAX,
        head_bytes: DEFAULT_HEAD_BYTES,
    };
    serve_http1_within(listener, tasks, limits, handler).await;
}

/// Serves HTTP/1 until the task group stops. Requests in flight finish in tasks of the
/// group. The limits are asked for at each new connection.
pub async fn serve_http1_within<H, F>(
    listener: Listener,
    tasks: Tasks,
    limits: impl Fn() -> ConnectionLimits,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let open = Arc::new(());
    accept_until_stop(&listener, &tasks, |stream| {
        let handler = handler.clone();
        let group = tasks.clone();
        let limits = limits();
        let has_room = Arc::strong_count(&open) <= limits.connections;
        let opened = has_room.then(|| open.clone());
        async move {
            let Some(_opened) = opened else {
                refuse(stream).await;
                return;
            };
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = std::pin::pin!(http1::Builder::new()
                .timer(SmolTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
                .serve_connection(FuturesIo::new(stream), service));
            until_stop(connection, &group, |connection| {
                connection.graceful_shutdown();
            })
            .await;
        }
    })
    .await;
}

/// Tells a peer that its connection is refused.
async fn refuse(mut stream: Async<TcpStream>) {
    let answered = async {
        // A peer that does not read the answer sees the connection closed.
        let _ = stream.write_all(REFUSAL).await;
        let _ = stream.close().await;
    };
    let timed_out = async {
        async_io::Timer::after(REFUSAL_TIMEOUT).await;
    };
    answered.or(timed_out).await;
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
