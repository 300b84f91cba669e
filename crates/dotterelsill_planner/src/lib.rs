//! Planner daemon, which does the I/O for `dotterelsill_fleet`.
//!
//! Several planners may run. The one that holds the leased store key `planner`
//! is the leader: only it writes records and sends orders. The others wait for
//! the lease and refer operators to the leader.

mod charges;
mod clock;
mod daemon;
mod drive;
mod encode;
mod error;
mod fenced_access;
mod lead;
mod lease;
mod maintenance;
mod moves;
mod names;
mod platform;
mod service;
mod settings;
mod shared;
mod takeover;
mod text;
mod topology;
mod view;

pub use daemon::{
    run,
    StartError, //
};
