//! Counts and alerts of one service and team.

use std::time::Duration;

use crate::{
    alert::Alerts,
    counter::{
        Counters,
        Increase, //
    },
    objective::PERIOD,
    ring::Ring,
    Counts, //
};

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Lengths of the rings and of their slots, in milliseconds. A window is read from
/// the shortest ring that covers it.
///
/// A window is at most one slot longer than nominal: 5% for 5 min and less than 4%
/// for all others. The 217 slots of 16 bytes per series account for most of the
/// crate's memory.
const RINGS_MS: [(u64, u64); 5] = [
    (5 * MINUTE_MS, MINUTE_MS / 4),
    (HOUR_MS, MINUTE_MS),
    (6 * HOUR_MS, 10 * MINUTE_MS),
    (3 * DAY_MS, 2 * HOUR_MS),
    (PERIOD.as_millis() as u64, 12 * HOUR_MS),
];

/// Counters, time slots and alerts of one service and team.
#[derive(Debug)]
pub(crate) struct Series {
    pub(crate) counters: Counters,
    pub(crate) alerts: Alerts,
    rings: [Ring; RINGS_MS.len()],
    start_ms: u64,
}

impl Series {
    /// Creates a series whose history starts at `now_ms`.
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            counters: Counters::default(),
            alerts: Alerts::default(),
            rings: RINGS_MS.map(|(length_ms, slot_ms)| Ring::new(length_ms, slot_ms)),
            start_ms: now_ms,
        }
    }

    /// Adds requests to all rings.
    pub(crate) fn add(&mut self, increase: Increase) {
        for ring in &mut self.rings {
            ring.add(increase);
        }
    }

    /// Returns the counts of the last `length`, which is at most [`PERIOD`].
    pub(crate) fn sum(&self, now_ms: u64, length: Duration) -> Counts {
        let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        let ring = RINGS_MS.iter().position(|ring| ring.0 >= length_ms);
        self.rings[ring.unwrap_or(RINGS_MS.len() - 1)].sum(now_ms, length_ms)
    }

    /// Returns the time since the first sample, at most [`PERIOD`].
    pub(crate) fn history(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.start_ms)).min(PERIOD)
    }
}
