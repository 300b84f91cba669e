//! Sends requests on one connection.

use std::time::{
    Duration,
    Instant, //
};

use bytes::Bytes;
use dotterelsill_rpc::{
    timeout,
    Http1Connection,
    Tasks, //
};
use http::{
    header,
    HeaderValue, //
};
use http_body_util::Full;
use hyper::{
    Request,
    Response, //
};

use crate::{
    report::Report,
    Args, //
};

/// Maximum size of an answer's body, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Sends one request at a time on one connection, and connects again after an error.
pub(crate) struct Worker {
    args: Args,
    tasks: Tasks,
    connection: Option<Http1Connection>,
    /// Number of the worker; part of the idempotency keys.
    index: u64,
    /// Number of requests sent so far; part of the idempotency keys.
    sent: u64,
    pub(crate) report: Report,
}

impl Worker {
    /// Creates a worker, which connects when it sends its first request.
    pub(crate) fn new(args: Args, tasks: Tasks, index: u64) -> Self {
        Self {
            args,
            tasks,
            connection: None,
            index,
            sent: 0,
            report: Report::new(),
        }
    }

    /// Returns whether each request is sent as soon as the one before is answered,
    /// instead of on a schedule.
    pub(crate) fn is_closed_loop(&self) -> bool {
        self.args.rate <= 0.0
    }

    /// Returns the duration of the run.
    pub(crate) fn duration(&self) -> Duration {
        self.args.duration()
    }

    /// Sends one request and records its outcome, with the latency measured from the
    /// intended send time.
    pub(crate) async fn send(&mut self, intended: Instant) {
        let limit = Duration::from_millis(self.args.timeout_ms);
        let outcome = timeout(limit, self.exchange()).await;
        let outcome = match outcome {
            Ok(Ok(answer)) => outcome_of(&answer),
            Ok(Err(error)) => {
                self.connection = None;
                if error.is_unsent() {
                    "not_sent"
                } else {
                    "broken"
                }
                .to_owned()
            }
            Err(_) => {
                self.connection = None;
                "timeout".to_owned()
            }
        };
        self.report.add(&outcome, intended.elapsed());
    }

    async fn exchange(&mut self) -> Result<Response<Bytes>, dotterelsill_rpc::Http1Error> {
        let request = self.request();
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_ready() => connection,
            _ => Http1Connection::connect(self.args.target, &self.tasks).await?,
        };
        let answer = connection.exchange(request, ANSWER_LIMIT_BYTES).await?;
        self.connection = Some(connection);
        Ok(answer)
    }

    fn request(&mut self) -> Request<Full<Bytes>> {
        self.sent += 1;
        let body = vec![b'x'; self.args.body_bytes];
        let mut request = Request::post(&self.args.path)
            .header(header::HOST, self.args.target.to_string())
            .body(Full::new(Bytes::from(body)))
            .expect("the path and the headers are valid");
        if let Some(key) = &self.args.key {
            let value =
                HeaderValue::try_from(format!("Bearer {key}")).expect("the key is printable text");
            request.headers_mut().insert(header::AUTHORIZATION, value);
        }
        if self.args.idempotency {
            self.add_idempotency_key(&mut request);
        }
        request
    }

    fn add_idempotency_key(&self, request: &mut Request<Full<Bytes>>) {
        let now = std::time::SystemTime::now()
            .duration_since(std::time::SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let identifier = format!("{}-{}-{}", std::process::id(), self.index, self.sent);
        let headers = request.headers_mut();
        let identifier = HeaderValue::try_from(identifier).expect("digits and hyphens are valid");
        headers.insert("idempotency-key", identifier);
        headers.insert("idempotency-issued-at", HeaderValue::from(now.as_secs()));
    }
}

fn outcome_of(answer: &Response<Bytes>) -> String {
    match answer.headers().get("dotterelsill-outcome") {
        Some(outcome) => outcome.to_str().unwrap_or("invalid").to_owned(),
        None if answer.status().is_success() => "answered".to_owned(),
        None => format!("status_{}", answer.status().as_u16()),
    }
}
