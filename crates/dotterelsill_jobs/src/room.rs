//! Room of tasks and workers.

use dotterelsill_proto::jobs;

/// Amounts of the three resources.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Room {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Room {
    /// Returns whether this room takes another one beside what is used.
    pub fn fits(&self, used: &Room, wanted: &Room) -> bool {
        used.cpu_milli + wanted.cpu_milli <= self.cpu_milli
            && used.memory_mb + wanted.memory_mb <= self.memory_mb
            && used.accelerators + wanted.accelerators <= self.accelerators
    }

    /// Adds another room.
    pub fn add(&mut self, other: &Room) {
        self.cpu_milli += other.cpu_milli;
        self.memory_mb += other.memory_mb;
        self.accelerators += other.accelerators;
    }

    /// Takes another room away.
    pub fn subtract(&mut self, other: &Room) {
        self.cpu_milli = self.cpu_milli.saturating_sub(other.cpu_milli);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}

impl From<&jobs::Room> for Room {
    fn from(room: &jobs::Room) -> Self {
        Self {
            cpu_milli: room.cpu_milli,
            memory_mb: room.memory_mb,
            accelerators: room.accelerators,
        }
    }
}
