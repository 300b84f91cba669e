//! What is needed to know how many accepted jobs of a queue have not begun.

mod begin;

pub use begin::has_begun;
