//! Simulated store with a fixed latency and a limited write rate.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use dotterelsill_claims::{
    Action,
    Entry,
    OwnerRecord,
    Position,
    StoreAnswer, //
};

/// Time from a call to its answer, without queueing.
const LATENCY: Duration = Duration::from_millis(3);

/// Simulated store; times are counted from the start of the simulation.
pub(crate) struct Store {
    /// Minimum time between two writes; zero without a limit.
    write_interval: Duration,
    /// Earliest time at which the next write can start.
    free_at: Duration,
    owners: BTreeMap<u8, (u64, OwnerRecord)>,
    entries: BTreeMap<(u8, Position), Entry>,
    writes: u64,
}

impl Store {
    pub(crate) fn new(writes_per_s: Option<u64>) -> Self {
        let interval = |writes| Duration::from_secs(1) / writes as u32;
        Store {
            write_interval: writes_per_s.map_or(Duration::ZERO, interval),
            free_at: Duration::ZERO,
            owners: BTreeMap::new(),
            entries: BTreeMap::new(),
            writes: 0,
        }
    }

    /// Returns the number of writes so far.
    pub(crate) fn writes(&self) -> u64 {
        self.writes
    }

    /// Counts a write and returns the time at which its answer arrives.
    pub(crate) fn write(&mut self, now: Duration) -> Duration {
        let start = self.free_at.max(now);
        self.free_at = start + self.write_interval;
        self.writes += 1;
        start + LATENCY
    }

    /// Executes a call for a bucket and returns its answer with the time at
    /// which it arrives.
    pub(crate) fn call(
        &mut self,
        bucket: u8,
        action: &Action,
        now: Duration,
    ) -> (Duration, StoreAnswer) {
        match action {
            Action::SwapOwner {
                expected_version,
                record,
                ..
            } => (
                self.write(now),
                self.swap(bucket, *expected_version, *record),
            ),
            Action::Create {
                position, entry, ..
            } => {
                let key = (bucket, *position);
                let created = !self.entries.contains_key(&key);
                self.entries.entry(key).or_insert_with(|| entry.clone());
                (self.write(now), StoreAnswer::Created(created))
            }
            Action::Read { position, .. } => {
                let entry = self.entries.get(&(bucket, *position)).cloned();
                (now + LATENCY, StoreAnswer::Entry(entry))
            }
            // The owners do not change, so there is no takeover that lists
            // entries.
            Action::List { .. } => {
                let entries = Vec::new();
                let more = false;
                (now + LATENCY, StoreAnswer::Page { entries, more })
            }
            Action::ReadOwner { .. } | Action::Reply { .. } => {
                let owner = self.owners.get(&bucket).copied();
                (now + LATENCY, StoreAnswer::Owner(owner))
            }
        }
    }

    fn swap(&mut self, bucket: u8, expected_version: u64, record: OwnerRecord) -> StoreAnswer {
        let version = self.owners.get(&bucket).map_or(0, |(version, _)| *version);
        if version != expected_version {
            return StoreAnswer::Swapped(None);
        }
        self.owners.insert(bucket, (version + 1, record));
        StoreAnswer::Swapped(Some(version + 1))
    }
}
