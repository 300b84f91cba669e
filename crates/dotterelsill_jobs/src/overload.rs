//! Admission control: limits new jobs while the scheduler is overloaded.
//!
//! Load pattern: callers submit jobs faster than the scheduler can place them,
//! because its processor or its network link is saturated. The delay of every job
//! accepted beyond that would keep growing, while callers retry and add load. Jobs
//! that are rejected immediately are submitted again later, and accepted jobs run
//! on time.

use std::time::Duration;

/// Time between two adjustments of the share.
const WINDOW: Duration = Duration::from_millis(500);

/// Time from the decision to start a task to the worker's response above which the
/// start is late: about half of the latency that a short job may have beyond its
/// own work.
const LATE_START_THRESHOLD: Duration = Duration::from_millis(250);

/// Share of starts, in percent, that must be late for the scheduler to count as
/// overloaded. If only some workers do not respond, the starts on the others are on
/// time; a saturated processor or link delays all of them.
const LATE_PERCENT: u32 = 90;

/// Minimum number of starts for a window to count, since a few may all have gone to
/// slow workers.
const MIN_STARTS: u32 = 10;

/// Factor on the accepted share after a window in which most starts were late.
const DECREASE_FACTOR: f64 = 0.85;

/// Factor and increment on the accepted share after any other window. They raise it
/// from the minimum to 100% within 4 s.
const INCREASE_FACTOR: f64 = 1.2;
const INCREASE_STEP: f64 = 0.05;

/// Minimum share; it keeps some starts flowing, so that a recovery is noticed.
const MIN_SHARE: f64 = 0.05;

/// Share of new jobs to accept, adjusted by the latency of starts.
#[derive(Debug)]
pub(crate) struct Overload {
    window_end: Duration,
    /// Starts decided in the current window.
    decided: u32,
    /// Starts answered in the current window.
    answered: u32,
    late: u32,
    /// Starts decided and answered in the previous window.
    previous: (u32, u32),
    share: f64,
}

impl Default for Overload {
    fn default() -> Self {
        Self {
            window_end: Duration::ZERO,
            decided: 0,
            answered: 0,
            late: 0,
            previous: (0, 0),
            share: 1.0,
        }
    }
}

impl Overload {
    /// Records the decision to start a task.
    pub(crate) fn on_decided(&mut self) {
        self.decided += 1;
    }

    /// Records a worker's response to a start, and the time since the decision.
    pub(crate) fn on_answered(&mut self, took: Duration) {
        self.answered += 1;
        if took > LATE_START_THRESHOLD {
            self.late += 1;
        }
    }

    /// Adjusts the share if the window has ended, and returns it.
    pub(crate) fn share(&mut self, now: Duration) -> f64 {
        if now < self.window_end {
            return self.share;
        }
        let is_late = self.answered >= MIN_STARTS && reaches_late_percent(self.late, self.answered);
        // Starts decided in the previous window should have been answered by the
        // end of this one.
        let (decided, answered) = self.previous;
        let unanswered = decided.saturating_sub(answered + self.answered);
        let is_stuck = decided >= MIN_STARTS && reaches_late_percent(unanswered, decided);
        self.share = if is_late || is_stuck {
            (self.share * DECREASE_FACTOR).max(MIN_SHARE)
        } else {
            (self.share * INCREASE_FACTOR + INCREASE_STEP).min(1.0)
        };
        if self.share < 1.0 {
            log::warn!(
                decided = self.decided, answered = self.answered, late = self.late,
                share_percent = (self.share * 100.0) as u64; "new_jobs_limited"
            );
        }
        self.previous = (self.decided, self.answered);
        (self.decided, self.answered, self.late) = (0, 0, 0);
        self.window_end = now + WINDOW;
        self.share
    }
}

fn reaches_late_percent(part: u32, all: u32) -> bool {
    part * 100 >= all * LATE_PERCENT
}
