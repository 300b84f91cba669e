//! Store calls of the claim logs, and the encoding of their records.

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_claims::{
    Action,
    Claim,
    Entry,
    Incarnation,
    Key,
    OwnerRecord,
    Position,
    StoreAnswer,
    WriteId,
    MIN_ENTRY_LIFETIME, //
};
use dotterelsill_proto::state;
use prost::Message as _;

use crate::shared::Shared;

/// Time during which one lease is used for new entries.
const LEASE_REUSE: Duration = Duration::from_secs(10 * 60);

/// Time to live of that lease. Even the last entry that uses it exists for longer
/// than [`MIN_ENTRY_LIFETIME`], also if the store's clock runs fast.
const LEASE_TTL: Duration =
    Duration::from_secs(MIN_ENTRY_LIFETIME.as_secs() + 2 * LEASE_REUSE.as_secs());

/// Store access of one bucket's log.
#[derive(Default)]
pub(crate) struct ClaimStore {
    bucket: u8,
    /// Lease for new entries and the time at which it was granted.
    lease: Option<(u64, Instant)>,
}

impl ClaimStore {
    /// Creates the store access of a bucket.
    pub(crate) fn new(bucket: u8) -> Self {
        Self {
            bucket,
            lease: None,
        }
    }

    /// Makes the store call of an action and returns its number and answer; `None`
    /// if the action is not a store call.
    pub(crate) async fn call(
        &mut self,
        shared: &Shared,
        action: Action,
    ) -> Option<(u64, StoreAnswer)> {
        let (call, answer) = match action {
            Action::ReadOwner { call } => (call, self.read_owner(shared).await),
            Action::SwapOwner {
                call,
                expected_version,
                record,
            } => (
                call,
                self.swap_owner(shared, expected_version, &record).await,
            ),
            Action::Create {
                call,
                position,
                entry,
            } => (call, self.create(shared, position, &entry).await),
            Action::Read { call, position } => (call, self.read(shared, position).await),
            Action::List { call, after } => (call, self.list(shared, after).await),
            Action::Reply { .. } => return None,
        };
        Some((call, answer.unwrap_or(StoreAnswer::Lost)))
    }

    async fn read_owner(&self, shared: &Shared) -> Option<StoreAnswer> {
        let entry = shared.store.get(&self.owner_key()).await.ok()?;
        let Some(entry) = entry else {
            return Some(StoreAnswer::Owner(None));
        };
        let record = decode_owner(&entry.value)?;
        Some(StoreAnswer::Owner(Some((entry.version, record))))
    }

    async fn swap_owner(
        &self,
        shared: &Shared,
        expected_version: u64,
        record: &OwnerRecord,
    ) -> Option<StoreAnswer> {
        let value = encode_owner(record);
        let put = shared
            .store
            .put(&self.owner_key(), value, expected_version, 0)
            .await
            .ok()?;
        Some(StoreAnswer::Swapped(put.written.then_some(put.version)))
    }

    async fn create(
        &mut self,
        shared: &Shared,
        position: Position,
        entry: &Entry,
    ) -> Option<StoreAnswer> {
        let lease = self.lease(shared).await?;
        let key = self.entry_key(position);
        let put = shared.store.put(&key, encode(entry), 0, lease).await;
        match put {
            Ok(put) => Some(StoreAnswer::Created(put.written)),
            Err(error) => {
                // The store may have lost its state and the lease with it.
                self.lease = None;
                log::debug!(key, error:%; "claims_not_appended");
                None
            }
        }
    }

    async fn read(&self, shared: &Shared, position: Position) -> Option<StoreAnswer> {
        let entry = shared.store.get(&self.entry_key(position)).await.ok()?;
        let Some(entry) = entry else {
            return Some(StoreAnswer::Entry(None));
        };
        Some(StoreAnswer::Entry(Some(decode(&entry.value)?)))
    }

