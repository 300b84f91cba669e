//! Connections to an upstream: their number and the dropping of silent ones.

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

/// Longest time since its last use after which a connection still takes work
/// that may not be repeated.
pub const MAX_IDLE_FOR_UNREPEATABLE: Duration = Duration::from_secs(1);

/// Open connections to one upstream, shared by all threads.
#[derive(Debug)]
pub struct Connections {
    most: AtomicU32,
    open: AtomicU32,
    next_generation: AtomicU64,
    oldest_usable: AtomicU64,
}

/// An open connection that is counted until the value is dropped.
#[derive(Debug)]
pub struct Connection {
    connections: Arc<Connections>,
    generation: u64,
}

impl Connections {
    /// Creates the count of an upstream that accepts `most` connections.
    pub fn new(most: u32) -> Self {
        Self {
            most: AtomicU32::new(most),
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
    pub(crate) fn resize(&self, most: u32) {
        self.most.store(most, Ordering::Relaxed);
    }

    /// Counts a new connection, or returns `None` when no more are accepted.
    ///
    /// The generation is taken here, so it has to be called before the
    /// connection is made.
    pub fn try_open(self: &Arc<Self>) -> Option<Connection> {
        let one_more = |open: u32| (open < self.most.load(Ordering::Relaxed)).then_some(open + 1);
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
    /// Returns the number of this connection in the order of opening.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether the connection may take another request.
    ///
    /// A driver asks before it takes the connection from its idle list, and
    /// drops the connection when the answer is `false`.
    pub fn is_usable(&self) -> bool {
        self.generation >= self.connections.oldest_usable.load(Ordering::Acquire)
    }

    /// Records that this connection got no answer: it and all connections
    /// opened before it take no further request.
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

/// Returns whether work that may not be repeated may take the idle connection
/// that was used last at `last_used`; otherwise it takes a new one.
pub fn may_reuse_for_unrepeatable(last_used: Instant, now: Instant) -> bool {
    now.saturating_duration_since(last_used) <= MAX_IDLE_FOR_UNREPEATABLE
}
