//! Minimum spare capacity of a pool.

use std::time::Duration;

use super::{
    queue::worst_wait,
    BufferPolicy,
    PoolDemand,
    PoolLayout, //
};

/// Upper limit of the search for a number of spare instances.
const MAX_SPARE: u32 = 1 << 16;

/// Cost and waiting time of a pool with a number of spare instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BufferEvaluation {
    /// Cost of the spare instances per day.
    pub cost_per_day: f64,
    /// Whether no work waits longer than [`BufferPolicy::max_wait`].
    pub meets_max_wait: bool,
    /// Number of spare instances.
    pub spare: u32,
    /// Maximum wait while a data centre is out and a rack has failed, or `None` if
    /// the backlog grows without bound.
    pub worst_wait: Option<Duration>,
}

/// Computes the spare capacity of one pool.
#[derive(Clone, Copy, Debug)]
pub struct BufferPlan<'a> {
    demand: PoolDemand<'a>,
    layout: PoolLayout,
    policy: BufferPolicy,
}

impl<'a> BufferPlan<'a> {
    /// Creates the plan of a pool.
    pub fn new(demand: PoolDemand<'a>, layout: PoolLayout, policy: BufferPolicy) -> Self {
        Self {
            demand,
            layout,
            policy,
        }
    }

    /// Returns the number of instances needed for the mean demand, without spare.
    pub fn base_instances(&self) -> u32 {
        self.demand.mean_instances().ceil() as u32
    }

    /// Evaluates the pool with a number of spare instances.
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

    /// Returns the minimum number of spare instances that meets the maximum wait, or
    /// `None` if no number does, as for a pool in a single data centre.
    pub fn minimum(&self) -> Option<BufferEvaluation> {
        let meets_max_wait = |spare| self.evaluate(spare).meets_max_wait;
        let mut high = 1;
        while !meets_max_wait(high) {
            high *= 2;
            if high > MAX_SPARE {
                return None;
            }
        }
        let mut low = 0;
        // A binary search is valid because more survivors never make a wait longer,
        // and more instances never leave fewer survivors.
        while low < high {
            let middle = (low + high) / 2;
            if meets_max_wait(middle) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        Some(self.evaluate(high))
    }

    /// Evaluates the baseline, whose spare capacity is a fixed share of the base
    /// instances.
    pub fn baseline(&self) -> BufferEvaluation {
        let spare = self.policy.baseline_share * f64::from(self.base_instances());
        self.evaluate(spare.ceil() as u32)
    }
}
