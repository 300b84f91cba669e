//! Reads and checks the operators' text.
//!
//! [`parse`] turns the YAML text into a [`CheckedFleet`] fleet or into all findings
//! of the text. [`explain`] describes what a fleet's queues do while an
//! instance is cut off, and [`diff`] lists what an apply would change. The
//! crate does no I/O and reads no clock.

mod checked;
mod diff;
mod emit;
mod explain;
mod fields;
mod finding;
mod index;
mod limits;
mod place;
mod read;
mod rules;
mod suggest;

pub use crate::{
    checked::{
        parse,
        serves_isolated,
        CheckedFleet, //
    },
    diff::{
        diff,
        diff_text,
        Change,
        ChangeKind, //
    },
    explain::explain,
    finding::{
        Finding,
        Severity, //
    },
    limits::{
        DEFAULT_ISOLATION_LIMIT_S,
        MAX_FINDINGS,
        MAX_ISOLATION_LIMIT_S,
        MAX_TEXT_BYTES, //
    },
};
