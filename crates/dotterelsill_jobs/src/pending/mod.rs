//! What is needed to know how many accepted jobs of a queue have not begun.

mod begin;
mod intake_reads;

pub(crate) use begin::has_begun;
pub use intake_reads::{
    IntakeReads,
    PendingCount,
    PendingUnknown,
    MAX_PENDING_AGE, //
};