    async fn list(&self, shared: &Shared, after: Option<Position>) -> Option<StoreAnswer> {
        let prefix = format!("claims/{}/log/", self.bucket);
        let after = after.map_or(String::new(), |position| self.entry_key(position));
        let (page, more) = shared.store.list_page(&prefix, &after).await.ok()?;
        let mut entries = Vec::with_capacity(page.len());
        for entry in page {
            // An entry that cannot be decoded may contain a claim, so the whole
            // list fails.
            let position = position(entry.key.strip_prefix(&prefix)?)?;
            entries.push((position, decode(&entry.value)?));
        }
        Some(StoreAnswer::Page { entries, more })
    }

    /// Returns a lease that lives long enough for a new entry.
    async fn lease(&mut self, shared: &Shared) -> Option<u64> {
        let now = Instant::now();
        if let Some((lease, granted_at)) = self.lease {
            if now.duration_since(granted_at) < LEASE_REUSE {
                return Some(lease);
            }
        }
        let lease = shared.store.lease_grant(LEASE_TTL).await.ok()?;
        self.lease = Some((lease, now));
        Some(lease)
    }

    fn owner_key(&self) -> String {
        format!("claims/{}/owner", self.bucket)
    }

    fn entry_key(&self, position: Position) -> String {
        // Zero padding makes the keys sort in the order of the numbers.
        let Position { epoch, sequence } = position;
        format!("claims/{}/log/{epoch:020}/{sequence:020}", self.bucket)
    }
}

/// Parses the part of an entry's key after the prefix.
fn position(text: &str) -> Option<Position> {
    let (epoch, sequence) = text.split_once('/')?;
    Some(Position {
        epoch: epoch.parse().ok()?,
        sequence: sequence.parse().ok()?,
    })
}

/// Decodes an incarnation from 16 bytes, big-endian.
pub(crate) fn incarnation(bytes: &[u8]) -> Option<Incarnation> {
    Some(Incarnation(u128::from_be_bytes(bytes.try_into().ok()?)))
}

/// Encodes an incarnation as 16 bytes, big-endian.
pub(crate) fn incarnation_bytes(incarnation: Incarnation) -> Vec<u8> {
    incarnation.0.to_be_bytes().to_vec()
}

fn decode_owner(value: &[u8]) -> Option<OwnerRecord> {
    let owner = state::ClaimOwner::decode(value).ok()?;
    Some(OwnerRecord {
        owner: incarnation(&owner.owner)?,
        epoch: owner.epoch,
        sealed_below: owner.sealed_below,
    })
}

fn encode_owner(record: &OwnerRecord) -> Vec<u8> {
    state::ClaimOwner {
        owner: incarnation_bytes(record.owner),
        epoch: record.epoch,
        sealed_below: record.sealed_below,
    }
    .encode_to_vec()
}

fn decode(value: &[u8]) -> Option<Entry> {
    let entry = state::ClaimEntry::decode(value).ok()?;
    let id = WriteId {
        writer: incarnation(&entry.writer)?,
        number: entry.number,
    };
    if entry.is_seal {
        return Some(Entry::Seal { id });
    }
    let claims: Option<Vec<Claim>> = entry.claims.iter().map(decode_claim).collect();
    Some(Entry::Batch {
        id,
        claims: claims?,
    })
}

fn decode_claim(claim: &state::Claim) -> Option<Claim> {
    Some(Claim {
        key: Key(claim.key.as_slice().try_into().ok()?),
        claimant: incarnation(&claim.claimant)?,
    })
}

fn encode(entry: &Entry) -> Vec<u8> {
    let id = entry.id();
    let mut encoded = state::ClaimEntry {
        writer: incarnation_bytes(id.writer),
        number: id.number,
        ..state::ClaimEntry::default()
    };
    match entry {
        Entry::Seal { .. } => encoded.is_seal = true,
        Entry::Batch { claims, .. } => {
            let claim = |claim: &Claim| state::Claim {
                key: claim.key.0.to_vec(),
                claimant: incarnation_bytes(claim.claimant),
            };
            encoded.claims = claims.iter().map(claim).collect();
        }
    }
    encoded.encode_to_vec()
}
