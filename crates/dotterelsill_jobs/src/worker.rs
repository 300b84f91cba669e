//! State of one worker.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

use dotterelsill_proto::jobs::GrantedWorker;

use crate::{
    health::Health,
    JobId,
    Resources,
    TaskId, //
};

/// Bound on the rate by which a worker's clock may run slow, as a divisor: 50
/// stands for 2%.
const SLOW_CLOCK_DIVISOR: u32 = 50;

/// Additional time before a lease counts as lapsed, for the worker to end its runs.
const LAPSE_MARGIN: Duration = Duration::from_millis(150);

/// Registration that a worker publishes in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerReport {
    /// Identifier under which the worker registers.
    pub id: String,
    /// Start time of the worker process, in milliseconds since the Unix epoch. A
    /// worker may restart under the same identifier.
    pub started_unix_ms: u64,
    /// Socket address.
    pub address: String,
    /// Pool that the worker belongs to.
    pub pool: String,
    /// Data centre of the worker.
    pub data_centre: String,
    /// Labels of the worker; by the platform's convention the last one is the rack.
    pub labels: Vec<String>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Whether the worker is shutting down and accepts no new tasks.
    pub is_draining: bool,
}

/// A reading of the worker's clock, with the scheduler's times around it.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    worker_ms: u64,
    /// Time at which the request was sent whose response carried the reading.
    sent_at: Duration,
    /// Time at which the response arrived.
    read_at: Duration,
}

/// A run that occupies resources on a worker.
#[derive(Clone, Debug)]
pub(crate) struct BookedRun {
    pub(crate) attempt: u32,
    pub(crate) resources: Resources,
    pub(crate) is_lasting: bool,
    pub(crate) is_filler: bool,
    pub(crate) target: Option<Duration>,
    /// Share of its work that a filler task may do, in percent.
    pub(crate) pace_percent: u32,
    /// Tail latency of a serving task, as last reported.
    pub(crate) tail_latency: Duration,
    /// Time of the last response that confirmed whether the worker has the run.
    pub(crate) confirmed_at: Option<Duration>,
    /// Whether a stop was ordered and the end is not reported yet.
    pub(crate) is_stopping: bool,
}

/// A reported end that is acknowledged once its effect on the job is stored.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingEnd {
    pub(crate) number: u64,
    pub(crate) job: JobId,
    /// Number of the job's progress change that must be stored first.
    pub(crate) change: u64,
}

/// A worker that the scheduler knows.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) report: WorkerReport,
    /// Whether the worker is registered in the store.
    pub(crate) is_listed: bool,
    /// Time at which the registration disappeared.
    pub(crate) unlisted_at: Duration,
    /// Whether this incarnation has certainly ended.
    pub(crate) has_ended: bool,
    /// Whether the worker's status was read under this scheduler's fencing token.
    pub(crate) is_known: bool,
    pub(crate) used: Resources,
    pub(crate) booked: BTreeMap<TaskId, BookedRun>,
    pub(crate) pending_ends: VecDeque<PendingEnd>,
    /// Highest number of an end that was processed.
    pub(crate) processed_end: u64,
    /// Highest number of an end that may be acknowledged.
    pub(crate) acknowledged_end: u64,
    pub(crate) health: Health,
    clock: Option<ClockReading>,
    /// End of the latest lease granted by this scheduler, on the worker's clock.
    granted_until_ms: u64,
    /// Latest end of a lease that another scheduler may have granted. It is never
    /// sent to the worker, because an order must not extend it.
    foreign_until_ms: u64,
    /// Time at which all leases granted by earlier schedulers have certainly ended.
    pub(crate) unknown_until: Duration,
    /// Time until which a new incarnation whose status was not read may execute
    /// orders that were meant for the previous one.
    unread_until: Duration,
    pub(crate) answered_at: Duration,
    /// Whether the last call was not answered.
    pub(crate) is_silent: bool,
    /// Time at which the scheduler learned of the worker.
    pub(crate) known_since: Duration,
    /// Number of consecutive instance lists that did not contain the worker.
    pub(crate) missed_lists: u32,
    /// Whether the worker gets no new tasks because its instance is due for
    /// maintenance or a move.
    pub(crate) is_cordoned: bool,
    /// Whether the instance was ordered to do something that ends the worker.
    pub(crate) is_terminating: bool,
    /// Whether the worker is in the stored record of workers that may run tasks;
    /// only then may it be granted a lease.
    pub(crate) may_grant: bool,
    /// Whether an earlier scheduler may have started tasks on the worker.
    pub(crate) is_expected: bool,
}

impl Worker {
    pub(crate) fn new(report: WorkerReport, unknown_until: Duration, now: Duration) -> Self {
        Self {
            report,
            is_listed: true,
            unlisted_at: Duration::ZERO,
            has_ended: false,
            is_known: false,
            used: Resources::default(),
            booked: BTreeMap::new(),
            pending_ends: VecDeque::new(),
            processed_end: 0,
            acknowledged_end: 0,
            health: Health::default(),
            clock: None,
            granted_until_ms: 0,
            foreign_until_ms: 0,
            unknown_until,
            unread_until: Duration::ZERO,
            answered_at: now,
            is_silent: false,
            known_since: now,
            missed_lists: 0,
            is_cordoned: false,
            is_terminating: false,
            may_grant: false,
            is_expected: false,
        }
    }

    /// Records the worker's clock as carried by a response.
    pub(crate) fn on_clock(&mut self, worker_ms: u64, sent_at: Duration, read_at: Duration) {
        self.on_answer(read_at);
        let is_newer = |clock: ClockReading| sent_at >= clock.sent_at;
        if self.clock.is_none_or(is_newer) {
            self.clock = Some(ClockReading {
                worker_ms,
                sent_at,
                read_at,
            });
        }
    }

