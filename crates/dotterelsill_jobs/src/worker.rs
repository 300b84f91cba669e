//! State of one life of a worker.

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

/// Share by which a worker's clock may be slow, as a divisor: 2%.
const SLOW_CLOCK_DIVISOR: u32 = 50;

/// Time that is added before a lease counts as lapsed, for the end of its runs.
const LAPSE_MARGIN: Duration = Duration::from_millis(150);

/// What a worker says of itself in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerReport {
    /// Identifier that the worker registers under.
    pub id: String,
    /// Time of its start; a worker may start again under one identifier.
    pub started_unix_ms: u64,
    /// Socket address.
    pub address: String,
    /// Pool.
    pub pool: String,
    /// Data centre.
    pub data_centre: String,
    /// Labels; the rack is among them.
    pub labels: Vec<String>,
    /// Room.
    pub capacity: Resources,
    /// Whether the worker is leaving.
    pub is_draining: bool,
}

/// Relation of a worker's clock to the scheduler's.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    worker_ms: u64,
    /// Time at which the request whose answer held the reading was sent.
    sent_at: Duration,
    /// Time at which the answer arrived.
    read_at: Duration,
}

/// A run as the worker counts it.
#[derive(Clone, Debug)]
pub(crate) struct Booked {
    pub(crate) attempt: u32,
    pub(crate) resources: Resources,
    pub(crate) is_lasting: bool,
    pub(crate) is_filler: bool,
    pub(crate) target: Option<Duration>,
    /// Share of the work that a filler may do, in percent.
    pub(crate) pace_percent: u32,
    /// Tail latency of a serving task as listed last.
    pub(crate) tail: Duration,
    /// Time of the worker's last answer that settled where the run is.
    pub(crate) confirmed_at: Option<Duration>,
    /// Whether the end of the stop that was ordered is still to come.
    pub(crate) is_stopping: bool,
}

/// An end whose acknowledgement waits for the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingEnd {
    pub(crate) number: u64,
    pub(crate) job: JobId,
    /// Change of the job that must be stored first.
    pub(crate) change: u64,
}

