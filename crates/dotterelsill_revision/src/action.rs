//! Calls that store a change, their answers and the outcome.

use std::fmt;

use crate::{
    Head,
    WriteId, //
};

/// The head on which a change is made.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Base {
    /// Version of the key `config/head`; 0 when it does not exist.
    pub version: u64,
    /// Head, `None` when it does not exist.
    pub head: Option<Head>,
}

impl Base {
    /// Returns the revision, or 0.
    pub fn revision(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.revision)
    }
}

/// Next call to the store, or the outcome.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Creates the body under the write identifier, if absent.
    WriteBody,
    /// Replaces the head by compare-and-swap.
    SwapHead {
        /// Version that the head must have.
        expected_version: u64,
        /// Head to write.
        head: Head,
    },
    /// Reads the head.
    ReadHead,
    /// Reads the body of a write, for the identifier of its predecessor.
    ReadBody {
        /// Identifier of the write.
        write_id: WriteId,
    },
    /// Nothing more is to be done.
    Done(Outcome),
}

/// Answer to the creation of the body.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum BodyResponse {
    /// The key holds this body, written now or by an earlier attempt.
    Written,
    /// The key holds another body.
    Different,
}

/// Answer to the compare-and-swap of the head.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SwapResponse {
    /// The head was replaced.
    Swapped,
    /// The head has another version. An earlier attempt of the same write, whose
    /// answer was lost, may be the reason.
    Mismatch,
}

/// Answer to a read of the head.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct HeadRead {
    /// Version of the key; 0 when it does not exist.
    pub version: u64,
    /// Head, `None` when it does not exist.
    pub head: Option<Head>,
}

/// Answer to a read of a body.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Predecessor {
    /// The body names its predecessor.
    Write(WriteId),
    /// The body is the first one.
    None,
    /// The body does not exist any more.
    BodyMissing,
}

/// What became of a change.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The change is stored.
    Stored {
        /// Revision of the change.
        revision: u64,
    },
    /// Refused: another write replaced the base, so that the compare-and-swap
    /// can never take effect.
    Overtaken,
    /// Refused: the time was over before the compare-and-swap was sent.
    NotSent,
    /// Whether the change is stored is not known.
    Unknown {
        /// Reason.
        reason: UnknownReason,
    },
}

/// Why it is not known whether a change is stored.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum UnknownReason {
    /// The time was over while no answer had shown the result.
    Timeout,
    /// A body between the head and the base does not exist any more.
    BodyMissing,
    /// The write identifier belongs to another body.
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
