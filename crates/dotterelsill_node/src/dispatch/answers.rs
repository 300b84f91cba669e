//! Sends the answers of workers, and heartbeats, to the scheduler.

use std::time::Duration;

use async_channel::{
    Receiver,
    Sender, //
};
use async_io::Timer;
use dotterelsill_proto::jobs::{
    DispatchResponse,
    WorkerAnswer, //
};
use dotterelsill_rpc::Tasks;
use futures_lite::FutureExt as _;
use tonic::Status;

use super::service::{
    Session,
    MAX_HEARTBEAT_AGE, //
};
use crate::clock;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two heartbeats; answers in between carry the earlier one.
const MIN_HEARTBEAT_AGE: Duration = Duration::from_millis(100);

/// Time for which answers are gathered for a batch.
const GATHER_TIME: Duration = Duration::from_millis(1);

/// Maximum number of answers in a batch.
const MAX_BATCH: usize = 32;

impl Session {
    /// Sends answers and heartbeats until the scheduler ends the stream.
    pub(super) async fn send(
        &self,
        answered: &Receiver<WorkerAnswer>,
        responses: &Sender<Result<DispatchResponse, Status>>,
        shutdown: &Tasks,
    ) {
        let mut has_told_leaving = false;
        loop {
            let mut response = DispatchResponse {
                heartbeat: self.next_heartbeat(),
                ..DispatchResponse::default()
            };
            if shutdown.is_stopping() && !has_told_leaving {
                has_told_leaving = true;
                response.is_leaving = true;
            }
            while response.answers.len() < MAX_BATCH {
                match answered.try_recv() {
                    Ok(answer) => response.answers.push(answer),
                    Err(_) => break,
                }
            }
            if responses.send(Ok(response)).await.is_err() {
                return;
            }
            let next = async { answered.recv().await.ok() };
            let due = async {
                Timer::after(HEARTBEAT_INTERVAL).await;
                None
            };
            let leaving = async {
                if has_told_leaving {
                    std::future::pending::<()>().await;
                }
                shutdown.stopped().await;
                None
            };
            if let Some(answer) = next.or(due).or(leaving).await {
                // Put first again; the order of answers does not matter.
                let _ = self.answers.try_send(answer);
                Timer::after(GATHER_TIME).await;
            }
        }
    }

    fn next_heartbeat(&self) -> u64 {
        let now = clock::now();
        let mut heartbeats = self.heartbeats();
        let latest = heartbeats.latest();
        let is_recent =
            heartbeats.valid_until(latest) + MIN_HEARTBEAT_AGE > now + MAX_HEARTBEAT_AGE;
        if is_recent {
            latest
        } else {
            heartbeats.on_heartbeat(now)
        }
    }
}
