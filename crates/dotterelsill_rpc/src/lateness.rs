//! Lateness with which the executor runs tasks that are due.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

/// Lateness of a task that sleeps periodically and samples how late it wakes.
///
/// An executor that lacks processor time runs every task late. A response may then
/// have arrived but not been read when its call times out. All times are those of a
/// monotonic clock.
#[derive(Debug, Default)]
pub struct Lateness {
    /// Time at which the task is due next; 0 before the first sleep.
    due_us: AtomicU64,
    wakes: AtomicU64,
    total_us: AtomicU64,
    worst_us: AtomicU64,
    /// Worst lateness of the last finished period.
    last_worst_us: AtomicU64,
}

/// Lateness over a period.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LatenessSummary {
    /// Number of times that the task woke.
    pub wakes: u64,
    /// Mean lateness.
    pub mean: Duration,
    /// Worst lateness.
    pub worst: Duration,
}

impl Lateness {
    /// Sets the time at which the task is due next.
    pub fn set_due(&self, due: Duration) {
        self.due_us.store(micros(due), Ordering::Relaxed);
    }

    /// Records that the task woke at a time and returns how late it was.
    pub fn on_wake(&self, now: Duration) -> Duration {
        let late = self.overdue(now);
        let late_us = micros(late);
        self.wakes.fetch_add(1, Ordering::Relaxed);
        self.total_us.fetch_add(late_us, Ordering::Relaxed);
        self.worst_us.fetch_max(late_us, Ordering::Relaxed);
        late
    }

    /// Returns the worst lateness of the current and the last period. It includes the
    /// lateness so far of a task that is due and has not run yet.
    pub fn recent(&self, now: Duration) -> Duration {
        let worst = self.worst_us.load(Ordering::Relaxed);
        let last = self.last_worst_us.load(Ordering::Relaxed);
        Duration::from_micros(worst.max(last)).max(self.overdue(now))
    }

    /// Ends the current period and returns its lateness.
    pub fn take_period(&self) -> LatenessSummary {
        let wakes = self.wakes.swap(0, Ordering::Relaxed);
        let total_us = self.total_us.swap(0, Ordering::Relaxed);
        let worst_us = self.worst_us.swap(0, Ordering::Relaxed);
        self.last_worst_us.store(worst_us, Ordering::Relaxed);
        LatenessSummary {
            wakes,
            mean: Duration::from_micros(total_us / wakes.max(1)),
            worst: Duration::from_micros(worst_us),
        }
    }

    fn overdue(&self, now: Duration) -> Duration {
        match self.due_us.load(Ordering::Relaxed) {
            0 => Duration::ZERO,
            due_us => now.saturating_sub(Duration::from_micros(due_us)),
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
