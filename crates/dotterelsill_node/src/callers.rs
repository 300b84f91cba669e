//! Requests of callers.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use dotterelsill_jobs::{
    ApplyBounds,
    Configuration,
    JobId,
    JobSpec,
    JobState,
    Queue,
    Validity, //
};
use dotterelsill_platform as platform;
use dotterelsill_proto::jobs::Outcome;
use dotterelsill_store::Operations;
use http::{
    header::{
        CONNECTION,
        RETRY_AFTER, //
    },
    HeaderMap,
    HeaderValue,
    Method,
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

use crate::{
    clock,
    intake,
    leader_link::LeaderLink,
    metrics::Metrics,
    operators::Operators,
    reach::Reach, //
};

/// Time that is left to answer before the caller gives up.
const ANSWER_RESERVE: Duration = Duration::from_millis(150);

/// Time for which a caller waits that names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);

/// Longest time that is given to the scheduler before the store is asked.
const SCHEDULER_LIMIT: Duration = Duration::from_millis(1200);

/// Time after which a caller may come back: by then another instance schedules.
const COME_BACK_AFTER_S: u64 = 1;

/// Time after which a caller may come back to an instance that is cut off: by
/// then the balancer sends it elsewhere.
const CUT_OFF_COME_BACK_AFTER_S: u64 = 2;

/// Handles that requests need.
pub(crate) struct Callers {
    pub(crate) operators: Arc<Operators>,
    pub(crate) link: Arc<LeaderLink>,
    pub(crate) store: Arc<Operations>,
    pub(crate) reach: Arc<Reach>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) bounds: ApplyBounds,
}

/// A request that was found to be allowed.
struct Allowed<'a> {
    queue: &'a Queue,
    workspace: Option<&'a str>,
    /// What follows the queue's prefix in the path.
    rest: &'a str,
}

/// Answers one request.
pub(crate) async fn serve(
    callers: Arc<Callers>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let begin = clock::now();
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let mut response = answer(&callers, request).await;
    if !callers.reach.can_serve(clock::now()) {
        // A new connection reaches another instance.
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        if headers.contains_key(RETRY_AFTER) {
            headers.insert(RETRY_AFTER, HeaderValue::from(CUT_OFF_COME_BACK_AFTER_S));
        }
    }
    let took = clock::now().saturating_sub(begin);
    callers.metrics.on_request(&method, response.status(), took);
    let took_ms = took.as_millis() as u64;
    let status = response.status().as_u16();
    if method != Method::GET || status >= 400 {
        log::info!(method:% = method, path, status, took_ms; "answered");
    }
    response
}

async fn answer(callers: &Callers, request: Request<Incoming>) -> Response<Full<Bytes>> {
    // The age comes first: a view that is adopted meanwhile is newer than it tells.
    let age = callers.operators.age(clock::now());
    let validity = callers.operators.validity(&callers.bounds, age);
    let view = callers.operators.view();
    if view.revision == 0 {
        return come_back("no configuration yet");
    }
    let (head, body) = request.into_parts();
    let host = platform::host(&head.headers, &head.uri).to_owned();
    let path = head.uri.path().to_owned();
    let allowed = match allow(&view.configuration, &host, &path, &head.headers) {
        Ok(allowed) => allowed,
        Err((status, reason)) => {
            let is_certain = validity == Validity::Current;
            log::info!(
                method:% = head.method, path, status = status.as_u16(), is_certain,
                version = view.configuration.version, revision = view.revision,
                view_age_ms = age.as_millis() as u64; "request_not_allowed"
            );
            if is_certain {
                return text(status, reason);
            }
            return go_elsewhere("the configuration may have changed");
        }
    };
    if validity == Validity::Outdated {
        log::warn!(
            method:% = head.method, path, version = view.configuration.version,
            view_age_ms = age.as_millis() as u64; "configuration_outdated"
        );
        return go_elsewhere("the configuration was not read for too long");
    }
    if head.method != Method::GET && !callers.reach.can_serve(clock::now()) {
        // What is sent now may be carried out once the partition heals; nothing
        // is sent, so that the refusal holds.
        return come_back("this instance is cut off");
    }
    let deadline = platform::caller_timeout(&head.headers).unwrap_or(DEFAULT_DEADLINE);
    let limit = deadline.saturating_sub(ANSWER_RESERVE);
    if allowed.rest.is_empty() && head.method == Method::GET {
        return pending(callers, allowed.queue, limit).await;
    }
    let Some(id) = platform::parse_job_id(allowed.rest) else {
        return text(StatusCode::NOT_FOUND, "the path names no job");
    };
    match head.method {
        Method::POST => {
            let limited = Limited::new(body, view.configuration.limits.body_bytes);
            match limited.collect().await {
                Ok(body) => submit(callers, &allowed, id, &body.to_bytes(), limit).await,
                Err(error) => text(StatusCode::PAYLOAD_TOO_LARGE, error.to_string()),
            }
        }
        Method::GET => state(callers, id, limit).await,
        Method::DELETE => cancel(callers, id, limit).await,
        _ => text(StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE"),
    }
}

/// Finds the queue of a request and checks its key.
fn allow<'a>(
    configuration: &'a Configuration,
    host: &str,
    path: &'a str,
    headers: &HeaderMap,
) -> Result<Allowed<'a>, (StatusCode, &'static str)> {
    let queue = configuration
        .queue_of(host, path)
        .ok_or((StatusCode::NOT_FOUND, "no such queue"))?;
    let rest = &path[queue.path_prefix.len()..];
    let workspace = platform::workspace_key(headers).and_then(|key| configuration.keys.get(key));
    if workspace.is_none() && !queue.is_open {
        return Err((StatusCode::UNAUTHORIZED, "the key is not known"));
    }
    Ok(Allowed {
        queue,
        workspace: workspace.map(String::as_str),
        rest,
    })
}

