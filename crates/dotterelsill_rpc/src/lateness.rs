//! How late the executor runs the tasks that are due.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

/// Lateness of a task that sleeps again and again.
///
/// An executor that lacks processor time runs every task late, so an answer may
/// have arrived and not be read when the time-out of its call is seen. Times are
/// those of a steady clock.
#[derive(Debug, Default)]
pub struct Lateness {
    /// Time at which the task should run next; 0 before the first sleep.
    due_us: AtomicU64,
    wakes: AtomicU64,
    total_us: AtomicU64,
    worst_us: AtomicU64,
    /// Worst of the period that was taken last.
    last_worst_us: AtomicU64,
}

/// Lateness in a period.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LatenessSummary {
    /// Times that the task ran.
    pub wakes: u64,
    /// Mean lateness.
    pub mean: Duration,
    /// Worst lateness.
    pub worst: Duration,
}

impl Lateness {
    /// Notes when the task should run next.
    pub fn set_due(&self, due: Duration) {
        self.due_us.store(micros(due), Ordering::Relaxed);
    }

    /// Notes that the task runs; returns how late.
    pub fn on_wake(&self, now: Duration) -> Duration {
        let late = self.overdue(now);
        let late_us = micros(late);
        self.wakes.fetch_add(1, Ordering::Relaxed);
        self.total_us.fetch_add(late_us, Ordering::Relaxed);
        self.worst_us.fetch_max(late_us, Ordering::Relaxed);
        late
    }

    /// Returns the worst lateness in this period and the one before, with that of
    /// the task if it is due and has not run yet.
    pub fn recent(&self, now: Duration) -> Duration {
        let worst = self.worst_us.load(Ordering::Relaxed);
        let last = self.last_worst_us.load(Ordering::Relaxed);
        Duration::from_micros(worst.max(last)).max(self.overdue(now))
    }

    /// Ends a period.
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
