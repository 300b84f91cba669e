//! Polls the status of a worker and sends it its orders.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use async_channel::Receiver;
use async_io::Timer;
use dotterelsill_jobs::{
    Answer,
    Order,
    WorkerKey, //
};
use dotterelsill_platform::{
    CallError,
    WorkerClient,
    WorkerStatusRequest, //
};
use futures_lite::FutureExt as _;
use log::Level;

use crate::{
    call_times::CallTimes,
    clock,
    leadership::{
        Leadership,
        WorkerHandle, //
    },
    signal::Signal, //
};

/// Longest time that a worker waits for a run to end before it answers a status
/// call. Each status call also renews the worker's lease.
const STATUS_WAIT: Duration = Duration::from_millis(1500);

/// The same wait while both serving and filler tasks run on the worker. It is
/// shorter, so that harm to the serving tasks is detected soon.
const MIXED_STATUS_WAIT: Duration = Duration::from_millis(700);

/// Minimum time between status calls that list ended runs, since each one costs a
/// call.
const STATUS_PAUSE: Duration = Duration::from_millis(60);

/// Longest time that the next status call is delayed until the ended runs of the
/// last one are stored, so that it can acknowledge them.
const STORE_WAIT: Duration = Duration::from_millis(250);

/// Pause after a status call or an order that was not answered.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause before retrying an order that could not be sent, or a start that must wait
/// for a status call.
const UNSENT_ORDER_PAUSE: Duration = Duration::from_millis(20);

/// Pause before the status of a worker that runs nothing is queried again after its
/// last status call was not answered.
const IDLE_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Starts the status loop and the order loop of a worker.
pub(crate) fn start(leadership: &Arc<Leadership>, key: WorkerKey) {
    let (client, address) = {
        let scheduler = leadership.scheduler();
        let Some((id, address)) = scheduler.worker_address(key) else {
            return;
        };
        let socket: SocketAddr = match address.parse() {
            Ok(socket) => socket,
            Err(error) => {
                log::warn!(worker = id, error:%; "worker_address_unusable");
                return;
            }
        };
        let client = WorkerClient::new(id, socket, &leadership.tasks);
        (Arc::new(client), address.to_owned())
    };
    let (sender, receiver) = async_channel::unbounded();
    let wake = Arc::new(Signal::default());
    let handle = WorkerHandle {
        orders: sender,
        wake: wake.clone(),
    };
    leadership.handles().insert(key, handle);
    let loops = WorkerLoops {
        leadership: leadership.clone(),
        key,
        address,
        client,
    };
    let orders = loops.clone();
    leadership
        .tasks
        .spawn_until_stop(async move { loops.poll_status(&wake).await });
    leadership
        .tasks
        .spawn_until_stop(async move { orders.give_orders(receiver).await });
}

#[derive(Clone)]
struct WorkerLoops {
    leadership: Arc<Leadership>,
    key: WorkerKey,
    address: String,
    client: Arc<WorkerClient>,
}

