//! State of one worker.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use dotterelsill_proto::jobs::GrantedWorker;

use crate::{
    late_starts::LateStarts,
    life::{
        Life,
        LIST_LAG, //
    },
    JobId,
    Resources,
    StepId,
    TaskId, //
};

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

/// A run that occupies resources on a worker.
#[derive(Clone, Debug)]
pub(crate) struct BookedRun {
    pub(crate) attempt: u64,
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
    /// Time at which the scheduler learned of the life that the run was booked for, or
    /// that has listed it.
    pub(crate) life_since: Duration,
    /// Whether the start may be sent only with authority.
    pub(crate) needs_authority: bool,
    /// Time until which a later life may carry out a try of the start that was not answered,
    /// if it was sent over a connection that is not known to lead to the present one.
    pub(crate) unbound_until: Option<Duration>,
}

impl BookedRun {
    /// Returns whether a later life of the worker may still carry out the start, also one
    /// that the present life has confirmed: an earlier try may be under way.
    pub(crate) fn may_reach_later_life(&self, now: Duration) -> bool {
        self.unbound_until.is_some_and(|until| now < until)
    }
}

/// A worker that the scheduler knows.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) report: WorkerReport,
    /// Whether the worker is registered in the store.
    pub(crate) is_listed: bool,
    /// Time at which the registration disappeared.
    pub(crate) unlisted_at: Duration,
    /// The present life.
    pub(crate) life: Life,
    pub(crate) used: Resources,
    pub(crate) booked: BTreeMap<TaskId, BookedRun>,
    /// Time at which all leases granted by earlier schedulers have certainly ended.
    pub(crate) unknown_until: Duration,
    pub(crate) answered_at: Duration,
    /// Time of the last answer to an order, until a status that was requested later is
    /// read. It does not tell which life gave it.
    order_answered_at: Option<Duration>,
    /// Time of the first call that was not answered, until a status that was requested
    /// later is read. Another life may answer next.
    silent_since: Option<Duration>,
    /// Whether the worker gets no new tasks because its instance is due for
    /// maintenance or a move.
    pub(crate) is_cordoned: bool,
    /// Whether a wave is yet to maintain the worker's instance.
    pub(crate) is_due: bool,
    /// Whether an order of an earlier scheduler may still end the worker.
    pub(crate) is_held: bool,
    /// Whether the instance was ordered to do something that ends the worker.
    pub(crate) is_terminating: bool,
    /// Whether the worker is in the stored record of workers that may run tasks;
    /// only then may it be granted a lease.
    pub(crate) may_grant: bool,
    /// Whether an earlier scheduler may have started tasks on the worker.
    pub(crate) is_expected: bool,
    /// Whether the worker has changed its pool or data centre since tasks may have been
    /// started on it.
    has_changed_place: bool,
    /// Whether a start of an earlier scheduler may reach any life of the worker.
    pub(crate) has_unbound_starts: bool,
    /// Starts of runs that a later life may still carry out.
    pub(crate) late_starts: LateStarts,
}

impl Worker {
    pub(crate) fn new(report: WorkerReport, unknown_until: Duration, now: Duration) -> Self {
        Self {
            life: Life::new(report.started_unix_ms, now),
            report,
            is_listed: true,
            unlisted_at: Duration::ZERO,
            used: Resources::default(),
            booked: BTreeMap::new(),
            unknown_until,
            answered_at: now,
            order_answered_at: None,
            silent_since: None,
            is_cordoned: false,
            is_due: false,
            is_held: false,
            is_terminating: false,
            may_grant: false,
            is_expected: false,
            has_changed_place: false,
            has_unbound_starts: false,
            late_starts: LateStarts::default(),
        }
    }

    /// Handles the start time that a status or registration carries: a later one is
    /// that of a new life. Nothing is known about it, and its first status shows which
    /// runs it has. Returns whether the fact is about the present life. `requested_at` is
    /// the time at which a status was requested, `None` for a registration.
    pub(crate) fn on_started(
        &mut self,
        started_unix_ms: u64,
        requested_at: Option<Duration>,
        longest: Duration,
        now: Duration,
    ) -> bool {
        let known = self.life.started_unix_ms;
        if started_unix_ms == 0 || known == started_unix_ms {
            return true;
        }
        if known == 0 {
            // The life may be a later one than that of the stored record.
            self.life.started_unix_ms = started_unix_ms;
            self.life.drop_earlier_evidence(now);
            return true;
        }
        // What was requested after the present life was known is about it or a later one,
        // whose clock may have been set back.
        let is_later = requested_at.is_some_and(|at| at > self.life.since);
        if started_unix_ms < known && !is_later {
            log::info!(worker = self.report.id, started_unix_ms, known; "earlier_life_ignored");
            return false;
        }
        self.begin_life(started_unix_ms, longest, now);
        true
    }

