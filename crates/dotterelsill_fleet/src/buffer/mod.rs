//! Spare capacity of pools.

mod input;
mod plan;
mod queue;
mod sizing;

pub use input::{
    BufferPolicy,
    PoolDemand,
    PoolLayout, //
};
pub use plan::{
    BufferEvaluation,
    BufferPlan, //
};
pub use sizing::PoolSizer;
