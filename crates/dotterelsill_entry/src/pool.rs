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
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Which connection an attempt takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Wanted {
    /// An idle one if there is one.
    Idle,
    /// An idle one that was used within the last second, or a new one.
    RecentlyUsed,
    /// A new one.
    New,
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
pub(crate) struct Open {
    http: Http1Connection,
    counted: Arc<Connection>,
    last_used: Instant,
}

impl Open {
    /// Returns the place of the connection in the order of opening.
    pub(crate) fn counted(&self) -> &Arc<Connection> {
        &self.counted
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
        let counted = &self.counted;
        let answer = async { Some(self.http.exchange(request, ANSWER_LIMIT_BYTES).await) };
        let ended = async {
            Timer::at(deadline.min(run_end)).await;
            counted.mark_unresponsive();
            Timer::at(run_end).await;
            None
        };
        answer.or(ended).await
    }
}

/// Idle connections to one upstream.
pub(crate) struct Pool {
    address: SocketAddr,
    idle: (Sender<Open>, Receiver<Open>),
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
        wanted: Wanted,
        tasks: &Tasks,
    ) -> Result<Open, ExchangeError> {
        if wanted != Wanted::New {
            if let Some(open) = self.take_idle(wanted) {
                return Ok(open);
            }
        }
        let counted = match upstream.connections().try_open() {
            Some(counted) => counted,
            None => self.make_room(upstream)?,
        };
        let http = Http1Connection::connect(self.address, tasks)
            .await
            .map_err(ExchangeError::Http)?;
        Ok(Open {
            http,
            counted: Arc::new(counted),
            last_used: Instant::now(),
        })
    }

    /// Puts a connection back after a whole answer.
    pub(crate) fn put(&self, mut open: Open) {
        open.last_used = Instant::now();
        // The receiving end is part of the pool and open as long as it is.
        let _ = self.idle.0.try_send(open);
    }

    fn take_idle(&self, wanted: Wanted) -> Option<Open> {
        while let Ok(open) = self.idle.1.try_recv() {
            let is_recent = may_reuse_for_unrepeatable(open.last_used, Instant::now());
            let fits = wanted == Wanted::Idle || is_recent;
            if fits && open.http.is_ready() && open.counted.is_usable() {
                return Some(open);
            }
        }
        None
    }

    /// Closes an idle connection and counts a new one in its place.
    fn make_room(&self, upstream: &Upstream) -> Result<Connection, ExchangeError> {
        drop(self.idle.1.try_recv());
        upstream
            .connections()
            .try_open()
            .ok_or(ExchangeError::NoConnection)
    }
}
