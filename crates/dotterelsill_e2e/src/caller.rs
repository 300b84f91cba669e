//! HTTP client that sends one request at a time to an entry.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use dotterelsill_rpc::{
    timeout,
    Http1Connection,
    Tasks, //
};
use http_body_util::Full;
use hyper::Request;

/// Maximum time to wait for an answer; longer than every deadline in the tests.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum size of an answer's body, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// The answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status; 0 if the connection failed.
    pub status: u16,
    /// Value of the `dotterelsill-outcome` header, empty without one; `broken` if
    /// the connection failed.
    pub outcome: String,
    /// Body; the error message if the connection failed.
    pub body: Bytes,
}

/// Sends requests to one entry, each on a new connection.
#[derive(Clone)]
pub struct Caller {
    /// Address of the entry's listener for callers.
    pub address: SocketAddr,
    /// API key of the team; `None` sends no key.
    pub key: Option<String>,
    /// Task group that runs the connections.
    pub tasks: Tasks,
}

impl Caller {
    /// Sends a POST request with a body.
    pub async fn send(&self, path: &str, body: &str) -> Answer {
        self.send_with(path, body, &[]).await
    }

    /// Sends a POST request with a body and additional headers.
    ///
    /// # Panics
    ///
    /// Panics if no answer arrives within 20 s.
    pub async fn send_with(&self, path: &str, body: &str, headers: &[(&str, &str)]) -> Answer {
        let mut request = Request::post(path).header("host", self.address.to_string());
        if let Some(key) = &self.key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .expect("path and headers are valid");
        timeout(ANSWER_TIMEOUT, self.exchange(request))
            .await
            .expect("every request is answered within 20 s")
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Answer {
        let result = async {
            let mut connection = Http1Connection::connect(self.address, &self.tasks).await?;
            connection.exchange(request, ANSWER_LIMIT_BYTES).await
        };
        match result.await {
            Ok(answer) => Answer {
                status: answer.status().as_u16(),
                outcome: answer
                    .headers()
                    .get("dotterelsill-outcome")
                    .and_then(|value| value.to_str().ok())
                    .unwrap_or_default()
                    .to_owned(),
                body: answer.into_body(),
            },
            Err(error) => Answer {
                status: 0,
                outcome: "broken".to_owned(),
                body: error.to_string().into(),
            },
        }
    }
}
