//! A caller that sends one request at a time.

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

/// Longest time that a caller waits, beyond every deadline of the tests.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest answer, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// The answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status; 0 when the connection broke.
    pub status: u16,
    /// Word of the outcome header; `broken` when the connection broke.
    pub outcome: String,
    /// Body.
    pub body: Bytes,
}

/// Sends requests to one entry, each on a connection of its own.
#[derive(Clone)]
pub struct Caller {
    /// Address of the entry.
    pub address: SocketAddr,
    /// Key of the team.
    pub key: Option<String>,
    /// Group of the connections.
    pub tasks: Tasks,
}

impl Caller {
    /// Sends a request with a body.
    pub async fn send(&self, path: &str, body: &str) -> Answer {
        self.send_with(path, body, &[]).await
    }

    /// Sends a request with a body and further headers.
    ///
    /// # Panics
    ///
    /// Panics when there is no answer within 20 s.
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
            .expect("every request is answered before its deadline")
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
