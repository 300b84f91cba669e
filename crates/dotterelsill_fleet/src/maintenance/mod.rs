//! Planning of the maintenance of all instances.

mod group;
mod input;
mod plan;
mod rows;

pub use input::{
    MaintenancePolicy,
    MaintenanceTarget,
    ServiceLoad, //
};
pub use plan::{
    plan_maintenance,
    InstanceSchedule,
    Visit, //
};
