//! gRPC client connection that reconnects after a failure.

use std::{
    future::Future,
    io,
    net::{
        SocketAddr,
        TcpStream, //
    },
    pin::Pin,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};

use async_io::Async;
use hyper::{
    body::Incoming,
    client::conn::http2::{
        Builder,
        SendRequest, //
    },
    Request,
    Response, //
};
use smol_hyper::rt::{
    FuturesIo,
    SmolTimer, //
};
use snafu::{
    ResultExt,
    Snafu, //
};
use tower_service::Service;

use crate::{
    timeout,
    Elapsed,
    Tasks, //
};

/// Interval of the HTTP/2 pings on a connection with calls in flight. They detect an
/// unresponsive connection earlier than the kernel does.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Default time without a response to a ping after which a connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// A gRPC call failed before a response arrived.
#[derive(Debug, Snafu)]
pub enum ChannelError {
    /// The connection could not be established; nothing was sent.
    #[snafu(display("connect to {address}: {source}"))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// The connection was not established within the timeout; nothing was sent.
    #[snafu(display("connect to {address}: {source}"))]
    ConnectTimeout {
        /// Address of the server.
        address: SocketAddr,
        /// Exceeded timeout.
        source: Elapsed,
    },
    /// The connection was lost; it is unknown whether the call took effect.
    #[snafu(display("call to {address}: {source}"))]
    Call {
        /// Address of the server.
        address: SocketAddr,
        /// Underlying error.
        source: hyper::Error,
    },
}

/// A client connection to one server; clones share it.
#[derive(Clone)]
pub struct Channel {
    address: SocketAddr,
    connect_timeout: Duration,
    ping_timeout: Duration,
    tasks: Tasks,
    // A mutex is fast enough: most requests need no call to a peer or to the store,
    // and it is only held while the sender is cloned or replaced.
    current: Arc<Mutex<Option<SendRequest<tonic::body::Body>>>>,
}

impl Channel {
    /// Creates a channel that connects when it is first called.
    pub fn new(address: SocketAddr, connect_timeout: Duration, tasks: &Tasks) -> Self {
        Self {
            address,
            connect_timeout,
            ping_timeout: PING_TIMEOUT,
            tasks: tasks.clone(),
            current: Arc::default(),
        }
    }

    /// Sets the time without a response to a ping after which a connection with
    /// calls in flight is closed. It applies to connections opened later.
    pub fn with_ping_timeout(self, ping_timeout: Duration) -> Self {
        Self {
            ping_timeout,
            ..self
        }
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn sender(&self) -> Result<SendRequest<tonic::body::Body>, ChannelError> {
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let address = self.address;
        let sender = timeout(self.connect_timeout, self.connect())
            .await
            .context(ConnectTimeoutSnafu { address })??;
        *self.lock() = Some(sender.clone());
        Ok(sender)
    }

    fn open_sender(&self) -> Option<SendRequest<tonic::body::Body>> {
        self.lock()
            .as_ref()
            .filter(|sender| !sender.is_closed())
            .cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<SendRequest<tonic::body::Body>>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connect(&self) -> Result<SendRequest<tonic::body::Body>, ChannelError> {
        let address = self.address;
        let stream = Async::<TcpStream>::connect(address)
            .await
            .context(ConnectSnafu { address })?;
        stream
            .get_ref()
            .set_nodelay(true)
            .context(ConnectSnafu { address })?;
        let (sender, connection) = Builder::new(self.tasks.clone())
            .timer(SmolTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(self.ping_timeout)
            .handshake(FuturesIo::new(stream))
            .await
            .context(CallSnafu { address })?;
        self.tasks.spawn_until_stop(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }
}

impl Service<Request<tonic::body::Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = ChannelError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, _context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<tonic::body::Body>) -> Self::Future {
        let channel = self.clone();
        Box::pin(async move {
            let address = channel.address;
            let mut sender = channel.sender().await?;
            sender
                .send_request(request)
                .await
                .context(CallSnafu { address })
        })
    }
}

/// Returns the origin URI of the calls to a server.
///
/// # Panics
///
/// Never panics: a socket address without the scope of an IPv6 address is a valid
/// authority.
pub fn origin(mut address: SocketAddr) -> http::Uri {
    if let SocketAddr::V6(address) = &mut address {
        address.set_scope_id(0);
    }
    http::Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query("/")
        .build()
        .expect("a socket address without a scope is a valid authority")
}
