//! Bodies of requests: how many bytes of them are received at a time, and for how long.

use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    time::Duration, //
};

use bytes::Bytes;
use dotterelsill_rpc::timeout;
use http::StatusCode;
use http_body_util::{
    BodyExt as _,
    Limited, //
};
use hyper::body::{
    Body as _,
    Incoming, //
};

/// Longest time that a caller may take to send a body. Its own deadline is no limit, as a
/// body that has arrived already would be dropped after a short one.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time for which a body that is not kept is received.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Memory for the bodies that are being received.
#[derive(Debug)]
pub(crate) struct BodyRoom {
    limit_bytes: u64,
    used_bytes: AtomicU64,
}

/// Memory for one body; it is given back when the value is dropped.
pub(crate) struct ReservedRoom {
    room: Arc<BodyRoom>,
    bytes: u64,
}

impl BodyRoom {
    /// Creates room for a number of bytes.
    pub(crate) fn new(limit_bytes: u64) -> Self {
        Self {
            limit_bytes,
            used_bytes: AtomicU64::new(0),
        }
    }

    fn reserve(self: &Arc<Self>, bytes: u64) -> Option<ReservedRoom> {
        let reserve = |used: u64| Some(used + bytes).filter(|sum| *sum <= self.limit_bytes);
        let used = &self.used_bytes;
        used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, reserve)
            .ok()?;
        Some(ReservedRoom {
            room: self.clone(),
            bytes,
        })
    }
}

impl Drop for ReservedRoom {
    fn drop(&mut self) {
        self.room
            .used_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Receives a body of at most `max_bytes`; returns it with the room that it takes. The
/// error is the status and the reason to answer with.
pub(crate) async fn receive(
    room: &Arc<BodyRoom>,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<(Bytes, ReservedRoom), (StatusCode, String)> {
    let announced = body.size_hint().upper().unwrap_or(u64::MAX);
    let Some(reserved) = room.reserve(announced.min(max_bytes as u64)) else {
        discard(&mut body, max_bytes).await;
        let reason = "too many bodies are being received".to_owned();
        return Err((StatusCode::SERVICE_UNAVAILABLE, reason));
    };
    let limited = Limited::new(&mut body, max_bytes).collect();
    match timeout(BODY_TIMEOUT, limited).await {
        Ok(Ok(received)) => Ok((received.to_bytes(), reserved)),
        Ok(Err(error)) => {
            discard(&mut body, max_bytes).await;
            Err((StatusCode::PAYLOAD_TOO_LARGE, error.to_string()))
        }
        Err(_) => {
            let reason = "the body was not received in time".to_owned();
            Err((StatusCode::REQUEST_TIMEOUT, reason))
        }
    }
}

/// Receives up to `max_bytes` that are left of a body, without keeping them: a caller
/// that is still sending when the connection is closed might not read the answer.
async fn discard(body: &mut Incoming, max_bytes: usize) {
    let mut received = 0;
    let receive = async {
        while received < max_bytes {
            let Some(Ok(frame)) = body.frame().await else {
                return;
            };
            received += frame.data_ref().map_or(0, Bytes::len);
        }
    };
    // The caller is answered in any case.
    let _ = timeout(DISCARD_TIMEOUT, receive).await;
}
