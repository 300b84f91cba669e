//! Polls the status of a worker.

use std::time::Duration;

use async_io::Timer;
use dotterelsill_jobs::{
    Acknowledgement,
    Answer,
    Route,
    WorkerStatus, //
};
use dotterelsill_platform::WorkerStatusRequest;
use futures_lite::{
    future,
    FutureExt as _, //
};

use super::{
    on_other_worker,
    WorkerLoops,
    RETRY_PAUSE, //
};
use crate::{
    clock,
    dispatch::{
        Call,
        CallAnswer, //
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

/// Pause before the status of a worker that runs nothing is queried again after its
/// last status call was not answered.
const IDLE_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Longest time for which a direct status call keeps others waiting, so that workers
/// that do not answer hold up few.
const DIRECT_POLL_TURN: Duration = Duration::from_millis(50);

/// Maximum number of doublings of the pause after status calls without an answer:
/// it is at most 0.8 s, much less than a lease.
const MAX_DOUBLINGS: u32 = 3;

/// Outcome of a status call.
enum PollOutcome {
    Answered { has_ended_runs: bool },
    Refused,
    Unanswered,
}

impl WorkerLoops {
    /// Polls the worker's status until the scheduler no longer knows the worker, or
    /// other loops have replaced these.
    pub(super) async fn poll_status(&self, wake: &Signal) {
        self.leadership.dispatch.wait_until_settled().await;
        let mut is_first = true;
        let mut unanswered = 0;
        loop {
            if !self.leadership.scheduler().has_worker(self.key) {
                self.leadership.handles().remove(&self.key);
                self.leadership.dispatch.dispatchers().forget(self.key);
                return;
            }
            if self.is_replaced() {
                return;
            }
            let (route, is_route_new) = self.choose_route();
            if !is_first && !self.leadership.scheduler().is_busy(self.key) {
                let needs_status = self.leadership.scheduler().needs_status(self.key);
                if !needs_status && !is_route_new {
                    self.wait_while_idle(wake).await;
                    continue;
                }
                if unanswered > 0 {
                    Timer::after(IDLE_RETRY_PAUSE).await;
                    if self.is_replaced() {
                        return;
                    }
                }
            }
            let is_status_unknown =
                is_first || is_route_new || self.leadership.scheduler().needs_status(self.key);
            let outcome = if is_status_unknown && route == Route::Direct {
                self.poll_in_turn().await
            } else {
                self.poll_once(route, is_status_unknown).await
            };
            match outcome {
                PollOutcome::Answered { has_ended_runs } => {
                    is_first = false;
                    unanswered = 0;
                    if has_ended_runs {
                        self.wait_for_store().await;
                    }
                }
                PollOutcome::Refused => {
                    unanswered += 1;
                    Timer::after(IDLE_RETRY_PAUSE).await;
                }
                PollOutcome::Unanswered => {
                    let pause = RETRY_PAUSE * 2_u32.pow(unanswered.min(MAX_DOUBLINGS));
                    unanswered += 1;
                    Timer::after(pause).await;
                }
            }
        }
    }

    /// Waits until the worker is to be called, or a dispatcher may be used for it again.
    async fn wait_while_idle(&self, wake: &Signal) {
        let direct_time_left = {
            let dispatchers = self.leadership.dispatch.dispatchers();
            dispatchers.direct_time_left(self.key, clock::now())
        };
        let Some(left) = direct_time_left else {
            return wake.wait().await;
        };
        let over = async {
            Timer::after(left).await;
        };
        wake.wait().or(over).await;
    }

    /// Returns the route for the next status call, and whether orders do not use it
    /// yet.
    fn choose_route(&self) -> (Route, bool) {
        let data_centre = {
            let scheduler = self.leadership.scheduler();
            let data_centre = scheduler.worker_data_centre(self.key);
            data_centre.unwrap_or_default().to_owned()
        };
        let mut dispatchers = self.leadership.dispatch.dispatchers();
        let route = dispatchers.status_route(self.key, &data_centre, clock::now());
        (route, dispatchers.order_route(self.key) != route)
    }

    /// Requests the status of a worker that the scheduler calls itself, in turn with
    /// others. After a takeover or a fault of a dispatcher, hundreds of workers are to
    /// be called at once: opening their connections together takes so long with little
    /// processor time that the scheduler's own lease ends before its renewal has its
    /// turn.
    async fn poll_in_turn(&self) -> PollOutcome {
        let turn = self.leadership.direct_polls.acquire().await;
        let (route, _) = self.choose_route();
        if route != Route::Direct {
            drop(turn);
            return self.poll_once(route, true).await;
        }
        let end_of_turn = async {
            Timer::after(DIRECT_POLL_TURN).await;
            drop(turn);
            future::pending().await
        };
        self.poll_once(route, true).or(end_of_turn).await
    }

    async fn poll_once(&self, route: Route, is_status_unknown: bool) -> PollOutcome {
        let leadership = &self.leadership;
        // The lease counts from a time at which the authority is valid, however long this
        // process is paused from here on.
        let granted_at = clock::now();
        let may_extend = leadership.authority.is_valid(granted_at);
        let (request, acknowledgement, processed) = {
            let mut scheduler = leadership.scheduler();
            let wait = if is_status_unknown {
                None
            } else if scheduler.has_serving_and_filler(self.key) {
                Some(MIXED_STATUS_WAIT)
            } else {
                Some(scheduler.status_wait(self.key, STATUS_WAIT, granted_at))
            };
            let acknowledgement = scheduler.acknowledgement(self.key);
            let request = WorkerStatusRequest {
                fencing_token: leadership.token,
                lease_end_ms: scheduler.lease_end(self.key, may_extend, granted_at),
                acknowledged: acknowledgement,
                wait,
            };
            (request, acknowledgement, scheduler.processed_ends(self.key))
        };
        let sent_at = clock::now();
        let result = self.call(route, Call::Status { request, processed }).await;
        leadership.load.on_worker_status(&result);
        match result {
            Ok(CallAnswer::Status(status)) => {
                self.on_status(route, status, &acknowledgement, sent_at)
            }
            Ok(CallAnswer::Answer(answer)) => self.on_refusal(answer, sent_at),
            Err(failure) => {
                self.on_call_failed("look", route, &failure, sent_at);
                PollOutcome::Unanswered
            }
        }
    }

    fn on_status(
        &self,
        route: Route,
        mut status: WorkerStatus,
        acknowledgement: &Acknowledgement,
        sent_at: Duration,
    ) -> PollOutcome {
        let now = clock::now();
        status.sent_at = sent_at;
        status.read_at = now;
        let has_pending_ends = {
            let mut scheduler = self.leadership.scheduler();
            scheduler.check_acknowledgement(self.key, acknowledgement, status.started_unix_ms);
            scheduler.on_worker_status(self.key, &status, now);
            scheduler.has_pending_ends(self.key)
        };
        self.leadership
            .dispatch
            .dispatchers()
            .on_answered(self.key, route);
        self.leadership.on_changed();
        PollOutcome::Answered {
            has_ended_runs: has_pending_ends || !status.ended.is_empty(),
        }
    }

    fn on_refusal(&self, answer: Answer, sent_at: Duration) -> PollOutcome {
        let leadership = &self.leadership;
        match answer {
            Answer::Fenced => leadership
                .authority
                .mark_lost("a worker has seen a higher fencing token"),
            Answer::OtherWorker => {
                on_other_worker(leadership, &self.target, sent_at);
                leadership.on_changed();
            }
            answer => log::warn!(worker = self.key.0, answer:?; "look_refused"),
        }
        PollOutcome::Refused
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
}
