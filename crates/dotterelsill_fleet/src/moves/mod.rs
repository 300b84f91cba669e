//! Moves of instances between pools and into maintenance.

mod action;
mod event;
mod mover;
mod record;

pub use action::{
    Action,
    Order,
    Outcome, //
};
pub use event::Event;
pub use mover::{
    Goal,
    Mover, //
};
pub use record::{
    PoolRecord,
    Route,
    Step, //
};
