//! Calls of schedulers to workers, and the connections that carry them.

use std::collections::BTreeMap;

use dotterelsill_jobs::{
    Answer,
    Order,
    ProcessedEnds,
    Recipient,
    Route,
    StartTerms,
    WorkerKey,
    WorkerStatus, //
};

/// Time limit of an order.
pub(crate) const ORDER_TIMEOUT_MS: u64 = 700;

/// Added to the wait of a status request for its time limit.
pub(crate) const STATUS_MARGIN_MS: u64 = 700;

/// Added to the time limit of a call over a dispatcher.
pub(crate) const DISPATCH_MARGIN_MS: u64 = 1000;

/// Age beyond which a dispatcher makes no call.
pub(crate) const MAX_HEARTBEAT_AGE_MS: u64 = 2000;

/// Maximum number of idle connections of a client.
const MAX_IDLE: usize = 4;

#[derive(Clone, Debug)]
pub(crate) struct StatusRequest {
    pub(crate) token: u64,
    pub(crate) lease_end_ms: Option<u64>,
    pub(crate) acknowledged: u64,
    pub(crate) wait_ms: u64,
    pub(crate) processed: ProcessedEnds,
}

/// Which part of a scheduler instance waits for the answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderSender {
    /// The order loop of the worker, at its first try.
    Loop,
    /// A repetition, by its number.
    Repeat(u64),
    /// Nobody: it was handed to a dispatcher.
    Dispatched,
}

#[derive(Clone, Debug)]
pub(crate) enum CallBody {
    Status(StatusRequest),
    Order {
        order: Order,
        terms: StartTerms,
        /// Whether it is made only over a connection that is open.
        needs_connection: bool,
        sender: OrderSender,
    },
}

#[derive(Clone, Debug)]
pub(crate) enum CallResult {
    Status(WorkerStatus),
    Answer(Answer),
    Failed {
        was_sent: bool,
    },
    /// The call was not made, since it needs a connection and none was open.
    Unconnected,
    /// The call was not made, since the worker closes each connection after its answer.
    NotKept,
}

/// Identifies a client of a worker: the scheduler, the route with the number of the
/// link, the worker and its address.
pub(crate) type ClientId = (u64, Route, u64, WorkerKey, u16);

/// A call under way.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) token: u64,
    pub(crate) key: WorkerKey,
    pub(crate) worker: usize,
    /// Port that is called.
    pub(crate) port: u16,
    /// Number of the loops that make the call.
    pub(crate) loops: u64,
    pub(crate) route: Route,
    /// Number of the link to the dispatcher.
    pub(crate) link: u64,
    pub(crate) sent_at_ms: u64,
    pub(crate) body: CallBody,
    /// Life to which the connection leads.
    pub(crate) life: u64,
    /// Whether that life has answered a status request over the connection.
    pub(crate) has_told: bool,
    /// Whether the client still waits for the response.
    pub(crate) is_open: bool,
}

impl Call {
    pub(crate) fn client(&self) -> ClientId {
        (self.token, self.route, self.link, self.key, self.port)
    }

    pub(crate) fn is_status(&self) -> bool {
        matches!(self.body, CallBody::Status(_))
    }

    /// Returns which life may get the call.
    pub(crate) fn recipient(&self) -> Recipient {
        match &self.body {
            CallBody::Status(_) => Recipient::AnyLife,
            CallBody::Order { terms, .. } => terms.recipient,
        }
    }

    pub(crate) fn time_limit_ms(&self) -> u64 {
        match &self.body {
            CallBody::Status(request) => request.wait_ms + STATUS_MARGIN_MS,
            CallBody::Order { .. } => ORDER_TIMEOUT_MS,
        }
    }
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    /// Life to which it leads.
    life: u64,
    /// Whether that life has answered a status request over it.
    has_told: bool,
}

/// Idle connections of all clients.
#[derive(Debug, Default)]
pub(crate) struct Clients(BTreeMap<ClientId, Vec<Idle>>);

impl Clients {
    /// Takes a connection for a call: for an order to one life one over which that life
    /// has told its start, and otherwise such a one if possible. Returns the life to which
    /// it leads, and whether that has told its start.
    pub(crate) fn take(&mut self, call: &Call) -> Option<(u64, bool)> {
        let pool = self.0.entry(call.client()).or_default();
        let position = match call.recipient() {
            Recipient::Life { started_unix_ms } => {
                let is_it = |idle: &Idle| idle.has_told && idle.life == started_unix_ms;
                pool.iter().rposition(is_it)?
            }
            Recipient::AnyLife => {
                let told = pool.iter().rposition(|idle| idle.has_told);
                told.or(pool.len().checked_sub(1))?
            }
        };
        let idle = pool.remove(position);
        Some((idle.life, idle.has_told))
    }

    pub(crate) fn put_back(&mut self, call: &Call) {
        let pool = self.0.entry(call.client()).or_default();
        if pool.len() < MAX_IDLE {
            pool.push(Idle {
                life: call.life,
                has_told: call.has_told,
            });
        }
    }

    pub(crate) fn close_idle(&mut self, call: &Call) {
        self.0.remove(&call.client());
    }
}
