//! The four outcomes of a request and their HTTP responses.

use bytes::Bytes;
use http::{
    header::RETRY_AFTER,
    HeaderValue,
    StatusCode, //
};
use http_body_util::Full;
use hyper::Response;

/// Response header with the name of the outcome.
const OUTCOME_HEADER: &str = "dotterelsill-outcome";

/// Outcome of a request.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The upstream answered in full.
    Answered(Response<Bytes>),
    /// The work was not run; the request may safely be sent again.
    NotRun(Reason),
    /// The upstream ran the work and answered in full that it failed.
    Failed(Response<Bytes>),
    /// It is not known whether the work was run.
    Unknown(Reason),
}

/// Outcome of a request that is refused without an attempt to run it.
#[derive(Clone, Debug)]
pub(crate) enum Refusal {
    /// The work was not run.
    NotRun(Reason),
    /// An earlier request with the same identifier may have run the work.
    Unknown(Reason),
}

impl From<Refusal> for Outcome {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::NotRun(reason) => Self::NotRun(reason),
            Refusal::Unknown(reason) => Self::Unknown(reason),
        }
    }
}

/// Status and text of a response that this daemon creates itself.
#[derive(Clone, Debug)]
pub(crate) struct Reason {
    /// HTTP status of the response.
    pub(crate) status: StatusCode,
    /// What is wrong and what the caller can do about it.
    pub(crate) text: String,
}

impl Reason {
    /// Creates a reason.
    pub(crate) fn new(status: StatusCode, text: impl Into<String>) -> Self {
        Self {
            status,
            text: text.into(),
        }
    }
}

impl Outcome {
    /// Returns the outcome's name in headers, logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not_run",
            Self::Failed(_) => "failed",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Converts the outcome into the response to the caller.
    pub(crate) fn into_response(self) -> Response<Full<Bytes>> {
        let name = HeaderValue::from_static(self.name());
        let mut response = match self {
            Self::Answered(answer) | Self::Failed(answer) => answer.map(Full::new),
            Self::NotRun(reason) => refusal(reason),
            Self::Unknown(reason) => text(reason),
        };
        response.headers_mut().insert(OUTCOME_HEADER, name);
        response
    }
}

/// Returns the response to a request that was not run. Responses with status 503
/// and 429 say when to retry.
fn refusal(reason: Reason) -> Response<Full<Bytes>> {
    let status = reason.status;
    let mut response = text(reason);
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
        let after_s = HeaderValue::from_static("1");
        response.headers_mut().insert(RETRY_AFTER, after_s);
    }
    response
}

fn text(reason: Reason) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(reason.text + "\n")));
    *response.status_mut() = reason.status;
    response
}
