//! Request handling of the stand-in.

use std::{
    collections::HashMap,
    sync::{
        atomic::{
            AtomicU16,
            AtomicU32,
            AtomicU64,
            Ordering, //
        },
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use async_io::Timer;
use bytes::Bytes;
use dotterelsill_proto::settings::StandinUpstreamSettings;
use http::StatusCode;
use http_body_util::{
    BodyExt as _,
    Full, //
};
use hyper::{
    body::Incoming,
    Request,
    Response, //
};

/// Header with which an upstream reports that it refused a request without running
/// it.
const OUTCOME_HEADER: &str = "dotterelsill-outcome";

/// Path that returns how many times the body of the request was run.
const COUNT_PATH: &str = "/_count";

/// Path that sets the HTTP status of all following answers to the number in the body.
const STATUS_PATH: &str = "/_status";

/// Header with which a request overrides its service time, in milliseconds.
const SERVICE_TIME_HEADER: &str = "standin-service-time-ms";

/// Header with the number by which a test identifies an attempt in the log.
const ATTEMPT_HEADER: &str = "standin-attempt";

/// An upstream that serves as many requests at once as it has slots.
pub(crate) struct Upstream {
    slots: u32,
    service_time: Duration,
    /// Number of slots in use.
    running: AtomicU32,
    /// HTTP status of the answers.
    status: AtomicU16,
    next_run: AtomicU64,
    /// Number of runs of each body, for tests of at-most-once execution.
    runs: Mutex<HashMap<Bytes, u32>>,
}

impl Upstream {
    /// Creates an upstream that is idle.
    pub(crate) fn new(settings: &StandinUpstreamSettings) -> Self {
        Self {
            slots: settings.slots,
            service_time: Duration::from_micros(settings.service_time_us.into()),
            running: AtomicU32::new(0),
            status: AtomicU16::new(StatusCode::OK.as_u16()),
            next_run: AtomicU64::new(0),
            runs: Mutex::default(),
        }
    }

    /// Answers with the body of the request, or refuses the request if all slots are in
    /// use.
    ///
    /// Requests to [`COUNT_PATH`] and [`STATUS_PATH`] are for tests and use no slot.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match request.uri().path() {
            COUNT_PATH => return self.count(request).await,
            STATUS_PATH => return self.set_status(request).await,
            _ => {}
        }
        let Some(_slot) = self.take_slot() else {
            let mut refusal = plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            let not_run = http::HeaderValue::from_static("not_run");
            refusal.headers_mut().insert(OUTCOME_HEADER, not_run);
            return refusal;
        };
        let service_time = number(request.headers(), SERVICE_TIME_HEADER)
            .map_or(self.service_time, Duration::from_millis);
        let attempt = number(request.headers(), ATTEMPT_HEADER);
        let Ok(body) = request.into_body().collect().await else {
            return plain(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let body = body.to_bytes();
        let _run = attempt.map(|attempt| self.log_run(attempt));
        *self.lock().entry(body.clone()).or_default() += 1;
        if !service_time.is_zero() {
            Timer::after(service_time).await;
        }
        let status = StatusCode::from_u16(self.status.load(Ordering::SeqCst));
        plain(status.unwrap_or(StatusCode::OK), body)
    }

    async fn set_status(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Ok(body) = request.into_body().collect().await else {
            return plain(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let body = body.to_bytes();
        let Some(status) = std::str::from_utf8(&body)
            .ok()
            .and_then(|text| text.parse().ok())
        else {
            return plain(StatusCode::BAD_REQUEST, Bytes::new());
        };
        self.status.store(status, Ordering::SeqCst);
        plain(StatusCode::OK, Bytes::new())
    }

    /// Logs the start of a run, and its end when the value is dropped.
    fn log_run(&self, attempt: u64) -> LoggedRun {
        let run = self.next_run.fetch_add(1, Ordering::Relaxed);
        log::debug!(run, attempt; "run_start");
        LoggedRun(run)
    }

    async fn count(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Ok(body) = request.into_body().collect().await else {
            return plain(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let count = self.lock().get(&body.to_bytes()).copied().unwrap_or(0);
        plain(StatusCode::OK, count.to_string().into())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Bytes, u32>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_slot(&self) -> Option<Slot<'_>> {
        self.running
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |running| {
                (running < self.slots).then_some(running + 1)
            })
            .ok()
            .map(|_| Slot(&self.running))
    }
}

/// A slot in use, which is freed on drop.
struct Slot<'a>(&'a AtomicU32);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A run whose end is logged on drop, so also if its connection is closed early.
struct LoggedRun(u64);

impl Drop for LoggedRun {
    fn drop(&mut self) {
        log::debug!(run = self.0; "run_end");
    }
}

fn number(headers: &http::HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn plain(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
