//! Values of the store with the version they were read at.

/// Value read from the store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Versioned<T> {
    /// Value of the key.
    pub value: T,
    /// Version of the key.
    pub version: u64,
}

/// Compare-and-swap on one key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Write<T> {
    /// Version that the key must still have.
    pub expected_version: u64,
    /// Value to write.
    pub value: T,
}
