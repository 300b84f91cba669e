//! Runs an admitted request: attempts, retries and one hedge.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;
use bytes::Bytes;
use dotterelsill_admission::End;
use dotterelsill_routing::{
    Deadline,
    Hedge,
    HedgeRequest,
    Work, //
};
use futures_lite::FutureExt as _;
use http::{
    header,
    HeaderMap,
    HeaderValue,
    Method,
    StatusCode,
    Uri, //
};
use http_body_util::Full;
use hyper::{
    Request,
    Response, //
};

use crate::{
    access,
    attempt::{
        Attempt,
        Attempted,
        Held,
        Started, //
    },
    outcome::{
        Outcome,
        Reason, //
    },
    pool::Wanted,
    service::Permit,
    shared::Shared,
    snapshot::Snapshot,
    start, //
};

/// Header that tells an upstream how long the caller still waits, in
/// milliseconds.
const DEADLINE_HEADER: &str = "dotterelsill-deadline-ms";

/// Pause before another look at upstreams whose slots are all taken.
const SLOT_PAUSE: Duration = Duration::from_millis(5);

/// A request of a caller, read in full.
pub(crate) struct Incoming {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers as the caller sent them.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) deadline: Deadline,
}

/// What became of the first or another attempt.
enum Step {
    Done(Outcome),
    /// Nothing was run; another attempt may follow, away from an upstream.
    Again {
        held: Held,
        reason: String,
        avoid: String,
    },
}

/// Runs a request that was admitted.
pub(crate) async fn run(shared: &Arc<Shared>, incoming: &Incoming, permit: Permit) -> Outcome {
    let mut held = Held::Permit(permit);
    let mut avoid = None;
    let mut last_reason = String::new();
    loop {
        let (snapshot, attempt) = match prepare(shared, incoming, held, avoid.as_deref()).await {
            Ok(Prepared::Attempt(snapshot, attempt)) => (snapshot, attempt),
            Ok(Prepared::NoSlot(returned)) => {
                held = returned;
                if Instant::now() >= incoming.deadline.at() {
                    end(shared, incoming, held);
                    return Outcome::NotRun(no_slot(&last_reason));
                }
                Timer::after(SLOT_PAUSE).await;
                continue;
            }
            Err(reason) => return Outcome::NotRun(reason),
        };
        match follow(shared, incoming, &snapshot, attempt).await {
            Step::Done(outcome) => return outcome,
            Step::Again {
                held: returned,
                reason,
                avoid: name,
            } => {
                held = returned;
                last_reason = reason;
                avoid = Some(name);
            }
        }
    }
}

enum Prepared {
    Attempt(Arc<Snapshot>, Box<Attempt>),
    NoSlot(Held),
}

/// Checks that the work may start now, and reserves an upstream for it.
async fn prepare(
    shared: &Arc<Shared>,
    incoming: &Incoming,
    held: Held,
    avoid: Option<&str>,
) -> Result<Prepared, Reason> {
    let deadline = incoming.deadline.at();
    let snapshot = match permitted(shared, incoming, deadline).await {
        Ok(snapshot) => snapshot,
        Err(reason) => {
            end(shared, incoming, held);
            return Err(reason);
        }
    };
    let plan = match access::queue_plan(&snapshot, incoming.uri.path()) {
        Ok(plan) => plan,
        Err(reason) => {
            end(shared, incoming, held);
            return Err(reason);
        }
    };
    let now = Instant::now();
    let work = Work {
        repeatable: plan.queue.repeatable,
        avoid,
    };
    let Some(slot) = plan.service.set.choose(work, now, rand::random) else {
        if plan.service.set.capacity(now) == 0 {
            plan.service.end(held, End::NotRun);
            return Err(Reason::new(
                StatusCode::SERVICE_UNAVAILABLE,
                format!("service {} has no upstream in use", plan.queue.service),
            ));
        }
        return Ok(Prepared::NoSlot(held));
    };
    let wanted = if plan.queue.repeatable {
        Wanted::Idle
    } else {
        Wanted::RecentlyUsed
    };
    let attempt = Attempt {
        shared: shared.clone(),
        plan: plan.service.clone(),
        latency: plan.latency.clone(),
        slot,
        held,
        request: forwarded(incoming),
        wanted,
        revision: snapshot.revision,
        when_isolated: plan.when_isolated(),
        deadline,
        max_run: Duration::from_millis(plan.queue.max_run_ms.into()),
    };
    Ok(Prepared::Attempt(snapshot, Box::new(attempt)))
}

