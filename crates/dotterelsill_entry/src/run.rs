//! Runs an admitted request: starts attempts one after the other until one has a
//! final result.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;
use dotterelsill_admission::RunOutcome;
use dotterelsill_routing::AttemptConstraints;
use http::StatusCode;

use crate::{
    access,
    attempt::{
        Attempt,
        Reservation, //
    },
    hedge::{
        deadline_outcome,
        run_hedged, //
    },
    incoming::{
        classify_answer,
        Incoming, //
    },
    limits::HeldCredit,
    outcome::{
        Outcome,
        Reason, //
    },
    plan::QueuePlan,
    pool::ReusePolicy,
    service::Permit,
    shared::Shared,
    snapshot::Snapshot,
    start, //
};

/// Pause before the next attempt when the last one ran nothing or all slots of
/// the upstreams are in use.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Combined result of an attempt and its hedge.
pub(crate) struct HedgedResult {
    pub(crate) end: AttemptEnd,
    /// Whether the attempt or its hedge may have run the work although neither
    /// returned an answer.
    pub(crate) may_have_run: bool,
}

/// How an attempt ended.
pub(crate) enum AttemptEnd {
    /// The upstream answered in full.
    Answered(hyper::Response<bytes::Bytes>),
    /// The caller's deadline has passed, or the work exceeded its maximum run
    /// time.
    TimedOut,
    /// Nothing was run; the reservation is returned for another attempt.
    NotRun {
        reservation: Reservation,
        reason: String,
        avoid: String,
    },
    /// The connection was lost after the request may have been sent.
    ConnectionLost(String),
}

/// Runs an admitted request and returns its outcome.
///
/// An attempt that ran nothing is repeated until the deadline. One that lost its
/// connection is repeated only if the queue is repeatable and the retry budget
/// allows it.
pub(crate) async fn run(shared: &Arc<Shared>, incoming: &Incoming, permit: Permit) -> Outcome {
    let mut reservation = Reservation::Permit(permit);
    let mut avoid = None;
    let mut last_reason = String::new();
    let mut may_have_run = false;
    loop {
        let (snapshot, attempt) =
            match prepare(shared, incoming, reservation, avoid.as_deref()).await {
                Ok(Prepared::Attempt(snapshot, attempt)) => (snapshot, attempt),
                Ok(Prepared::NoSlot(returned)) => {
                    reservation = returned;
                    if Instant::now() >= incoming.deadline.at() {
                        release(shared, incoming, reservation);
                        return refused(busy(&last_reason), may_have_run);
                    }
                    Timer::after(RETRY_PAUSE).await;
                    continue;
                }
                Err(reason) => return refused(reason, may_have_run),
            };
        let result = run_hedged(shared, incoming, &snapshot, attempt).await;
        may_have_run |= result.may_have_run;
        match result.end {
            AttemptEnd::Answered(answer) => return classify_answer(answer),
            AttemptEnd::TimedOut if !may_have_run => return Outcome::NotRun(busy(&last_reason)),
            AttemptEnd::TimedOut => return deadline_outcome(incoming),
            AttemptEnd::NotRun {
                reservation: returned,
                reason,
                avoid: name,
            } => {
                reservation = returned;
                last_reason = reason;
                avoid = Some(name);
                if Instant::now() >= incoming.deadline.at() {
                    release(shared, incoming, reservation);
                    return refused(busy(&last_reason), may_have_run);
                }
                Timer::after(RETRY_PAUSE).await;
            }
            AttemptEnd::ConnectionLost(reason) => match retry_credit(shared, incoming) {
                Some(credit) => {
                    reservation = Reservation::Credit(credit);
                    last_reason = reason;
                }
                None => return Outcome::Unknown(Reason::new(StatusCode::BAD_GATEWAY, reason)),
            },
        }
    }
}

/// Returns the outcome of a request that gets no further attempt: `NotRun` only
/// if no earlier attempt may have run the work.
fn refused(reason: Reason, may_have_run: bool) -> Outcome {
    if may_have_run {
        Outcome::Unknown(Reason::new(StatusCode::BAD_GATEWAY, reason.text))
    } else {
        Outcome::NotRun(reason)
    }
}

/// Result of preparing an attempt: the attempt, or the reservation if all slots of
/// the upstreams are in use.
enum Prepared {
    Attempt(Arc<Snapshot>, Box<Attempt>),
    NoSlot(Reservation),
}

