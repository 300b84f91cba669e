//! Orders to workers, and the status that workers report.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    TaskId,
    WorkerKey, //
};

/// An order to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Start a run.
    Start {
        /// Task to run.
        task: TaskId,
        /// Attempt number of the run.
        attempt: u64,
        /// Description of the work, passed on unchanged.
        text: Arc<str>,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
        /// Ticket from the advisor; empty for none.
        ticket: Arc<str>,
    },
    /// Stop a run.
    Stop {
        /// Task of the run.
        task: TaskId,
        /// Attempt number of the run.
        attempt: u64,
    },
    /// Limit the share of its work that a filler task may do.
    Pace {
        /// Task of the run.
        task: TaskId,
        /// Attempt number of the run.
        attempt: u64,
        /// Share in percent; 0 pauses the task.
        percent: u32,
    },
}

impl Order {
    /// Returns the task and the attempt number of the run.
    pub fn run(&self) -> (TaskId, u64) {
        match self {
            Self::Start { task, attempt, .. }
            | Self::Stop { task, attempt }
            | Self::Pace { task, attempt, .. } => (*task, *attempt),
        }
    }
}

/// An order with its destination.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerOrder {
    /// Worker to send the order to.
    pub worker: WorkerKey,
    /// The order.
    pub order: Order,
}

/// Which process of a worker may get an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recipient {
    /// Whichever process answers at the worker's address.
    AnyLife,
    /// One life of the worker alone.
    Life {
        /// Start time, in milliseconds since the Unix epoch.
        started_unix_ms: u64,
    },
}

/// What goes with the order to start a run, besides what the order says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartTerms {
    /// End of the worker's lease, on the worker's clock, in milliseconds.
    pub lease_end_ms: u64,
    /// Which process may get the order.
    pub recipient: Recipient,
}

/// A worker's response to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The order took effect.
    Done,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run, or a later attempt of the task, has already ended on the worker.
    Old,
    /// The lease that came with the order has already ended.
    Late,
    /// The worker does not have enough free resources.
    NoRoom,
    /// The advisor's ticket is not valid.
    Ticket,
    /// The worker refuses because it is unhealthy, or it could not parse the order.
    Unhealthy,
    /// The response does not tell whether the order takes effect: it is none of the
    /// worker's own, such as the error of a proxy.
    Unclear,
    /// Another worker is listening at the address.
    OtherWorker,
}

/// An active run in a worker's status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedRun {
    /// Task of the run.
    pub task: TaskId,
    /// Attempt number of the run.
    pub attempt: u64,
    /// Latest checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent; for a long-running task, how far it is ready, with 100
    /// for fully available.
    pub percent: u32,
    /// Tail latency in milliseconds for a serving task; for other tasks the
    /// processor time in use, in millicores.
    pub measure: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// The task or the worker failed.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The worker's lease ended.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The run timed out waiting for the other members of its gang.
    Alone,
}

/// An ended run in a worker's status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedEnd {
    /// Sequence number of the end, from 1 in each incarnation of the worker.
    pub number: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Attempt number of the run.
    pub attempt: u64,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Latest checkpoint; empty for none.
    pub checkpoint: String,
}

/// Status of a worker: its clock, its active runs and its unacknowledged ends.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerStatus {
    /// Time at which the request was sent.
    pub sent_at: Duration,
    /// Time at which the response arrived.
    pub read_at: Duration,
    /// Reading of the worker's clock, in milliseconds.
    pub worker_ms: u64,
    /// Start time of the worker, in milliseconds since the Unix epoch; 0 if not
    /// reported.
    pub started_unix_ms: u64,
    /// Active runs.
    pub running: Vec<ListedRun>,
    /// Ended runs that were not acknowledged yet.
    pub ended: Vec<ListedEnd>,
    /// Whether a row of either list could not be read, so that a run may be missing from
    /// both.
    pub has_unreadable_rows: bool,
    /// Lowest number of an end whose row could not be read.
    pub unreadable_end: Option<u64>,
}

/// Ends of an incarnation of a worker that the scheduler has processed. They are
/// listed until their effects are stored.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProcessedEnds {
    /// Start time of the incarnation, in milliseconds since the Unix epoch; 0 if not
    /// known.
    pub started_unix_ms: u64,
    /// Highest number of a processed end.
    pub number: u64,
}

/// An acknowledgement that is sent with a status request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Acknowledgement {
    /// Start time of the life whose ends it counts, in milliseconds since the Unix
    /// epoch; 0 if not known.
    pub started_unix_ms: u64,
    /// Number up to which the worker may discard its ends; 0 for none.
    pub number: u64,
}

/// Maximum number of ends in one status. If the list is this long, a run may be
/// missing from both lists.
pub(crate) const MAX_LISTED_ENDS: usize = 500;

impl WorkerStatus {
    /// Records that the row of an end could not be read.
    pub fn on_unreadable_end(&mut self, number: u64) {
        self.has_unreadable_rows = true;
        let lowest = self.unreadable_end.unwrap_or(number);
        self.unreadable_end = Some(lowest.min(number));
    }

    /// Leaves out the ends that are processed. A status of another incarnation, which
    /// numbers its ends anew, and one whose list may be incomplete stay as they are.
    pub fn drop_processed(&mut self, processed: &ProcessedEnds) {
        let is_same =
            self.started_unix_ms != 0 && self.started_unix_ms == processed.started_unix_ms;
        if is_same && self.ended.len() < MAX_LISTED_ENDS {
            self.ended.retain(|end| end.number > processed.number);
        }
    }
}
