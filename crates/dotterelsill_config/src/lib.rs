//! Parses and validates the YAML configuration of a fleet.
//!
//! [`parse`] turns the configuration text into a [`CheckedFleet`], or returns
//! all findings of the text. [`explain()`] describes what each queue does while
//! an instance is disconnected, and [`diff()`] lists what applying a new text would
//! change. The crate does no I/O and reads no clock.

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
    }, //
};
