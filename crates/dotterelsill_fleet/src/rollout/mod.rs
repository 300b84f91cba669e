//! Roll-outs and maintenance waves while they run.

mod rule;
mod wave;

pub use rule::WaveRule;
pub use wave::{
    Wave,
    WavePhase, //
};
