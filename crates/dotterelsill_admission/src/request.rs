//! Requests that wait, and what becomes of them.

use std::{
    sync::Arc,
    time::Instant, //
};

use crate::{
    RunningRequest,
    Team, //
};

/// Identifies a waiting request; requests that came earlier compare as less.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub(crate) u64);

/// A request that has to wait for a slot.
#[derive(Clone, Debug)]
pub struct Request<T> {
    /// Team whose key came with the request.
    pub team: Arc<Team>,
    /// Urgency of its queue; 0 goes first.
    pub urgency: u32,
    /// Instant at which the caller stops waiting.
    pub deadline: Instant,
    /// What the driver needs to start it.
    pub payload: T,
}

/// A request was added.
#[derive(Debug)]
pub struct Pushed<T> {
    /// Ticket of the request, for its cancellation.
    pub ticket: Ticket,
    /// Request of the same team that gave way and is refused as not run.
    pub evicted: Option<T>,
}

/// A waiting request got a slot.
#[derive(Debug)]
pub struct StartedRequest<T> {
    /// Slot that the request holds.
    pub running: RunningRequest,
    /// Ticket under which it waited.
    pub ticket: Ticket,
    /// Instant at which the caller stops waiting.
    pub deadline: Instant,
    /// What the driver needs to start it.
    pub payload: T,
}

/// A request as the queue keeps it.
#[derive(Debug)]
pub(crate) struct Waiting<T> {
    pub(crate) lane: usize,
    pub(crate) level: usize,
    /// Instant at which it was pushed and the number of requests before it, or
    /// `None` when it came back from an upstream.
    pub(crate) entered: Option<(Instant, usize)>,
    pub(crate) start_by: Instant,
    pub(crate) deadline: Instant,
    pub(crate) payload: T,
}
