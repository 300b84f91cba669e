//! The four outcomes of a request and their form over HTTP.

use bytes::Bytes;
use http::{
    header::RETRY_AFTER,
    HeaderValue,
    StatusCode, //
};
use http_body_util::Full;
use hyper::Response;

/// Header that names the outcome.
const OUTCOME_HEADER: &str = "dotterelsill-outcome";

/// What became of a request.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The upstream answered in full.
    Answered(Response<Bytes>),
    /// The work was not run and may safely be sent again.
    NotRun(Reason),
    /// The upstream ran the work and answered in full that it failed.
    Failed(Response<Bytes>),
    /// Whether the work was run is not known.
    Unknown(Reason),
}

/// Why a request is answered without an attempt to run it.
#[derive(Clone, Debug)]
pub(crate) enum Refusal {
    /// The work was not run.
    NotRun(Reason),
    /// An earlier attempt may have run it.
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

/// Status and text of an answer that does not come from an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Reason {
    /// Status to answer with.
    pub(crate) status: StatusCode,
    /// Reason and fix, for the caller.
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
    /// Returns the outcome's word in headers, logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not_run",
            Self::Failed(_) => "failed",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Turns the outcome into the answer to the caller.
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
