//! HTTP interface for callers: submit, query and cancel jobs.

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
use dotterelsill_platform::{
    self as platform,
    JobIdError, //
};
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
use http_body_util::Full;
use hyper::{
    body::Incoming,
    Request,
    Response, //
};

use crate::{
    bodies::{
        self,
        BodyRoom, //
    },
    clock,
    intake,
    leader_link::LeaderLink,
    metrics::Metrics,
    operators::OperatorState,
    reach::Reachability, //
};

/// Part of the caller's deadline that is reserved for sending the answer.
const ANSWER_RESERVE: Duration = Duration::from_millis(150);

/// Deadline of a request that specifies none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);

/// Longest wait for the scheduler before falling back to the store.
const SCHEDULER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Value of `Retry-After` in seconds: by then another instance schedules.
const RETRY_AFTER_S: u64 = 1;

/// Value of `Retry-After` in seconds on an instance that reaches neither the store
/// nor the scheduler: by then the load balancer routes the caller elsewhere.
const ISOLATED_RETRY_AFTER_S: u64 = 2;

/// Shared state for serving callers.
pub(crate) struct CallerService {
    pub(crate) operators: Arc<OperatorState>,
    pub(crate) link: Arc<LeaderLink>,
    pub(crate) store: Arc<Operations>,
    pub(crate) reachability: Arc<Reachability>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) bounds: ApplyBounds,
    pub(crate) body_room: Arc<BodyRoom>,
}

/// Queue and workspace of a request that passed authorization.
struct AuthorizedRequest<'a> {
    queue: &'a Queue,
    workspace: Option<&'a str>,
    /// Part of the path after the queue's prefix; names the job.
    path_suffix: &'a str,
}

/// Serves one request, and records it in the metrics and the log.
pub(crate) async fn serve(
    service: Arc<CallerService>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let started_at = clock::now();
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let mut response = handle(&service, request).await;
    if !service.reachability.can_serve(clock::now()) {
        // The load balancer routes a new connection to another instance.
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        if headers.contains_key(RETRY_AFTER) {
            headers.insert(RETRY_AFTER, HeaderValue::from(ISOLATED_RETRY_AFTER_S));
        }
    }
    let took = clock::now().saturating_sub(started_at);
    service.metrics.on_request(&method, response.status(), took);
    let took_ms = took.as_millis() as u64;
    let status = response.status().as_u16();
    if method != Method::GET || status >= 400 {
        log::info!(method:% = method, path, status, took_ms; "answered");
    }
    response
}

async fn handle(service: &CallerService, request: Request<Incoming>) -> Response<Full<Bytes>> {
    // Read the age before the view: a view that replaces it in between is newer than
    // this age says, never older.
    let age = service.operators.age(clock::now());
    let has_key = platform::workspace_key(request.headers()).is_some();
    let validity = service.operators.validity(&service.bounds, age, has_key);
    let view = service.operators.view();
    if view.revision == 0 {
        return unavailable("no configuration yet");
    }
    let (parts, body) = request.into_parts();
    let host = platform::host(&parts.headers, &parts.uri).to_owned();
    let path = parts.uri.path().to_owned();
    let authorized = match authorize(&view.configuration, &host, &path, &parts.headers) {
        Ok(authorized) => authorized,
        Err((status, reason)) => {
            let is_certain = validity == Validity::Current;
            log::info!(
                method:% = parts.method, path, status = status.as_u16(), is_certain,
                version = view.configuration.version, revision = view.revision,
                view_age_ms = age.as_millis() as u64; "request_not_allowed"
            );
            if is_certain {
                return text_response(status, reason);
            }
            return unavailable_and_close("the configuration may have changed");
        }
    };
    if validity == Validity::Outdated {
        log::warn!(
            method:% = parts.method, path, version = view.configuration.version,
            view_age_ms = age.as_millis() as u64; "configuration_outdated"
        );
        return unavailable_and_close("the configuration was not read for too long");
    }
    if parts.method != Method::GET && !service.reachability.can_serve(clock::now()) {
        // A call sent now could still be executed once the partition heals. Sending
        // nothing guarantees that the refused request has no effect.
        return unavailable("this instance is cut off");
    }
    let deadline = platform::caller_timeout(&parts.headers).unwrap_or(DEFAULT_DEADLINE);
    let limit = deadline.saturating_sub(ANSWER_RESERVE);
    if authorized.path_suffix.is_empty() && parts.method == Method::GET {
        return pending(service, authorized.queue, limit).await;
    }
    let id = match platform::parse_job_id(authorized.path_suffix) {
        Ok(id) => id,
        Err(error) => {
            let status = match error {
                JobIdError::NoId => StatusCode::NOT_FOUND,
                JobIdError::Capital => StatusCode::BAD_REQUEST,
            };
            return text_response(status, error.to_string());
        }
    };
    match parts.method {
        Method::POST => {
            let max_bytes = view.configuration.limits.body_bytes;
            match bodies::receive(&service.body_room, body, max_bytes).await {
                Ok((body, _reserved)) => submit(service, &authorized, id, &body, limit).await,
                Err((StatusCode::SERVICE_UNAVAILABLE, reason)) => unavailable(&reason),
                Err((status, reason)) => text_response(status, reason),
            }
        }
        Method::GET => state(service, id, limit).await,
        Method::DELETE => cancel(service, id, limit).await,
        _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE"),
    }
}

