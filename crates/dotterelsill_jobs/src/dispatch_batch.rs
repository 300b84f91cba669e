//! State of the two ends of the stream between a scheduler and a dispatcher.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    sync::Arc,
    time::Duration, //
};

use crate::JobId;

/// Maximum number of payloads that are kept on a stream; at 4 KB each, 2 MB.
const MAX_PAYLOADS: usize = 512;

/// Payloads that were sent over a stream. Both ends add the same payloads in the same
/// order, so that both keep the same ones.
#[derive(Debug, Default)]
pub struct PayloadCache {
    payloads: HashMap<JobId, Arc<str>>,
    oldest: VecDeque<JobId>,
}

impl PayloadCache {
    /// Adds the payload of a job, and drops the oldest one if there are too many.
    /// Returns whether the payload is new; the sender then sends it.
    pub fn add(&mut self, job: JobId, payload: &Arc<str>) -> bool {
        if self.payloads.contains_key(&job) {
            return false;
        }
        if self.oldest.len() >= MAX_PAYLOADS {
            if let Some(dropped) = self.oldest.pop_front() {
                self.payloads.remove(&dropped);
            }
        }
        self.oldest.push_back(job);
        self.payloads.insert(job, payload.clone());
        true
    }

    /// Returns the payload of a job.
    pub fn get(&self, job: JobId) -> Option<&Arc<str>> {
        self.payloads.get(&job)
    }
}

/// Tells a dispatcher whether calls of the scheduler are still to be made.
///
/// The dispatcher numbers its heartbeats, and each batch of calls carries the number
/// of the latest heartbeat that the scheduler has received. The batch was sent after
/// that heartbeat, so its age is at most that of the heartbeat by the dispatcher's own
/// clock. A dispatcher that was paused thus makes no call that it received before.
#[derive(Debug)]
pub struct HeartbeatClock {
    max_age: Duration,
    /// Number of the first heartbeat in `sent_at`.
    first: u64,
    /// Times at which the latest heartbeats were sent.
    sent_at: VecDeque<Duration>,
}

impl HeartbeatClock {
    /// Creates the state for calls that are to be made until `max_age` after the
    /// heartbeat that they carry.
    pub fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            first: 1,
            sent_at: VecDeque::new(),
        }
    }

    /// Returns the number of the heartbeat that is sent now.
    pub fn on_heartbeat(&mut self, now: Duration) -> u64 {
        while self
            .sent_at
            .front()
            .is_some_and(|&sent_at| now > sent_at + self.max_age)
        {
            self.sent_at.pop_front();
            self.first += 1;
        }
        self.sent_at.push_back(now);
        self.latest()
    }

    /// Returns the number of the latest heartbeat, 0 before the first one.
    pub fn latest(&self) -> u64 {
        self.first - 1 + self.sent_at.len() as u64
    }

    /// Returns the time until which calls that carry a heartbeat are to be made; zero
    /// if it is too old or was never sent.
    pub fn valid_until(&self, heartbeat: u64) -> Duration {
        let index = heartbeat.checked_sub(self.first);
        index
            .and_then(|index| self.sent_at.get(usize::try_from(index).ok()?))
            .map_or(Duration::ZERO, |&sent_at| sent_at + self.max_age)
    }
}