    /// Handles the worker's clock as read for a status that carries no start time: a clock
    /// that has gone back is that of a new life.
    pub(crate) fn on_clock_without_start(
        &mut self,
        worker_ms: u64,
        sent_at: Duration,
        longest: Duration,
        now: Duration,
    ) {
        if self.life.is_clock_of_another(worker_ms, sent_at) {
            self.begin_life(0, longest, now);
        }
    }

    fn begin_life(&mut self, started_unix_ms: u64, longest: Duration, now: Duration) {
        log::info!(
            worker = self.report.id, runs = self.booked.len() as u64, born = started_unix_ms,
            earlier = self.life.started_unix_ms, processed = self.life.processed_end,
            acknowledged = self.life.sent_acknowledgement;
            "worker_born_again"
        );
        self.life = Life::successor(started_unix_ms, longest, now);
    }

    /// Returns whether the worker's status must be read before it gets tasks.
    pub(crate) fn needs_status(&self) -> bool {
        !self.life.is_known || self.is_silent()
    }

    /// Returns whether a call was not answered and no status was read since.
    pub(crate) fn is_silent(&self) -> bool {
        self.silent_since.is_some()
    }

    /// Returns the time of the first call that was not answered and after which no status
    /// was read.
    pub(crate) fn silent_since(&self) -> Option<Duration> {
        self.silent_since
    }

    /// Records that a call was not answered.
    pub(crate) fn on_silence(&mut self, now: Duration) {
        self.silent_since.get_or_insert(now);
    }

    /// Records that the worker responded to an order. The response does not tell which
    /// life gave it, so it does not end a silence.
    pub(crate) fn on_answer(&mut self, now: Duration) {
        self.answered_at = now;
        self.order_answered_at = Some(now);
    }

    /// Records that a status was read for which the worker was asked at `sent_at`.
    pub(crate) fn on_status(&mut self, sent_at: Duration, read_at: Duration) {
        self.answered_at = read_at;
        self.order_answered_at = self.order_answered_at.filter(|at| sent_at < *at);
        if self.silent_since.is_some_and(|since| sent_at >= since) {
            self.silent_since = None;
        }
    }

    /// Returns whether a list of instances tells about the life that answered last. That
    /// may be a later one than the present life, and have begun within the delay of the
    /// list, unless the last answer was a status and a call has gone unanswered since.
    pub(crate) fn is_shown_by_list(&self, requested_at: Duration) -> bool {
        let lag = if self.is_silent() && self.order_answered_at.is_none() {
            Duration::ZERO
        } else {
            LIST_LAG
        };
        requested_at > self.answered_at + lag
            && self.life.is_shown_by_list(requested_at, self.is_silent())
    }

    /// Returns whether the lease, and with it every run, has certainly ended.
    pub(crate) fn has_lapsed(&self, now: Duration) -> bool {
        self.life.has_lapsed(self.unknown_until, now)
    }

    /// Returns whether the worker has a run that ends with its lease.
    pub(crate) fn has_run_to_end(&self, now: Duration) -> bool {
        let mut booked = self.booked.values();
        booked.any(|booked| !booked.may_reach_later_life(now))
    }

