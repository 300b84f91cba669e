//! Metrics, health and readiness over HTTP.

use std::sync::{
    atomic::Ordering,
    Arc, //
};

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use hyper::{
    body::Incoming,
    Request,
    Response, //
};

use crate::shared::Shared;

/// Serves one request of the platform or of a monitoring system.
///
/// `/health` tells that the process runs; `/ready` tells whether the balancer
/// is to send callers here.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/health" => text(StatusCode::OK, "running\n"),
        "/ready" => readiness(&shared),
        "/metrics" => metrics(&shared),
        _ => text(StatusCode::NOT_FOUND, "use /health, /ready or /metrics\n"),
    }
}

fn readiness(shared: &Shared) -> Response<Full<Bytes>> {
    if shared.is_leaving.load(Ordering::SeqCst) {
        text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
    } else if shared.snapshot.load().revision == 0 {
        text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n")
    } else {
        text(StatusCode::OK, "ready\n")
    }
}

fn metrics(shared: &Shared) -> Response<Full<Bytes>> {
    let metrics = &shared.metrics;
    let calls = &metrics.store_calls;
    calls.inc_by(shared.store.calls().saturating_sub(calls.get()));
    text(StatusCode::OK, metrics.encode())
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
