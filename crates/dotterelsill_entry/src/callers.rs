//! HTTP service for callers: authorizes, admits and runs each request.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use bytes::Bytes;
use dotterelsill_admission::Team;
use dotterelsill_routing::Deadline;
use http::{
    HeaderMap,
    StatusCode, //
};
use http_body_util::{
    BodyExt as _,
    Full,
    Limited, //
};
use hyper::{
    body,
    Request,
    Response, //
};

use crate::{
    access,
    at_most_once,
    incoming::{
        Incoming,
        DEADLINE_HEADER, //
    },
    outcome::{
        Outcome,
        Reason, //
    },
    plan::QueuePlan,
    run,
    shared::Shared, //
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Serves one request and counts its outcome by queue and by team.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    request: Request<body::Incoming>,
) -> Response<Full<Bytes>> {
    let _in_flight = InFlight::new(&shared);
    let arrived = Instant::now();
    let snapshot = shared.snapshot.load_full();
    let outcome = match access::queue_plan(&snapshot, request.uri().path()) {
        Ok(plan) => {
            let team = access::authorize(&snapshot, plan, request.headers());
            let outcome = handle(&shared, plan, team.clone(), request, arrived)
                .await
                .unwrap_or_else(Outcome::NotRun);
            if let Ok(team) = team {
                plan.service.counts[team.name()].observe(&outcome);
            }
            plan.metrics
                .observe(&outcome, arrived.elapsed().as_secs_f64());
            outcome
        }
        Err(reason) => Outcome::NotRun(reason),
    };
    outcome.into_response()
}

/// Reads the request, waits for admission and runs it.
///
/// Requests to a queue that is not repeatable go through the claim protocol of
/// [`at_most_once`], which admits them itself.
async fn handle(
    shared: &Arc<Shared>,
    plan: &QueuePlan,
    team: Result<&Arc<Team>, Reason>,
    request: Request<body::Incoming>,
    arrived: Instant,
) -> Result<Outcome, Reason> {
    let (head, body) = request.into_parts();
    let team = team?;
    let timeout = Duration::from_millis(plan.queue.timeout_ms.into());
    let deadline = Deadline::new(arrived, timeout, requested_timeout(&head.headers));
    // The body is read before admission, so a slow caller occupies no slot while
    // it sends.
    let body = read_body(body).await?;
    let incoming = Incoming {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        deadline,
    };
    if !plan.queue.repeatable {
        return Ok(
            match at_most_once::identify(&plan.queue.name, team.name(), &incoming.headers) {
                Ok(key) => at_most_once::serve(shared, key, incoming).await,
                Err(refusal) => refusal.into(),
            },
        );
    }
    let permit = plan
        .service
        .service
        .admit(team, plan.queue.urgency, deadline.at())
        .await?;
    Ok(run::run(shared, &incoming, permit).await)
}

/// Returns the timeout that the caller sent in [`DEADLINE_HEADER`], if any.
fn requested_timeout(headers: &HeaderMap) -> Option<Duration> {
    let timeout_ms = headers.get(DEADLINE_HEADER)?.to_str().ok()?;
    Some(Duration::from_millis(timeout_ms.parse().ok()?))
}

async fn read_body(body: body::Incoming) -> Result<Bytes, Reason> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(Reason::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("body: {error}; send at most {MAX_BODY_BYTES} bytes"),
        )),
    }
}

/// Guard that counts a request as in flight until it is dropped, which also
/// happens when the caller disconnects.
struct InFlight<'a>(&'a Shared);

impl<'a> InFlight<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.metrics.in_flight.inc();
        Self(shared)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}
