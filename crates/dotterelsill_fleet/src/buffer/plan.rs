//! Least spare capacity of a pool.

use std::time::Duration;

use super::{
    queue::worst_wait,
    BufferPolicy,
    PoolDemand,
    PoolLayout, //
};

/// Largest pool that is considered, in instances.
const MAX_INSTANCES: u32 = 1 << 16;

/// Spare capacity of a pool, what it costs and what it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BufferEvaluation {
    /// Cost of the spare instances for a day.
    pub cost_per_day: f64,
    /// Whether no work waits too long.
    pub meets_max_wait: bool,
    /// Spare instances.
    pub spare: u32,
    /// Longest wait with a rack lost and a data centre out, or `None` if the
    /// backlog grows without end.
    pub worst_wait: Option<Duration>,
}

/// Spare capacity of one pool.
#[derive(Clone, Copy, Debug)]
pub struct BufferPlan<'a> {
    demand: PoolDemand<'a>,
    layout: PoolLayout,
    policy: BufferPolicy,
}

impl<'a> BufferPlan<'a> {
    /// Returns the plan of a pool.
    pub fn new(demand: PoolDemand<'a>, layout: PoolLayout, policy: BufferPolicy) -> Self {
        Self {
            demand,
            layout,
            policy,
        }
    }

    /// Returns the instances that the mean demand needs without any spare.
    pub fn base_instances(&self) -> u32 {
        self.demand.mean_instances().ceil() as u32
    }

    /// Returns what a number of spare instances costs and holds.
    pub fn evaluate(&self, spare: u32) -> BufferEvaluation {
        let survivors = self.layout.survivors(self.base_instances() + spare);
        let worst_wait = worst_wait(&self.demand, &self.policy, survivors);
        BufferEvaluation {
            cost_per_day: self.policy.cost_per_day * f64::from(spare),
            meets_max_wait: worst_wait.is_some_and(|wait| wait <= self.policy.max_wait),
            spare,
            worst_wait,
        }
    }

    /// Returns the least spare that holds, or `None` if no number does, as in a
    /// pool in a single data centre.
    pub fn minimum(&self) -> Option<BufferEvaluation> {
        let holds = |spare| self.evaluate(spare).meets_max_wait;
        let mut above = 1;
        while !holds(above) {
            above *= 2;
            if above > MAX_INSTANCES {
                return None;
            }
        }
        let mut below = 0;
        // More survivors never make a wait longer, and more instances never
        // leave fewer survivors.
        while below < above {
            let middle = (below + above) / 2;
            if holds(middle) {
                above = middle;
            } else {
                below = middle + 1;
            }
        }
        Some(self.evaluate(above))
    }

    /// Returns the spare of the baseline, a fixed share of the pool.
    pub fn baseline(&self) -> BufferEvaluation {
        let spare = self.policy.baseline_share * f64::from(self.base_instances());
        self.evaluate(spare.ceil() as u32)
    }
}