impl WorkerLoops {
    /// Polls the worker's status until the scheduler no longer knows the worker, or
    /// other loops have replaced these.
    async fn poll_status(&self, wake: &Signal) {
        let mut is_first = true;
        loop {
            if !self.leadership.scheduler().has_worker(self.key) {
                self.leadership.handles().remove(&self.key);
                return;
            }
            if self.is_replaced() {
                return;
            }
            if !is_first && !self.leadership.scheduler().is_busy(self.key) {
                if !self.leadership.scheduler().needs_status(self.key) {
                    wake.wait().await;
                    continue;
                }
                Timer::after(IDLE_RETRY_PAUSE).await;
            }
            let is_status_unknown = is_first || self.leadership.scheduler().needs_status(self.key);
            match self.poll_once(is_status_unknown).await {
                PollOutcome::Answered { has_ended_runs } => {
                    is_first = false;
                    if has_ended_runs {
                        self.wait_for_store().await;
                    }
                }
                PollOutcome::Refused => {
                    Timer::after(IDLE_RETRY_PAUSE).await;
                }
                PollOutcome::Unanswered => {
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns whether the worker has another address, which other loops call.
    fn is_replaced(&self) -> bool {
        let scheduler = self.leadership.scheduler();
        let address = scheduler.worker_address(self.key);
        address.is_none_or(|(_, address)| address != self.address)
    }

    async fn poll_once(&self, is_status_unknown: bool) -> PollOutcome {
        let leadership = &self.leadership;
        let may_extend = leadership.is_valid();
        let call = {
            let mut scheduler = leadership.scheduler();
            let wait = if is_status_unknown {
                None
            } else if scheduler.has_serving_and_filler(self.key) {
                Some(MIXED_STATUS_WAIT)
            } else {
                Some(STATUS_WAIT)
            };
            WorkerStatusRequest {
                fencing_token: leadership.token,
                lease_end_ms: scheduler.lease_end(self.key, may_extend, clock::now()),
                acknowledged: scheduler.acknowledged(self.key),
                wait,
            }
        };
        let sent_at = clock::now();
        let result = self.client.request_status(&call).await;
        leadership.load.on_worker_status(&result);
        let now = clock::now();
        match result {
            Ok(Ok(mut status)) => {
                status.sent_at = sent_at;
                status.read_at = now;
                leadership
                    .scheduler()
                    .on_worker_status(self.key, &status, now);
                leadership.on_changed();
                PollOutcome::Answered {
                    has_ended_runs: !status.ended.is_empty(),
                }
            }
            Ok(Err(Answer::Fenced)) => {
                leadership
                    .authority
                    .mark_lost("a worker has seen a higher fencing token");
                PollOutcome::Refused
            }
            Ok(Err(Answer::OtherWorker)) => {
                leadership.scheduler().on_other_worker(self.key, now);
                leadership.on_changed();
                PollOutcome::Refused
            }
            Ok(Err(answer)) => {
                log::warn!(worker = self.key.0, answer:?; "look_refused");
                PollOutcome::Refused
            }
            Err(error) => {
                self.on_call_failed("look", &error, sent_at);
                PollOutcome::Unanswered
            }
        }
    }

    fn on_call_failed(&self, call: &str, error: &CallError, sent_at: Duration) {
        let times = CallTimes::until_now(sent_at, &self.leadership.lateness);
        self.client.close_idle();
        let was_silent = {
            let mut scheduler = self.leadership.scheduler();
            let was_silent = scheduler.is_silent(self.key);
            scheduler.on_silence(self.key, clock::now());
            was_silent
        };
        // Warn only once each time that a worker becomes unresponsive.
        let level = if was_silent {
            Level::Debug
        } else {
            Level::Warn
        };
        log::log!(
            level, worker = self.client.id(), call,
            limit_ms = error.time_limit().map(|limit| limit.as_millis() as u64),
            took_ms = times.took_ms, loop_late_ms = times.loop_late_ms, error:%;
            "call_unanswered"
        );
    }

    /// Waits until the listed ended runs can be acknowledged, for at most `STORE_WAIT`.
    async fn wait_for_store(&self) {
        Timer::after(STATUS_PAUSE).await;
        let deadline = clock::now() + STORE_WAIT;
        while clock::now() < deadline {
            let stored = self.leadership.stored.listen();
            if !self.leadership.scheduler().has_pending_ends(self.key) {
                return;
            }
            let timed_out = async {
                Timer::after(deadline.saturating_sub(clock::now())).await;
            };
            stored.or(timed_out).await;
        }
    }

    /// Sends the worker its orders one after the other.
    async fn give_orders(&self, orders: Receiver<Order>) {
        while let Ok(order) = orders.recv().await {
            if let OrderOutcome::Unsettled = self.give_order(&order, false).await {
                // Retry in a separate task, so that it does not block other orders.
                let loops = self.clone();
                self.leadership
                    .tasks
                    .spawn_until_stop(async move { loops.repeat_order(order).await });
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
        loop {
            let may_extend = leadership.is_valid();
            let now = clock::now();
            let lease_end_ms = {
                let mut scheduler = leadership.scheduler();
                if leadership.authority.is_lost() || !scheduler.is_wanted(self.key, order) {
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
            let sent_at = clock::now();
            let result = self
                .client
                .send_order(order, leadership.token, lease_end_ms)
                .await;
            leadership.load.on_order(&result);
            match result {
                Ok(Answer::Fenced) => {
                    leadership
                        .authority
                        .mark_lost("a worker has seen a higher fencing token");
                    return OrderOutcome::Settled;
                }
                Ok(answer) => {
                    let now = clock::now();
                    let mut scheduler = leadership.scheduler();
                    let is_unsettled =
                        scheduler.on_answer(self.key, order, answer, may_come_late, now);
                    drop(scheduler);
                    leadership.on_changed();
                    if is_unsettled {
                        log::warn!(worker = self.key.0, order:?, answer:?; "order_refused");
                        return OrderOutcome::Unsettled;
                    }
                    return OrderOutcome::Settled;
                }
                Err(error) => {
                    self.on_call_failed("order", &error, sent_at);
                    if !matches!(error, CallError::NotSent { .. }) {
                        return OrderOutcome::Unsettled;
                    }
                    Timer::after(UNSENT_ORDER_PAUSE).await;
                }
            }
        }
    }
}

/// Outcome of a status call.
enum PollOutcome {
    Answered { has_ended_runs: bool },
    Refused,
    Unanswered,
}

/// Outcome of sending an order.
enum OrderOutcome {
    /// The order was answered or is no longer wanted.
    Settled,
    /// The order was sent without an answer, or refused temporarily.
    Unsettled,
}
