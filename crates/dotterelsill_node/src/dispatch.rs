//! Calls to workers, made by the scheduler itself or for it by a dispatcher.
//!
//! The scheduler decides on every call. `links` and `link` are its side: they open
//! streams to dispatchers and send them batches of calls. `service` is the side of
//! the dispatcher, which calls the workers and sends `answers` back.

mod answers;
mod batch;
mod called_workers;
mod link;
mod links;
mod messages;
mod service;
mod status_messages;
mod waiting;

use std::time::Duration;

use dotterelsill_jobs::{
    Answer,
    Order,
    ProcessedEnds,
    Recipient,
    WorkerKey,
    WorkerStatus, //
};
use dotterelsill_platform::{
    CallError,
    WorkerClient,
    WorkerStatusRequest, //
};

pub(crate) use links::{
    manage,
    DispatchLinks, //
};
pub(crate) use service::{
    DispatchStream,
    Dispatcher, //
};

pub(crate) use waiting::SentOrder;

/// A worker as it is called.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct WorkerTarget {
    pub(crate) key: WorkerKey,
    /// Identifier under which the worker registers.
    pub(crate) id: String,
    /// Socket address.
    pub(crate) address: String,
}

/// A call to a worker.
#[derive(Clone, Debug)]
pub(crate) enum Call {
    /// Request the worker's status, without the ends that are known.
    Status {
        request: WorkerStatusRequest,
        processed: ProcessedEnds,
    },
    /// Send an order under a fencing token. `lease_end_ms` is on the worker's clock. With
    /// `needs_connection` no connection is opened for it.
    Order {
        order: Order,
        token: u64,
        lease_end_ms: u64,
        recipient: Recipient,
        needs_connection: bool,
    },
}

/// Answer of a worker to a call.
#[derive(Debug)]
pub(crate) enum CallAnswer {
    Status(WorkerStatus),
    /// Answer to an order, or refusal of a status request.
    Answer(Answer),
}

/// A call without an answer from the worker.
#[derive(Clone, Debug)]
pub(crate) struct CallFailure {
    /// Whether the call may have been carried out.
    pub(crate) was_sent: bool,
    /// Whether the call was not made since it needs a connection and none was open.
    pub(crate) is_unconnected: bool,
    /// Whether the call was not made since the worker keeps no connection that is known
    /// to lead to the recipient.
    pub(crate) is_not_kept: bool,
    /// Time limit that was exceeded, if the call failed for that.
    pub(crate) time_limit: Option<Duration>,
    pub(crate) reason: String,
}

impl From<&CallError> for CallFailure {
    fn from(error: &CallError) -> Self {
        Self {
            was_sent: error.was_sent(),
            is_unconnected: matches!(error, CallError::NotConnected { .. }),
            is_not_kept: matches!(error, CallError::NotKept { .. }),
            time_limit: error.time_limit(),
            reason: error.to_string(),
        }
    }
}

/// Makes a call over a client of the worker. After a failure the client's idle
/// connections are closed, which may be dead without any notice of it.
pub(crate) async fn make_call(
    client: &WorkerClient,
    call: &Call,
) -> Result<CallAnswer, CallFailure> {
    let result = match call {
        Call::Status { request, .. } => client
            .request_status(request)
            .await
            .map(|answer| answer.map_or_else(CallAnswer::Answer, CallAnswer::Status)),
        Call::Order {
            order,
            token,
            lease_end_ms,
            recipient,
            needs_connection,
        } => client
            .send_order(order, *token, *lease_end_ms, *recipient, *needs_connection)
            .await
            .map(CallAnswer::Answer),
    };
    let result = result.map(|answer| match (answer, call) {
        (CallAnswer::Status(mut status), Call::Status { processed, .. }) => {
            status.drop_processed(processed);
            CallAnswer::Status(status)
        }
        (answer, _) => answer,
    });
    result.map_err(|error| {
        if !matches!(error, CallError::NotConnected { .. }) {
            client.close_idle();
        }
        CallFailure::from(&error)
    })
}
