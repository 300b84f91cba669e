//! Sends a worker its orders.

use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use dotterelsill_jobs::{
    Answer,
    Order,
    Route, //
};

use super::{
    on_call_failed,
    on_other_worker,
    WorkerLoops,
    RETRY_PAUSE, //
};
use crate::{
    clock,
    dispatch::{
        Call,
        CallAnswer,
        CallFailure,
        SentOrder, //
    },
    leadership::{
        Leadership,
        QueuedOrder, //
    }, //
};

/// Pause before retrying an order that could not be sent, or a start that must wait
/// for a status call.
const UNSENT_ORDER_PAUSE: Duration = Duration::from_millis(20);

/// Maximum of that pause, which doubles with each try.
const MAX_UNSENT_ORDER_PAUSE: Duration = Duration::from_millis(320);

/// Outcome of sending an order.
enum OrderOutcome {
    /// The order was answered or is no longer wanted.
    Settled,
    /// The order was sent without an answer, or refused temporarily.
    Unsettled,
}

impl WorkerLoops {
    /// Sends the worker its orders one after the other.
    pub(super) async fn give_orders(&self, orders: Receiver<QueuedOrder>) {
        while let Ok(queued) = orders.recv().await {
            let is_settled = !queued.may_come_late
                && matches!(
                    self.give_order(&queued.order, false).await,
                    OrderOutcome::Settled
                );
            if !is_settled {
                // Retry in a separate task, so that it does not block other orders.
                let loops = self.clone();
                self.leadership
                    .tasks
                    .spawn_until_stop(async move { loops.repeat_order(queued.order).await });
            }
        }
    }

    /// Repeats an order until it is settled or no longer wanted.
    async fn repeat_order(&self, order: Order) {
        loop {
            Timer::after(RETRY_PAUSE).await;
            if !matches!(self.give_order(&order, true).await, OrderOutcome::Unsettled) {
                return;
            }
        }
    }

    async fn give_order(&self, order: &Order, may_come_late: bool) -> OrderOutcome {
        let leadership = &self.leadership;
        let mut pause = UNSENT_ORDER_PAUSE;
        loop {
            if self.hand_to_replacement(order, may_come_late) {
                return OrderOutcome::Settled;
            }
            let now = clock::now();
            let may_extend = leadership.authority.is_valid(now);
            let lease_end_ms = {
                let mut scheduler = leadership.scheduler();
                if leadership.authority.is_lost()
                    || !scheduler.may_send(self.key, order, may_come_late, now)
                {
                    drop(scheduler);
                    leadership.on_changed();
                    return OrderOutcome::Settled;
                }
                match order {
                    Order::Start { .. } => scheduler.start_lease_end(self.key, may_extend, now),
                    Order::Stop { .. } | Order::Pace { .. } => Some(0),
                }
            };
            let Some(lease_end_ms) = lease_end_ms else {
                // The next status call tells which incarnation of the worker answers.
                Timer::after(UNSENT_ORDER_PAUSE).await;
                continue;
            };
            let route = leadership.dispatch.dispatchers().order_route(self.key);
            let sent_at = clock::now();
            // Without authority a start goes only to a process that has seen the token: a
            // later life that knows none would carry it out beside a later scheduler's.
            let needs_connection = !may_extend && matches!(order, Order::Start { .. });
            let call = Call::Order {
                order: order.clone(),
                token: leadership.token,
                lease_end_ms,
                needs_connection,
            };
            let result = self.call(route, call).await;
            leadership.load.on_order(&result);
            match result {
                Ok(CallAnswer::Answer(answer)) => {
                    return self.on_order_answer(order, answer, may_come_late, sent_at);
                }
                // No worker answers an order with a status.
                Ok(CallAnswer::Status(_)) => return OrderOutcome::Unsettled,
                Err(failure) if failure.is_unconnected => {
                    Timer::after(UNSENT_ORDER_PAUSE).await;
                }
                Err(failure) => {
                    self.on_call_failed("order", route, &failure, sent_at);
                    if failure.was_sent {
                        return OrderOutcome::Unsettled;
                    }
                    Timer::after(pause).await;
                    pause = (pause * 2).min(MAX_UNSENT_ORDER_PAUSE);
                }
            }
        }
    }

    /// Hands an order to the loops that call the worker's present address, if it has
    /// changed; returns whether it did. At the earlier address nothing settles the order.
    fn hand_to_replacement(&self, order: &Order, may_come_late: bool) -> bool {
        let handles = self.leadership.handles();
        let Some(handle) = handles.get(&self.key) else {
            return false;
        };
        if handle.target == self.target {
            return false;
        }
        let queued = QueuedOrder {
            order: order.clone(),
            may_come_late,
        };
        // Sending fails only if the worker is gone and its loop has ended.
        let _ = handle.orders.try_send(queued);
        true
    }

    fn on_order_answer(
        &self,
        order: &Order,
        answer: Answer,
        may_come_late: bool,
        sent_at: Duration,
    ) -> OrderOutcome {
        let leadership = &self.leadership;
        if answer == Answer::Fenced {
            leadership
                .authority
                .mark_lost("a worker has seen a higher fencing token");
            return OrderOutcome::Settled;
        }
        if answer == Answer::OtherWorker {
            on_other_worker(leadership, &self.target, sent_at);
            leadership.on_changed();
            return OrderOutcome::Unsettled;
        }
        let is_unsettled =
            leadership
                .scheduler()
                .on_answer(self.key, order, answer, may_come_late, clock::now());
        leadership.on_changed();
        if is_unsettled {
            log::warn!(worker = self.key.0, order:?, answer:?; "order_refused");
            return OrderOutcome::Unsettled;
        }
        OrderOutcome::Settled
    }
}

/// Handles the results of orders that were sent over a dispatcher. Those that are to
/// be sent again go to the loops of their workers.
pub(crate) fn settle_orders(
    leadership: &Leadership,
    route: Route,
    results: Vec<(SentOrder, Result<CallAnswer, CallFailure>)>,
) {
    let now = clock::now();
    for (sent, result) in results {
        leadership.load.on_order(&result);
        let key = sent.target.key;
        let may_come_late = match result {
            Ok(CallAnswer::Answer(Answer::Fenced)) => {
                leadership
                    .authority
                    .mark_lost("a worker has seen a higher fencing token");
                return;
            }
            Ok(CallAnswer::Answer(Answer::OtherWorker)) => {
                on_other_worker(leadership, &sent.target, sent.sent_at);
                false
            }
            Ok(CallAnswer::Answer(answer)) => {
                let mut scheduler = leadership.scheduler();
                if !scheduler.on_answer(key, &sent.order, answer, false, now) {
                    continue;
                }
                true
            }
            // No worker answers an order with a status.
            Ok(CallAnswer::Status(_)) => true,
            Err(failure) => {
                on_call_failed(
                    leadership,
                    &sent.target,
                    "order",
                    route,
                    &failure,
                    sent.sent_at,
                );
                failure.was_sent
            }
        };
        if let Some(handle) = leadership.handles().get(&key) {
            // Sending fails only if the worker is gone and its loop has ended.
            let _ = handle.orders.try_send(QueuedOrder {
                order: sent.order,
                may_come_late,
            });
        }
    }
    leadership.on_changed();
}