async fn submit(
    callers: &Callers,
    allowed: &Allowed<'_>,
    id: JobId,
    body: &[u8],
    limit: Duration,
) -> Response<Full<Bytes>> {
    let begin = clock::now();
    let mut record = match platform::decode_job(body) {
        Ok(record) => record,
        Err(error) => return text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    allowed.queue.name.clone_into(&mut record.queue);
    record.workspace = allowed.workspace.unwrap_or_default().to_owned();
    if let Err(error) = JobSpec::try_from(&record) {
        return text(StatusCode::BAD_REQUEST, error.to_string());
    }
    if !callers.link.takes_job() {
        return refuse_unless_stored(callers, id, limit).await;
    }
    let first = callers
        .link
        .submit(id, &record, limit.min(SCHEDULER_LIMIT))
        .await;
    if first == Outcome::Done {
        return json(StatusCode::OK, "{}".to_owned());
    }
    let left = limit.saturating_sub(clock::now().saturating_sub(begin));
    let stored = dotterelsill_rpc::timeout(left, intake::submit(&callers.store, id, &record)).await;
    match (first, stored.unwrap_or(Outcome::Unknown)) {
        (_, Outcome::Done) => json(StatusCode::OK, "{}".to_owned()),
        (Outcome::Refused, Outcome::Refused) => come_back("the job was not stored"),
        _ => text(
            StatusCode::GATEWAY_TIMEOUT,
            "the job may be stored; send it again",
        ),
    }
}

/// Answers for a job that the scheduler does not take for now. An earlier try may
/// have been accepted, or may be on its way to the store.
async fn refuse_unless_stored(
    callers: &Callers,
    id: JobId,
    limit: Duration,
) -> Response<Full<Bytes>> {
    let begin = clock::now();
    match callers
        .link
        .earlier_try(id, limit.min(SCHEDULER_LIMIT))
        .await
    {
        Outcome::Done => return json(StatusCode::OK, "{}".to_owned()),
        Outcome::Unknown => {
            return text(
                StatusCode::GATEWAY_TIMEOUT,
                "the job may be stored; send it again",
            )
        }
        Outcome::Refused | Outcome::Absent => {}
    }
    let left = limit.saturating_sub(clock::now().saturating_sub(begin));
    match dotterelsill_rpc::timeout(left, intake::state(&callers.store, id)).await {
        Ok(Ok(Some(_))) => json(StatusCode::OK, "{}".to_owned()),
        Ok(Ok(None)) => come_back("more jobs wait than can be placed"),
        Ok(Err(_)) | Err(_) => text(
            StatusCode::GATEWAY_TIMEOUT,
            "the job may be stored; send it again",
        ),
    }
}

async fn state(callers: &Callers, id: JobId, limit: Duration) -> Response<Full<Bytes>> {
    let begin = clock::now();
    let (outcome, state) = callers.link.state(id, limit.min(SCHEDULER_LIMIT)).await;
    match (outcome, state) {
        (Outcome::Done, Some(state)) => return state_answer(Some(state)),
        (Outcome::Absent, _) => return state_answer(None),
        _ => {}
    }
    let left = limit.saturating_sub(clock::now().saturating_sub(begin));
    match dotterelsill_rpc::timeout(left, intake::state(&callers.store, id)).await {
        Ok(Ok(state)) => state_answer(state),
        Ok(Err(error)) => come_back(&error.to_string()),
        Err(error) => come_back(&error.to_string()),
    }
}

fn state_answer(state: Option<JobState>) -> Response<Full<Bytes>> {
    match state {
        Some(state) => json(StatusCode::OK, platform::state_body(state)),
        None => text(StatusCode::GONE, "no such job"),
    }
}

async fn cancel(callers: &Callers, id: JobId, limit: Duration) -> Response<Full<Bytes>> {
    match callers.link.cancel(id, limit).await {
        Outcome::Done => json(StatusCode::OK, "{}".to_owned()),
        Outcome::Absent => text(StatusCode::GONE, "no such job"),
        Outcome::Refused | Outcome::Unknown => come_back("the scheduler does not answer"),
    }
}

async fn pending(callers: &Callers, queue: &Queue, limit: Duration) -> Response<Full<Bytes>> {
    match callers.link.pending(&queue.name, limit).await {
        (Outcome::Done, pending) => json(StatusCode::OK, platform::pending_body(pending)),
        _ => come_back("the scheduler does not answer"),
    }
}

/// Returns a refusal with the time after which to come back.
fn come_back(reason: &str) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, reason.to_owned());
    let after = HeaderValue::from(COME_BACK_AFTER_S);
    response.headers_mut().insert(RETRY_AFTER, after);
    response
}

/// Returns a refusal after which the caller reaches another instance: its
/// connection is closed.
fn go_elsewhere(reason: &str) -> Response<Full<Bytes>> {
    let mut response = come_back(reason);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

fn json(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = text(status, body);
    let kind = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
