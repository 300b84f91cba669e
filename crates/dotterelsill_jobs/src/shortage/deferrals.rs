//! Counts and logs of deferred jobs.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    Class,
    Division,
    JobOccurrence,
    Placing,
    Term, //
};
use crate::Scheduler;

/// Interval between two summaries of a pool in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Numbers of deferred jobs since they were last taken.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DeferralCounts {
    /// Jobs that were deferred, by queue and by what decided on it.
    pub jobs: BTreeMap<(String, Term), u64>,
    /// Time for which jobs were deferred until they were planned in time, began or ended,
    /// by queue.
    pub deferred: BTreeMap<String, Duration>,
}

impl DeferralCounts {
    pub(super) fn on_deferred(&mut self, queue: &str, id: JobOccurrence, placing: Placing) {
        log::debug!(
            job:% = id.job, occurrence = id.occurrence, queue, class = placing.class.name(),
            term = placing.term.name();
            "job_deferred"
        );
        *self
            .jobs
            .entry((queue.to_owned(), placing.term))
            .or_default() += 1;
    }

    pub(super) fn on_over(&mut self, queue: &str, took: Duration) {
        *self.deferred.entry(queue.to_owned()).or_default() += took;
    }
}

impl Scheduler {
    /// Returns the numbers of deferred jobs since the last call.
    pub fn take_deferral_counts(&mut self) -> DeferralCounts {
        std::mem::take(&mut self.deferrals)
    }
}

/// Log of one pool.
#[derive(Debug, Default)]
pub(super) struct Summary {
    logged_at: Option<Duration>,
}

impl Summary {
    /// Logs the numbers of jobs by class, if any is deferred.
    pub(super) fn log(&mut self, pool: &str, division: &Division, rate: f64, now: Duration) {
        let is_due = |at: Duration| now >= at + SUMMARY_INTERVAL;
        let of_class = |class| division.values().filter(|p| p.class == class).count() as u64;
        let of_term = |term| {
            let placings = division.values();
            placings
                .filter(|p| p.class.is_deferred() && p.term == term)
                .count() as u64
        };
        if !self.logged_at.is_none_or(is_due) || !division.values().any(|p| p.class.is_deferred()) {
            return;
        }
        self.logged_at = Some(now);
        log::info!(
            pool, aged = of_class(Class::Aged),
            last_chance = of_class(Class::LastChance), on_time = of_class(Class::OnTime),
            late = of_class(Class::Late), no_capacity = of_class(Class::NoCapacity),
            no_use = of_class(Class::NoUse), ample = of_class(Class::Ample),
            by_time = of_term(Term::Time),
            by_cost = of_term(Term::Cost), by_share = of_term(Term::Share),
            rate_percent = (rate * 100.0) as u64;
            "jobs_deferred"
        );
    }
}
