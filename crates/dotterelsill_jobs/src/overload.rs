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

/// Starts that a window must have before it counts: a few may have gone to slow
/// workers.
const LEAST_STARTS: u32 = 10;

/// Factor on the share while most starts are late.
const DECREASE: f64 = 0.85;

/// Growth of the share in a window while few starts are late.
const INCREASE: f64 = 0.05;

/// Least share, so that a recovery is seen.
const LEAST_SHARE: f64 = 0.05;

/// Share of new jobs that is taken.
#[derive(Debug)]
pub(crate) struct Overload {
    window_end: Duration,
    starts: u32,
    late_starts: u32,
    share: f64,
}

impl Default for Overload {
    fn default() -> Self {
        Self {
            window_end: Duration::ZERO,
            starts: 0,
            late_starts: 0,
            share: 1.0,
        }
    }
}

impl Overload {
    /// Notes a start that a worker has answered, and the time since the decision.
    pub(crate) fn on_start(&mut self, took: Duration) {
        self.starts += 1;
        if took > LATE_START {
            self.late_starts += 1;
        }
    }

    /// Adapts the share at the end of a window, and returns it.
    pub(crate) fn share(&mut self, now: Duration) -> f64 {
        if now < self.window_end {
            return self.share;
        }
        let is_late = self.starts >= LEAST_STARTS && self.late_starts * 2 > self.starts;
        self.share = if is_late {
            (self.share * DECREASE).max(LEAST_SHARE)
        } else {
            (self.share + INCREASE).min(1.0)
        };
        if self.share < 1.0 {
            log::warn!(
                starts = self.starts, late_starts = self.late_starts,
                share_percent = (self.share * 100.0) as u64; "new_jobs_limited"
            );
        }
        (self.starts, self.late_starts) = (0, 0);
        self.window_end = now + WINDOW;
        self.share
    }
}
