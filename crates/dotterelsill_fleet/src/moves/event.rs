//! Events that a driver reports to a mover.

use crate::{
    BudgetRecord,
    PoolRecord,
    Stamp,
    Versioned, //
};

/// Result of an action, or the lack of one.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// The response to a write was lost. The write may have taken effect or may
    /// still do so.
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
    /// The write was rejected because the version of the key has changed.
    Conflict,
    /// The instance has no work left, in response to the query with this stamp.
    Empty(Stamp),
    /// The instance is attached and accepts work, in response to the query with
    /// this stamp.
    InService(Stamp),
    /// The pool record was read, or `None` if the store has none.
    PoolRead(Option<Versioned<PoolRecord>>),
    /// The write of the pool record took effect.
    PoolWritten {
        /// Version that the write expected.
        expected_version: u64,
        /// Version of the record after the write.
        version: u64,
    },
    /// No response arrived in time, the order did not take effect, or the query was
    /// answered with no.
    Timeout,
}
