//! Execution of roll-outs and maintenance in batches.

mod rule;
mod wave;

pub use rule::WavePolicy;
pub use wave::{
    Wave,
    WavePhase, //
};
