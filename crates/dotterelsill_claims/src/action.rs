//! Actions that the owner's side requests from its driver, and their results.

use crate::{
    Claim,
    Entry,
    Incarnation,
    OwnerRecord,
    Position, //
};

/// Action that the driver of a [`ClaimLog`](crate::ClaimLog) has to perform.
///
/// `call` numbers a store call. The driver passes the answer to
/// [`ClaimLog::on_answer`](crate::ClaimLog::on_answer) with the same number. At
/// most one call is in flight.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Read the owner record.
    ReadOwner {
        /// Number of the call.
        call: u64,
    },
    /// Write the owner record if it has the expected version
    /// (compare-and-swap).
    SwapOwner {
        /// Number of the call.
        call: u64,
        /// Version that the record must have; 0 if it must not exist.
        expected_version: u64,
        /// Record to write.
        record: OwnerRecord,
    },
    /// Create an entry if its key does not exist.
    ///
    /// The entry must exist for at least
    /// [`MIN_ENTRY_LIFETIME`](crate::MIN_ENTRY_LIFETIME) after its creation.
    Create {
        /// Number of the call.
        call: u64,
        /// Position of the entry.
        position: Position,
        /// Entry to create.
        entry: Entry,
    },
    /// Read one entry.
    Read {
        /// Number of the call.
        call: u64,
        /// Position of the entry.
        position: Position,
    },
    /// Read the next page of the entries of all epochs, in ascending order.
    List {
        /// Number of the call.
        call: u64,
        /// Position after which the page starts; `None` for the first page.
        after: Option<Position>,
    },
    /// Reply to a claimant.
    Reply {
        /// Ticket that was passed to
        /// [`ClaimLog::on_claim`](crate::ClaimLog::on_claim) with the claim.
        ticket: u64,
        /// Reply to send.
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

/// Owner's reply to a claimant.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ClaimReply {
    /// The claim is in the log under the claimant's incarnation.
    Granted,
    /// The identifier is claimed by another incarnation.
    ClaimedBy(Incarnation),
    /// Nothing was granted. A write in flight may still put the claim into the
    /// log later.
    Refused,
}

/// Answer of the store to a call.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum StoreAnswer {
    /// Version and value of the owner record; `None` if it does not exist.
    Owner(Option<(u64, OwnerRecord)>),
    /// Version after the write; `None` if the expected version did not match.
    Swapped(Option<u64>),
    /// Whether the entry was created.
    Created(bool),
    /// The entry that was read; `None` if it does not exist.
    Entry(Option<Entry>),
    /// Page of the log, in answer to [`Action::List`].
    Page {
        /// Entries in ascending order of position.
        entries: Vec<(Position, Entry)>,
        /// Whether more entries follow this page.
        more: bool,
    },
    /// No answer arrived, or an error did; a write may have taken effect.
    Lost,
}

/// Claimant that waits for a reply.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Waiter {
    pub(crate) ticket: u64,
    pub(crate) claimant: Incarnation,
}

impl Waiter {
    /// Returns the reply to this claimant for a claim that is in the log.
    pub(crate) fn reply_with(self, claim: Claim) -> Action {
        Action::Reply {
            ticket: self.ticket,
            reply: reply_for(claim, self.claimant),
        }
    }

    /// Returns the reply that nothing was granted.
    pub(crate) fn refuse(self) -> Action {
        Action::Reply {
            ticket: self.ticket,
            reply: ClaimReply::Refused,
        }
    }
}

/// Returns the reply to a claimant about a claim that is in the log.
fn reply_for(claim: Claim, claimant: Incarnation) -> ClaimReply {
    if claim.claimant == claimant {
        ClaimReply::Granted
    } else {
        ClaimReply::ClaimedBy(claim.claimant)
    }
}