/// Checks that the work may start now, and reserves a slot of an upstream for it.
async fn prepare(
    shared: &Arc<Shared>,
    incoming: &Incoming,
    reservation: Reservation,
    avoid: Option<&str>,
) -> Result<Prepared, Reason> {
    let snapshot = match check_start(shared, incoming).await {
        Ok(snapshot) => snapshot,
        Err(reason) => {
            release(shared, incoming, reservation);
            return Err(reason);
        }
    };
    if !reservation.is_current(shared) {
        release(shared, incoming, reservation);
        return Err(Reason::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "this instance has registered anew; send the request again",
        ));
    }
    let plan = match access::queue_plan(&snapshot, incoming.uri.path()) {
        Ok(plan) => plan,
        Err(reason) => {
            release(shared, incoming, reservation);
            return Err(reason);
        }
    };
    let now = Instant::now();
    let constraints = AttemptConstraints {
        repeatable: plan.queue.repeatable,
        avoid,
    };
    let Some(slot) = plan.service.set.choose(constraints, now, rand::random) else {
        if plan.service.set.capacity(now) > 0 {
            return Ok(Prepared::NoSlot(reservation));
        }
        plan.service.end(reservation, RunOutcome::NotRun);
        return Err(Reason::new(
            StatusCode::SERVICE_UNAVAILABLE,
            format!("service {} has no upstream in use", plan.queue.service),
        ));
    };
    let reuse = if plan.queue.repeatable {
        ReusePolicy::AnyIdle
    } else {
        ReusePolicy::RecentlyUsed
    };
    let attempt = create_attempt(
        shared,
        incoming,
        snapshot.revision,
        plan,
        slot,
        reservation,
        reuse,
    );
    Ok(Prepared::Attempt(snapshot, Box::new(attempt)))
}

/// Creates an attempt on a reserved slot of an upstream.
pub(crate) fn create_attempt(
    shared: &Arc<Shared>,
    incoming: &Incoming,
    revision: u64,
    plan: &QueuePlan,
    slot: dotterelsill_routing::Slot,
    reservation: Reservation,
    reuse: ReusePolicy,
) -> Attempt {
    Attempt {
        shared: shared.clone(),
        plan: plan.service.clone(),
        latency: plan.latency.clone(),
        slot,
        reservation,
        request: incoming.forwarded(),
        reuse,
        revision,
        when_isolated: plan.when_isolated(),
        deadline: incoming.deadline.at(),
        max_run: Duration::from_millis(plan.queue.max_run_ms.into()),
        send_state: Arc::default(),
    }
}

/// Checks authority and authorization again, and returns the configuration under
/// which the work may start now.
async fn check_start(shared: &Shared, incoming: &Incoming) -> Result<Arc<Snapshot>, Reason> {
    let snapshot = shared.snapshot.load_full();
    let plan = access::queue_plan(&snapshot, incoming.uri.path())?;
    let snapshot = start::wait_until_allowed(shared, plan, incoming.deadline.at()).await?;
    // The key may have been withdrawn while the request was waiting.
    let plan = access::queue_plan(&snapshot, incoming.uri.path())?;
    access::authorize(&snapshot, plan, &incoming.headers)?;
    Ok(snapshot)
}

/// Releases the reservation of a request that gets no further attempt.
fn release(shared: &Shared, incoming: &Incoming, reservation: Reservation) {
    let snapshot = shared.snapshot.load_full();
    match access::queue_plan(&snapshot, incoming.uri.path()) {
        Ok(plan) => plan.service.end(reservation, RunOutcome::NotRun),
        Err(_) => drop(reservation),
    }
}

/// Takes a credit for a retry if the queue is repeatable and the retry budget
/// allows one. The inner value is `None` for a team without an upper limit.
fn retry_credit(shared: &Shared, incoming: &Incoming) -> Option<Option<HeldCredit>> {
    let snapshot = shared.snapshot.load_full();
    let plan = access::queue_plan(&snapshot, incoming.uri.path()).ok()?;
    let team = access::authorize(&snapshot, plan, &incoming.headers).ok()?;
    let may_retry = plan.queue.repeatable && plan.service.service.retries.try_retry(Instant::now());
    may_retry.then(|| shared.limits.take(team.name()))?
}

/// Returns the reason for the caller when no upstream took the request in time.
fn busy(last_reason: &str) -> Reason {
    let reason = match last_reason {
        "" => "all upstreams are busy",
        reason => reason,
    };
    Reason::new(
        StatusCode::SERVICE_UNAVAILABLE,
        format!("{reason}; send the request again later"),
    )
}
