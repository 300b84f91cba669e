//! Encodes calls into the batches of a stream to a dispatcher.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use dotterelsill_jobs::{
    PayloadCache,
    WorkerKey, //
};
use dotterelsill_proto::jobs::{
    DispatchRequest,
    DispatchWorker,
    WorkerCall, //
};

use super::{
    messages,
    Call,
    WorkerTarget, //
};

/// Time without calls after which a worker is introduced to the dispatcher again. The
/// dispatcher forgets workers after a longer time.
const INTRODUCTION_LIFETIME: Duration = Duration::from_secs(30);

/// Number of introduced workers from which on those without calls are dropped.
const MAX_INTRODUCED: usize = 2048;

/// What the dispatcher at the other end of a stream knows.
#[derive(Default)]
pub(super) struct BatchEncoder {
    introduced: HashMap<WorkerKey, Introduced>,
    payloads: PayloadCache,
}

struct Introduced {
    target: Arc<WorkerTarget>,
    called_at: Duration,
}

impl BatchEncoder {
    /// Adds a call to a batch.
    pub(super) fn add(
        &mut self,
        batch: &mut DispatchRequest,
        number: u64,
        target: &Arc<WorkerTarget>,
        call: &Call,
        now: Duration,
    ) {
        let is_known = |introduced: &Introduced| {
            introduced.target == *target && now < introduced.called_at + INTRODUCTION_LIFETIME
        };
        if !self.introduced.get(&target.key).is_some_and(is_known) {
            batch.workers.push(DispatchWorker {
                worker: target.key.0,
                id: target.id.clone(),
                address: target.address.clone(),
            });
        }
        if self.introduced.len() >= MAX_INTRODUCED {
            self.introduced
                .retain(|_, introduced| now < introduced.called_at + INTRODUCTION_LIFETIME);
        }
        let introduced = Introduced {
            target: target.clone(),
            called_at: now,
        };
        self.introduced.insert(target.key, introduced);
        batch.calls.push(WorkerCall {
            call: number,
            worker: target.key.0,
            body: Some(messages::encode_call(call, &mut self.payloads)),
        });
    }
}
