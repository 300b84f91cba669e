//! Requests of callers.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use bytes::Bytes;
use dotterelsill_rpc::timeout;
use http::{
    header,
    HeaderMap,
    StatusCode, //
};
use http_body_util::{
    BodyExt as _,
    Full,
    Limited, //
};
use hyper::{
    body::Incoming,
    Request,
    Response, //
};
use sha2::{
    Digest as _,
    Sha256, //
};

use crate::{
    forward::Upstream,
    outcome::{
        Outcome,
        Reason, //
    },
    shared::Shared,
    snapshot::{
        QueuePlan,
        Snapshot, //
    }, //
    start,
};

/// Longest body of a request, in bytes.
const BODY_LIMIT_BYTES: usize = 1024 * 1024;

/// Path prefix of all queues.
const QUEUE_PREFIX: &str = "/q/";

/// Serves one request of a caller.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    shared.metrics.in_flight.inc();
    let begin = Instant::now();
    let snapshot = shared.snapshot.load_full();
    let outcome = match queue_plan(&snapshot, request.uri().path()) {
        Ok(plan) => {
            let outcome = run(&shared, &snapshot, plan, request)
                .await
                .unwrap_or_else(Outcome::NotRun);
            plan.metrics
                .observe(&outcome, begin.elapsed().as_secs_f64());
            outcome
        }
        Err(reason) => Outcome::NotRun(reason),
    };
    shared.metrics.in_flight.dec();
    outcome.into_response()
}

async fn run(
    shared: &Shared,
    snapshot: &Snapshot,
    plan: &QueuePlan,
    request: Request<Incoming>,
) -> Result<Outcome, Reason> {
    let (head, body) = request.into_parts();
    let body = read_body(body).await?;
    let deadline = Instant::now() + Duration::from_millis(plan.queue.timeout_ms.into());
    authorize(snapshot, plan, &head.headers)?;
    let snapshot = start::permit(shared, plan, deadline).await?;
    // The revision in force may be newer than the one read above.
    let plan = queue_plan(&snapshot, head.uri.path())?;
    authorize(&snapshot, plan, &head.headers)?;
    let upstream = choose(&snapshot, plan)?;

    let mut forwarded = Request::new(Full::new(body));
    *forwarded.method_mut() = head.method;
    *forwarded.uri_mut() = head.uri;
    *forwarded.headers_mut() = forwarded_headers(head.headers);
    let limit = deadline.saturating_duration_since(Instant::now());
    match timeout(limit, upstream.exchange(forwarded, &shared.tasks)).await {
        Ok(Ok(answer)) => Ok(answered(answer)),
        Ok(Err(error)) if error.is_unsent() => Err(Reason::new(
            StatusCode::SERVICE_UNAVAILABLE,
            format!("upstream {}: {error}", upstream.name),
        )),
        Ok(Err(error)) => Ok(Outcome::Unknown(Reason::new(
            StatusCode::BAD_GATEWAY,
            format!("upstream {}: {error}", upstream.name),
        ))),
        Err(elapsed) => Ok(Outcome::Unknown(Reason::new(
            StatusCode::GATEWAY_TIMEOUT,
            format!("upstream {}: {elapsed}", upstream.name),
        ))),
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, Reason> {
    match Limited::new(body, BODY_LIMIT_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(Reason::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("body: {error}; send at most {BODY_LIMIT_BYTES} bytes"),
        )),
    }
}

fn queue_plan<'a>(snapshot: &'a Snapshot, path: &str) -> Result<&'a QueuePlan, Reason> {
    path.strip_prefix(QUEUE_PREFIX)
        .and_then(|rest| rest.split('/').next())
        .and_then(|name| snapshot.queues.get(name))
        .ok_or_else(|| {
            Reason::new(
                StatusCode::NOT_FOUND,
                format!("no queue at {path}; send work to {QUEUE_PREFIX}<queue>/"),
            )
        })
}

/// Checks that an open queue or a team's key allows the request.
fn authorize(snapshot: &Snapshot, plan: &QueuePlan, headers: &HeaderMap) -> Result<(), Reason> {
    if plan.queue.open {
        return Ok(());
    }
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let hash = key.map(|key| <[u8; 32]>::from(Sha256::digest(key)));
    match hash.and_then(|hash| snapshot.teams_by_key.get(&hash)) {
        Some(_team) => Ok(()),
        None => Err(Reason::new(
            StatusCode::UNAUTHORIZED,
            format!("queue {} needs a team's key in force", plan.queue.name),
        )),
    }
}

fn choose<'a>(snapshot: &Snapshot, plan: &'a QueuePlan) -> Result<&'a Arc<Upstream>, Reason> {
    let usable: Vec<_> = plan
        .upstreams
        .iter()
        .filter(|upstream| !snapshot.data_centres_out.contains(&upstream.data_centre))
        .collect();
    if usable.is_empty() {
        return Err(Reason::new(
            StatusCode::SERVICE_UNAVAILABLE,
            format!("queue {} has no upstream in service", plan.queue.name),
        ));
    }
    Ok(usable[rand::random_range(0..usable.len())])
}

/// Removes what is meant for this hop: connection headers and the key.
fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
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
    headers
}

/// Tells an answer, a refusal before the run, and a failed run apart.
fn answered(mut answer: Response<Bytes>) -> Outcome {
    for name in [header::CONNECTION, header::TRANSFER_ENCODING] {
        answer.headers_mut().remove(name);
    }
    if answer.status().is_server_error() {
        Outcome::Failed(answer)
    } else {
        Outcome::Answered(answer)
    }
}
