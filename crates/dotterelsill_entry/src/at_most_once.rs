//! Requests of queues that are not repeatable: each is run at most once, however
//! often and at whichever instance the caller retries it.

use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant,
        SystemTime, //
    }, //
};

use async_io::Timer;
use bytes::Bytes;
use dotterelsill_claims::{
    Attempt,
    AttemptId,
    Claim,
    ClaimReply,
    Event as AttemptEvent,
    Identifier,
    Incarnation,
    Key,
    NotRunReason,
    Outcome as ClaimOutcome,
    RunEnd,
    RunLimits,
    Runs,
    Step,
    UnknownReason, //
};
use dotterelsill_revision::Decision;
use event_listener::Event;
use futures_lite::FutureExt as _;
use http::{
    HeaderMap,
    StatusCode, //
};
use hyper::Response;

use crate::{
    access,
    forward::{
        self,
        ForwardedRequest, //
    },
    incoming::{
        classify_answer,
        Incoming, //
    },
    outcome::{
        Outcome,
        Reason,
        Refusal, //
    },
    run,
    shared::Shared, //
};

/// Header with the idempotency key that the caller chose.
const KEY_HEADER: &str = "idempotency-key";

/// Header with the time at which the caller chose the key, in seconds since the
/// Unix epoch.
const ISSUED_HEADER: &str = "idempotency-issued-at";

/// Time between two queries to a claimant about a request in flight there.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time that a request's task gets after the deadline to report its outcome.
const DEADLINE_GRACE: Duration = Duration::from_millis(100);

/// A stored answer, shared by all retries of a request.
pub(crate) type Answer = Arc<Response<Bytes>>;

/// Runs that this process has started, with their stored answers.
pub(crate) struct RunRegistry {
    runs: Mutex<Runs<Answer>>,
    /// Notified after each event of a request, so that retries see the end of the
    /// run that they wait for.
    run_ended: Event,
    next_number: AtomicU64,
}

impl RunRegistry {
    /// Creates the registry of a process that has run nothing.
    pub(crate) fn new(process: Incarnation) -> Self {
        Self {
            runs: Mutex::new(Runs::new(process, RunLimits::default())),
            run_ended: Event::new(),
            next_number: AtomicU64::new(1),
        }
    }

    /// Drops old answers, and the identifiers whose claims have expired.
    pub(crate) fn expire(&self, now: Instant) {
        self.lock().expire(now);
    }

    fn lock(&self) -> MutexGuard<'_, Runs<Answer>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the idempotency key and its time of issue from the headers of a request.
pub(crate) fn identify(queue: &str, team: &str, headers: &HeaderMap) -> Result<Key, Refusal> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let issued_at_s = text(ISSUED_HEADER).and_then(|value| value.parse().ok());
    let (Some(key), Some(issued_at_s)) = (text(KEY_HEADER), issued_at_s) else {
        return Err(Refusal::NotRun(Reason::new(
            StatusCode::BAD_REQUEST,
            format!(
                "queue {queue} runs requests at most once; send the headers {KEY_HEADER} and \
                 {ISSUED_HEADER} (seconds since the epoch), the same on each retry"
            ),
        )));
    };
    match Identifier::check(queue, team, key, issued_at_s, SystemTime::now()) {
        Ok(identifier) => Ok(identifier.key()),
        Err(error) => {
            let text = error.to_string();
            Err(match error.outcome::<Answer>() {
                ClaimOutcome::NotRun(_) => {
                    Refusal::NotRun(Reason::new(StatusCode::BAD_REQUEST, text))
                }
                _ => Refusal::Unknown(Reason::new(StatusCode::GONE, text)),
            })
        }
    }
}

/// Runs a caller's request at most once.
///
/// The request continues as a task after the caller's deadline, so that a retry
/// finds the answer.
pub(crate) async fn serve(shared: &Arc<Shared>, key: Key, incoming: Incoming) -> Outcome {
    let runs = &shared.runs;
    let attempt_id = AttemptId {
        incarnation: shared.process,
        number: runs.next_number.fetch_add(1, Ordering::Relaxed),
    };
    let (attempt, step) = Attempt::from_caller(key, attempt_id, &runs.lock());
    // At the deadline the task knows more about the outcome than this function, so
    // it gets time to report first.
    let until = incoming.deadline.at() + DEADLINE_GRACE;
    await_outcome(shared, attempt, step, incoming, until)
        .await
        .unwrap_or_else(|| Outcome::Unknown(unknown(UnknownReason::Deadline)))
}

