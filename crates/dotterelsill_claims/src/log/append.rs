//! Appending claims to the own epoch.

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
/// one. A seal is written behind the entries that exist; when all of them have
/// expired, an append could take a place behind a seal.
const MAX_IDLE: Duration = Duration::from_secs(3600);

/// Time since the append before, after which the answer of an append is not
/// believed. A seal lives for 2 h, so within this time an append that took
/// effect was not behind a seal. Store outages can last longer.
const MAX_UNANSWERED: Duration = Duration::from_secs(90 * 60);

/// The own epoch.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Open {
    record: OwnerRecord,
    version: u64,
    next_sequence: u64,
    /// When the write was sent that the next append follows: the last append,
    /// or the owner record.
    follows_at: Instant,
    /// When the last append was sent; `None` before the first one.
    last_append_at: Option<Instant>,
    batch: Option<Batch>,
}

/// Append in flight.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Batch {
    id: WriteId,
    claims: Vec<Claim>,
    sent_at: Instant,
}

impl Open {
    /// Creates an epoch without entries, whose owner record was sent at
    /// `sent_at`.
    pub(super) fn new(record: OwnerRecord, version: u64, sent_at: Instant) -> Self {
        Open {
            record,
            version,
            next_sequence: 0,
            follows_at: sent_at,
            last_append_at: None,
            batch: None,
        }
    }

    /// Returns the earliest time of the next append.
    pub(super) fn next_append_at(&self, interval: Duration) -> Option<Instant> {
        Some(self.last_append_at? + interval)
    }

    fn position(&self) -> Position {
        Position {
            epoch: self.record.epoch,
            sequence: self.next_sequence,
        }
    }
}

impl ClaimLog {
    /// Starts granting; claims found in the log are answered at once.
    pub(super) fn open(&mut self, open: Open, now: Instant) -> Vec<Action> {
        self.phase = Phase::Open(open);
        let mut actions = Vec::new();
        for claim in std::mem::take(&mut self.pending) {
            match self.claims.get(claim.key).copied() {
                Some(claimant) => actions.extend(self.settle(Claim { claimant, ..claim })),
                None => self.pending.push(claim),
            }
        }
        actions.extend(self.proceed(now));
        actions
    }

    /// Appends the pending claims, when an append is due.
    pub(super) fn append(&mut self, mut open: Open, now: Instant) -> Vec<Action> {
        if now >= open.follows_at + MAX_IDLE {
            return vec![self.advance(open.version, open.record, now)];
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

    /// Sends the append in flight, for the first time or again.
    fn send_append(&mut self, open: Open) -> Vec<Action> {
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

    /// Takes the answer of an append, or of the read that shows whether it
    /// took effect.
    pub(super) fn on_append(
        &mut self,
        mut open: Open,
        answer: StoreAnswer,
        authority_ends_at: Instant,
        now: Instant,
    ) -> Vec<Action> {
        if now >= open.follows_at + MAX_UNANSWERED || now >= authority_ends_at {
            return self.stop();
        }
        let Some(batch) = open.batch.take() else {
            return self.stop();
        };
        match answer {
            StoreAnswer::Created(true) => self.appended(open, batch, now),
            StoreAnswer::Entry(Some(entry)) if entry.id() == batch.id => {
                self.appended(open, batch, now)
            }
            StoreAnswer::Entry(Some(_)) => self.deposed(now),
            StoreAnswer::Entry(None) => {
                open.batch = Some(batch);
                self.send_append(open)
            }
            StoreAnswer::Created(false) => self.read_back(open, batch),
            // Claims that come during an outage are refused at each lost
            // answer, so that they do not pile up.
            StoreAnswer::Lost => {
                let mut actions = self.refuse_pending();
                actions.extend(self.read_back(open, batch));
                actions
            }
            _ => self.stop(),
        }
    }

    /// Reads the place of the append in flight.
    fn read_back(&mut self, mut open: Open, batch: Batch) -> Vec<Action> {
        open.batch = Some(batch);
        let call = self.next_call();
        let position = open.position();
        self.phase = Phase::Open(open);
        vec![Action::Read { call, position }]
    }

    /// Grants the claims of an append that took effect.
    fn appended(&mut self, mut open: Open, batch: Batch, now: Instant) -> Vec<Action> {
        open.next_sequence += 1;
        open.follows_at = batch.sent_at;
        self.phase = Phase::Open(open);
        let mut actions = Vec::new();
        for claim in batch.claims {
            self.keep(claim, now);
            actions.extend(self.settle(claim));
        }
        actions.extend(self.proceed(now));
        actions
    }

    /// Refuses the claims that are in no append.
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