/// Returns the configuration under which the work may start now.
async fn permitted(
    shared: &Shared,
    incoming: &Incoming,
    deadline: Instant,
) -> Result<Arc<Snapshot>, Reason> {
    let snapshot = shared.snapshot.load_full();
    let plan = access::queue_plan(&snapshot, incoming.uri.path())?;
    let snapshot = start::permit(shared, plan, deadline).await?;
    // The key may have been withdrawn while the request waited.
    let plan = access::queue_plan(&snapshot, incoming.uri.path())?;
    access::authorize(&snapshot, plan, &incoming.headers)?;
    Ok(snapshot)
}

/// Ends what is held when the request goes no further.
fn end(shared: &Shared, incoming: &Incoming, held: Held) {
    let snapshot = shared.snapshot.load_full();
    match access::queue_plan(&snapshot, incoming.uri.path()) {
        Ok(plan) => plan.service.end(held, End::NotRun),
        Err(_) => drop(held),
    }
}

/// Starts an attempt and waits for its result, with a hedge when it is slow.
async fn follow(
    shared: &Arc<Shared>,
    incoming: &Incoming,
    snapshot: &Arc<Snapshot>,
    attempt: Box<Attempt>,
) -> Step {
    let plan = attempt.plan.clone();
    let sent_at = Instant::now();
    plan.service.retries.on_request(sent_at);
    let first_upstream = attempt.slot.upstream().name().to_owned();
    let mut first = attempt.start();
    let Ok(queue) = access::queue_plan(snapshot, incoming.uri.path()) else {
        return Step::Done(result(first.result().await, incoming));
    };
    let mut hedge = HedgeRequest {
        sent_at,
        deadline: incoming.deadline,
        repeatable: queue.queue.repeatable,
        hedged: false,
    };
    let due = loop {
        let now = Instant::now();
        match Hedge::decide(&hedge, &queue.latency, &plan.service.retries, now) {
            Hedge::Never => break false,
            Hedge::Send => break true,
            Hedge::WaitUntil(at) => {
                if let Some(attempted) = until(&mut first, at).await {
                    return step(attempted, incoming, shared, hedge.repeatable).await;
                }
            }
        }
    };
    hedge.hedged = due;
    let second = due
        .then(|| start_hedge(shared, incoming, snapshot, &first_upstream))
        .flatten();
    let deadline = incoming.deadline.at();
    let attempted = match second {
        Some(mut second) => race(&mut first, &mut second, deadline).await,
        None => until(&mut first, deadline).await,
    };
    match attempted {
        Some(attempted) => step(attempted, incoming, shared, hedge.repeatable).await,
        None => Step::Done(late(incoming)),
    }
}

/// Starts a hedge on another upstream and a new connection, when the team has a
/// credit for it.
fn start_hedge(
    shared: &Arc<Shared>,
    incoming: &Incoming,
    snapshot: &Arc<Snapshot>,
    first_upstream: &str,
) -> Option<Started> {
    let plan = access::queue_plan(snapshot, incoming.uri.path()).ok()?;
    let team = access::authorize(snapshot, plan, &incoming.headers).ok()?;
    let credit = shared.limits.take(team.name())?;
    let work = Work {
        repeatable: true,
        avoid: Some(first_upstream),
    };
    let slot = plan
        .service
        .set
        .choose(work, Instant::now(), rand::random)?;
    let attempt = Attempt {
        shared: shared.clone(),
        plan: plan.service.clone(),
        latency: plan.latency.clone(),
        slot,
        held: Held::Credit(credit),
        request: forwarded(incoming),
        wanted: Wanted::New,
        revision: snapshot.revision,
        when_isolated: plan.when_isolated(),
        deadline: incoming.deadline.at(),
        max_run: Duration::from_millis(plan.queue.max_run_ms.into()),
    };
    Some(attempt.start())
}

