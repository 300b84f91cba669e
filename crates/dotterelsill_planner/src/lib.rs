//! Driver of `dotterelsill_fleet`: one of several planners acts, under the
//! leased store key `planner`.

mod charges;
mod clock;
mod daemon;
mod drive;
mod encode;
mod error;
mod fenced_access;
mod leader;
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
