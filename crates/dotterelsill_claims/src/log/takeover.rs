//! Takeover of a bucket: writes the owner record, reads the log and seals the
//! older epochs.

use std::{
    collections::BTreeMap,
    time::Instant, //
};

use crate::{
    Action,
    Entry,
    OwnerRecord,
    Position,
    StoreAnswer, //
};

use super::{
    append::OpenEpoch,
    ClaimLog,
    Phase, //
};

/// First epoch of a bucket.
const FIRST_EPOCH: u64 = 1;

/// Compare-and-swap of the owner record in flight.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Swap {
    expected_version: u64,
    record: OwnerRecord,
    sent_at: Instant,
    purpose: Purpose,
}

/// Reason for writing the owner record, which decides what follows.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Purpose {
    /// Start a takeover: older epochs are read and sealed next.
    TakeOver,
    /// Open the epoch: no older epoch can be appended to any more.
    Open,
}

/// Progress of reading and sealing the epochs before this owner's epoch.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Takeover {
    record: OwnerRecord,
    version: u64,
    /// Ends of the epochs read so far.
    ends: BTreeMap<u64, EpochEnd>,
    /// Last position read.
    cursor: Option<Position>,
}

/// End of an epoch, as far as the epoch was read.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct EpochEnd {
    /// First free sequence number.
    next_sequence: u64,
    sealed: bool,
}

impl ClaimLog {
    /// Handles the read of the owner record that a takeover starts from.
    pub(super) fn on_owner_read(&mut self, answer: StoreAnswer, now: Instant) -> Vec<Action> {
        let StoreAnswer::Owner(current) = answer else {
            return self.stop();
        };
        let owner = self.incarnation;
        let (expected_version, record) = match current {
            None => (0, first_record(owner)),
            Some((version, record)) => (version, next_record(owner, record)),
        };
        self.swap(expected_version, record, now)
    }

    /// Advances to a new epoch; no append may be in flight.
    ///
    /// The previous epoch needs no seal, since only this owner could append to
    /// it.
    pub(super) fn advance_epoch(
        &mut self,
        version: u64,
        record: OwnerRecord,
        now: Instant,
    ) -> Action {
        let epoch = record.epoch + 1;
        let record = OwnerRecord {
            epoch,
            sealed_below: epoch,
            ..record
        };
        self.send_swap(version, record, now)
    }

    fn swap(&mut self, version: u64, record: OwnerRecord, now: Instant) -> Vec<Action> {
        vec![self.send_swap(version, record, now)]
    }

    fn send_swap(&mut self, version: u64, record: OwnerRecord, now: Instant) -> Action {
        let purpose = if record.sealed_below == record.epoch {
            Purpose::Open
        } else {
            Purpose::TakeOver
        };
        let swap = Swap {
            expected_version: version,
            record,
            sent_at: now,
            purpose,
        };
        self.resend_swap(swap)
    }

    fn resend_swap(&mut self, swap: Swap) -> Action {
        let action = Action::SwapOwner {
            call: self.next_call(),
            expected_version: swap.expected_version,
            record: swap.record,
        };
        self.phase = Phase::SwappingOwner(swap);
        action
    }

    /// Handles the answer to the write of the owner record, or to the read that
    /// shows whether the write took effect.
    pub(super) fn on_swap(&mut self, swap: Swap, answer: StoreAnswer, now: Instant) -> Vec<Action> {
        match answer {
            StoreAnswer::Swapped(Some(version)) => self.on_swapped(swap, version, now),
            // The conflict may be with an earlier attempt of the same write.
            StoreAnswer::Swapped(None) | StoreAnswer::Lost => {
                self.phase = Phase::SwappingOwner(swap);
                let call = self.next_call();
                vec![Action::ReadOwner { call }]
            }
            StoreAnswer::Owner(current) => self.on_swap_read(swap, current, now),
            _ => self.stop(),
        }
    }

    fn on_swap_read(
        &mut self,
        swap: Swap,
        current: Option<(u64, OwnerRecord)>,
        now: Instant,
    ) -> Vec<Action> {
        let version = current.map_or(0, |(version, _)| version);
        if current == Some((version, swap.record)) {
            return self.on_swapped(swap, version, now);
        }
        if version == swap.expected_version {
            return vec![self.resend_swap(swap)];
        }
        self.on_ownership_lost(now)
    }

