//! Looks at a worker and gives it its orders.

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
    lead::{
        Handle,
        Lead, //
    },
    signal::Signal, //
};

/// Longest time for which a worker waits for an end before it answers a look:
/// its lease is renewed as often.
const LOOK_WAIT: Duration = Duration::from_millis(1500);

/// Time for which a worker waits when serving and filling tasks run on it, so
/// that harm is seen soon.
const MIXED_LOOK_WAIT: Duration = Duration::from_millis(700);

/// Least time between two looks that listed ends; each costs a call.
const LOOK_PAUSE: Duration = Duration::from_millis(60);

/// Longest time for which a look waits until the ends of the last one are
/// stored, so that they can be acknowledged.
const STORE_WAIT: Duration = Duration::from_millis(250);

/// Pause after a look or an order that was not answered.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time between two tries to start a task on a worker that is looked at first.
const LOOK_FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Time after which a worker that runs nothing is looked at again if its last
/// look was not answered.
const IDLE_RETRY: Duration = Duration::from_millis(500);

/// Starts the loops of a worker.
pub(crate) fn start(lead: &Arc<Lead>, key: WorkerKey) {
    let (client, address) = {
        let scheduler = lead.scheduler();
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
        let client = WorkerClient::new(id, socket, &lead.tasks);
        (Arc::new(client), address.to_owned())
    };
    let (sender, receiver) = async_channel::unbounded();
    let wake = Arc::new(Signal::default());
    let handle = Handle {
        orders: sender,
        wake: wake.clone(),
    };
    lead.handles().insert(key, handle);
    let loops = Loops {
        lead: lead.clone(),
        key,
        address,
        client,
    };
    let orders = loops.clone();
    lead.tasks
        .spawn_until_stop(async move { loops.look(&wake).await });
    lead.tasks
        .spawn_until_stop(async move { orders.give(receiver).await });
}

#[derive(Clone)]
struct Loops {
    lead: Arc<Lead>,
    key: WorkerKey,
    address: String,
    client: Arc<WorkerClient>,
}

