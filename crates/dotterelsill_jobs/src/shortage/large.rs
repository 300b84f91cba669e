//! Protection of large jobs.
//!
//! Load pattern: under a shortage a large job takes the capacity of many small ones, so
//! that each division would defer it again.

use std::collections::HashMap;

/// Group of a job by its size, within its queue.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SizeGroup {
    /// One of the smaller jobs.
    #[default]
    Other,
    /// One of the largest 30%, but not of the largest 10%.
    Large,
    /// One of the largest 10%.
    Largest,
}

/// Number of jobs of a queue at which the counts are halved, so that they follow the load.
const MAX_COUNTED: f64 = 1000.0;

/// Least ratio of the part of large jobs that is kept to that of all jobs of the queue.
const KEPT_RATIO: f64 = 0.5;

/// Numbers of jobs of one queue, by size.
#[derive(Clone, Copy, Debug, Default)]
pub struct SizeCounts {
    seen: [f64; 3],
    deferred: [f64; 3],
}

impl SizeCounts {
    /// Counts a job that no longer waits.
    pub fn note(&mut self, group: SizeGroup, is_deferred: bool) {
        self.seen[group as usize] += 1.0;
        self.deferred[group as usize] += f64::from(u8::from(is_deferred));
        if self.seen.iter().sum::<f64>() > MAX_COUNTED {
            let counts = self.seen.iter_mut().chain(&mut self.deferred);
            counts.for_each(|count| *count /= 2.0);
        }
    }

    /// Counts a job that waits.
    pub(super) fn see(&mut self, group: SizeGroup) {
        self.seen[group as usize] += 1.0;
    }

    /// Counts the deferral of a job that waits.
    pub(super) fn defer(&mut self, group: SizeGroup) {
        self.deferred[group as usize] += 1.0;
    }

    /// Returns whether another job of a group may be deferred.
    pub fn may_defer(&self, group: SizeGroup) -> bool {
        if group == SizeGroup::Other {
            return true;
        }
        let index = group as usize;
        if std::env::var("RULE").is_ok_and(|r| r == "none") {
            return true;
        }
        if std::env::var("RULE").is_ok_and(|r| r == "page") {
            let ls = self.seen[1] + self.seen[2];
            let ld = self.deferred[1] + self.deferred[2] + 1.0;
            return self.seen[0] == 0.0 || ld / ls <= 1.5 * (self.deferred[0] + 1.0) / self.seen[0];
        }
        let kept = (self.seen[index] - self.deferred[index] - 1.0) / self.seen[index].max(1.0);
        let seen: f64 = self.seen.iter().sum();
        let deferred: f64 = self.deferred.iter().sum();
        kept >= kr() * (seen - deferred) / seen.max(1.0)
    }
}
fn kr() -> f64 {
    std::env::var("KR").map_or(KEPT_RATIO, |v| v.parse().unwrap())
}

/// Counts by queue.
pub type QueueCounts<'a> = HashMap<&'a str, SizeCounts>;