/// A worker that the scheduler knows.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) report: WorkerReport,
    /// Whether the worker is listed in the store.
    pub(crate) is_listed: bool,
    /// Time at which it was no longer listed.
    pub(crate) unlisted_at: Duration,
    /// Whether this life of the worker has surely ended.
    pub(crate) has_ended: bool,
    /// Whether its lists were read under the scheduler's fencing token.
    pub(crate) is_known: bool,
    pub(crate) used: Resources,
    pub(crate) booked: BTreeMap<TaskId, Booked>,
    pub(crate) pending_ends: VecDeque<PendingEnd>,
    /// Highest number of an end that was processed.
    pub(crate) processed_end: u64,
    /// Highest number of an end that may be acknowledged.
    pub(crate) acknowledged_end: u64,
    pub(crate) health: Health,
    clock: Option<ClockReading>,
    /// Latest end of a lease that was granted, on the worker's clock.
    granted_until_ms: u64,
    /// Latest end of a lease that somebody else may have been granted. It is
    /// never sent: an order must not extend it.
    foreign_until_ms: u64,
    /// Time at which every lease of an earlier scheduler has surely ended.
    pub(crate) unknown_until: Duration,
    /// Time until which a new life whose list was not read may run what was
    /// ordered.
    unread_until: Duration,
    pub(crate) answered_at: Duration,
    /// Whether the last call was not answered.
    pub(crate) is_silent: bool,
    /// Time at which the scheduler learned of the worker.
    pub(crate) known_since: Duration,
    /// Lists of instances in a row that did not show the worker.
    pub(crate) lists_without: u32,
    /// Time from which the worker gets no more tasks because it is due for
    /// maintenance or a move.
    pub(crate) reserved: bool,
    /// Whether its instance was given an order that ends the worker.
    pub(crate) is_ending: bool,
    /// Whether the worker is in the stored record of those that may run tasks.
    pub(crate) may_grant: bool,
    /// Whether an earlier scheduler may have started tasks here.
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
            lists_without: 0,
            reserved: false,
            is_ending: false,
            may_grant: false,
            is_expected: false,
        }
    }

    /// Notes the worker's clock in an answer.
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

    /// Notes that the list of a new life was read; an order that was meant for
    /// the life before may have granted it a lease.
    pub(crate) fn on_first_list(&mut self, longest: Duration) {
        if !self.unread_until.is_zero() {
            self.unread_until = Duration::ZERO;
            self.on_foreign_lease(longest);
        }
    }

    /// Notes the start of the life that answers or reports. Of a new life
    /// nothing is known, and what was ordered may have reached it: its first
    /// list settles which runs there are.
    pub(crate) fn on_life(&mut self, started_unix_ms: u64, longest: Duration, now: Duration) {
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

    /// Notes any answer of the worker.
    pub(crate) fn on_answer(&mut self, now: Duration) {
        self.answered_at = now;
        self.is_silent = false;
    }

    /// Grants a lease from now on, and returns its end on the worker's clock.
    pub(crate) fn grant(&mut self, lease: Duration, now: Duration) -> Option<u64> {
        let clock = self.clock?;
        let passed = now.saturating_sub(clock.read_at);
        // The worker's clock shows at least this much, so that the lease is not
        // longer than asked for.
        let at_least = passed - passed / SLOW_CLOCK_DIVISOR;
        let until_ms = clock.worker_ms + (at_least + lease).as_millis() as u64;
        self.granted_until_ms = self.granted_until_ms.max(until_ms);
        Some(self.granted_until_ms)
    }

    /// Notes a run whose lease somebody else was granted, for at most a time.
    pub(crate) fn on_foreign_lease(&mut self, longest: Duration) {
        if let Some(clock) = self.clock {
            let until_ms = clock.worker_ms + longest.as_millis() as u64;
            self.foreign_until_ms = self.foreign_until_ms.max(until_ms);
        }
    }

    /// Returns the end of the lease that was granted, on the worker's clock.
    pub(crate) fn granted(&self) -> Option<u64> {
        (self.granted_until_ms > 0).then_some(self.granted_until_ms)
    }

    /// Returns whether the lease has surely ended, with all runs.
    pub(crate) fn has_lapsed(&self, now: Duration) -> bool {
        if self.has_ended {
            return true;
        }
        let Some(clock) = self.clock else {
            return now >= self.unknown_until.max(self.unread_until);
        };
        let passed = now.saturating_sub(clock.read_at);
        let at_least = passed - passed / SLOW_CLOCK_DIVISOR;
        let lower = Duration::from_millis(clock.worker_ms) + at_least;
        let until_ms = self.granted_until_ms.max(self.foreign_until_ms);
        let is_over = lower > Duration::from_millis(until_ms) + LAPSE_MARGIN;
        is_over && now >= self.unknown_until
    }

    /// Notes that no order ends the worker after all.
    pub(crate) fn may_be_used_again(&mut self) {
        self.reserved = false;
        self.is_ending = false;
        // It may have left the stored record when it ran nothing, and must be in
        // it again before it gets tasks.
        self.may_grant = false;
    }

    /// Returns whether nothing runs here and nothing will: its instance leaves.
    pub(crate) fn is_left(&self) -> bool {
        self.is_ending && self.booked.is_empty()
    }

    /// Returns what the stored record says of the worker.
    pub(crate) fn granted_record(&self) -> GrantedWorker {
        GrantedWorker {
            id: self.report.id.clone(),
            address: self.report.address.clone(),
            pool: self.report.pool.clone(),
            data_centre: self.report.data_centre.clone(),
        }
    }

    /// Books a run.
    pub(crate) fn book(&mut self, task: TaskId, booked: Booked) {
        self.used.add(&booked.resources);
        self.booked.insert(task, booked);
    }

    /// Frees a run; returns whether it was booked.
    pub(crate) fn free(&mut self, task: TaskId, attempt: u32) -> Option<Booked> {
        if self.booked.get(&task)?.attempt != attempt {
            return None;
        }
        let booked = self.booked.remove(&task)?;
        self.used.subtract(&booked.resources);
        Some(booked)
    }

    /// Returns the number of booked tasks of the step of a task.
    pub(crate) fn count_of_step(&self, step: crate::StepId) -> usize {
        self.booked
            .range(step.task(0)..=step.task(u32::MAX))
            .count()
    }

    /// Returns whether the worker is in a data centre, if one is given.
    pub(crate) fn is_in(&self, data_centre: Option<&str>) -> bool {
        data_centre.is_none_or(|name| self.report.data_centre == name)
    }

    /// Returns the rack, the last label by the platform's convention.
    pub(crate) fn rack(&self) -> Option<&str> {
        self.report.labels.last().map(String::as_str)
    }
}
