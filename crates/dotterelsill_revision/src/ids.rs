//! Identifiers of incarnations, writes and heads.

use std::{
    fmt,
    sync::Arc, //
};

/// Identifier of one run of an entry process: a random 128-bit number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation(pub u128);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identifier of one write of the configuration.
///
/// It belongs to one body and one base: a change that was overtaken and is made
/// again on a newer base gets another identifier.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WriteId(Arc<str>);

impl WriteId {
    /// Creates an identifier from its text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The head of the configuration.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Head {
    /// Revision, counted from 1.
    pub revision: u64,
    /// Write that made the revision.
    pub write_id: WriteId,
}
