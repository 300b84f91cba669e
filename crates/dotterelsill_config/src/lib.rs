//! Reads and checks the operators' text.