/// Runs a request that a peer forwarded because this process holds its claim;
/// `None` while it is in flight.
pub(crate) async fn serve_forwarded(
    shared: &Arc<Shared>,
    forwarded: ForwardedRequest,
) -> Option<Outcome> {
    let ForwardedRequest {
        claimant,
        attempt_id,
        key,
        incoming,
    } = forwarded;
    let now = Instant::now();
    let (attempt, step) =
        Attempt::from_peer(key, claimant, attempt_id, &mut shared.runs.lock(), now);
    // The peer polls, so a slow run does not keep its call open.
    let answer_by = now + forward::MAX_ANSWER_DELAY;
    await_outcome(shared, attempt, step, incoming, answer_by).await
}

/// Spawns the task of a request and waits for its outcome until an instant.
async fn await_outcome(
    shared: &Arc<Shared>,
    attempt: Attempt,
    step: Step<Answer>,
    incoming: Incoming,
    until: Instant,
) -> Option<Outcome> {
    let (sender, receiver) = async_channel::bounded(1);
    let task = RequestTask {
        shared: shared.clone(),
        attempt,
        incoming: Arc::new(incoming),
    };
    shared.requests.spawn(async move {
        let outcome = task.run_steps(step).await;
        // Sending fails only if the caller has disconnected.
        let _ = sender.try_send(outcome);
    });
    let outcome = async { receiver.recv().await.ok() };
    let late = async {
        Timer::at(until).await;
        None
    };
    outcome.or(late).await
}

/// One request on its way through the claim protocol.
struct RequestTask {
    shared: Arc<Shared>,
    attempt: Attempt,
    incoming: Arc<Incoming>,
}

impl RequestTask {
    /// Executes the steps of the claim protocol until the outcome is known.
    async fn run_steps(mut self, mut step: Step<Answer>) -> Outcome {
        let mut last_reason = None;
        loop {
            let event = match step {
                Step::Finish(outcome) => return to_outcome(outcome, last_reason),
                Step::RequestClaim => self.before_deadline(self.request_claim()).await,
                Step::CheckAuthority => AttemptEvent::AuthorityChecked(self.may_start()),
                Step::Dispatch => {
                    let (end, reason) = self.dispatch().await;
                    last_reason = reason;
                    AttemptEvent::RunEnded(end)
                }
                Step::WaitForRun => self.before_deadline(self.wait_for_run()).await,
                Step::ForwardToClaimant(claimant) => {
                    self.before_deadline(self.forward_to_claimant(claimant))
                        .await
                }
                Step::PollClaimant(claimant) => {
                    Timer::after(POLL_INTERVAL).await;
                    self.before_deadline(self.forward_to_claimant(claimant))
                        .await
                }
            };
            let mut runs = self.shared.runs.lock();
            let next = self.attempt.on_event(event, &mut runs, Instant::now());
            drop(runs);
            self.shared.runs.run_ended.notify(usize::MAX);
            // Each event above answers the step that the protocol asked for, so
            // `on_event` always returns a next step.
            step = match next {
                Some(next) => next,
                None => Step::Finish(ClaimOutcome::Unknown(UnknownReason::Deadline)),
            };
        }
    }

    /// Waits for an event, or returns [`AttemptEvent::Deadline`] if the deadline
    /// passes first.
    async fn before_deadline(
        &self,
        event: impl std::future::Future<Output = AttemptEvent<Answer>>,
    ) -> AttemptEvent<Answer> {
        let deadline = async {
            Timer::at(self.incoming.deadline.at()).await;
            AttemptEvent::Deadline
        };
        event.or(deadline).await
    }

    /// Requests the claim from the bucket's owner. A claim that this process holds
    /// already counts as granted.
    async fn request_claim(&self) -> AttemptEvent<Answer> {
        let claim = Claim {
            key: self.attempt.key(),
            claimant: self.shared.process,
        };
        match forward::request_claim(&self.shared, claim).await {
            Some(ClaimReply::ClaimedBy(claimant)) if claimant == self.shared.process => {
                AttemptEvent::ClaimReply(ClaimReply::Granted)
            }
            Some(reply) => AttemptEvent::ClaimReply(reply),
            None => AttemptEvent::OwnerUnreachable,
        }
    }

