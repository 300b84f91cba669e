//! Roll-outs and maintenance waves while they run.

mod rule;
mod wave;

pub use rule::WavePolicy;
pub use wave::{
    Wave,
    WavePhase, //
};
