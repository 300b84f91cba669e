//! One attempt to run a request on an upstream.
//!
//! An attempt runs inside the request that waits for it. When that request ends
//! first, because the caller gave up or a hedge was faster, the attempt goes on
//! as a task of its own until the upstream answers or `max_run_ms` is over, so
//! that the team's credit stays taken while the work may still run.

use std::{
    future::Future,
    pin::Pin,
    sync::{
        atomic::{
            AtomicU8,
            Ordering, //
        },
        Arc,
        OnceLock, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use bytes::Bytes;
use dotterelsill_admission::RunOutcome;
use dotterelsill_revision::{
    Decision,
    WhenIsolated, //
};
use dotterelsill_routing::{
    AttemptOutcome,
    Connection,
    LatencyHistogram,
    Slot, //
};
use dotterelsill_rpc::Tasks;
use futures_lite::FutureExt as _;
use http::StatusCode;
use http_body_util::Full;
use hyper::{
    Request,
    Response, //
};

use crate::{
    limits::HeldCredit,
    plan::ServicePlan,
    pool::{
        ExchangeError,
        ReusePolicy, //
    },
    service::Permit,
    shared::Shared, //
};

/// Header of an upstream's 503 that says that it refused before running.
const OUTCOME_HEADER: &str = "dotterelsill-outcome";

/// Header of an upstream's 503 that says that it is leaving.
const LEAVING_HEADER: &str = "dotterelsill-leaving";

/// What an attempt holds while the work may run.
pub(crate) enum Reservation {
    /// Slot of the service and credit of a first attempt.
    Permit(Permit),
    /// Credit of a retry or hedge, which takes no slot of the service.
    Credit(Option<HeldCredit>),
}

impl Reservation {
    /// Returns whether the credit, if there is one, is held by the current
    /// incarnation of this instance.
    pub(crate) fn is_current(&self, shared: &Shared) -> bool {
        let credit = match self {
            Self::Permit(permit) => &permit.credit,
            Self::Credit(credit) => credit,
        };
        credit
            .as_ref()
            .is_none_or(|credit| credit.is_current(shared))
    }
}

/// What came of an attempt.
pub(crate) enum AttemptResult {
    /// The upstream answered in full.
    Answered(Response<Bytes>),
    /// Nothing was run; what was held comes back for another attempt.
    NotRun(NotRun),
    /// The connection broke after the request may have left.
    ConnectionLost(String),
    /// The work ran for longer than it may.
    RunTimeExceeded,
}

/// An attempt that ran nothing.
pub(crate) struct NotRun {
    /// Reason, for the caller.
    pub(crate) reason: String,
    /// What the attempt held.
    pub(crate) reservation: Reservation,
    /// Name of the upstream that another attempt avoids.
    pub(crate) avoid: String,
}

/// One attempt, before it is started.
pub(crate) struct Attempt {
    pub(crate) shared: Arc<Shared>,
    pub(crate) plan: Arc<ServicePlan>,
    pub(crate) latency: Arc<LatencyHistogram>,
    pub(crate) slot: Slot,
    pub(crate) reservation: Reservation,
    pub(crate) request: Request<Full<Bytes>>,
    pub(crate) reuse: ReusePolicy,
    /// Revision under which the start was checked.
    pub(crate) revision: u64,
    pub(crate) when_isolated: WhenIsolated,
    pub(crate) deadline: Instant,
    pub(crate) max_run: Duration,
    pub(crate) send_state: Arc<SendState>,
}

/// Settles between an attempt and the request that waits for it whether
/// anything is sent.
#[derive(Default)]
pub(crate) struct SendState {
    state: AtomicU8,
    /// Connection on which the request was sent.
    connection: OnceLock<Arc<Connection>>,
}

const PENDING: u8 = 0;
const SENT: u8 = 1;
const ABANDONED: u8 = 2;

impl SendState {
    /// Returns whether the attempt may send; it counts as sent from then on.
    fn try_mark_sent(&self) -> bool {
        self.transition_from_pending(SENT)
    }

    /// Returns whether nothing was sent and nothing will be.
    fn try_abandon(&self) -> bool {
        self.transition_from_pending(ABANDONED)
    }

    fn transition_from_pending(&self, next: u8) -> bool {
        self.state
            .compare_exchange(PENDING, next, Ordering::SeqCst, Ordering::SeqCst)
            .is_ok()
    }
}

impl Attempt {
    /// Starts the attempt.
    pub(crate) fn start(self) -> RunningAttempt {
        let (sender, receiver) = async_channel::bounded(1);
        RunningAttempt {
            tasks: self.shared.tasks.clone(),
            send_state: self.send_state.clone(),
            run: Some(Box::pin(self.run(sender))),
            receiver,
        }
    }

    async fn run(self, result: Sender<AttemptResult>) {
        let upstream = self.slot.upstream().clone();
        let pool = self.plan.pool(&upstream);
        let connected = pool.take(&upstream, self.reuse, &self.shared.tasks).await;
        let mut connection = match connected {
            Ok(connection) => connection,
            Err(error) => {
                self.plan
                    .set
                    .report(self.slot, outcome_of_error(&error), Instant::now());
                let reason = format!("upstream {}: {error}", upstream.name());
                self.plan
                    .return_reservation(self.reservation, reason, &upstream, &result);
                return;
            }
        };
        // Making the connection may have taken long.
        if !self.may_still_start() || !self.send_state.try_mark_sent() {
            pool.put(connection);
            self.plan
                .set
                .report(self.slot, AttemptOutcome::Abandoned, Instant::now());
            let reason = "the configuration changed before the start".to_owned();
            self.plan
                .return_reservation(self.reservation, reason, &upstream, &result);
            return;
        }
        // This is set only once.
        let _ = self.send_state.connection.set(connection.tracked().clone());
        let sent_at = Instant::now();
        let run_end = sent_at + self.max_run;
        let exchanged = connection
            .exchange(self.request, self.deadline, run_end)
            .await;
        let now = Instant::now();
        match exchanged {
            Some(Ok(response)) => {
                pool.put(connection);
                let outcome = outcome_of_response(&response);
                self.plan.set.report(self.slot, outcome, now);
                if matches!(outcome, AttemptOutcome::Full | AttemptOutcome::Leaving) {
                    let reason = format!("upstream {} refused to run it", upstream.name());
                    self.plan
                        .return_reservation(self.reservation, reason, &upstream, &result);
                    return;
                }
                if outcome == AttemptOutcome::Success {
                    self.latency.record(now - sent_at);
                }
                self.plan.end(self.reservation, RunOutcome::Answered);
                send(&result, AttemptResult::Answered(response));
            }
            Some(Err(error)) if error.is_unsent() => {
                self.plan
                    .set
                    .report(self.slot, AttemptOutcome::Failure, now);
                let reason = format!("upstream {}: {error}", upstream.name());
                self.plan
                    .return_reservation(self.reservation, reason, &upstream, &result);
            }
            Some(Err(error)) => {
                self.plan
                    .set
                    .report(self.slot, AttemptOutcome::Failure, now);
                let reason = format!("upstream {}: {error}", upstream.name());
                send(&result, AttemptResult::ConnectionLost(reason));
                // The upstream may go on without its connection.
                self.plan.end_aborted(self.reservation, run_end).await;
            }
            None => {
                self.plan
                    .set
                    .report(self.slot, AttemptOutcome::Failure, now);
                send(&result, AttemptResult::RunTimeExceeded);
                // Closes the connection, which tells the upstream to stop.
                drop(connection);
                self.plan.end_aborted(self.reservation, run_end).await;
            }
        }
    }

    fn may_still_start(&self) -> bool {
        let now = Instant::now();
        let decision = self.shared.authority.decide(self.when_isolated, now);
        let revision = self.revision;
        let is_current = self.reservation.is_current(&self.shared);
        now < self.deadline && is_current && decision == Some(Decision::Start { revision })
    }
}

/// An attempt under way; it goes on as a task when this is dropped.
pub(crate) struct RunningAttempt {
    tasks: Tasks,
    send_state: Arc<SendState>,
    run: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
    receiver: Receiver<AttemptResult>,
}

impl RunningAttempt {
    /// Gives the attempt up; returns whether it ran nothing and never will.
    pub(crate) fn abandon(&self) -> bool {
        self.send_state.try_abandon()
    }

    /// Marks the connection of the attempt, and all that were opened before it,
    /// as silent.
    pub(crate) fn mark_unresponsive(&self) {
        if let Some(connection) = self.send_state.connection.get() {
            connection.mark_unresponsive();
        }
    }

    /// Waits for the result; `None` when the attempt has ended without one.
    pub(crate) async fn result(&mut self) -> Option<AttemptResult> {
        let received = async { self.receiver.recv().await.ok() };
        let Some(run) = &mut self.run else {
            return received.await;
        };
        let ended = async {
            run.await;
            None
        };
        let result = ended.or(received).await;
        if result.is_none() {
            self.run = None;
        }
        result.or_else(|| self.receiver.try_recv().ok())
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            // No caller waits for it, so a shutdown does not wait either; the
            // credit it holds is then reclaimed like that of a dead instance.
            self.tasks.spawn_until_stop(run);
        }
    }
}

/// Sends the result of an attempt.
pub(crate) fn send(result: &Sender<AttemptResult>, value: AttemptResult) {
    // A caller that has gone needs no result.
    let _ = result.try_send(value);
}

fn outcome_of_error(error: &ExchangeError) -> AttemptOutcome {
    match error {
        ExchangeError::NoConnection => AttemptOutcome::Full,
        ExchangeError::Http(_) => AttemptOutcome::Failure,
    }
}

/// Tells refusals before the run, failed runs and successes apart.
fn outcome_of_response(response: &Response<Bytes>) -> AttemptOutcome {
    let is_unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers();
    let says_not_run = headers
        .get(OUTCOME_HEADER)
        .is_some_and(|value| value == "not_run");
    if is_unavailable && headers.contains_key(LEAVING_HEADER) {
        AttemptOutcome::Leaving
    } else if is_unavailable && says_not_run {
        AttemptOutcome::Full
    } else if response.status().is_server_error() {
        AttemptOutcome::Failure
    } else {
        AttemptOutcome::Success
    }
}
