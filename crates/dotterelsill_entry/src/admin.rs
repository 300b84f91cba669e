//! HTTP endpoints for metrics, health and readiness.

use std::{
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::Instant, //
};

use bytes::Bytes;
use dotterelsill_revision::Mode;
use http::StatusCode;
use http_body_util::Full;
use hyper::{
    body::Incoming,
    Request,
    Response, //
};

use crate::{
    authority::mode_name,
    shared::Shared, //
};

/// Serves one request of the platform or of a monitoring system.
///
/// `/health` succeeds while the process runs; `/ready` succeeds while the load
/// balancer should send callers here; `/metrics` returns the metrics.
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

/// Brings the metrics that are computed on request up to date, and returns all.
fn metrics(shared: &Shared) -> Response<Full<Bytes>> {
    let metrics = &shared.metrics;
    let calls = &metrics.store_calls;
    calls.inc_by(shared.store.calls().saturating_sub(calls.get()));
    let now = Instant::now();
    let current = shared.authority.mode(now);
    for mode in [Mode::Fresh, Mode::Isolated, Mode::Lapsed, Mode::Stale] {
        let gauge = metrics.authority.with_label_values(&[mode_name(mode)]);
        gauge.set((mode == current).into());
    }
    if let Some(age) = shared.authority.proof_age(now) {
        metrics.proof_age_s.set(age.as_secs_f64());
    }
    for (team, allowed, running) in shared.limits.counts() {
        let credits = &metrics.credits;
        credits
            .with_label_values(&[&team, "allowed"])
            .set(allowed.into());
        credits
            .with_label_values(&[&team, "in_use"])
            .set(running.into());
    }
    text(StatusCode::OK, metrics.encode())
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
