//! What the stand-in answers.

use std::{
    sync::atomic::{
        AtomicU32,
        Ordering, //
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

/// Header by which an upstream says that it refused before running.
const NOT_RUN_HEADER: &str = "dotterelsill-outcome";

/// An upstream with a fixed number of slots.
pub(crate) struct Upstream {
    slots: u32,
    service_time: Duration,
    running: AtomicU32,
}

impl Upstream {
    /// Creates an idle upstream.
    pub(crate) fn new(settings: &StandinUpstreamSettings) -> Self {
        Self {
            slots: settings.slots,
            service_time: Duration::from_micros(settings.service_time_us.into()),
            running: AtomicU32::new(0),
        }
    }

    /// Answers with the body of the request, or refuses when all slots are taken.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(_slot) = self.take_slot() else {
            let mut refusal = plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            let not_run = http::HeaderValue::from_static("not_run");
            refusal.headers_mut().insert(NOT_RUN_HEADER, not_run);
            return refusal;
        };
        let Ok(body) = request.into_body().collect().await else {
            return plain(StatusCode::BAD_REQUEST, Bytes::new());
        };
        if !self.service_time.is_zero() {
            Timer::after(self.service_time).await;
        }
        plain(StatusCode::OK, body.to_bytes())
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

struct Slot<'a>(&'a AtomicU32);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn plain(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
