//! How many new jobs a scheduler takes while its own work is late.
//!
//! Load pattern: callers hand in jobs faster than the scheduler's instance can
//! place them, by its processor or its link. What is accepted beyond that waits
//! longer and longer, while its callers ask again and make more work. Jobs that
//! are refused at once are handed in again later, and those accepted run in time.

use std::time::Duration;

/// Time between two looks at the orders that were answered.
const WINDOW: Duration = Duration::from_millis(500);

/// Time from the decision on a start to the worker's answer above which a start
/// is late: about half of what a short job may take beyond its own work.
const LATE_START: Duration = Duration::from_millis(250);

/// Part of the starts, in percent, that must be late. When workers leave orders
/// unanswered, those of the others are in time; a full processor or link makes
/// all of them late.
const LATE_PERCENT: u32 = 90;

/// Starts that a window must have before it counts: a few may have gone to slow
/// workers.
const LEAST_STARTS: u32 = 10;

/// Factor on the share while most starts are late.
const DECREASE: f64 = 0.85;

/// Factor on the share, and share added to it, in a window in which few starts are
/// late: from the least share to all jobs in 4 s.
const GROWTH: f64 = 1.2;
const INCREASE: f64 = 0.05;

/// Least share, so that a recovery is seen.
const LEAST_SHARE: f64 = 0.05;

/// Share of new jobs that is taken.
#[derive(Debug)]
pub(crate) struct Overload {
    window_end: Duration,
    /// Starts that were decided.
    decided: u32,
    /// Starts that were answered.
    answered: u32,
    late: u32,
    /// Starts that were decided and answered in the window before.
    before: (u32, u32),
    share: f64,
}

impl Default for Overload {
    fn default() -> Self {
        Self {
            window_end: Duration::ZERO,
            decided: 0,
            answered: 0,
            late: 0,
            before: (0, 0),
            share: 1.0,
        }
    }
}

impl Overload {
    /// Notes the decision to start a task.
    pub(crate) fn on_decided(&mut self) {
        self.decided += 1;
    }

    /// Notes a start that a worker has answered, and the time since the decision.
    pub(crate) fn on_answered(&mut self, took: Duration) {
        self.answered += 1;
        if took > LATE_START {
            self.late += 1;
        }
    }

    /// Adapts the share at the end of a window, and returns it.
    pub(crate) fn share(&mut self, now: Duration) -> f64 {
        if now < self.window_end {
            return self.share;
        }
        let is_late = self.answered >= LEAST_STARTS && is_most(self.late, self.answered);
        // What was decided in the window before had this one to be answered.
        let (decided, answered) = self.before;
        let unanswered = decided.saturating_sub(answered + self.answered);
        let is_stuck = decided >= LEAST_STARTS && is_most(unanswered, decided);
        self.share = if is_late || is_stuck {
            (self.share * DECREASE).max(LEAST_SHARE)
        } else {
            (self.share * GROWTH + INCREASE).min(1.0)
        };
        if self.share < 1.0 {
            log::warn!(
                decided = self.decided, answered = self.answered, late = self.late,
                share_percent = (self.share * 100.0) as u64; "new_jobs_limited"
            );
        }
        self.before = (self.decided, self.answered);
        (self.decided, self.answered, self.late) = (0, 0, 0);
        self.window_end = now + WINDOW;
        self.share
    }
}

fn is_most(part: u32, all: u32) -> bool {
    part * 100 >= all * LATE_PERCENT
}