    /// Returns whether the worker is not registered and has no runs, and no start of an
    /// earlier scheduler may begin one.
    pub(crate) fn is_gone(&self, now: Duration) -> bool {
        let may_begin_runs =
            self.has_unbound_starts && !self.life.is_known && now < self.unknown_until;
        !self.is_listed && self.booked.is_empty() && self.late_starts.is_empty() && !may_begin_runs
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

    /// Returns whether an earlier scheduler may have started tasks on the worker that are
    /// not booked, because no status was read. Its leases may have ended since.
    pub(crate) fn may_have_unseen_runs(&self) -> bool {
        self.is_expected && self.is_unread() && !self.life.has_ended()
    }

    /// Returns whether the present life may run what no status has shown: none was read, or
    /// the next life may be there, which carries out late starts of an earlier scheduler.
    pub(crate) fn is_unread(&self) -> bool {
        !self.life.is_known || self.has_unbound_starts && self.is_silent()
    }

    /// Returns whether the worker has no runs and will not get any, because its
    /// instance is leaving.
    pub(crate) fn is_vacated(&self) -> bool {
        self.is_terminating
            && self.booked.is_empty()
            && self.late_starts.is_empty()
            && !self.may_have_unseen_runs()
    }

    /// Replaces the registration.
    pub(crate) fn set_report(&mut self, report: WorkerReport) {
        let is_same_place =
            self.report.pool == report.pool && self.report.data_centre == report.data_centre;
        if !is_same_place && (self.may_grant || self.is_expected) {
            log::warn!(
                worker = report.id, pool = report.pool, data_centre = report.data_centre,
                earlier_pool = self.report.pool, earlier_data_centre = self.report.data_centre;
                "worker_changed_place"
            );
            self.has_changed_place = true;
            // The stored record names the earlier place alone.
            self.may_grant = false;
        }
        self.report = report;
    }

    /// Returns the pool and the data centre in which tasks on the worker may have been
    /// started; empty names stand for unknown ones.
    pub(crate) fn place_of_starts(&self) -> (&str, &str) {
        if self.has_changed_place {
            return ("", "");
        }
        (&self.report.pool, &self.report.data_centre)
    }

    /// Returns the entry for the stored record of workers that may run tasks.
    pub(crate) fn granted_record(&self) -> GrantedWorker {
        let (pool, data_centre) = self.place_of_starts();
        GrantedWorker {
            id: self.report.id.clone(),
            address: self.report.address.clone(),
            pool: pool.to_owned(),
            data_centre: data_centre.to_owned(),
            closes_connections: !self.life.keeps_connections || self.may_have_late_starts(),
        }
    }

    /// Returns whether a later life may carry out a start that was sent before it began.
    pub(crate) fn may_have_late_starts(&self) -> bool {
        let mut booked = self.booked.values();
        self.has_unbound_starts
            || !self.late_starts.is_empty()
            || booked.any(|booked| booked.unbound_until.is_some())
    }

    /// Reserves the resources of a run.
    pub(crate) fn book(&mut self, task: TaskId, booked: BookedRun) {
        self.used.add(&booked.resources);
        let life_since = self.life.since;
        self.booked.insert(
            task,
            BookedRun {
                life_since,
                ..booked
            },
        );
    }

    /// Releases the resources of a run and returns it, unless another attempt of
    /// the task is booked.
    pub(crate) fn release(&mut self, task: TaskId, attempt: u64) -> Option<BookedRun> {
        if self.booked.get(&task)?.attempt != attempt {
            return None;
        }
        let booked = self.booked.remove(&task)?;
        self.used.subtract(&booked.resources);
        Some(booked)
    }

    /// Returns the booked runs of a job.
    pub(crate) fn booked_of_job(&self, job: JobId) -> impl Iterator<Item = &BookedRun> {
        let step = |number| StepId {
            job,
            occurrence: number,
            step: number,
        };
        let tasks = step(0).task(0)..=step(u32::MAX).task(u32::MAX);
        self.booked.range(tasks).map(|(_, booked)| booked)
    }

    /// Returns the resources beyond those of the long-running tasks.
    pub(crate) fn lasting_room(&self) -> Resources {
        let mut room = self.report.capacity;
        let lasting = self.booked.values().filter(|booked| booked.is_lasting);
        lasting.for_each(|booked| room.subtract(&booked.resources));
        room
    }

    /// Returns what must become free for the given resources, as the largest part of one
    /// of the worker's capacities, in permille.
    pub(crate) fn lacking_permille(&self, wanted: &Resources) -> u64 {
        let (used, capacity) = (&self.used, &self.report.capacity);
        let part = |used: u64, wanted: u64, capacity: u64| {
            (used + wanted).saturating_sub(capacity) * 1000 / capacity.max(1)
        };
        part(used.cpu_milli, wanted.cpu_milli, capacity.cpu_milli)
            .max(part(used.memory_mb, wanted.memory_mb, capacity.memory_mb))
            .max(part(
                used.accelerators,
                wanted.accelerators,
                capacity.accelerators,
            ))
    }

    /// Returns the number of booked tasks of a step.
    pub(crate) fn count_of_step(&self, step: StepId) -> usize {
        self.booked
            .range(step.task(0)..=step.task(u32::MAX))
            .count()
    }

    /// Returns whether the worker is in the given data centre; always true for
    /// `None`.
    pub(crate) fn is_in(&self, data_centre: Option<&str>) -> bool {
        data_centre.is_none_or(|name| self.report.data_centre == name)
    }

    /// Returns whether the present life has a label. It may be of another kind than the
    /// life before, whose registration does not count.
    pub(crate) fn has_label(&self, label: &str) -> bool {
        let (reported, present) = (self.report.started_unix_ms, self.life.started_unix_ms);
        let is_own_report = reported == 0 || present == 0 || reported == present;
        is_own_report && self.report.labels.iter().any(|own| own == label)
    }

    /// Returns the rack, which is the last label by the platform's convention.
    pub(crate) fn rack(&self) -> Option<&str> {
        self.report.labels.last().map(String::as_str)
    }
}
