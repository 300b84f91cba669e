//! Sends a worker its orders.

use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use dotterelsill_jobs::{
    Answer,
    Order,
    Recipient,
    Route,
    StartTerms,
    WorkerKey, //
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
    /// Other loops call the worker, and send the order.
    Replaced,
    /// The start was not sent: it needs a connection, and none is open.
    Unconnected,
}

impl WorkerLoops {
    /// Sends the worker its orders one after the other.
    pub(super) async fn give_orders(&self, orders: Receiver<QueuedOrder>) {
        while let Ok(queued) = orders.recv().await {
            let outcome = if queued.may_come_late {
                OrderOutcome::Unsettled
            } else {
                self.give_order(&queued.order, false).await
            };
            // Retry in a separate task, so that it does not block other orders.
            let (loops, order) = (self.clone(), queued.order);
            let tasks = &self.leadership.tasks;
            match outcome {
                OrderOutcome::Settled => {}
                OrderOutcome::Replaced => self.pass_on(order, false),
                OrderOutcome::Unsettled => {
                    tasks.spawn_until_stop(async move { loops.repeat_order(order).await });
                }
                OrderOutcome::Unconnected => {
                    tasks.spawn_until_stop(async move { loops.give_once_connected(order).await });
                }
            }
        }
    }

    /// Gives a start once a connection is open or this scheduler has authority again.
    async fn give_once_connected(&self, order: Order) {
        let mut pause = UNSENT_ORDER_PAUSE;
        loop {
            Timer::after(pause).await;
            pause = (pause * 2).min(MAX_UNSENT_ORDER_PAUSE);
            match self.give_order(&order, false).await {
                OrderOutcome::Settled => return,
                OrderOutcome::Replaced => return self.pass_on(order, false),
                OrderOutcome::Unsettled => return self.repeat_order(order).await,
                OrderOutcome::Unconnected => {}
            }
        }
    }

    /// Repeats an order until it is settled or no longer wanted.
    async fn repeat_order(&self, order: Order) {
        loop {
            Timer::after(RETRY_PAUSE).await;
            match self.give_order(&order, true).await {
                OrderOutcome::Settled => return,
                OrderOutcome::Replaced => return self.pass_on(order, true),
                OrderOutcome::Unsettled | OrderOutcome::Unconnected => {}
            }
        }
    }

    /// Passes an order on to the loops that call the worker now.
    fn pass_on(&self, order: Order, may_come_late: bool) {
        queue_order(&self.leadership, self.key, order, may_come_late);
    }

    async fn give_order(&self, order: &Order, may_come_late: bool) -> OrderOutcome {
        let leadership = &self.leadership;
        let mut pause = UNSENT_ORDER_PAUSE;
        loop {
            if self.is_replaced() {
                return OrderOutcome::Replaced;
            }
            let now = clock::now();
            let may_extend = leadership.authority.is_valid(now);
            let terms = {
                let mut scheduler = leadership.scheduler();
                if leadership.authority.is_lost()
                    || !scheduler.may_send(self.key, order, may_come_late, now)
                {
                    drop(scheduler);
                    leadership.on_changed();
                    return OrderOutcome::Settled;
                }
                match order {
                    Order::Start { task, .. } => {
                        scheduler.start_terms(self.key, *task, may_extend, now)
                    }
                    // Stops and paces do no harm in another life.
                    Order::Stop { .. } | Order::Pace { .. } => Some(StartTerms {
                        lease_end_ms: 0,
                        recipient: Recipient::AnyLife,
                    }),
                }
            };
            let Some(terms) = terms else {
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
                lease_end_ms: terms.lease_end_ms,
                recipient: terms.recipient,
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
                Err(failure) if failure.is_unconnected => return OrderOutcome::Unconnected,
                Err(failure) => {
                    if failure.is_not_kept {
                        on_not_kept(leadership, self.key, terms.recipient);
                    }
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
                if failure.is_not_kept {
                    on_not_kept(leadership, key, sent.terms.recipient);
                }
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
        queue_order(leadership, key, sent.order, may_come_late);
    }
    leadership.on_changed();
}

/// Handles that a start was not sent because its recipient keeps no connection.
fn on_not_kept(leadership: &Leadership, key: WorkerKey, recipient: Recipient) {
    if let Recipient::Life { started_unix_ms } = recipient {
        let mut scheduler = leadership.scheduler();
        scheduler.on_connection_not_kept(key, started_unix_ms);
    }
}

/// Hands an order to the loop of its worker.
fn queue_order(leadership: &Leadership, key: WorkerKey, order: Order, may_come_late: bool) {
    if let Some(handle) = leadership.handles().get(&key) {
        // Sending fails only if the worker is gone and its loop has ended.
        let _ = handle.orders.try_send(QueuedOrder {
            order,
            may_come_late,
        });
    }
}
