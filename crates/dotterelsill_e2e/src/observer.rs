//! What callers and operators saw, kept apart from the system under test.

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

/// Work that a caller sends.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Queue.
    pub queue: &'static str,
    /// Team; empty on an open queue.
    pub team: &'static str,
    /// Key; empty on an open queue.
    pub key: String,
    /// Identifier of work that may not be repeated; empty for other work.
    pub identifier: String,
    /// Time that the upstream takes.
    pub service_time: Duration,
    /// Least length of the body, in bytes.
    pub body_bytes: usize,
    /// Time that the caller allows; `None` for the queue's own.
    pub deadline: Option<Duration>,
}

/// One attempt of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SentRequest {
    /// Entry that it was sent to.
    pub address: SocketAddr,
    /// Work.
    pub work: Work,
    /// Outcome; empty until the answer arrived.
    pub outcome: String,
    /// Whether the body of the answer is the one of the request.
    pub is_own_answer: bool,
}

/// Records what was sent, answered and reported in force.
#[derive(Default)]
pub struct Observer {
    sent: Mutex<Vec<SentRequest>>,
    withdrawn: Mutex<Vec<(String, u64)>>,
    out: Mutex<Vec<(usize, u64, u64)>>,
}

impl Observer {
    /// Sends work to the entry at an address and records what comes back.
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

    /// Records that the withdrawal of a key was reported in force.
    pub fn on_withdrawn(&self, key: &str) {
        lock(&self.withdrawn).push((key.to_owned(), clock_us()));
    }

    /// Records that a data centre was reported out.
    pub fn on_excluded(&self, data_centre: usize) {
        lock(&self.out).push((data_centre, clock_us(), u64::MAX));
    }

    /// Records that a data centre is about to be brought back.
    pub fn on_readmitted(&self, data_centre: usize) {
        for (index, _, until_us) in lock(&self.out).iter_mut() {
            if *index == data_centre && *until_us == u64::MAX {
                *until_us = clock_us();
            }
        }
    }

    /// Returns all attempts, by number.
    pub fn sent(&self) -> Vec<SentRequest> {
        lock(&self.sent).clone()
    }

    /// Returns the keys whose withdrawal was reported in force, and when.
    pub fn withdrawn(&self) -> Vec<(String, u64)> {
        lock(&self.withdrawn).clone()
    }

    /// Returns the data centres that were reported out, from when until when.
    pub fn exclusions(&self) -> Vec<(usize, u64, u64)> {
        lock(&self.out).clone()
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
        // Any time within the last hour, the same on each attempt.
        let issued_at_s = clock_us() / 1_000_000 / 1800 * 1800;
        headers.push(("idempotency-issued-at", issued_at_s.to_string()));
    }
    headers
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
