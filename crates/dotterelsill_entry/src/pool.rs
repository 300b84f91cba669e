//! Connections to one upstream.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Instant, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use async_io::Timer;
use bytes::Bytes;
use dotterelsill_routing::{
    may_reuse_for_unrepeatable,
    Connection,
    Upstream, //
};
use dotterelsill_rpc::{
    Http1Connection,
    Http1Error,
    Tasks, //
};
use futures_lite::FutureExt as _;
use http_body_util::Full;
use hyper::{
    Request,
    Response, //
};

/// Longest answer of an upstream, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Which connection an attempt takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReusePolicy {
    /// An idle one if there is one.
    AnyIdle,
    /// An idle one that was used within the last second, or a new one.
    RecentlyUsed,
    /// A new one.
    Never,
}

/// Why an attempt has no answer.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// All connections that the upstream accepts are open; nothing was sent.
    NoConnection,
    /// The exchange failed.
    Http(Http1Error),
}

impl std::fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoConnection => f.write_str("all of its connections are in use"),
            Self::Http(error) => error.fmt(f),
        }
    }
}

/// An open connection, with its place in the order of opening.
pub(crate) struct OpenConnection {
    http: Http1Connection,
    tracked: Arc<Connection>,
    last_used: Instant,
}

impl OpenConnection {
    /// Returns the place of the connection in the order of opening.
    pub(crate) fn tracked(&self) -> &Arc<Connection> {
        &self.tracked
    }

    /// Sends a request and reads the whole answer; `None` when the work must
    /// have ended before.
    ///
    /// At the caller's deadline this connection and all opened before it count
    /// as silent, so that no later request waits on one of them.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        run_end: Instant,
    ) -> Option<Result<Response<Bytes>, Http1Error>> {
        let tracked = &self.tracked;
        let answer = async { Some(self.http.exchange(request, MAX_ANSWER_BYTES).await) };
        let ended = async {
            Timer::at(deadline.min(run_end)).await;
            tracked.mark_unresponsive();
            Timer::at(run_end).await;
            None
        };
        answer.or(ended).await
    }
}

/// Idle connections to one upstream.
pub(crate) struct Pool {
    address: SocketAddr,
    idle: (Sender<OpenConnection>, Receiver<OpenConnection>),
}

impl Pool {
    /// Creates a pool without connections.
    pub(crate) fn new(address: SocketAddr) -> Self {
        // The number of connections is bounded by the upstream's count.
        Self {
            address,
            idle: async_channel::unbounded(),
        }
    }

    /// Returns the address of the upstream.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection or opens a new one.
    pub(crate) async fn take(
        &self,
        upstream: &Upstream,
        reuse: ReusePolicy,
        tasks: &Tasks,
    ) -> Result<OpenConnection, ExchangeError> {
        if reuse != ReusePolicy::Never {
            if let Some(connection) = self.take_idle(reuse) {
                return Ok(connection);
            }
        }
        let tracked = match upstream.connections().try_open() {
            Some(tracked) => tracked,
            None => self.replace_idle(upstream)?,
        };
        let http = Http1Connection::connect(self.address, tasks)
            .await
            .map_err(ExchangeError::Http)?;
        Ok(OpenConnection {
            http,
            tracked: Arc::new(tracked),
            last_used: Instant::now(),
        })
    }

    /// Puts a connection back after a whole answer.
    pub(crate) fn put(&self, mut connection: OpenConnection) {
        connection.last_used = Instant::now();
        // The receiving end is part of the pool and open as long as it is.
        let _ = self.idle.0.try_send(connection);
    }

    fn take_idle(&self, reuse: ReusePolicy) -> Option<OpenConnection> {
        while let Ok(connection) = self.idle.1.try_recv() {
            let is_recent = may_reuse_for_unrepeatable(connection.last_used, Instant::now());
            let fits = reuse == ReusePolicy::AnyIdle || is_recent;
            if fits && connection.http.is_ready() && connection.tracked.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Closes an idle connection and counts a new one in its place.
    fn replace_idle(&self, upstream: &Upstream) -> Result<Connection, ExchangeError> {
        drop(self.idle.1.try_recv());
        upstream
            .connections()
            .try_open()
            .ok_or(ExchangeError::NoConnection)
    }
}
