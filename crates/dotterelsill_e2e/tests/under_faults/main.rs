//! Tests limits, answers and availability under single faults and load.

mod answers;
mod harness;
mod limits;
mod service;
