//! Instances, which run workers one after the other, and orders to them.

use crate::Resources;

/// Where an instance is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceState {
    /// It runs, or is switched off in a standby pool.
    Up,
    /// It moves to another pool.
    Moving,
    /// It is in maintenance.
    Maintenance,
    /// It is down.
    Down,
    /// Its entry in the list cannot be read; of the other fields only the name
    /// counts.
    Unknown,
}

/// An instance as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Name.
    pub name: String,
    /// Pool that it is in, or moves to.
    pub pool: String,
    /// State.
    pub state: InstanceState,
    /// Data centre.
    pub data_centre: String,
    /// Labels, the rack among them.
    pub labels: Vec<String>,
    /// Room.
    pub capacity: Resources,
    /// Identifier of its worker; empty for none.
    pub worker: String,
}

/// What an instance is told to do. Everything that runs on it ends at once.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum InstanceAction {
    /// Move to a pool.
    Move {
        /// Pool.
        pool: String,
    },
    /// Have its maintenance.
    Maintain {
        /// Number of the wave.
        wave: u64,
    },
}

/// An order to an instance.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct InstanceOrder {
    /// Name of the instance.
    pub instance: String,
    /// What to do.
    pub action: InstanceAction,
}

/// How the platform answered an order to an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceAnswer {
    /// The order is carried out, or was before.
    Done,
    /// A higher fencing token has been used for the instance.
    Fenced,
    /// The instance is not up, or is leaving.
    Busy,
    /// The instance is not due in the wave, or cannot be in the pool.
    Refused,
    /// Too many calls; nothing was done.
    Later,
    /// No answer came; the order may be carried out later.
    None,
}
