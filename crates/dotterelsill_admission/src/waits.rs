//! Observed waiting times, per queue position.

/// Factor applied to the older observations when a new one is added.
const DECAY: f64 = 15.0 / 16.0;

/// Decaying sums of the waiting times and of the queue positions of the
/// requests that waited.
///
/// The ratio of the sums weights each request by its position. A mean of
/// per-request ratios would give the first request of an empty queue, which
/// hardly waits, the same weight as one far behind.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    waited_s: f64,
    positions: f64,
}

impl Waits {
    /// Adds the waiting time of a request that was pushed at position
    /// `position`, counted from 1.
    pub(crate) fn observe(&mut self, waited_s: f64, position: f64) {
        self.waited_s = self.waited_s * DECAY + waited_s;
        self.positions = self.positions * DECAY + position;
    }

    /// Returns the waiting time per position in seconds, or `None` without an
    /// observation.
    pub(crate) fn per_position_s(&self) -> Option<f64> {
        (self.positions > 0.0).then(|| self.waited_s / self.positions)
    }
}