impl Loops {
    /// Looks at the worker as long as it is known.
    async fn look(&self, wake: &Signal) {
        let mut is_first = true;
        loop {
            if !self.lead.scheduler().has_worker(self.key) {
                self.lead.handles().remove(&self.key);
                return;
            }
            if self.is_replaced() {
                return;
            }
            if !is_first && !self.lead.scheduler().is_busy(self.key) {
                if !self.lead.scheduler().needs_status(self.key) {
                    wake.wait().await;
                    continue;
                }
                Timer::after(IDLE_RETRY).await;
            }
            let is_unread = is_first || self.lead.scheduler().needs_status(self.key);
            match self.look_once(is_unread).await {
                Looked::Listed { has_ends } => {
                    is_first = false;
                    if has_ends {
                        self.wait_for_store().await;
                    }
                }
                Looked::Refused => {
                    Timer::after(IDLE_RETRY).await;
                }
                Looked::Silent => {
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns whether other loops call the worker at another address.
    fn is_replaced(&self) -> bool {
        let scheduler = self.lead.scheduler();
        let address = scheduler.worker_address(self.key);
        address.is_none_or(|(_, address)| address != self.address)
    }

    async fn look_once(&self, is_unread: bool) -> Looked {
        let lead = &self.lead;
        let may_extend = lead.is_valid();
        let call = {
            let mut scheduler = lead.scheduler();
            let wait = if is_unread {
                None
            } else if scheduler.has_serving_and_filler(self.key) {
                Some(MIXED_LOOK_WAIT)
            } else {
                Some(LOOK_WAIT)
            };
            WorkerStatusRequest {
                fencing_token: lead.token,
                lease_end_ms: scheduler.lease_end(self.key, may_extend, clock::now()),
                acknowledged: scheduler.acknowledged(self.key),
                wait,
            }
        };
        let sent_at = clock::now();
        let result = self.client.request_status(&call).await;
        lead.load.on_worker_status(&result);
        let now = clock::now();
        match result {
            Ok(Ok(mut look)) => {
                look.sent_at = sent_at;
                look.read_at = now;
                lead.scheduler().on_worker_status(self.key, &look, now);
                lead.on_changed();
                Looked::Listed {
                    has_ends: !look.ended.is_empty(),
                }
            }
            Ok(Err(Answer::Fenced)) => {
                lead.authority
                    .lose("a worker has seen a higher fencing token");
                Looked::Refused
            }
            Ok(Err(Answer::OtherWorker)) => {
                lead.scheduler().on_other_worker(self.key, now);
                lead.on_changed();
                Looked::Refused
            }
            Ok(Err(answer)) => {
                log::warn!(worker = self.key.0, answer:?; "look_refused");
                Looked::Refused
            }
            Err(error) => {
                self.on_silence("look", &error, sent_at);
                Looked::Silent
            }
        }
    }

    fn on_silence(&self, call: &str, error: &CallError, sent_at: Duration) {
        let times = CallTimes::until_now(sent_at, &self.lead.lateness);
        self.client.close_idle();
        let was_silent = {
            let mut scheduler = self.lead.scheduler();
            let was_silent = scheduler.is_silent(self.key);
            scheduler.on_silence(self.key, clock::now());
            was_silent
        };
        // One line for each time that a worker falls silent.
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

    /// Waits until the ends that were listed can be acknowledged.
    async fn wait_for_store(&self) {
        Timer::after(LOOK_PAUSE).await;
        let until = clock::now() + STORE_WAIT;
        while clock::now() < until {
            let stored = self.lead.stored.listen();
            if !self.lead.scheduler().has_pending_ends(self.key) {
                return;
            }
            let late = async {
                Timer::after(until.saturating_sub(clock::now())).await;
            };
            stored.or(late).await;
        }
    }

    /// Gives the worker its orders one after the other.
    async fn give(&self, orders: Receiver<Order>) {
        while let Ok(order) = orders.recv().await {
            if let Given::Open = self.give_once(&order, false).await {
                // Other orders do not wait for one that was lost.
                let loops = self.clone();
                self.lead
                    .tasks
                    .spawn_until_stop(async move { loops.repeat(order).await });
            }
        }
    }

    /// Repeats an order until it is answered or no longer wanted.
    async fn repeat(&self, order: Order) {
        loop {
            Timer::after(RETRY_PAUSE).await;
            if !matches!(self.give_once(&order, true).await, Given::Open) {
                return;
            }
        }
    }

    async fn give_once(&self, order: &Order, may_come_late: bool) -> Given {
        let lead = &self.lead;
        loop {
            let may_extend = lead.is_valid();
            let now = clock::now();
            let lease_end_ms = {
                let mut scheduler = lead.scheduler();
                if lead.authority.is_lost() || !scheduler.is_wanted(self.key, order) {
                    return Given::Settled;
                }
                match order {
                    Order::Start { .. } => scheduler.start_lease_end(self.key, may_extend, now),
                    Order::Stop { .. } | Order::Pace { .. } => Some(0),
                }
            };
            let Some(lease_end_ms) = lease_end_ms else {
                // The next look tells which life of the worker answers.
                Timer::after(LOOK_FIRST_PAUSE).await;
                continue;
            };
            let sent_at = clock::now();
            let result = self
                .client
                .send_order(order, lead.token, lease_end_ms)
                .await;
            lead.load.on_order(&result);
            match result {
                Ok(Answer::Fenced) => {
                    lead.authority
                        .lose("a worker has seen a higher fencing token");
                    return Given::Settled;
                }
                Ok(answer) => {
                    let now = clock::now();
                    let mut scheduler = lead.scheduler();
                    let is_open = scheduler.on_answer(self.key, order, answer, may_come_late, now);
                    drop(scheduler);
                    lead.on_changed();
                    if is_open {
                        log::warn!(worker = self.key.0, order:?, answer:?; "order_refused");
                        return Given::Open;
                    }
                    return Given::Settled;
                }
                Err(error) => {
                    self.on_silence("order", &error, sent_at);
                    if !matches!(error, CallError::NotSent { .. }) {
                        return Given::Open;
                    }
                    Timer::after(LOOK_FIRST_PAUSE).await;
                }
            }
        }
    }
}

/// What came of a look.
enum Looked {
    Listed { has_ends: bool },
    Refused,
    Silent,
}

/// What came of an order.
enum Given {
    /// It was answered, or is no longer wanted.
    Settled,
    /// It was sent and not answered, or refused for the time being.
    Open,
}