/// Finds the queue of a request and checks its API key.
fn authorize<'a>(
    configuration: &'a Configuration,
    host: &str,
    path: &'a str,
    headers: &HeaderMap,
) -> Result<AuthorizedRequest<'a>, (StatusCode, &'static str)> {
    let queue = configuration
        .queue_of(host, path)
        .ok_or((StatusCode::NOT_FOUND, "no such queue"))?;
    let path_suffix = &path[queue.path_prefix.len()..];
    let workspace = platform::workspace_key(headers).and_then(|key| configuration.keys.get(key));
    if workspace.is_none() && !queue.is_open {
        return Err((StatusCode::UNAUTHORIZED, "the key is not known"));
    }
    Ok(AuthorizedRequest {
        queue,
        workspace: workspace.map(String::as_str),
        path_suffix,
    })
}

async fn submit(
    service: &CallerService,
    authorized: &AuthorizedRequest<'_>,
    id: JobId,
    body: &[u8],
    limit: Duration,
) -> Response<Full<Bytes>> {
    let started_at = clock::now();
    let mut record = match platform::decode_job(body) {
        Ok(record) => record,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, error.to_string()),
    };
    authorized.queue.name.clone_into(&mut record.queue);
    record.queue_path = authorized.queue.path();
    record.workspace = authorized.workspace.unwrap_or_default().to_owned();
    if let Err(error) = JobSpec::from_submission(&record) {
        return text_response(StatusCode::BAD_REQUEST, error.to_string());
    }
    if !service.link.admit_job() {
        let refusal = || unavailable("more jobs wait than can be placed");
        return refuse_unless_stored(service, id, limit, refusal).await;
    }
    let scheduler_outcome = service
        .link
        .submit(id, &record, limit.min(SCHEDULER_TIMEOUT))
        .await;
    match scheduler_outcome {
        Outcome::Done => return json_response(StatusCode::OK, "{}".to_owned()),
        Outcome::Full => {
            let remaining = limit.saturating_sub(clock::now().saturating_sub(started_at));
            return refuse_unless_stored(service, id, remaining, too_many_jobs).await;
        }
        Outcome::Refused | Outcome::Absent | Outcome::Unknown => {}
    }
    let remaining = limit.saturating_sub(clock::now().saturating_sub(started_at));
    let stored =
        dotterelsill_rpc::timeout(remaining, intake::submit(&service.store, id, &record)).await;
    match (scheduler_outcome, stored.unwrap_or(Outcome::Unknown)) {
        (_, Outcome::Done) => json_response(StatusCode::OK, "{}".to_owned()),
        (Outcome::Refused, Outcome::Refused) => unavailable("the job was not stored"),
        _ => text_response(
            StatusCode::GATEWAY_TIMEOUT,
            "the job may be stored; send it again",
        ),
    }
}