/// Returns the first answer of two attempts, or the later failure.
async fn race(first: &mut Started, second: &mut Started, deadline: Instant) -> Option<Attempted> {
    let one = async { (true, until(first, deadline).await) };
    let other = async { (false, until(second, deadline).await) };
    let (is_first, attempted) = one.or(other).await;
    match attempted {
        Some(Attempted::Answered(answer)) => Some(Attempted::Answered(answer)),
        None => None,
        // What the failed attempt held ends with it; the other one decides.
        Some(_) if is_first => until(second, deadline).await,
        Some(_) => until(first, deadline).await,
    }
}

async fn until(attempt: &mut Started, at: Instant) -> Option<Attempted> {
    let attempted = attempt.result();
    let late = async {
        Timer::at(at).await;
        None
    };
    attempted.or(late).await
}

/// Decides whether a failed attempt is followed by another one.
async fn step(
    attempted: Attempted,
    incoming: &Incoming,
    shared: &Arc<Shared>,
    repeatable: bool,
) -> Step {
    match attempted {
        Attempted::NotRun(not_run) => Step::Again {
            held: not_run.held,
            reason: not_run.reason,
            avoid: not_run.avoid,
        },
        Attempted::Broken(reason) if repeatable => match retry_credit(shared, incoming) {
            Some(credit) => Step::Again {
                held: Held::Credit(credit),
                reason,
                avoid: String::new(),
            },
            None => Step::Done(result(Some(Attempted::Broken(reason)), incoming)),
        },
        attempted => Step::Done(result(Some(attempted), incoming)),
    }
}

/// Takes a credit for a retry when the retry budget allows one.
fn retry_credit(
    shared: &Arc<Shared>,
    incoming: &Incoming,
) -> Option<Option<dotterelsill_escrow::Credit>> {
    let snapshot = shared.snapshot.load_full();
    let plan = access::queue_plan(&snapshot, incoming.uri.path()).ok()?;
    let team = access::authorize(&snapshot, plan, &incoming.headers).ok()?;
    let retries = &plan.service.service.retries;
    retries
        .try_retry(Instant::now())
        .then(|| shared.limits.take(team.name()))?
}

fn result(attempted: Option<Attempted>, incoming: &Incoming) -> Outcome {
    match attempted {
        Some(Attempted::Answered(answer)) => answered(answer),
        Some(Attempted::Broken(reason)) => {
            Outcome::Unknown(Reason::new(StatusCode::BAD_GATEWAY, reason))
        }
        Some(Attempted::NotRun(not_run)) => Outcome::NotRun(no_slot(&not_run.reason)),
        Some(Attempted::RunTimeOver) | None => late(incoming),
    }
}

fn late(incoming: &Incoming) -> Outcome {
    Outcome::Unknown(Reason::new(
        StatusCode::GATEWAY_TIMEOUT,
        format!(
            "{}: no answer within the time allowed; it may still run",
            incoming.uri.path()
        ),
    ))
}

fn no_slot(last_reason: &str) -> Reason {
    let reason = match last_reason {
        "" => "all upstreams are busy",
        reason => reason,
    };
    Reason::new(
        StatusCode::SERVICE_UNAVAILABLE,
        format!("{reason}; send the request again later"),
    )
}

/// Tells an answer and a failed run apart.
pub(crate) fn answered(mut answer: Response<Bytes>) -> Outcome {
    for name in [header::CONNECTION, header::TRANSFER_ENCODING] {
        answer.headers_mut().remove(name);
    }
    if answer.status().is_server_error() {
        Outcome::Failed(answer)
    } else {
        Outcome::Answered(answer)
    }
}

/// Returns the request as it is sent to an upstream: without the headers that
/// are meant for this hop, and without the key.
fn forwarded(incoming: &Incoming) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(incoming.body.clone()));
    *request.method_mut() = incoming.method.clone();
    *request.uri_mut() = incoming.uri.clone();
    let mut headers = incoming.headers.clone();
    for name in [
        header::AUTHORIZATION,
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    let left_ms = incoming
        .deadline
        .upstream_ms(Instant::now(), Duration::ZERO);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left_ms.unwrap_or(0)));
    *request.headers_mut() = headers;
    request
}
