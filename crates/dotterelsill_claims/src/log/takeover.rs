//! Taking ownership of a bucket: owner record, log, seals.

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
    append::Open,
    ClaimLog,
    Phase, //
};

/// First epoch of a bucket.
const FIRST_EPOCH: u64 = 1;

/// Write of the owner record.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Swap {
    expected_version: u64,
    record: OwnerRecord,
    sent_at: Instant,
    purpose: Purpose,
}

/// What follows the write of the owner record.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Purpose {
    /// Older epochs are to be read and sealed.
    TakeOver,
    /// The epoch has no unsealed predecessor that could be appended to.
    Open,
}

/// Reading and sealing the epochs before the own one.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Takeover {
    record: OwnerRecord,
    version: u64,
    ends: BTreeMap<u64, End>,
    /// Last position read.
    cursor: Option<Position>,
}

/// End of an epoch as far as it was read.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct End {
    /// First free sequence number.
    next: u64,
    sealed: bool,
}

impl ClaimLog {
    /// Takes the owner record that a takeover starts from.
    pub(super) fn on_owner(&mut self, answer: StoreAnswer, now: Instant) -> Vec<Action> {
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

    /// Advances the own epoch, in which nothing is in flight.
    ///
    /// The epoch that is left needs no seal, since only this owner could have
    /// appended to it.
    pub(super) fn advance(&mut self, version: u64, record: OwnerRecord, now: Instant) -> Action {
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
        self.phase = Phase::Swapping(swap);
        action
    }

    /// Takes the answer of the write of the owner record, or of the read that
    /// shows whether it took effect.
    pub(super) fn on_swap(&mut self, swap: Swap, answer: StoreAnswer, now: Instant) -> Vec<Action> {
        match answer {
            StoreAnswer::Swapped(Some(version)) => self.swapped(swap, version, now),
            // A conflict may be with an earlier copy of the same write.
            StoreAnswer::Swapped(None) | StoreAnswer::Lost => {
                self.phase = Phase::Swapping(swap);
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
            return self.swapped(swap, version, now);
        }
        if version == swap.expected_version {
            return vec![self.resend_swap(swap)];
        }
        self.deposed(now)
    }

    fn swapped(&mut self, swap: Swap, version: u64, now: Instant) -> Vec<Action> {
        match swap.purpose {
            Purpose::Open => self.open(Open::new(swap.record, version, swap.sent_at), now),
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

    /// Takes one page of the log.
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
            self.absorb(&mut takeover, position, entry, now);
        }
        if more {
            self.list(takeover)
        } else {
            self.seal(takeover, now)
        }
    }

    /// Keeps the claims of an entry and moves the end of its epoch.
    fn absorb(&mut self, takeover: &mut Takeover, position: Position, entry: Entry, now: Instant) {
        let end = takeover.ends.entry(position.epoch).or_default();
        end.next = position.sequence + 1;
        match entry {
            Entry::Seal { .. } => end.sealed = true,
            Entry::Batch { claims, .. } => {
                for claim in claims {
                    self.keep(claim, now);
                }
            }
        }
    }

    /// Seals the lowest epoch that is not sealed, or opens the own one.
    ///
    /// An epoch is appended to one sequence number at a time, so a seal at the
    /// first free number behind the entries read shows that all were read.
    fn seal(&mut self, takeover: Takeover, now: Instant) -> Vec<Action> {
        let Some(position) = takeover.next_seal() else {
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

    /// Takes the answer of the write of a seal, or of the read of what is in
    /// its place.
    pub(super) fn on_seal(
        &mut self,
        mut takeover: Takeover,
        answer: StoreAnswer,
        now: Instant,
    ) -> Vec<Action> {
        let Some(position) = takeover.next_seal() else {
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
                // Any seal ends the epoch, whoever wrote it.
                if let Some(entry) = found {
                    self.absorb(&mut takeover, position, entry, now);
                }
                self.seal(takeover, now)
            }
            _ => self.stop(),
        }
    }
}

impl Takeover {
    /// Returns the place of the next seal, or `None` when all are written.
    fn next_seal(&self) -> Option<Position> {
        (self.record.sealed_below..self.record.epoch).find_map(|epoch| {
            let end = self.ends.get(&epoch).copied().unwrap_or_default();
            let sequence = end.next;
            (!end.sealed).then_some(Position { epoch, sequence })
        })
    }
}

fn first_record(owner: super::Incarnation) -> OwnerRecord {
    OwnerRecord {
        owner,
        epoch: FIRST_EPOCH,
        sealed_below: FIRST_EPOCH,
    }
}

/// Returns the record after a takeover; the epoch before it is not sealed yet.
fn next_record(owner: super::Incarnation, record: OwnerRecord) -> OwnerRecord {
    OwnerRecord {
        owner,
        epoch: record.epoch + 1,
        ..record
    }
}
