//! What the owner's side asks its driver to do, and what it is told.

use crate::{
    Claim,
    Entry,
    Incarnation,
    OwnerRecord,
    Position, //
};

/// Work for the driver of a [`ClaimLog`](crate::ClaimLog).
///
/// `call` numbers a store call; its answer is given to
/// [`ClaimLog::on_answer`](crate::ClaimLog::on_answer) with the same number. At most one
/// call is in flight.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Read the owner record.
    ReadOwner {
        /// Number of the call.
        call: u64,
    },
    /// Write the owner record when its version is as expected.
    SwapOwner {
        /// Number of the call.
        call: u64,
        /// Version that the record must have; 0 means that it must not exist.
        expected_version: u64,
        /// New record.
        record: OwnerRecord,
    },
    /// Create an entry when its key does not exist. The entry must exist for
    /// at least [`MIN_ENTRY_LIFETIME`](crate::MIN_ENTRY_LIFETIME) after its creation.
    Create {
        /// Number of the call.
        call: u64,
        /// Place of the entry.
        position: Position,
        /// Entry.
        entry: Entry,
    },
    /// Read one entry.
    Read {
        /// Number of the call.
        call: u64,
        /// Place of the entry.
        position: Position,
    },
    /// Read the next page of the entries of all epochs, in ascending order.
    List {
        /// Number of the call.
        call: u64,
        /// Place behind which the page starts; `None` starts at the beginning.
        after: Option<Position>,
    },
    /// Answer a claimant.
    Reply {
        /// Ticket of the claim.
        ticket: u64,
        /// Answer.
        reply: ClaimReply,
    },
}

impl Action {
    /// Returns the number of the store call, or `None` for a reply.
    pub fn call(&self) -> Option<u64> {
        match self {
            Action::ReadOwner { call }
            | Action::SwapOwner { call, .. }
            | Action::Create { call, .. }
            | Action::Read { call, .. }
            | Action::List { call, .. } => Some(*call),
            Action::Reply { .. } => None,
        }
    }
}

/// Answer to a claimant.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ClaimReply {
    /// The claim is in the log under the claimant's incarnation.
    Granted,
    /// The identifier is claimed by another incarnation.
    ClaimedBy(Incarnation),
    /// Nothing was granted; the claim may still be found in the log later.
    Refused,
}

/// Answer of the store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum StoreAnswer {
    /// Version and value of the owner record; `None` when it does not exist.
    Owner(Option<(u64, OwnerRecord)>),
    /// Version after the write; `None` when the expected version did not match.
    Swapped(Option<u64>),
    /// Whether the entry was created.
    Created(bool),
    /// The entry; `None` when it does not exist.
    Entry(Option<Entry>),
    /// Page of the log.
    Page {
        /// Entries in ascending order.
        entries: Vec<(Position, Entry)>,
        /// Whether more entries follow.
        more: bool,
    },
    /// No answer, or an error; whether a write took effect is not known.
    Lost,
}

/// Claim that waits for its answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Waiter {
    pub(crate) ticket: u64,
    pub(crate) claimant: Incarnation,
}

impl Waiter {
    /// Returns the answer when the claim is in the log.
    pub(crate) fn settle(self, claim: Claim) -> Action {
        Action::Reply {
            ticket: self.ticket,
            reply: reply(claim, self.claimant),
        }
    }

    /// Returns the answer that nothing was granted.
    pub(crate) fn refuse(self) -> Action {
        Action::Reply {
            ticket: self.ticket,
            reply: ClaimReply::Refused,
        }
    }
}

/// Returns what a claimant is told about a claim that is in the log.
fn reply(claim: Claim, claimant: Incarnation) -> ClaimReply {
    if claim.claimant == claimant {
        ClaimReply::Granted
    } else {
        ClaimReply::ClaimedBy(claim.claimant)
    }
}