    fn on_swapped(&mut self, swap: Swap, version: u64, now: Instant) -> Vec<Action> {
        match swap.purpose {
            Purpose::Open => self.open(OpenEpoch::new(swap.record, version, swap.sent_at), now),
            Purpose::TakeOver => self.list(Takeover {
                record: swap.record,
                version,
                ends: BTreeMap::new(),
                cursor: None,
            }),
        }
    }

    fn list(&mut self, takeover: Takeover) -> Vec<Action> {
        let call = self.next_call();
        let after = takeover.cursor;
        self.phase = Phase::Listing(takeover);
        vec![Action::List { call, after }]
    }

    /// Handles one page of the log.
    pub(super) fn on_page(
        &mut self,
        mut takeover: Takeover,
        answer: StoreAnswer,
        now: Instant,
    ) -> Vec<Action> {
        let StoreAnswer::Page { entries, more } = answer else {
            return self.stop();
        };
        let more = more && !entries.is_empty();
        for (position, entry) in entries {
            takeover.cursor = Some(position);
            self.record_entry(&mut takeover, position, entry, now);
        }
        if more {
            self.list(takeover)
        } else {
            self.seal(takeover, now)
        }
    }

    /// Records the claims of an entry and the end of its epoch.
    fn record_entry(
        &mut self,
        takeover: &mut Takeover,
        position: Position,
        entry: Entry,
        now: Instant,
    ) {
        let end = takeover.ends.entry(position.epoch).or_default();
        end.next_sequence = position.sequence + 1;
        match entry {
            Entry::Seal { .. } => end.sealed = true,
            Entry::Batch { claims, .. } => {
                for claim in claims {
                    self.record_claim(claim, now);
                }
            }
        }
    }

    /// Seals the lowest unsealed epoch, or opens this owner's epoch if all are
    /// sealed.
    ///
    /// Entries are appended to an epoch with consecutive sequence numbers. A
    /// seal at the first free number after the entries read therefore proves
    /// that all entries of the epoch were read.
    fn seal(&mut self, takeover: Takeover, now: Instant) -> Vec<Action> {
        let Some(position) = takeover.next_seal_position() else {
            let record = OwnerRecord {
                sealed_below: takeover.record.epoch,
                ..takeover.record
            };
            return self.swap(takeover.version, record, now);
        };
        let action = Action::Create {
            call: self.next_call(),
            position,
            entry: Entry::Seal {
                id: self.next_write(),
            },
        };
        self.phase = Phase::Sealing(takeover);
        vec![action]
    }

    /// Handles the answer to the write of a seal, or to the read of the entry
    /// at its position.
    pub(super) fn on_seal(
        &mut self,
        mut takeover: Takeover,
        answer: StoreAnswer,
        now: Instant,
    ) -> Vec<Action> {
        let Some(position) = takeover.next_seal_position() else {
            return self.stop();
        };
        match answer {
            StoreAnswer::Created(true) => {
                takeover.ends.entry(position.epoch).or_default().sealed = true;
                self.seal(takeover, now)
            }
            StoreAnswer::Created(false) | StoreAnswer::Lost => {
                self.phase = Phase::Sealing(takeover);
                let call = self.next_call();
                vec![Action::Read { call, position }]
            }
            StoreAnswer::Entry(found) => {
                // A seal ends the epoch regardless of which owner wrote it.
                if let Some(entry) = found {
                    self.record_entry(&mut takeover, position, entry, now);
                }
                self.seal(takeover, now)
            }
            _ => self.stop(),
        }
    }
}

impl Takeover {
    /// Returns the position of the next seal, or `None` if all are written.
    fn next_seal_position(&self) -> Option<Position> {
        (self.record.sealed_below..self.record.epoch).find_map(|epoch| {
            let end = self.ends.get(&epoch).copied().unwrap_or_default();
            let sequence = end.next_sequence;
            (!end.sealed).then_some(Position { epoch, sequence })
        })
    }
}

/// Returns the owner record of a bucket that had no owner.
fn first_record(owner: super::Incarnation) -> OwnerRecord {
    OwnerRecord {
        owner,
        epoch: FIRST_EPOCH,
        sealed_below: FIRST_EPOCH,
    }
}

/// Returns the owner record for a takeover; the previous epoch is not sealed
/// yet.
fn next_record(owner: super::Incarnation, record: OwnerRecord) -> OwnerRecord {
    OwnerRecord {
        owner,
        epoch: record.epoch + 1,
        ..record
    }
}
