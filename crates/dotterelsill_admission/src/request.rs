//! Requests that are queued, and the results of queue operations.

use std::{
    sync::Arc,
    time::Instant, //
};

use crate::{
    RunningRequest,
    Team, //
};

/// Identifies a waiting request. Tickets of earlier requests compare as less.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub(crate) u64);

/// A request to be queued until a slot is free.
#[derive(Clone, Debug)]
pub struct Request<T> {
    /// Team to which the API key of the request belongs.
    pub team: Arc<Team>,
    /// Urgency of the queue that the caller addressed; 0 is the most urgent.
    pub urgency: u32,
    /// Instant at which the caller stops waiting.
    pub deadline: Instant,
    /// Data of the driver, returned when the request starts or is refused.
    pub payload: T,
}

/// Result of adding a request to the queue.
#[derive(Debug)]
pub struct Pushed<T> {
    /// Ticket with which the request can be cancelled.
    pub ticket: Ticket,
    /// Payload of a request of the same team that was evicted to make room. The
    /// driver refuses it as not run.
    pub evicted: Option<T>,
}

/// A request that was waiting and has been given a slot.
#[derive(Debug)]
pub struct StartedRequest<T> {
    /// The slot that the request holds.
    pub running: RunningRequest,
    /// Ticket under which the request waited.
    pub ticket: Ticket,
    /// Instant at which the caller stops waiting.
    pub deadline: Instant,
    /// Data of the driver from [`Request::payload`].
    pub payload: T,
}

/// State of a waiting request.
#[derive(Debug)]
pub(crate) struct WaitingRequest<T> {
    /// Index of the team queue.
    pub(crate) queue_index: usize,
    /// Urgency level, see [`level_of`](crate::team::level_of).
    pub(crate) level: usize,
    /// Instant of the push and the number of requests ahead at that time, or
    /// `None` if the request was requeued after an upstream refused it.
    pub(crate) pushed: Option<(Instant, usize)>,
    /// Latest instant at which the request may start.
    pub(crate) start_by: Instant,
    pub(crate) deadline: Instant,
    pub(crate) payload: T,
}
