//! Runs an attempt and, if it is slow, a hedge: a second attempt at the same
//! request, of which the first answer counts.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;
use dotterelsill_admission::RunOutcome;
use dotterelsill_routing::{
    AttemptConstraints,
    HedgeDecision,
    InFlightRequest, //
};
use futures_lite::FutureExt as _;
use http::StatusCode;

use crate::{
    access,
    attempt::{
        Attempt,
        AttemptResult,
        Reservation,
        RunningAttempt, //
    },
    incoming::Incoming,
    outcome::{
        Outcome,
        Reason, //
    },
    plan::{
        QueuePlan,
        ServicePlan, //
    },
    pool::ReusePolicy,
    run::{
        self,
        AttemptEnd,
        HedgedResult, //
    },
    shared::Shared,
    snapshot::Snapshot, //
};

/// Pause before another try to start a hedge for which no credit was free.
const HEDGE_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Runs an attempt, hedged if it is slow, at most until the caller's deadline.
pub(crate) async fn run_hedged(
    shared: &Arc<Shared>,
    incoming: &Incoming,
    snapshot: &Snapshot,
    attempt: Box<Attempt>,
) -> HedgedResult {
    let service = attempt.plan.clone();
    let sent_at = Instant::now();
    service.service.retries.on_request(sent_at);
    let first_upstream = attempt.slot.upstream().name().to_owned();
    let mut first = attempt.start();
    // The attempt was created from a queue of this snapshot, so the queue exists.
    let Ok(plan) = access::queue_plan(snapshot, incoming.uri.path()) else {
        let result = first.result().await;
        return conclude(result, &[&first]);
    };
    if let Some(result) = result_before_hedge(&mut first, plan, incoming, sent_at).await {
        return conclude(result, &[&first]);
    }
    let deadline = incoming.deadline.at();
    loop {
        if let Some(hedge) = start_hedge(shared, incoming, snapshot, plan, &first_upstream) {
            return race(&mut first, hedge, &service, deadline).await;
        }
        // The failed try has signalled that the team needs another credit, since
        // its attempts without an answer keep some in use.
        let at = deadline.min(Instant::now() + HEDGE_RETRY_PAUSE);
        let result = result_until(&mut first, at).await;
        if result.is_some() || at == deadline {
            return conclude(result, &[&first]);
        }
    }
}

/// A started hedge.
struct RunningHedge {
    attempt: RunningAttempt,
    /// Whether it runs on the same upstream as the first attempt.
    is_same_upstream: bool,
}

/// Returns the outcome of a request that may still run after its deadline.
pub(crate) fn deadline_outcome(incoming: &Incoming) -> Outcome {
    Outcome::Unknown(Reason::new(
        StatusCode::GATEWAY_TIMEOUT,
        format!(
            "{}: no answer within the time allowed; it may still run",
            incoming.uri.path()
        ),
    ))
}

/// Waits for the first attempt until a hedge is due. The outer value is `None` if
/// a hedge is due, the inner one if the deadline has passed.
async fn result_before_hedge(
    first: &mut RunningAttempt,
    plan: &QueuePlan,
    incoming: &Incoming,
    sent_at: Instant,
) -> Option<Option<AttemptResult>> {
    let request = InFlightRequest {
        sent_at,
        deadline: incoming.deadline,
        repeatable: plan.queue.repeatable,
        hedged: false,
    };
    let retries = &plan.service.service.retries;
    loop {
        match HedgeDecision::decide(&request, &plan.latency, retries, Instant::now()) {
            HedgeDecision::Send => return None,
            HedgeDecision::WaitUntil(at) => {
                if let Some(result) = result_until(first, at).await {
                    return Some(Some(result));
                }
            }
            HedgeDecision::Never => {
                return Some(result_until(first, incoming.deadline.at()).await);
            }
        }
    }
}

/// Starts a hedge on a new connection, preferably to another upstream. Returns
/// `None` if the team has no credit for it or no upstream has a free slot.
fn start_hedge(
    shared: &Arc<Shared>,
    incoming: &Incoming,
    snapshot: &Snapshot,
    plan: &QueuePlan,
    first_upstream: &str,
) -> Option<RunningHedge> {
    let team = access::authorize(snapshot, plan, &incoming.headers).ok()?;
    let credit = shared.limits.take(team.name())?;
    let constraints = AttemptConstraints {
        repeatable: true,
        avoid: Some(first_upstream),
    };
    let set = &plan.service.set;
    let slot = set.choose(constraints, Instant::now(), rand::random)?;
    let is_same_upstream = slot.upstream().name() == first_upstream;
    let reservation = Reservation::Credit(credit);
    let revision = snapshot.revision;
    let hedge = run::create_attempt(
        shared,
        incoming,
        revision,
        plan,
        slot,
        reservation,
        ReusePolicy::Never,
    );
    Some(RunningHedge {
        attempt: hedge.start(),
        is_same_upstream,
    })
}

/// Returns the first answer of two attempts. If the first to end has no answer,
/// waits for the other one.
///
/// If the hedge answers first on a new connection to the same upstream, the
/// connection of the first attempt is marked as unresponsive.
async fn race(
    first: &mut RunningAttempt,
    mut hedge: RunningHedge,
    service: &ServicePlan,
    deadline: Instant,
) -> HedgedResult {
    let second = &mut hedge.attempt;
    let one = async { (true, result_until(first, deadline).await) };
    let other = async { (false, result_until(second, deadline).await) };
    let (is_first, result) = one.or(other).await;
    let earlier_may_have_run = match result {
        Some(AttemptResult::NotRun(not_run)) => {
            service.end(not_run.reservation, RunOutcome::NotRun);
            false
        }
        Some(AttemptResult::ConnectionLost(_)) => true,
        result => {
            let has_answer = matches!(result, Some(AttemptResult::Answered(_)));
            if has_answer && !is_first && hedge.is_same_upstream {
                first.mark_unresponsive();
            }
            return conclude(result, &[first, second]);
        }
    };
    let later = if is_first { second } else { first };
    let result = result_until(later, deadline).await;
    let mut hedged = conclude(result, &[later]);
    hedged.may_have_run |= earlier_may_have_run;
    hedged
}

/// Waits for the result of an attempt until an instant.
async fn result_until(attempt: &mut RunningAttempt, at: Instant) -> Option<AttemptResult> {
    let result = attempt.result();
    let late = async {
        Timer::at(at).await;
        None
    };
    result.or(late).await
}

/// Returns the combined result of attempts and, if there is none, abandons those
/// that are still pending.
fn conclude(result: Option<AttemptResult>, pending: &[&RunningAttempt]) -> HedgedResult {
    let (end, may_have_run) = match result {
        Some(AttemptResult::Answered(answer)) => (AttemptEnd::Answered(answer), false),
        Some(AttemptResult::ConnectionLost(reason)) => (AttemptEnd::ConnectionLost(reason), true),
        Some(AttemptResult::RunTimeExceeded) => (AttemptEnd::TimedOut, true),
        None => {
            let ran_nothing = pending.iter().all(|attempt| attempt.abandon());
            (AttemptEnd::TimedOut, !ran_nothing)
        }
        Some(AttemptResult::NotRun(not_run)) => {
            let end = AttemptEnd::NotRun {
                reservation: not_run.reservation,
                reason: not_run.reason,
                avoid: not_run.avoid,
            };
            (end, false)
        }
    };
    HedgedResult { end, may_have_run }
}
