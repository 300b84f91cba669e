//! Calls on a link that wait for their answers.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use async_channel::Sender;
use dotterelsill_jobs::{
    Order,
    StartTerms, //
};

use super::{
    CallAnswer,
    CallFailure,
    WorkerTarget, //
};

pub(super) type CallResult = Result<CallAnswer, CallFailure>;

/// A start that was sent over a link without a task that waits for its answer.
#[derive(Debug)]
pub(crate) struct SentOrder {
    pub(crate) target: Arc<WorkerTarget>,
    pub(crate) order: Order,
    pub(crate) terms: StartTerms,
    pub(crate) sent_at: Duration,
}

/// Who gets the answer of a call.
enum Waiting {
    /// A task that waits for it, which gives up by itself.
    Task(Sender<CallResult>),
    /// The settling of orders, if it comes before a time.
    Order {
        sent: SentOrder,
        give_up_at: Duration,
    },
}

/// Calls by the numbers of their answers.
#[derive(Default)]
pub(super) struct WaitingCalls {
    by_number: Mutex<HashMap<u64, Waiting>>,
}

impl WaitingCalls {
    pub(super) fn add_task(&self, number: u64, answer: Sender<CallResult>) {
        self.lock().insert(number, Waiting::Task(answer));
    }

    pub(super) fn add_order(&self, number: u64, sent: SentOrder, give_up_at: Duration) {
        self.lock()
            .insert(number, Waiting::Order { sent, give_up_at });
    }

    pub(super) fn contains(&self, number: u64) -> bool {
        self.lock().contains_key(&number)
    }

    pub(super) fn remove(&self, number: u64) {
        self.lock().remove(&number);
    }

    /// Returns a guard that removes a call when it is dropped.
    pub(super) fn guard(&self, number: u64) -> WaitingGuard<'_> {
        WaitingGuard {
            calls: self,
            number,
        }
    }

    /// Handles an answer. Returns the order if it was one that no task waits for.
    pub(super) fn on_answer(
        &self,
        number: u64,
        result: CallResult,
    ) -> Option<(SentOrder, CallResult)> {
        match self.lock().remove(&number)? {
            Waiting::Task(answer) => {
                // The task may have given up.
                let _ = answer.try_send(result);
                None
            }
            Waiting::Order { sent, .. } => Some((sent, result)),
        }
    }

    /// Takes the orders that are given up at a time.
    pub(super) fn take_overdue(&self, now: Duration) -> Vec<SentOrder> {
        self.take_orders(|give_up_at| now >= give_up_at)
    }

    /// Ends all waits, and takes all orders.
    pub(super) fn close(&self) -> Vec<SentOrder> {
        let orders = self.take_orders(|_| true);
        // Dropping the senders ends the waits of the tasks.
        self.lock().clear();
        orders
    }

    fn take_orders(&self, is_taken: impl Fn(Duration) -> bool) -> Vec<SentOrder> {
        let taken = self.lock().extract_if(
            |_, call| matches!(call, Waiting::Order { give_up_at, .. } if is_taken(*give_up_at)),
        )
        .filter_map(|(_, call)| match call {
            Waiting::Order { sent, .. } => Some(sent),
            Waiting::Task(_) => None,
        })
        .collect();
        taken
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Waiting>> {
        self.by_number
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a call when it is dropped.
pub(super) struct WaitingGuard<'a> {
    calls: &'a WaitingCalls,
    number: u64,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.calls.remove(self.number);
    }
}

/// Returns the result of an order that was not answered in time.
pub(super) fn timed_out(sent: SentOrder, limit: Duration) -> (SentOrder, CallResult) {
    let failure = CallFailure {
        was_sent: true,
        is_unconnected: false,
        is_not_kept: false,
        time_limit: Some(limit),
        reason: format!("dispatcher: no result within {} ms", limit.as_millis()),
    };
    (sent, Err(failure))
}

/// Returns the failure of a call whose link is closed.
pub(super) fn closed(was_sent: bool) -> CallFailure {
    CallFailure {
        was_sent,
        is_unconnected: false,
        is_not_kept: false,
        time_limit: None,
        reason: "the link to the dispatcher is closed".to_owned(),
    }
}
