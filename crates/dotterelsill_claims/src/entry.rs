//! Records that the store holds for one bucket.

use crate::Key;

/// Identifies one start of an entry process by a random number.
///
/// A restarted process is a different incarnation, so that it cannot be taken
/// for the one that ran a request before.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation(pub u128);

/// Ownership of a bucket: the value of the store key `claims/<bucket>/owner`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct OwnerRecord {
    /// Incarnation that owns the bucket.
    pub owner: Incarnation,
    /// Epoch in which the owner appends.
    pub epoch: u64,
    /// All epochs below this one are sealed.
    ///
    /// An owner that stops after its compare-and-swap and before its seal
    /// leaves more than one epoch unsealed; the next owner must seal all of
    /// them.
    pub sealed_below: u64,
}

/// Position of an entry in the log of a bucket, ordered by epoch and sequence
/// number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Epoch of the owner that wrote the entry.
    pub epoch: u64,
    /// Sequence number within the epoch, from 0.
    pub sequence: u64,
}

/// Identifies one write of an entry.
///
/// When the answer to a write was lost, the writer recognises its own entry by
/// this identifier.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WriteId {
    /// Incarnation that wrote the entry.
    pub writer: Incarnation,
    /// Number of the write, unique per writer and bucket.
    pub number: u64,
}

/// Exclusive right of one incarnation to run the request with one identifier.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Claim {
    /// Digest of the identifier.
    pub key: Key,
    /// Incarnation that may run the request.
    pub claimant: Incarnation,
}

/// Entry of a claim log: the value of the store key
/// `claims/<bucket>/log/<epoch>/<sequence>`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Entry {
    /// Claims that are granted together.
    Batch {
        /// Identifier of the write.
        id: WriteId,
        /// Claims with distinct keys.
        claims: Vec<Claim>,
    },
    /// End of the epoch; nothing is appended after it.
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
