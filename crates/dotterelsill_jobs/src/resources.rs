//! Resource amounts of tasks and workers.

use dotterelsill_proto::jobs;

/// Amounts of the three schedulable resources.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resources {
    /// Processor time, in millicores.
    pub cpu_milli: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

/// Upper bound on each amount. It keeps sums over all tasks and workers, and
/// products with a duration in milliseconds, far from integer overflow.
const MAX_AMOUNT: u64 = 1 << 30;

impl Resources {
    /// Returns the amounts, each limited to an upper bound that is larger than any
    /// worker's capacity.
    #[must_use]
    pub fn bounded(self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(MAX_AMOUNT),
            memory_mb: self.memory_mb.min(MAX_AMOUNT),
            accelerators: self.accelerators.min(MAX_AMOUNT),
        }
    }

    /// Returns whether `wanted` fits into these resources in addition to `used`.
    pub fn fits(&self, used: &Resources, wanted: &Resources) -> bool {
        used.cpu_milli + wanted.cpu_milli <= self.cpu_milli
            && used.memory_mb + wanted.memory_mb <= self.memory_mb
            && used.accelerators + wanted.accelerators <= self.accelerators
    }

    /// Adds other amounts.
    pub fn add(&mut self, other: &Resources) {
        self.cpu_milli += other.cpu_milli;
        self.memory_mb += other.memory_mb;
        self.accelerators += other.accelerators;
    }

    /// Returns the amounts of a number of tasks.
    #[must_use]
    pub(crate) fn times(self, count: usize) -> Self {
        let count = count as u64;
        Self {
            cpu_milli: self.cpu_milli * count,
            memory_mb: self.memory_mb * count,
            accelerators: self.accelerators * count,
        }
    }

    /// Returns the smaller of each two amounts.
    #[must_use]
    pub fn min(self, other: &Resources) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Subtracts other amounts; the results do not fall below zero.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpu_milli = self.cpu_milli.saturating_sub(other.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}

impl From<&jobs::Room> for Resources {
    fn from(resources: &jobs::Room) -> Self {
        Self {
            cpu_milli: resources.cpu_milli,
            memory_mb: resources.memory_mb,
            accelerators: resources.accelerators,
        }
        .bounded()
    }
}

impl From<&Resources> for jobs::Room {
    fn from(resources: &Resources) -> Self {
        Self {
            cpu_milli: resources.cpu_milli,
            memory_mb: resources.memory_mb,
            accelerators: resources.accelerators,
        }
    }
}
