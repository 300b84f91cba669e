//! Loops of one worker: polling its status and sending it its orders.

mod orders;
mod status;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use dotterelsill_jobs::{
    Route,
    WorkerKey, //
};
use dotterelsill_platform::WorkerClient;
use log::Level;

pub(crate) use orders::settle_orders;

use crate::{
    call_times::CallTimes,
    clock,
    dispatch::{
        make_call,
        Call,
        CallAnswer,
        CallFailure,
        WorkerTarget, //
    },
    leadership::{
        Leadership,
        WorkerHandle, //
    },
    signal::Signal, //
};

/// Pause after a status call or an order that was not answered. For status calls it
/// doubles with each further one in a row.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Starts the status loop and the order loop of a worker.
pub(crate) fn start(leadership: &Arc<Leadership>, key: WorkerKey) {
    let (client, target) = {
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
        let target = WorkerTarget {
            key,
            id: id.to_owned(),
            address: address.to_owned(),
        };
        (Arc::new(client), Arc::new(target))
    };
    let (sender, receiver) = async_channel::unbounded();
    let wake = Arc::new(Signal::default());
    let handle = WorkerHandle {
        target: target.clone(),
        orders: sender,
        wake: wake.clone(),
    };
    if let Some(replaced) = leadership.handles().insert(key, handle) {
        // Its loops end once they see that the worker has another address.
        replaced.wake.set();
    }
    let loops = WorkerLoops {
        leadership: leadership.clone(),
        key,
        target,
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
    target: Arc<WorkerTarget>,
    client: Arc<WorkerClient>,
}

impl WorkerLoops {
    /// Makes a call over a route.
    async fn call(&self, route: Route, call: Call) -> Result<CallAnswer, CallFailure> {
        match route {
            Route::Direct => make_call(&self.client, &call).await,
            Route::Over(dispatcher) => {
                let links = &self.leadership.dispatch;
                links.call(dispatcher, &self.target, call).await
            }
        }
    }

    /// Returns whether other loops call the worker: it is registered with another address.
    fn is_replaced(&self) -> bool {
        let handles = self.leadership.handles();
        let handle = handles.get(&self.key);
        handle.is_none_or(|handle| !Arc::ptr_eq(&handle.target, &self.target))
    }

    fn on_call_failed(&self, name: &str, route: Route, failure: &CallFailure, sent_at: Duration) {
        on_call_failed(
            &self.leadership,
            &self.target,
            name,
            route,
            failure,
            sent_at,
        );
    }
}

/// Handles an answer of another worker at the address that was called.
fn on_other_worker(leadership: &Leadership, target: &WorkerTarget, sent_at: Duration) {
    leadership
        .scheduler()
        .on_other_worker(target.key, &target.address, sent_at, clock::now());
}

/// Handles a call without an answer: the worker gets no tasks until its status was
/// read.
fn on_call_failed(
    leadership: &Leadership,
    target: &WorkerTarget,
    name: &str,
    route: Route,
    failure: &CallFailure,
    sent_at: Duration,
) {
    let times = CallTimes::until_now(sent_at, &leadership.lateness);
    let now = clock::now();
    leadership
        .dispatch
        .dispatchers()
        .on_unanswered(target.key, route, now);
    let was_silent = {
        let mut scheduler = leadership.scheduler();
        let was_silent = scheduler.is_silent(target.key);
        scheduler.on_silence(target.key, now);
        was_silent
    };
    // Warn only once each time that a worker becomes unresponsive.
    let level = if was_silent {
        Level::Debug
    } else {
        Level::Warn
    };
    log::log!(
        level, worker = target.id, call = name, route:?,
        limit_ms = failure.time_limit.map(|limit| limit.as_millis() as u64),
        took_ms = times.took_ms, loop_late_ms = times.loop_late_ms, error = failure.reason;
        "call_unanswered"
    );
}