    /// Returns whether this instance may start work of the queue now.
    fn may_start(&self) -> bool {
        let snapshot = self.shared.snapshot.load_full();
        let Ok(plan) = access::queue_plan(&snapshot, self.incoming.uri.path()) else {
            return false;
        };
        let now = Instant::now();
        let decision = self.shared.authority.decide(plan.when_isolated(), now);
        matches!(decision, Some(Decision::Start { .. }))
    }

    /// Waits until the run of this identifier in this process has ended.
    async fn wait_for_run(&self) -> AttemptEvent<Answer> {
        loop {
            let run_ended = self.shared.runs.run_ended.listen();
            let status = self
                .shared
                .runs
                .lock()
                .status(self.shared.process, self.attempt.key());
            if !matches!(status, dotterelsill_claims::RunStatus::InFlight) {
                return AttemptEvent::AwaitedRunEnded;
            }
            run_ended.await;
        }
    }

    /// Forwards the request to the process that holds its claim.
    async fn forward_to_claimant(&self, claimant: Incarnation) -> AttemptEvent<Answer> {
        let attempt_id = self.attempt.id();
        match forward::forward_to_claimant(&self.shared, claimant, attempt_id, &self.incoming).await
        {
            Some(answer) => AttemptEvent::ClaimantReply(answer),
            None => AttemptEvent::ClaimantUnreachable,
        }
    }

    /// Admits and runs the request; also returns the reason if it has no answer.
    async fn dispatch(&self) -> (RunEnd<Answer>, Option<Reason>) {
        match self.admit_and_run().await {
            Outcome::Answered(answer) | Outcome::Failed(answer) => {
                let bytes = answer.body().len();
                let answer = Arc::new(answer);
                (RunEnd::Answered { answer, bytes }, None)
            }
            Outcome::NotRun(reason) => (RunEnd::NotSent, Some(reason)),
            Outcome::Unknown(reason) => (RunEnd::NoAnswer, Some(reason)),
        }
    }

    async fn admit_and_run(&self) -> Outcome {
        let snapshot = self.shared.snapshot.load_full();
        let admitted = async {
            let plan = access::queue_plan(&snapshot, self.incoming.uri.path())?;
            let team = access::authorize(&snapshot, plan, &self.incoming.headers)?;
            let deadline = self.incoming.deadline.at();
            let service = &plan.service.service;
            service.admit(team, plan.queue.urgency, deadline).await
        };
        match admitted.await {
            Ok(permit) => run::run(&self.shared, &self.incoming, permit).await,
            Err(reason) => Outcome::NotRun(reason),
        }
    }
}

/// Converts the outcome of the claim protocol; `last_reason` explains it in more
/// detail if there is one.
fn to_outcome(outcome: ClaimOutcome<Answer>, last_reason: Option<Reason>) -> Outcome {
    match outcome {
        ClaimOutcome::Answered(answer) => classify_answer(Response::clone(&answer)),
        ClaimOutcome::NotRun(reason) => {
            Outcome::NotRun(last_reason.unwrap_or_else(|| not_run(reason)))
        }
        ClaimOutcome::Unknown(reason) => {
            Outcome::Unknown(last_reason.unwrap_or_else(|| unknown(reason)))
        }
    }
}

fn not_run(reason: NotRunReason) -> Reason {
    let text = match reason {
        NotRunReason::InvalidIdentifier => "the identifier cannot be accepted",
        NotRunReason::NoClaim => "no claim could be written",
        NotRunReason::NoAuthority => "this instance may not start work now",
        NotRunReason::NotSent => "no upstream could be reached",
        NotRunReason::RefusedByClaimant => "the instance that holds the claim refused to start it",
        NotRunReason::Deadline => "the time allowed is over",
    };
    Reason::new(
        StatusCode::SERVICE_UNAVAILABLE,
        format!("{text}; send the request again with the same identifier"),
    )
}

fn unknown(reason: UnknownReason) -> Reason {
    let text = match reason {
        UnknownReason::IssueTime => "the identifier is too old to be looked up",
        UnknownReason::NoAnswer => "the upstream gave no whole answer",
        UnknownReason::AnswerDropped => "the request ran; its answer is not kept any more",
        UnknownReason::ClaimantGone => "the instance that may have run the request is gone",
        UnknownReason::Deadline => "the request is still running",
    };
    Reason::new(
        StatusCode::GATEWAY_TIMEOUT,
        format!("{text}; it is not run again under this identifier"),
    )
}
