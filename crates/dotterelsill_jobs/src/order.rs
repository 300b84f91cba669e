//! Orders to workers and what workers list.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    TaskId,
    WorkerKey, //
};

/// What a worker is told to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Start a run.
    Start {
        /// Task.
        task: TaskId,
        /// Number of the start.
        attempt: u32,
        /// What the task runs.
        text: Arc<str>,
        /// Checkpoint to go on from; empty for none.
        checkpoint: String,
        /// The advisor's ticket; empty for none.
        ticket: Arc<str>,
    },
    /// Stop a run.
    Stop {
        /// Task.
        task: TaskId,
        /// Number of the start.
        attempt: u32,
    },
    /// Let a run work at a share.
    Pace {
        /// Task.
        task: TaskId,
        /// Number of the start.
        attempt: u32,
        /// Share, in percent.
        percent: u32,
    },
}

impl Order {
    /// Returns the task and the number of the start.
    pub fn run(&self) -> (TaskId, u32) {
        match self {
            Self::Start { task, attempt, .. }
            | Self::Stop { task, attempt }
            | Self::Pace { task, attempt, .. } => (*task, *attempt),
        }
    }
}

/// An order with the worker that it goes to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerOrder {
    /// Worker.
    pub worker: WorkerKey,
    /// Order.
    pub order: Order,
}

/// How a worker answered an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The order took effect.
    Done,
    /// The fencing token is lower than one that the worker has seen.
    Fenced,
    /// The run, or a higher one of the task, has ended there.
    Old,
    /// The end of the lease that came with the order has passed.
    Late,
    /// The worker has no room.
    NoRoom,
    /// The advisor's ticket does not hold.
    Ticket,
    /// The worker refuses as unhealthy, or cannot read the order.
    Unhealthy,
    /// Another worker answers at the address.
    OtherWorker,
}

/// A run that a worker lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedRun {
    /// Task.
    pub task: TaskId,
    /// Number of the start.
    pub attempt: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Share of the work that is done, or at which a lasting task is at work, in
    /// percent.
    pub percent: u32,
    /// Tail latency of a serving task, in milliseconds; for other tasks the
    /// processor time in use, in thousandths of a core.
    pub measure: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// The task or the worker failed.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
    Alone,
}

/// An end that a worker lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedEnd {
    /// Number of the end, from 1 in each life of the worker.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the start.
    pub attempt: u32,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// What a worker lists of its runs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerStatus {
    /// Time at which the request was sent.
    pub sent_at: Duration,
    /// Time at which the answer arrived.
    pub read_at: Duration,
    /// The worker's clock, in milliseconds.
    pub worker_ms: u64,
    /// Time of the worker's start, in milliseconds since the epoch; 0 if not said.
    pub started_unix_ms: u64,
    /// Runs.
    pub running: Vec<ListedRun>,
    /// Ends that were not acknowledged yet.
    pub ended: Vec<ListedEnd>,
}
