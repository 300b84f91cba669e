//! Expected run times, and what is done about runs that take much longer.
//!
//! Load pattern: estimates are off by half or more; on some deployments 3% of the tasks take
//! 7 times as long as the others; some workers are slow, 5 to 7 times, for 5 to 7 s.

mod copies;
mod learned;
mod moves;
mod slow_workers;
mod speed;
mod stragglers;

pub(crate) use copies::MAX_RUNS;
pub use learned::RunTimes;
pub(crate) use slow_workers::WorkerSpeed;
pub(crate) use speed::RunSpeed;
pub use stragglers::RunCounts;
pub(crate) use stragglers::Stragglers;

use crate::Step;

/// Returns whether the runs of a step are measured: they end by themselves, without waiting
/// for others, and use the processor time that they reserve.
pub(crate) fn is_measured(step: &Step) -> bool {
    !step.is_gang && !step.is_lasting && !step.is_filler && !step.estimated.is_zero()
}
