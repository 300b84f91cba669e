//! Workers that a scheduler calls over this instance.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use dotterelsill_platform::WorkerClient;
use dotterelsill_proto::jobs::DispatchWorker;
use dotterelsill_rpc::Tasks;

use crate::clock;

/// Time without calls after which a worker is forgotten. It is longer than the time
/// after which the scheduler introduces the worker again.
const UNUSED_LIFETIME: Duration = Duration::from_secs(60);

/// Interval between searches for unused workers.
const DROP_INTERVAL: Duration = Duration::from_secs(10);

/// A worker that the scheduler calls over this instance.
pub(super) struct CalledWorker {
    pub(super) client: WorkerClient,
    address: SocketAddr,
    /// Held while an order is under way.
    pub(super) orders: async_lock::Mutex<()>,
}

struct Entry {
    called: Arc<CalledWorker>,
    called_at: Duration,
}

/// The workers of one stream, by the numbers that its calls use.
#[derive(Default)]
pub(super) struct CalledWorkers {
    by_number: HashMap<u32, Entry>,
    searched_at: Duration,
}

impl CalledWorkers {
    /// Adds a worker, or keeps its connections if it is known at this address.
    pub(super) fn introduce(&mut self, worker: &DispatchWorker, tasks: &Tasks) {
        let address = match worker.address.parse::<SocketAddr>() {
            Ok(address) => address,
            Err(error) => {
                self.by_number.remove(&worker.worker);
                log::warn!(worker = worker.id, error:%; "worker_address_unusable");
                return;
            }
        };
        let is_known = self.by_number.get(&worker.worker).is_some_and(|entry| {
            entry.called.address == address && entry.called.client.id() == worker.id
        });
        if !is_known {
            let called = CalledWorker {
                client: WorkerClient::new(&worker.id, address, tasks),
                address,
                orders: async_lock::Mutex::new(()),
            };
            let entry = Entry {
                called: Arc::new(called),
                called_at: clock::now(),
            };
            self.by_number.insert(worker.worker, entry);
        }
    }

    /// Returns a worker that is called now.
    pub(super) fn get(&mut self, number: u32, now: Duration) -> Option<Arc<CalledWorker>> {
        let entry = self.by_number.get_mut(&number)?;
        entry.called_at = now;
        Some(entry.called.clone())
    }

    /// Forgets workers that were not called for some time, such as those that left.
    pub(super) fn drop_unused(&mut self, now: Duration) {
        if now < self.searched_at + DROP_INTERVAL {
            return;
        }
        self.searched_at = now;
        self.by_number
            .retain(|_, entry| now < entry.called_at + UNUSED_LIFETIME);
    }
}
