//! Runs an admitted request: attempts one after the other until one is settled.

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
        Held, //
    },
    follow::{
        follow,
        late, //
    },
    incoming::{
        answered,
        Incoming, //
    },
    limits::Loan,
    outcome::{
        Outcome,
        Reason, //
    },
    plan::QueuePlan,
    pool::Wanted,
    service::Permit,
    shared::Shared,
    snapshot::Snapshot,
    start, //
};

/// Pause before another attempt when nothing was run, or another look at
/// upstreams whose slots are all taken.
const SLOT_PAUSE: Duration = Duration::from_millis(5);

/// What became of an attempt, with its hedge.
pub(crate) struct Followed {
    pub(crate) end: AttemptEnd,
    /// Whether the attempt or its hedge may have run the work although neither
    /// gave an answer.
    pub(crate) may_have_run: bool,
}

/// How an attempt ended.
pub(crate) enum AttemptEnd {
    /// The upstream answered in full.
    Answered(hyper::Response<bytes::Bytes>),
    /// The caller's time is over.
    Late,
    /// Nothing was run; what was held comes back.
    NotRun {
        held: Held,
        reason: String,
        avoid: String,
    },
    /// The connection broke, or the work ran for longer than it may.
    Broken(String),
}

/// Runs a request that was admitted.
pub(crate) async fn run(shared: &Arc<Shared>, incoming: &Incoming, permit: Permit) -> Outcome {
    let mut held = Held::Permit(permit);
    let mut avoid = None;
    let mut last_reason = String::new();
    let mut may_have_run = false;
    loop {
        let (snapshot, attempt) = match prepare(shared, incoming, held, avoid.as_deref()).await {
            Ok(Prepared::Attempt(snapshot, attempt)) => (snapshot, attempt),
            Ok(Prepared::NoSlot(returned)) => {
                held = returned;
                if Instant::now() >= incoming.deadline.at() {
                    end(shared, incoming, held);
                    return refused(busy(&last_reason), may_have_run);
                }
                Timer::after(SLOT_PAUSE).await;
                continue;
            }
            Err(reason) => return refused(reason, may_have_run),
        };
        let followed = follow(shared, incoming, &snapshot, attempt).await;
        may_have_run |= followed.may_have_run;
        match followed.end {
            AttemptEnd::Answered(answer) => return answered(answer),
            AttemptEnd::Late if !may_have_run => return Outcome::NotRun(busy(&last_reason)),
            AttemptEnd::Late => return late(incoming),
            AttemptEnd::NotRun {
                held: returned,
                reason,
                avoid: name,
            } => {
                held = returned;
                last_reason = reason;
                avoid = Some(name);
                if Instant::now() >= incoming.deadline.at() {
                    end(shared, incoming, held);
                    return refused(busy(&last_reason), may_have_run);
                }
                Timer::after(SLOT_PAUSE).await;
            }
            AttemptEnd::Broken(reason) => match retry_credit(shared, incoming) {
                Some(credit) => {
                    held = Held::Credit(credit);
                    last_reason = reason;
                }
                None => return Outcome::Unknown(Reason::new(StatusCode::BAD_GATEWAY, reason)),
            },
        }
    }
}

/// Returns the outcome of a request that goes no further. It was not run only if
/// no earlier attempt may have run it.
fn refused(reason: Reason, may_have_run: bool) -> Outcome {
    if may_have_run {
        Outcome::Unknown(Reason::new(StatusCode::BAD_GATEWAY, reason.text))
    } else {
        Outcome::NotRun(reason)
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
    let snapshot = match permitted(shared, incoming).await {
        Ok(snapshot) => snapshot,
        Err(reason) => {
            end(shared, incoming, held);
            return Err(reason);
        }
    };
    if !held.is_current(shared) {
        end(shared, incoming, held);
        return Err(Reason::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "this instance has registered anew; send the request again",
        ));
    }
    let plan = match access::queue_plan(&snapshot, incoming.uri.path()) {
        Ok(plan) => plan,
        Err(reason) => {
            end(shared, incoming, held);
            return Err(reason);
        }
    };
    let now = Instant::now();
    let work = AttemptConstraints {
        repeatable: plan.queue.repeatable,
        avoid,
    };
    let Some(slot) = plan.service.set.choose(work, now, rand::random) else {
        if plan.service.set.capacity(now) > 0 {
            return Ok(Prepared::NoSlot(held));
        }
        plan.service.end(held, RunOutcome::NotRun);
        return Err(Reason::new(
            StatusCode::SERVICE_UNAVAILABLE,
            format!("service {} has no upstream in use", plan.queue.service),
        ));
    };
    let wanted = if plan.queue.repeatable {
        Wanted::Idle
    } else {
        Wanted::RecentlyUsed
    };
    let attempt = attempt(
        shared,
        incoming,
        snapshot.revision,
        plan,
        slot,
        held,
        wanted,
    );
    Ok(Prepared::Attempt(snapshot, Box::new(attempt)))
}

/// Creates an attempt on a reserved slot.
pub(crate) fn attempt(
    shared: &Arc<Shared>,
    incoming: &Incoming,
    revision: u64,
    plan: &QueuePlan,
    slot: dotterelsill_routing::Slot,
    held: Held,
    wanted: Wanted,
) -> Attempt {
    Attempt {
        shared: shared.clone(),
        plan: plan.service.clone(),
        latency: plan.latency.clone(),
        slot,
        held,
        request: incoming.forwarded(),
        wanted,
        revision,
        when_isolated: plan.when_isolated(),
        deadline: incoming.deadline.at(),
        max_run: Duration::from_millis(plan.queue.max_run_ms.into()),
        progress: Arc::default(),
    }
}

/// Returns the configuration under which the work may start now.
async fn permitted(shared: &Shared, incoming: &Incoming) -> Result<Arc<Snapshot>, Reason> {
    let snapshot = shared.snapshot.load_full();
    let plan = access::queue_plan(&snapshot, incoming.uri.path())?;
    let snapshot = start::permit(shared, plan, incoming.deadline.at()).await?;
    // The key may have been withdrawn while the request waited.
    let plan = access::queue_plan(&snapshot, incoming.uri.path())?;
    access::authorize(&snapshot, plan, &incoming.headers)?;
    Ok(snapshot)
}

/// Ends what is held when the request goes no further.
fn end(shared: &Shared, incoming: &Incoming, held: Held) {
    let snapshot = shared.snapshot.load_full();
    match access::queue_plan(&snapshot, incoming.uri.path()) {
        Ok(plan) => plan.service.end(held, RunOutcome::NotRun),
        Err(_) => drop(held),
    }
}

/// Takes a credit for another attempt at work that may run twice, when the retry
/// budget allows one.
fn retry_credit(shared: &Shared, incoming: &Incoming) -> Option<Option<Loan>> {
    let snapshot = shared.snapshot.load_full();
    let plan = access::queue_plan(&snapshot, incoming.uri.path()).ok()?;
    let team = access::authorize(&snapshot, plan, &incoming.headers).ok()?;
    let may_retry = plan.queue.repeatable && plan.service.service.retries.try_retry(Instant::now());
    may_retry.then(|| shared.limits.take(team.name()))?
}

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
