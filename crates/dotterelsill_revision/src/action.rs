//! Store calls that write a change, their responses and the outcome.

use std::fmt;

use crate::{
    Head,
    WriteId, //
};

/// The head that a change replaces.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Base {
    /// Version of the key `config/head`, or 0 when it does not exist.
    pub version: u64,
    /// Current head, or `None` when it does not exist.
    pub head: Option<Head>,
}

impl Base {
    /// Returns the revision of the head, or 0 when there is no head.
    pub fn revision(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.revision)
    }
}

/// Next store call of a change, or its outcome.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Creates the body under the write identifier if the key does not exist.
    WriteBody,
    /// Replaces the head by compare-and-swap.
    SwapHead {
        /// Version that the key of the head must have.
        expected_version: u64,
        /// Head to write.
        head: Head,
    },
    /// Reads the head.
    ReadHead,
    /// Reads the body of a write to find the identifier of its predecessor.
    ReadBody {
        /// Identifier of the write whose body is read.
        write_id: WriteId,
    },
    /// The change is finished; no further call is made.
    Done(Outcome),
}

/// Response to the creation of the body.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum BodyResponse {
    /// The key holds this body, created by this or an earlier attempt.
    Written,
    /// The key holds a different body.
    Different,
}

/// Response to the compare-and-swap of the head.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SwapResponse {
    /// The head was replaced.
    Swapped,
    /// The head has a different version. The cause may be an earlier attempt of the
    /// same write whose response was lost.
    Mismatch,
}

/// Response to a read of the head.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct HeadRead {
    /// Version of the key, or 0 when it does not exist.
    pub version: u64,
    /// Head that was read, or `None` when it does not exist.
    pub head: Option<Head>,
}

/// Predecessor of a write, from the response to a read of its body.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Predecessor {
    /// The body contains the identifier of its predecessor.
    Write(WriteId),
    /// The body belongs to the first revision and has no predecessor.
    None,
    /// The body has been deleted.
    BodyMissing,
}

/// Final result of a change.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The change is stored as a revision.
    Stored {
        /// Revision of the change.
        revision: u64,
    },
    /// The change is refused: another write replaced the base, so the
    /// compare-and-swap can never succeed.
    Overtaken,
    /// The change is refused: the deadline passed before the compare-and-swap was
    /// sent.
    NotSent,
    /// It is unknown whether the change is stored.
    Unknown {
        /// Reason why the result is unknown.
        reason: UnknownReason,
    },
}

/// Reason why it is unknown whether a change is stored.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum UnknownReason {
    /// The deadline passed before a response showed the result.
    Timeout,
    /// A body between the current head and the base has been deleted, so the
    /// history cannot be followed back to the base.
    BodyMissing,
    /// The write identifier is already used for a different body.
    IdentifierInUse,
}

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Timeout => {
                "the store did not answer in time; ask for the status of the write identifier"
            }
            Self::BodyMissing => {
                "16 newer revisions have replaced the change or its base; compare the text in force"
            }
            Self::IdentifierInUse => {
                "the write identifier belongs to another change; use a new identifier"
            }
        })
    }
}
