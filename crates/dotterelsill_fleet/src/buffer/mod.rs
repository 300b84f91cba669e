//! Spare capacity of pools.

mod input;
mod plan;
mod queue;
mod sizing;

pub use input::{
    BufferRule,
    PoolDemand,
    PoolLayout, //
};
pub use plan::{
    BufferPlan,
    BufferStep, //
};
pub use sizing::Sizing;
