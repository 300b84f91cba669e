//! Record of what callers and operators observed, independent of the system under
//! test.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use dotterelsill_rpc::Tasks;

use crate::{
    clock_us,
    Answer,
    Caller, //
};

/// Request that a caller sends.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Name of the queue.
    pub queue: &'static str,
    /// Name of the team; empty for an open queue.
    pub team: &'static str,
    /// API key; empty for an open queue.
    pub key: String,
    /// Idempotency key of non-repeatable work; empty for other work.
    pub identifier: String,
    /// Time that the upstream takes to serve the request.
    pub service_time: Duration,
    /// Minimum length of the body, in bytes.
    pub body_bytes: usize,
    /// Timeout that the caller asks for; `None` for the timeout of the queue.
    pub deadline: Option<Duration>,
}

/// One attempt of a caller to have work done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SentRequest {
    /// Address of the entry that the attempt was sent to.
    pub address: SocketAddr,
    /// Work that was requested.
    pub work: Work,
    /// Outcome of the attempt; empty until the answer has arrived.
    pub outcome: String,
    /// Whether the body of the answer equals the body of the request.
    pub is_own_answer: bool,
}

/// Records the attempts, their answers and the changes reported in force.
#[derive(Default)]
pub struct Observer {
    sent: Mutex<Vec<SentRequest>>,
    /// Keys, and when their withdrawal was reported in force, in microseconds since
    /// the epoch.
    withdrawn: Mutex<Vec<(String, u64)>>,
    /// Indexes of data centres, and from when until when they were excluded, in
    /// microseconds since the epoch.
    exclusions: Mutex<Vec<(usize, u64, u64)>>,
}

impl Observer {
    /// Sends work to the entry at an address and records the answer.
    pub async fn send(&self, address: SocketAddr, work: &Work, tasks: &Tasks) -> Answer {
        let attempt = self.begin(address, work);
        let mut body = if work.identifier.is_empty() {
            format!("attempt-{attempt}")
        } else {
            work.identifier.clone()
        };
        while body.len() < work.body_bytes {
            body.push_str(&format!(":{attempt}"));
        }
        let caller = Caller {
            address,
            key: (!work.key.is_empty()).then(|| work.key.clone()),
            tasks: tasks.clone(),
        };
        let headers = headers(work, attempt);
        let borrowed: Vec<_> = headers
            .iter()
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        let path = format!("/q/{}/x", work.queue);
        let answer = caller.send_with(&path, &body, &borrowed).await;
        let mut sent = lock(&self.sent);
        sent[attempt].outcome = answer.outcome.clone();
        sent[attempt].is_own_answer = answer.body == body.as_bytes();
        answer
    }

    /// Records that the withdrawal of a key has been reported in force.
    pub fn on_withdrawn(&self, key: &str) {
        lock(&self.withdrawn).push((key.to_owned(), clock_us()));
    }

    /// Records that the exclusion of a data centre has been reported in force.
    pub fn on_excluded(&self, data_centre: usize) {
        lock(&self.exclusions).push((data_centre, clock_us(), u64::MAX));
    }

    /// Records that a data centre is about to be readmitted.
    pub fn on_readmitted(&self, data_centre: usize) {
        for (index, _, until_us) in lock(&self.exclusions).iter_mut() {
            if *index == data_centre && *until_us == u64::MAX {
                *until_us = clock_us();
            }
        }
    }

    /// Returns all attempts; the index is the number of the attempt.
    pub fn sent(&self) -> Vec<SentRequest> {
        lock(&self.sent).clone()
    }

    /// Returns the keys whose withdrawal was reported in force, and when, in
    /// microseconds since the epoch.
    pub fn withdrawn(&self) -> Vec<(String, u64)> {
        lock(&self.withdrawn).clone()
    }

    /// Returns the indexes of the data centres that were excluded, and from when
    /// until when, in microseconds since the epoch; the end is `u64::MAX` while the
    /// data centre is excluded.
    pub fn exclusions(&self) -> Vec<(usize, u64, u64)> {
        lock(&self.exclusions).clone()
    }

    fn begin(&self, address: SocketAddr, work: &Work) -> usize {
        let mut sent = lock(&self.sent);
        sent.push(SentRequest {
            address,
            work: work.clone(),
            outcome: String::new(),
            is_own_answer: false,
        });
        sent.len() - 1
    }
}

fn headers(work: &Work, attempt: usize) -> Vec<(&'static str, String)> {
    let service_time_ms = work.service_time.as_millis().to_string();
    let mut headers = vec![
        ("standin-attempt", attempt.to_string()),
        ("standin-service-time-ms", service_time_ms),
    ];
    if let Some(deadline) = work.deadline {
        let deadline_ms = deadline.as_millis().to_string();
        headers.push(("dotterelsill-deadline-ms", deadline_ms));
    }
    if !work.identifier.is_empty() {
        headers.push(("idempotency-key", work.identifier.clone()));
        // Any time within the last hour is valid; it is rounded down to half hours so
        // that all attempts send the same one.
        let issued_at_s = clock_us() / 1_000_000 / 1800 * 1800;
        headers.push(("idempotency-issued-at", issued_at_s.to_string()));
    }
    headers
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
