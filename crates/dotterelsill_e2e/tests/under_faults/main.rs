//! Guards limits, answers and service under single faults and load.

mod answers;
mod limits;
mod scene;
mod service;
