//! Values of the store with their versions, and conditional writes.

/// Value read from the store, with its version.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Versioned<T> {
    /// Value of the key.
    pub value: T,
    /// Version of the key when it was read.
    pub version: u64,
}

/// Compare-and-swap of one key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Write<T> {
    /// Version that the key must still have for the write to take effect.
    pub expected_version: u64,
    /// Value to write.
    pub value: T,
}
