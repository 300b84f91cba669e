//! What a driver reports to a mover.

use crate::{
    BudgetRecord,
    PoolRecord,
    Stamp,
    Versioned, //
};

/// Answer to an action, or the lack of one.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// The answer of a write was lost; it may have taken effect or may yet.
    AnswerLost,
    /// The budget record was read.
    BudgetRead(Versioned<BudgetRecord>),
    /// The write of the budget record took effect.
    BudgetWritten {
        /// Version that the write expected.
        expected_version: u64,
    },
    /// The order with this stamp took effect on the instance.
    OrderCompleted(Stamp),
    /// The write was refused because the version is no longer the expected one.
    Conflict,
    /// The instance has no work left, asked with this stamp.
    Empty(Stamp),
    /// The instance is attached and accepts work, asked with this stamp.
    InService(Stamp),
    /// The pool record was read.
    PoolRead(Option<Versioned<PoolRecord>>),
    /// The write of the pool record took effect.
    PoolWritten {
        /// Version that the write expected.
        expected_version: u64,
        /// Version of the record after the write.
        version: u64,
    },
    /// No answer came in time, or the question was answered with no.
    Timeout,
}
