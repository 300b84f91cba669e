//! Keys, versions and leases in memory.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_proto::store::Entry;

/// Largest value, in bytes.
const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// A write was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refused {
    /// The key has another version than expected.
    Version(u64),
    /// The lease does not live.
    Lease,
    /// The value is longer than the limit.
    Size,
}

struct Stored {
    value: Vec<u8>,
    version: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// All keys and leases.
#[derive(Default)]
pub(crate) struct State {
    keys: BTreeMap<String, Stored>,
    leases: HashMap<u64, Lease>,
    last_version: u64,
    last_lease: u64,
}

impl State {
    /// Removes the leases that have expired, with their keys.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| lease.expires > now);
        let leases = &self.leases;
        self.keys
            .retain(|_, stored| stored.lease == 0 || leases.contains_key(&stored.lease));
    }

    /// Returns a key.
    pub(crate) fn get(&self, key: &str) -> Option<Entry> {
        self.keys.get(key).map(|stored| entry(key, stored))
    }

    /// Returns the version of a key; 0 when it does not exist.
    pub(crate) fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |stored| stored.version)
    }

    /// Returns keys that start with a prefix and come after another key, in
    /// order, and whether more follow behind a number of bytes.
    pub(crate) fn list(&self, prefix: &str, after: &str, limit_bytes: u64) -> (Vec<Entry>, bool) {
        let mut entries = Vec::new();
        let mut left_bytes = match limit_bytes {
            0 => u64::MAX,
            limit_bytes => limit_bytes,
        };
        let from = prefix.max(after).to_owned();
        for (key, stored) in self.keys.range(from..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key == after {
                continue;
            }
            let length_bytes = stored.value.len() as u64;
            if length_bytes > left_bytes && !entries.is_empty() {
                return (entries, true);
            }
            left_bytes = left_bytes.saturating_sub(length_bytes);
            entries.push(entry(key, stored));
        }
        (entries, false)
    }

    /// Writes a key and returns its new version.
    pub(crate) fn put(
        &mut self,
        key: &str,
        value: Vec<u8>,
        expected_version: u64,
        lease: u64,
    ) -> Result<u64, Refused> {
        let version = self.version(key);
        if version != expected_version {
            return Err(Refused::Version(version));
        }
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(Refused::Lease);
        }
        if value.len() > VALUE_LIMIT_BYTES {
            return Err(Refused::Size);
        }
        // Versions are never used again, so a key that was deleted and made
        // anew cannot be taken for the older one.
        self.last_version += 1;
        let version = self.last_version;
        let stored = Stored {
            value,
            version,
            lease,
        };
        self.keys.insert(key.to_owned(), stored);
        Ok(version)
    }

    /// Deletes a key and returns whether its version was as expected.
    pub(crate) fn delete(&mut self, key: &str, expected_version: u64) -> bool {
        let matches = expected_version != 0 && self.version(key) == expected_version;
        if matches {
            self.keys.remove(key);
        }
        matches
    }

    /// Creates a lease and returns its identifier.
    pub(crate) fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        let lease = Lease {
            ttl,
            expires: now + ttl,
        };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease and returns whether it still lived.
    pub(crate) fn keep_alive(&mut self, lease: u64, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease.expires = now + lease.ttl;
        true
    }
}

fn entry(key: &str, stored: &Stored) -> Entry {
    Entry {
        key: key.to_owned(),
        value: stored.value.clone(),
        version: stored.version,
    }
}
