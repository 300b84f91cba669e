//! What the store holds for one bucket.

use crate::Key;

/// Random number of one start of an entry process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation(pub u128);

/// Value of the key `claims/<bucket>/owner`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct OwnerRecord {
    /// Incarnation that owns the bucket.
    pub owner: Incarnation,
    /// Epoch in which the owner appends.
    pub epoch: u64,
    /// Epochs below this one are sealed.
    ///
    /// An owner that stops between its compare-and-swap and its seal leaves
    /// more than one epoch unsealed; the next owner must seal all of them.
    pub sealed_below: u64,
}

/// Place of an entry in the log of a bucket.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Epoch.
    pub epoch: u64,
    /// Sequence number within the epoch, from 0.
    pub sequence: u64,
}

/// Recognises the writer's own entry when the answer of a write was lost.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WriteId {
    /// Incarnation that wrote the entry.
    pub writer: Incarnation,
    /// Number of the write, unique for the writer and the bucket.
    pub number: u64,
}

/// Right of one incarnation to run the request with one identifier.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Claim {
    /// Identifier.
    pub key: Key,
    /// Incarnation that may run the request.
    pub claimant: Incarnation,
}

/// Value of the key `claims/<bucket>/<epoch>/<sequence>`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Entry {
    /// Claims granted together.
    Batch {
        /// Identifier of the write.
        id: WriteId,
        /// Claims, each with a different key.
        claims: Vec<Claim>,
    },
    /// End of the epoch; nothing is appended behind it.
    Seal {
        /// Identifier of the write.
        id: WriteId,
    },
}

impl Entry {
    /// Returns the identifier of the write.
    pub fn id(&self) -> WriteId {
        match self {
            Entry::Batch { id, .. } | Entry::Seal { id } => *id,
        }
    }
}
