//! Pool of HTTP/1 connections to one upstream.

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

/// Maximum size of an upstream's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Which idle connections an attempt may reuse.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReusePolicy {
    /// Any idle connection.
    AnyIdle,
    /// An idle connection that was used within the last second.
    RecentlyUsed,
    /// None; the attempt opens a new connection.
    Never,
}

/// Why an attempt got no answer.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// The upstream's maximum number of connections is in use; nothing was sent.
    NoConnection,
    /// The connection or the exchange failed.
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

/// An open connection with the guard that counts it for its upstream.
pub(crate) struct OpenConnection {
    http: Http1Connection,
    guard: Arc<Connection>,
    last_used: Instant,
}

impl OpenConnection {
    /// Returns the guard that counts the connection for its upstream.
    pub(crate) fn guard(&self) -> &Arc<Connection> {
        &self.guard
    }

    /// Sends a request and reads the whole answer; `None` if there is none by
    /// `run_end`, the end of the maximum run time.
    ///
    /// At the caller's deadline this connection and all opened before it are marked
    /// as unresponsive, so that no later request waits on one of them.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        run_end: Instant,
    ) -> Option<Result<Response<Bytes>, Http1Error>> {
        let guard = &self.guard;
        let answer = async { Some(self.http.exchange(request, MAX_ANSWER_BYTES).await) };
        let ended = async {
            Timer::at(deadline.min(run_end)).await;
            guard.mark_unresponsive();
            Timer::at(run_end).await;
            None
        };
        answer.or(ended).await
    }
}

/// Idle connections to one upstream, least recently used first.
pub(crate) struct Pool {
    address: SocketAddr,
    idle: (Sender<OpenConnection>, Receiver<OpenConnection>),
}

impl Pool {
    /// Creates a pool without connections.
    pub(crate) fn new(address: SocketAddr) -> Self {
        // The channel is unbounded, but the upstream limits the number of
        // connections.
        Self {
            address,
            idle: async_channel::unbounded(),
        }
    }

    /// Returns the address of the upstream.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection that may be reused, or opens a new one.
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
        let guard = match upstream.connections().try_open() {
            Some(guard) => guard,
            None => self.replace_idle(upstream)?,
        };
        let http = Http1Connection::connect(self.address, tasks)
            .await
            .map_err(ExchangeError::Http)?;
        Ok(OpenConnection {
            http,
            guard: Arc::new(guard),
            last_used: Instant::now(),
        })
    }

    /// Returns a connection to the pool after a complete exchange.
    pub(crate) fn put(&self, mut connection: OpenConnection) {
        connection.last_used = Instant::now();
        // This cannot fail: the pool also holds the receiving end.
        let _ = self.idle.0.try_send(connection);
    }

    /// Takes an idle connection; those that cannot be reused are closed.
    fn take_idle(&self, reuse: ReusePolicy) -> Option<OpenConnection> {
        while let Ok(connection) = self.idle.1.try_recv() {
            let is_recent = may_reuse_for_unrepeatable(connection.last_used, Instant::now());
            let fits = reuse == ReusePolicy::AnyIdle || is_recent;
            if fits && connection.http.is_ready() && connection.guard.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Closes an idle connection to make room for a new one.
    fn replace_idle(&self, upstream: &Upstream) -> Result<Connection, ExchangeError> {
        drop(self.idle.1.try_recv());
        upstream
            .connections()
            .try_open()
            .ok_or(ExchangeError::NoConnection)
    }
}
