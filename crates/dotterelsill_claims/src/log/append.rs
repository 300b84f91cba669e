//! Appends of claims to this owner's epoch.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    Action,
    Claim,
    Entry,
    OwnerRecord,
    Position,
    StoreAnswer,
    WriteId, //
};

use super::{
    ClaimLog,
    Phase, //
};

/// Time without an append after which the epoch is advanced before the next
/// append. Another owner writes its seal at the first position after the
/// entries that exist; once all of them have expired, an append to this epoch
/// could get a position after that seal.
const MAX_IDLE: Duration = Duration::from_secs(3600);

/// Time since the previous append, or since the write of the owner record,
/// after which the answer to an append is discarded. A seal exists for 2 h, so
/// an append that took effect within this time was not after a seal. Store
/// outages can last longer.
const MAX_UNANSWERED: Duration = Duration::from_secs(90 * 60);

/// Epoch that this owner appends to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct OpenEpoch {
    record: OwnerRecord,
    version: u64,
    next_sequence: u64,
    /// When the write before the next append was sent: the last append that
    /// took effect, or the owner record if there is none.
    previous_write_at: Instant,
    /// When the last append was sent; `None` before the first one.
    last_append_at: Option<Instant>,
    /// Append in flight.
    batch: Option<Batch>,
}

/// Claims of an append in flight.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Batch {
    id: WriteId,
    claims: Vec<Claim>,
    sent_at: Instant,
}

impl OpenEpoch {
    /// Creates an epoch without entries; its owner record, of version
    /// `version`, was sent at `sent_at`.
    pub(super) fn new(record: OwnerRecord, version: u64, sent_at: Instant) -> Self {
        OpenEpoch {
            record,
            version,
            next_sequence: 0,
            previous_write_at: sent_at,
            last_append_at: None,
            batch: None,
        }
    }

    /// Returns the earliest time of the next append, or `None` before the first
    /// append.
    pub(super) fn next_append_at(&self, interval: Duration) -> Option<Instant> {
        Some(self.last_append_at? + interval)
    }

    /// Returns the position of the next append.
    fn position(&self) -> Position {
        Position {
            epoch: self.record.epoch,
            sequence: self.next_sequence,
        }
    }
}

impl ClaimLog {
    /// Starts granting. Pending claims whose key was found in the log are
    /// replied to at once.
    pub(super) fn open(&mut self, open: OpenEpoch, now: Instant) -> Vec<Action> {
        self.phase = Phase::Open(open);
        let mut actions = Vec::new();
        for claim in std::mem::take(&mut self.pending) {
            match self.claims.get(claim.key).copied() {
                Some(claimant) => {
                    actions.extend(self.reply_to_waiters(Claim { claimant, ..claim }))
                }
                None => self.pending.push(claim),
            }
        }
        actions.extend(self.start_next_call(now));
        actions
    }

    /// Appends the pending claims if an append is due.
    pub(super) fn append(&mut self, mut open: OpenEpoch, now: Instant) -> Vec<Action> {
        if now >= open.previous_write_at + MAX_IDLE {
            return vec![self.advance_epoch(open.version, open.record, now)];
        }
        let due = open.next_append_at(self.limits.append_interval);
        if due.is_some_and(|due| now < due) {
            self.phase = Phase::Open(open);
            return Vec::new();
        }
        let length = self.pending.len().min(self.limits.max_batch_claims);
        open.last_append_at = Some(now);
        open.batch = Some(Batch {
            id: self.next_write(),
            claims: self.pending.drain(..length).collect(),
            sent_at: now,
        });
        self.send_append(open)
    }

    /// Sends the append in flight, for the first time or as a retry.
    fn send_append(&mut self, open: OpenEpoch) -> Vec<Action> {
        let Some(batch) = &open.batch else {
            return self.stop();
        };
        let entry = Entry::Batch {
            id: batch.id,
            claims: batch.claims.clone(),
        };
        let action = Action::Create {
            call: self.next_call(),
            position: open.position(),
            entry,
        };
        self.phase = Phase::Open(open);
        vec![action]
    }

    /// Handles the answer to an append, or to the read that shows whether the
    /// append took effect.
    pub(super) fn on_append(
        &mut self,
        mut open: OpenEpoch,
        answer: StoreAnswer,
        authority_ends_at: Instant,
        now: Instant,
    ) -> Vec<Action> {
        if now >= open.previous_write_at + MAX_UNANSWERED || now >= authority_ends_at {
            return self.stop();
        }
        let Some(batch) = open.batch.take() else {
            return self.stop();
        };
        match answer {
            StoreAnswer::Created(true) => self.on_appended(open, batch, now),
            StoreAnswer::Entry(Some(entry)) if entry.id() == batch.id => {
                self.on_appended(open, batch, now)
            }
            StoreAnswer::Entry(Some(_)) => self.on_ownership_lost(now),
            StoreAnswer::Entry(None) => {
                open.batch = Some(batch);
                self.send_append(open)
            }
            StoreAnswer::Created(false) => self.read_back(open, batch),
            // Pending claims are refused at each lost answer, so that they do
            // not accumulate during a store outage.
            StoreAnswer::Lost => {
                let mut actions = self.refuse_pending();
                actions.extend(self.read_back(open, batch));
                actions
            }
            _ => self.stop(),
        }
    }

    /// Reads the entry at the position of the append in flight.
    fn read_back(&mut self, mut open: OpenEpoch, batch: Batch) -> Vec<Action> {
        open.batch = Some(batch);
        let call = self.next_call();
        let position = open.position();
        self.phase = Phase::Open(open);
        vec![Action::Read { call, position }]
    }

    /// Grants the claims of an append that took effect.
    fn on_appended(&mut self, mut open: OpenEpoch, batch: Batch, now: Instant) -> Vec<Action> {
        open.next_sequence += 1;
        open.previous_write_at = batch.sent_at;
        self.phase = Phase::Open(open);
        let mut actions = Vec::new();
        for claim in batch.claims {
            self.record_claim(claim, now);
            actions.extend(self.reply_to_waiters(claim));
        }
        actions.extend(self.start_next_call(now));
        actions
    }

    /// Refuses the pending claims, which are not part of the append in flight.
    fn refuse_pending(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for claim in std::mem::take(&mut self.pending) {
            let waiters = self.waiting.remove(&claim.key).unwrap_or_default();
            self.waiting_len -= waiters.len();
            actions.extend(waiters.into_iter().map(super::Waiter::refuse));
        }
        actions
    }
}
