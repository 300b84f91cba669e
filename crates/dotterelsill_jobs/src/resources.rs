//! Room of tasks and workers.

use dotterelsill_proto::jobs;

/// Amounts of the three resources.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

/// Largest amount of a resource: sums of it over all tasks and workers, and its
/// products with a duration in milliseconds, are far from the end of the type.
const AMOUNT_MAX: u64 = 1 << 30;

impl Resources {
    /// Returns the room with larger amounts than any worker has cut to the largest.
    #[must_use]
    pub fn bounded(self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(AMOUNT_MAX),
            memory_mb: self.memory_mb.min(AMOUNT_MAX),
            accelerators: self.accelerators.min(AMOUNT_MAX),
        }
    }

    /// Returns whether this room takes another one beside what is used.
    pub fn fits(&self, used: &Resources, wanted: &Resources) -> bool {
        used.cpu_milli + wanted.cpu_milli <= self.cpu_milli
            && used.memory_mb + wanted.memory_mb <= self.memory_mb
            && used.accelerators + wanted.accelerators <= self.accelerators
    }

    /// Adds another room.
    pub fn add(&mut self, other: &Resources) {
        self.cpu_milli += other.cpu_milli;
        self.memory_mb += other.memory_mb;
        self.accelerators += other.accelerators;
    }

    /// Takes another room away.
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
