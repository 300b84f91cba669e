//! One attempt to run a request on an upstream.
//!
//! An attempt is polled by the request that waits for it. If that request ends
//! first, because the caller disconnected or a hedge was faster, the attempt
//! continues as a separate task until the upstream answers or `max_run_ms` has
//! elapsed, so that the team's credit stays in use while the work may still run.

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

/// Header of an upstream's 503 response; the value `not_run` means that the
/// upstream refused the request before running it.
const OUTCOME_HEADER: &str = "dotterelsill-outcome";

/// Header of an upstream's 503 response that means that the upstream is shutting
/// down.
const LEAVING_HEADER: &str = "dotterelsill-leaving";

/// What an attempt occupies while the work may run.
pub(crate) enum Reservation {
    /// Slot of the service and credit of a first attempt.
    Permit(Permit),
    /// Credit of a retry or hedge, which takes no slot of the service.
    Credit(Option<HeldCredit>),
}

impl Reservation {
    /// Returns whether the credit, if there is one, belongs to the current
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

/// Result of an attempt.
pub(crate) enum AttemptResult {
    /// The upstream answered in full.
    Answered(Response<Bytes>),
    /// Nothing was run; the reservation is returned for another attempt.
    NotRun(NotRun),
    /// The connection was lost after the request may have been sent.
    ConnectionLost(String),
    /// The work exceeded its maximum run time.
    RunTimeExceeded,
}

/// An attempt that ran nothing.
pub(crate) struct NotRun {
    /// Reason to report to the caller.
    pub(crate) reason: String,
    /// The attempt's reservation, for the next attempt.
    pub(crate) reservation: Reservation,
    /// Name of the upstream that the next attempt should avoid.
    pub(crate) avoid: String,
}

/// An attempt that has not been started yet.
pub(crate) struct Attempt {
    pub(crate) shared: Arc<Shared>,
    pub(crate) plan: Arc<ServicePlan>,
    pub(crate) latency: Arc<LatencyHistogram>,
    pub(crate) slot: Slot,
    pub(crate) reservation: Reservation,
    pub(crate) request: Request<Full<Bytes>>,
    pub(crate) reuse: ReusePolicy,
    /// Configuration revision under which the start was allowed.
    pub(crate) revision: u64,
    pub(crate) when_isolated: WhenIsolated,
    pub(crate) deadline: Instant,
    pub(crate) max_run: Duration,
    pub(crate) send_state: Arc<SendState>,
}

/// Shared by an attempt and the request that waits for it: decides whether the
/// attempt sends the request or the waiting side abandons it first.
#[derive(Default)]
pub(crate) struct SendState {
    state: AtomicU8,
    /// Connection on which the request was sent.
    connection: OnceLock<Arc<Connection>>,
}

/// Nothing was sent yet.
const PENDING: u8 = 0;
/// The attempt sends the request or has sent it.
const SENT: u8 = 1;
/// The attempt was abandoned before anything was sent.
const ABANDONED: u8 = 2;

impl SendState {
    /// Marks the request as sent; returns `false` if it was abandoned before.
    fn try_mark_sent(&self) -> bool {
        self.transition_from_pending(SENT)
    }

    /// Abandons the attempt; returns whether nothing was sent and nothing will be.
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
    /// Returns the attempt as a future that can be awaited or dropped.
    pub(crate) fn start(self) -> RunningAttempt {
        let (sender, receiver) = async_channel::bounded(1);
        RunningAttempt {
            tasks: self.shared.tasks.clone(),
            send_state: self.send_state.clone(),
            run: Some(Box::pin(self.run(sender))),
            receiver,
        }
    }

    /// Connects, sends the request and reports the result to the slot's upstream
    /// and to the request that waits.
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
        // Connecting may have taken long, so the conditions are checked again.
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
        // Each attempt sets this once, so it cannot fail.
        let _ = self.send_state.connection.set(connection.guard().clone());
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
                // The upstream may continue the work without the connection.
                self.plan.end_aborted(self.reservation, run_end).await;
            }
            None => {
                self.plan
                    .set
                    .report(self.slot, AttemptOutcome::Failure, now);
                send(&result, AttemptResult::RunTimeExceeded);
                // Closing the connection tells the upstream to stop.
                drop(connection);
                self.plan.end_aborted(self.reservation, run_end).await;
            }
        }
    }

    /// Returns whether deadline, credit and authority still allow the start.
    fn may_still_start(&self) -> bool {
        let now = Instant::now();
        let decision = self.shared.authority.decide(self.when_isolated, now);
        let revision = self.revision;
        let is_current = self.reservation.is_current(&self.shared);
        now < self.deadline && is_current && decision == Some(Decision::Start { revision })
    }
}

/// A started attempt; when this is dropped, it continues as a separate task.
pub(crate) struct RunningAttempt {
    tasks: Tasks,
    send_state: Arc<SendState>,
    run: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
    receiver: Receiver<AttemptResult>,
}

impl RunningAttempt {
    /// Abandons the attempt; returns whether it ran nothing and never will.
    pub(crate) fn abandon(&self) -> bool {
        self.send_state.try_abandon()
    }

    /// Marks the attempt's connection, and all that were opened before it, as
    /// unresponsive.
    pub(crate) fn mark_unresponsive(&self) {
        if let Some(connection) = self.send_state.connection.get() {
            connection.mark_unresponsive();
        }
    }

    /// Waits for the result; `None` if the attempt has ended without one.
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
            // No caller waits for it, so a shutdown does not wait either; other
            // instances then reclaim its credit like that of an instance that died.
            self.tasks.spawn_until_stop(run);
        }
    }
}

/// Sends the result of an attempt to the request that waits for it.
pub(crate) fn send(result: &Sender<AttemptResult>, value: AttemptResult) {
    // Sending fails only if the waiting request has ended.
    let _ = result.try_send(value);
}

/// Returns how an attempt that got no response counts for its upstream.
fn outcome_of_error(error: &ExchangeError) -> AttemptOutcome {
    match error {
        ExchangeError::NoConnection => AttemptOutcome::Full,
        ExchangeError::Http(_) => AttemptOutcome::Failure,
    }
}

/// Returns how a response counts for its upstream: as a refusal before the run, a
/// failed run or a success.
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