/// Answers a submission that the scheduler must not take, with `refusal` if the job is
/// not known. An earlier submission of the same job may have been accepted or may still
/// be on its way to the store, so the job is refused only if it is known to neither the
/// scheduler nor the store.
async fn refuse_unless_stored(
    service: &CallerService,
    id: JobId,
    limit: Duration,
    refusal: impl FnOnce() -> Response<Full<Bytes>>,
) -> Response<Full<Bytes>> {
    let started_at = clock::now();
    match service
        .link
        .earlier_submission(id, limit.min(SCHEDULER_TIMEOUT))
        .await
    {
        Outcome::Done => return json_response(StatusCode::OK, "{}".to_owned()),
        Outcome::Unknown => {
            return text_response(
                StatusCode::GATEWAY_TIMEOUT,
                "the job may be stored; send it again",
            )
        }
        Outcome::Refused | Outcome::Absent | Outcome::Full => {}
    }
    let remaining = limit.saturating_sub(clock::now().saturating_sub(started_at));
    match dotterelsill_rpc::timeout(remaining, intake::state(&service.store, id)).await {
        Ok(Ok(Some(_))) => json_response(StatusCode::OK, "{}".to_owned()),
        Ok(Ok(None)) => refusal(),
        Ok(Err(_)) | Err(_) => text_response(
            StatusCode::GATEWAY_TIMEOUT,
            "the job may be stored; send it again",
        ),
    }
}

async fn state(service: &CallerService, id: JobId, limit: Duration) -> Response<Full<Bytes>> {
    let started_at = clock::now();
    let (outcome, state) = service.link.state(id, limit.min(SCHEDULER_TIMEOUT)).await;
    match (outcome, state) {
        (Outcome::Done, Some(state)) => return state_response(Some(state)),
        (Outcome::Absent, _) => return state_response(None),
        _ => {}
    }
    let remaining = limit.saturating_sub(clock::now().saturating_sub(started_at));
    match dotterelsill_rpc::timeout(remaining, intake::state(&service.store, id)).await {
        Ok(Ok(state)) => state_response(state),
        Ok(Err(error)) => unavailable(&error.to_string()),
        Err(error) => unavailable(&error.to_string()),
    }
}

fn state_response(state: Option<JobState>) -> Response<Full<Bytes>> {
    match state {
        Some(state) => json_response(StatusCode::OK, platform::state_body(state)),
        None => text_response(StatusCode::GONE, "no such job"),
    }
}

async fn cancel(service: &CallerService, id: JobId, limit: Duration) -> Response<Full<Bytes>> {
    match service.link.cancel(id, limit).await {
        Outcome::Done => json_response(StatusCode::OK, "{}".to_owned()),
        Outcome::Absent => text_response(StatusCode::GONE, "no such job"),
        Outcome::Refused | Outcome::Full | Outcome::Unknown => {
            unavailable("the scheduler does not answer")
        }
    }
}

async fn pending(service: &CallerService, queue: &Queue, limit: Duration) -> Response<Full<Bytes>> {
    match service.link.pending(queue, limit).await {
        Some(pending) => json_response(StatusCode::OK, platform::pending_body(pending)),
        None => unavailable("the number of waiting jobs is not known"),
    }
}

/// Returns a 503 response with a `Retry-After` header.
fn unavailable(reason: &str) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, reason.to_owned());
    let retry_after = HeaderValue::from(RETRY_AFTER_S);
    response.headers_mut().insert(RETRY_AFTER, retry_after);
    response
}

/// Returns the response to a job of a workspace whose jobs take all the memory that
/// they may.
fn too_many_jobs() -> Response<Full<Bytes>> {
    let mut response = unavailable("the jobs of this workspace take all memory for jobs");
    *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
    response
}

/// Returns a 503 response that closes the connection, so that the caller's retry
/// reaches another instance.
fn unavailable_and_close(reason: &str) -> Response<Full<Bytes>> {
    let mut response = unavailable(reason);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

fn json_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = text_response(status, body);
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}

fn text_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
