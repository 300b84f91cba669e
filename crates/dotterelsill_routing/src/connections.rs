//! Limit on the connections to an upstream, and retirement of unresponsive
//! connections.

use std::{
    sync::{
        atomic::{
            AtomicU32,
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

/// Longest idle time after which a connection may still be reused for a request
/// that must not run twice.
pub const MAX_IDLE_FOR_UNREPEATABLE: Duration = Duration::from_secs(1);

/// Counts the open connections to one upstream. Shared by all threads.
#[derive(Debug)]
pub struct Connections {
    limit: AtomicU32,
    open: AtomicU32,
    next_generation: AtomicU64,
    /// Generation of the oldest connection that may take requests.
    oldest_usable: AtomicU64,
}

/// Guard of an open connection, which counts until the value is dropped.
#[derive(Debug)]
pub struct Connection {
    connections: Arc<Connections>,
    generation: u64,
}

impl Connections {
    /// Creates a count for an upstream that accepts up to `limit` connections.
    pub fn new(limit: u32) -> Self {
        Self {
            limit: AtomicU32::new(limit),
            open: AtomicU32::new(0),
            next_generation: AtomicU64::new(0),
            oldest_usable: AtomicU64::new(0),
        }
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Sets the number of connections that the upstream accepts.
    pub(crate) fn resize(&self, limit: u32) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Counts a new connection, or returns `None` if the limit is reached.
    ///
    /// Must be called before connecting, because the call assigns the
    /// generation.
    pub fn try_open(self: &Arc<Self>) -> Option<Connection> {
        let one_more = |open: u32| (open < self.limit.load(Ordering::Relaxed)).then_some(open + 1);
        self.open
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_more)
            .ok()?;
        Some(Connection {
            connections: Arc::clone(self),
            generation: self.next_generation.fetch_add(1, Ordering::Relaxed),
        })
    }
}

impl Connection {
    /// Returns the sequence number of this connection in the order of opening.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether the connection may take another request.
    ///
    /// A driver checks this before it takes the connection from its idle list,
    /// and drops the connection if it is not usable.
    pub fn is_usable(&self) -> bool {
        self.generation >= self.connections.oldest_usable.load(Ordering::Acquire)
    }

    /// Records that no answer came on this connection. It and all connections
    /// opened before it take no further requests.
    pub fn mark_unresponsive(&self) {
        self.connections
            .oldest_usable
            .fetch_max(self.generation + 1, Ordering::AcqRel);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns whether a request that must not run twice may use an idle connection
/// that was last used at `last_used`. If not, it needs a new connection.
pub fn may_reuse_for_unrepeatable(last_used: Instant, now: Instant) -> bool {
    now.saturating_duration_since(last_used) <= MAX_IDLE_FOR_UNREPEATABLE
}