    /// Handles the first status of a new incarnation. An order for the previous
    /// incarnation may have reached the new one and granted it a lease.
    pub(crate) fn on_first_status(&mut self, longest: Duration) {
        if !self.unread_until.is_zero() {
            self.unread_until = Duration::ZERO;
            self.note_foreign_lease(longest);
        }
    }

    /// Handles the start time that a response or registration carries. Nothing is
    /// known about a new incarnation, and orders for the previous one may have
    /// reached it; its first status shows which runs it has.
    pub(crate) fn on_incarnation(
        &mut self,
        started_unix_ms: u64,
        longest: Duration,
        now: Duration,
    ) {
        let known = self.report.started_unix_ms;
        if started_unix_ms == 0 || known == started_unix_ms {
            return;
        }
        self.report.started_unix_ms = started_unix_ms;
        if known == 0 {
            return;
        }
        log::info!(worker = self.report.id, runs = self.booked.len() as u64; "worker_born_again");
        self.is_known = false;
        self.clock = None;
        self.granted_until_ms = 0;
        self.foreign_until_ms = 0;
        self.unread_until = now + longest;
        self.processed_end = 0;
        self.acknowledged_end = 0;
        self.pending_ends.clear();
        self.health = Health::default();
    }

    /// Returns whether the worker's status must be read before it gets tasks.
    pub(crate) fn needs_status(&self) -> bool {
        !self.is_known || self.is_silent
    }

    /// Records that the worker responded.
    pub(crate) fn on_answer(&mut self, now: Duration) {
        self.answered_at = now;
        self.is_silent = false;
    }

    /// Grants a lease that starts now and returns its end on the worker's clock.
    pub(crate) fn grant(&mut self, lease: Duration, now: Duration) -> Option<u64> {
        let clock = self.clock?;
        let passed = now.saturating_sub(clock.read_at);
        // The worker's clock has advanced by at least this much, so the lease is
        // never longer than requested.
        let min_passed = passed - passed / SLOW_CLOCK_DIVISOR;
        let until_ms = clock.worker_ms + (min_passed + lease).as_millis() as u64;
        self.granted_until_ms = self.granted_until_ms.max(until_ms);
        Some(self.granted_until_ms)
    }

    /// Accounts for a run under a lease that another scheduler granted, for at most
    /// `longest` from the last clock reading.
    pub(crate) fn note_foreign_lease(&mut self, longest: Duration) {
        if let Some(clock) = self.clock {
            let until_ms = clock.worker_ms + longest.as_millis() as u64;
            self.foreign_until_ms = self.foreign_until_ms.max(until_ms);
        }
    }

    /// Returns the end of the granted lease, on the worker's clock.
    pub(crate) fn granted(&self) -> Option<u64> {
        (self.granted_until_ms > 0).then_some(self.granted_until_ms)
    }

    /// Returns whether the lease, and with it every run, has certainly ended.
    pub(crate) fn has_lapsed(&self, now: Duration) -> bool {
        if self.has_ended {
            return true;
        }
        let Some(clock) = self.clock else {
            return now >= self.unknown_until.max(self.unread_until);
        };
        let passed = now.saturating_sub(clock.read_at);
        let min_passed = passed - passed / SLOW_CLOCK_DIVISOR;
        let lower = Duration::from_millis(clock.worker_ms) + min_passed;
        let until_ms = self.granted_until_ms.max(self.foreign_until_ms);
        let is_over = lower > Duration::from_millis(until_ms) + LAPSE_MARGIN;
        is_over && now >= self.unknown_until
    }

    /// Resumes use of the worker after an order that would have ended it was not
    /// executed.
    pub(crate) fn return_to_service(&mut self) {
        self.is_cordoned = false;
        self.is_terminating = false;
        // The worker may have left the stored record while it was idle, and must be
        // in it again before it gets tasks.
        self.may_grant = false;
    }

    /// Returns whether the worker has no runs and will not get any, because its
    /// instance is leaving.
    pub(crate) fn is_vacated(&self) -> bool {
        self.is_terminating && self.booked.is_empty()
    }

    /// Returns the entry for the stored record of workers that may run tasks.
    pub(crate) fn granted_record(&self) -> GrantedWorker {
        GrantedWorker {
            id: self.report.id.clone(),
            address: self.report.address.clone(),
            pool: self.report.pool.clone(),
            data_centre: self.report.data_centre.clone(),
        }
    }

    /// Reserves the resources of a run.
    pub(crate) fn book(&mut self, task: TaskId, booked: BookedRun) {
        self.used.add(&booked.resources);
        self.booked.insert(task, booked);
    }

    /// Releases the resources of a run and returns it, unless another attempt of
    /// the task is booked.
    pub(crate) fn release(&mut self, task: TaskId, attempt: u32) -> Option<BookedRun> {
        if self.booked.get(&task)?.attempt != attempt {
            return None;
        }
        let booked = self.booked.remove(&task)?;
        self.used.subtract(&booked.resources);
        Some(booked)
    }

    /// Returns the number of booked tasks of a step.
    pub(crate) fn count_of_step(&self, step: crate::StepId) -> usize {
        self.booked
            .range(step.task(0)..=step.task(u32::MAX))
            .count()
    }

    /// Returns whether the worker is in the given data centre; always true for
    /// `None`.
    pub(crate) fn is_in(&self, data_centre: Option<&str>) -> bool {
        data_centre.is_none_or(|name| self.report.data_centre == name)
    }

    /// Returns the rack, which is the last label by the platform's convention.
    pub(crate) fn rack(&self) -> Option<&str> {
        self.report.labels.last().map(String::as_str)
    }
}
