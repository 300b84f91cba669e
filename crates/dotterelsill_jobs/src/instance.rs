//! Instances, each of which runs one worker at a time, and orders to them.

use crate::Resources;

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceState {
    /// The instance is running, or switched off in a standby pool.
    Up,
    /// The instance is moving to another pool.
    Moving,
    /// The instance is in maintenance.
    Maintenance,
    /// The instance is down.
    Down,
    /// The entry in the platform's list could not be parsed; only the name is
    /// valid.
    Unknown,
}

/// An entry in the platform's list of instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// Pool that the instance belongs to, or is moving to.
    pub pool: String,
    /// Lifecycle state.
    pub state: InstanceState,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Labels, including the rack.
    pub labels: Vec<String>,
    /// Total resources.
    pub capacity: Resources,
    /// Identifier of the worker that runs on the instance; empty for none.
    pub worker: String,
}

/// Action to perform on an instance. It immediately ends everything that runs
/// there.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum InstanceAction {
    /// Move the instance to another pool.
    Move {
        /// Destination pool.
        pool: String,
    },
    /// Perform the maintenance of a wave.
    Maintain {
        /// Number of the wave.
        wave: u64,
    },
}

/// An order to perform an action on an instance.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct InstanceOrder {
    /// Name of the instance.
    pub instance: String,
    /// Action to perform.
    pub action: InstanceAction,
}

/// The platform's response to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceAnswer {
    /// The order was executed, now or by an earlier attempt.
    Done,
    /// A higher fencing token has been used for the instance.
    Fenced,
    /// The instance is not up, or is leaving.
    Busy,
    /// The instance is not part of the wave, or is not allowed in the pool.
    Refused,
    /// The platform rejected the call for now, for example because of too many
    /// calls; nothing was done.
    Later,
    /// No response arrived; the order may be executed later.
    None,
}
