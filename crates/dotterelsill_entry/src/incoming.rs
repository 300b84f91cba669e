//! A caller's request, and its conversion to the request sent to an upstream.

use std::time::{
    Duration,
    Instant, //
};

use bytes::Bytes;
use dotterelsill_routing::Deadline;
use http::{
    header,
    HeaderMap,
    HeaderValue,
    Method,
    Uri, //
};
use http_body_util::Full;
use hyper::{
    Request,
    Response, //
};

use crate::outcome::Outcome;

/// Header with a timeout in milliseconds. A caller sends it to allow less time than
/// the queue does; upstreams receive it with the time that remains.
pub(crate) const DEADLINE_HEADER: &str = "dotterelsill-deadline-ms";

/// A caller's request with its whole body.
pub(crate) struct Incoming {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers as the caller sent them.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) deadline: Deadline,
}

impl Incoming {
    /// Returns the request to send to an upstream: without hop-by-hop headers and
    /// without the caller's key.
    pub(crate) fn forwarded(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
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
        let left_ms = self.deadline.upstream_ms(Instant::now(), Duration::ZERO);
        headers.insert(DEADLINE_HEADER, HeaderValue::from(left_ms.unwrap_or(0)));
        *request.headers_mut() = headers;
        request
    }
}

/// Classifies an upstream's answer as answered or failed, and removes its
/// hop-by-hop headers.
pub(crate) fn classify_answer(mut answer: Response<Bytes>) -> Outcome {
    for name in [header::CONNECTION, header::TRANSFER_ENCODING] {
        answer.headers_mut().remove(name);
    }
    if answer.status().is_server_error() {
        Outcome::Failed(answer)
    } else {
        Outcome::Answered(answer)
    }
}
