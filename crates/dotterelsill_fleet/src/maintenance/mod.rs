//! Plan of the maintenance of all instances.

mod group;
mod input;
mod plan;
mod rows;

pub use input::{
    MaintenancePolicy,
    ServiceLoad,
    Unit, //
};
pub use plan::{
    plan_maintenance,
    Placement,
    Visit, //
};
