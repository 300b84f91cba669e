//! Keys, versions and leases, kept in memory.

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

/// Maximum size of a value, in bytes.
const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Reason why a write is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteError {
    /// The key has this version instead of the expected one.
    VersionMismatch(u64),
    /// The lease does not exist or has expired.
    LeaseExpired,
    /// The value exceeds [`VALUE_LIMIT_BYTES`].
    ValueTooLarge,
}

struct StoredValue {
    value: Vec<u8>,
    version: u64,
    /// Lease that the key depends on; 0 for none.
    lease: u64,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// All keys and leases.
#[derive(Default)]
pub(crate) struct State {
    keys: BTreeMap<String, StoredValue>,
    leases: HashMap<u64, Lease>,
    last_version: u64,
    last_lease: u64,
}

impl State {
    /// Removes the leases that have expired, and the keys that depend on them.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| lease.expires > now);
        let leases = &self.leases;
        self.keys
            .retain(|_, stored| stored.lease == 0 || leases.contains_key(&stored.lease));
    }

    /// Returns the value and version of a key.
    pub(crate) fn get(&self, key: &str) -> Option<Entry> {
        self.keys.get(key).map(|stored| entry(key, stored))
    }

    /// Returns the version of a key; 0 if it does not exist.
    pub(crate) fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |stored| stored.version)
    }

    /// Returns the entries whose keys start with a prefix and follow the key `after`,
    /// in the order of the keys, and whether more entries follow.
    ///
    /// The values are limited to `limit_bytes` in total; 0 means no limit. The first
    /// entry is returned even if it exceeds the limit.
    pub(crate) fn list(&self, prefix: &str, after: &str, limit_bytes: u64) -> (Vec<Entry>, bool) {
        let mut entries = Vec::new();
        let mut remaining_bytes = match limit_bytes {
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
            if length_bytes > remaining_bytes && !entries.is_empty() {
                return (entries, true);
            }
            remaining_bytes = remaining_bytes.saturating_sub(length_bytes);
            entries.push(entry(key, stored));
        }
        (entries, false)
    }

    /// Writes a key if it has the expected version, and returns its new version.
    pub(crate) fn put(
        &mut self,
        key: &str,
        value: Vec<u8>,
        expected_version: u64,
        lease: u64,
    ) -> Result<u64, WriteError> {
        let version = self.version(key);
        if version != expected_version {
            return Err(WriteError::VersionMismatch(version));
        }
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(WriteError::LeaseExpired);
        }
        if value.len() > VALUE_LIMIT_BYTES {
            return Err(WriteError::ValueTooLarge);
        }
        // Versions are never reused, so a key that was deleted and created again
        // cannot be mistaken for the earlier one.
        self.last_version += 1;
        let version = self.last_version;
        let stored = StoredValue {
            value,
            version,
            lease,
        };
        self.keys.insert(key.to_owned(), stored);
        Ok(version)
    }

    /// Deletes a key if it exists with the expected version, and returns whether it
    /// was deleted.
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

    /// Renews a lease and returns whether it still existed.
    pub(crate) fn keep_alive(&mut self, lease: u64, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease.expires = now + lease.ttl;
        true
    }
}

fn entry(key: &str, stored: &StoredValue) -> Entry {
    Entry {
        key: key.to_owned(),
        value: stored.value.clone(),
        version: stored.version,
    }
}
