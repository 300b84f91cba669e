//! The simulated store.

use std::collections::BTreeMap;

use dotterelsill_jobs::{
    JobChange,
    JobId, //
};
use dotterelsill_proto::jobs::{
    GrantedWorker,
    JobRecord,
    ProgressRecord, //
};

/// Contents of the store.
#[derive(Default)]
pub(crate) struct Store {
    /// Revision of the scheduler's key.
    pub(crate) token: u64,
    pub(crate) lease_ends_ms: u64,
    pub(crate) revision: u64,
    pub(crate) down_until_ms: u64,
    pub(crate) jobs: BTreeMap<JobId, JobRecord>,
    pub(crate) progress: BTreeMap<JobId, (ProgressRecord, u64)>,
    pub(crate) granted: Vec<GrantedWorker>,
    /// Registered workers, by their start time and port.
    pub(crate) registered: Vec<Option<(u64, u16)>>,
}

/// Result of a write of progress.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Written {
    Done {
        revision: u64,
    },
    Conflict {
        revision: u64,
    },
    /// Another scheduler has the key.
    Deposed,
    /// The store did nothing, or its answer was lost.
    Unknown,
}

impl Store {
    pub(crate) fn is_up(&self, now_ms: u64) -> bool {
        self.down_until_ms <= now_ms
    }

    pub(crate) fn elect(&mut self, lease_ends_ms: u64) {
        self.revision += 1;
        self.token = self.revision;
        self.lease_ends_ms = lease_ends_ms;
    }

    pub(crate) fn write(&mut self, token: u64, change: &JobChange, now_ms: u64) -> Written {
        if !self.is_up(now_ms) {
            return Written::Unknown;
        }
        if token != self.token || self.lease_ends_ms <= now_ms {
            return Written::Deposed;
        }
        let stored = self.progress.get(&change.job);
        let revision = stored.map_or(0, |(_, revision)| *revision);
        if revision != change.expected_revision {
            return Written::Conflict { revision };
        }
        self.revision += 1;
        let entry = (change.record.clone(), self.revision);
        self.progress.insert(change.job, entry);
        Written::Done {
            revision: self.revision,
        }
    }
}
