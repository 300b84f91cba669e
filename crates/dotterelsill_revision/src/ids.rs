//! Identifiers of incarnations and configuration writes, and the configuration
//! head.

use std::{
    fmt,
    sync::Arc, //
};

/// Random 128-bit identifier of one registration of an entry.
///
/// An entry that registers again gets a new identifier.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation(pub u128);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identifier of one write of the configuration.
///
/// It belongs to exactly one body and one base. A change that was overtaken and
/// is retried on a newer base needs a new identifier.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WriteId(Arc<str>);

impl WriteId {
    /// Creates an identifier from its textual form.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the textual form of the identifier.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The newest entry of the configuration history, as stored in `config/head`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Head {
    /// Revision number; the first one is 1.
    pub revision: u64,
    /// Write that created the revision.
    pub write_id: WriteId,
}
