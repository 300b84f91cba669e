//! Follows an attempt to its end, with a hedge when it is slow.

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
    AttemptConstraints, //
    HedgeDecision,
    InFlightRequest,
};
use futures_lite::FutureExt as _;
use http::StatusCode;

use crate::{
    access,
    attempt::{
        Attempt,
        Attempted,
        Held,
        Started, //
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
    pool::Wanted,
    run::{
        self,
        AttemptEnd,
        Followed, //
    },
    shared::Shared,
    snapshot::Snapshot, //
};

/// Pause before another try to start a hedge for which there was no credit.
const HEDGE_PAUSE: Duration = Duration::from_millis(50);

/// Starts an attempt and waits for its end, at most until the caller's deadline.
pub(crate) async fn follow(
    shared: &Arc<Shared>,
    incoming: &Incoming,
    snapshot: &Snapshot,
    attempt: Box<Attempt>,
) -> Followed {
    let service = attempt.plan.clone();
    let sent_at = Instant::now();
    service.service.retries.on_request(sent_at);
    let first_upstream = attempt.slot.upstream().name().to_owned();
    let mut first = attempt.start();
    // The attempt was made on a queue of this snapshot.
    let Ok(plan) = access::queue_plan(snapshot, incoming.uri.path()) else {
        let attempted = first.result().await;
        return settled(attempted, &[&first]);
    };
    if let Some(attempted) = until_hedge(&mut first, plan, incoming, sent_at).await {
        return settled(attempted, &[&first]);
    }
    let deadline = incoming.deadline.at();
    loop {
        if let Some(hedge) = start_hedge(shared, incoming, snapshot, plan, &first_upstream) {
            return race(&mut first, hedge, &service, deadline).await;
        }
        // The team asks for a credit now; attempts that got no answer hold some.
        let at = deadline.min(Instant::now() + HEDGE_PAUSE);
        let attempted = until(&mut first, at).await;
        if attempted.is_some() || at == deadline {
            return settled(attempted, &[&first]);
        }
    }
}

/// A hedge under way.
struct StartedHedge {
    attempt: Started,
    /// Whether it runs on the upstream of the first attempt.
    is_same_upstream: bool,
}

/// Returns the outcome of a request whose time is over.
pub(crate) fn late(incoming: &Incoming) -> Outcome {
    Outcome::Unknown(Reason::new(
        StatusCode::GATEWAY_TIMEOUT,
        format!(
            "{}: no answer within the time allowed; it may still run",
            incoming.uri.path()
        ),
    ))
}

/// Waits for the first attempt until a hedge is due. The outer value is `None`
/// when one is, the inner one when the caller's time is over.
async fn until_hedge(
    first: &mut Started,
    plan: &QueuePlan,
    incoming: &Incoming,
    sent_at: Instant,
) -> Option<Option<Attempted>> {
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
                if let Some(attempted) = until(first, at).await {
                    return Some(Some(attempted));
                }
            }
            HedgeDecision::Never => {
                return Some(until(first, incoming.deadline.at()).await);
            }
        }
    }
}

/// Starts a hedge on another upstream and a new connection, when the team has a
/// credit for it.
fn start_hedge(
    shared: &Arc<Shared>,
    incoming: &Incoming,
    snapshot: &Snapshot,
    plan: &QueuePlan,
    first_upstream: &str,
) -> Option<StartedHedge> {
    let team = access::authorize(snapshot, plan, &incoming.headers).ok()?;
    let credit = shared.limits.take(team.name())?;
    let work = AttemptConstraints {
        repeatable: true,
        avoid: Some(first_upstream),
    };
    let set = &plan.service.set;
    let slot = set.choose(work, Instant::now(), rand::random)?;
    let is_same_upstream = slot.upstream().name() == first_upstream;
    let held = Held::Credit(credit);
    let revision = snapshot.revision;
    let hedge = run::attempt(shared, incoming, revision, plan, slot, held, Wanted::New);
    Some(StartedHedge {
        attempt: hedge.start(),
        is_same_upstream,
    })
}

/// Returns the first answer of two attempts, or the end of the later one.
///
/// When the hedge answers first on a new connection to the same upstream, the
/// connection of the first attempt counts as silent.
async fn race(
    first: &mut Started,
    mut hedge: StartedHedge,
    service: &ServicePlan,
    deadline: Instant,
) -> Followed {
    let second = &mut hedge.attempt;
    let one = async { (true, until(first, deadline).await) };
    let other = async { (false, until(second, deadline).await) };
    let (is_first, attempted) = one.or(other).await;
    let earlier_may_have_run = match attempted {
        Some(Attempted::NotRun(not_run)) => {
            service.end(not_run.held, RunOutcome::NotRun);
            false
        }
        Some(Attempted::Broken(_)) => true,
        attempted => {
            let has_answer = matches!(attempted, Some(Attempted::Answered(_)));
            if has_answer && !is_first && hedge.is_same_upstream {
                first.mark_silent();
            }
            return settled(attempted, &[first, second]);
        }
    };
    let later = if is_first { second } else { first };
    let attempted = until(later, deadline).await;
    let mut followed = settled(attempted, &[later]);
    followed.may_have_run |= earlier_may_have_run;
    followed
}

async fn until(attempt: &mut Started, at: Instant) -> Option<Attempted> {
    let attempted = attempt.result();
    let late = async {
        Timer::at(at).await;
        None
    };
    attempted.or(late).await
}

/// Returns the end of attempts, of which the open ones are given up.
fn settled(attempted: Option<Attempted>, open: &[&Started]) -> Followed {
    let (end, may_have_run) = match attempted {
        Some(Attempted::Answered(answer)) => (AttemptEnd::Answered(answer), false),
        Some(Attempted::Broken(reason)) => (AttemptEnd::Broken(reason), true),
        Some(Attempted::RunTimeOver) => (AttemptEnd::Late, true),
        None => {
            let ran_nothing = open.iter().all(|attempt| attempt.abandon());
            (AttemptEnd::Late, !ran_nothing)
        }
        Some(Attempted::NotRun(not_run)) => {
            let end = AttemptEnd::NotRun {
                held: not_run.held,
                reason: not_run.reason,
                avoid: not_run.avoid,
            };
            (end, false)
        }
    };
    Followed { end, may_have_run }
}
