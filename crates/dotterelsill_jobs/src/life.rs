//! One life of a worker: the process that holds the worker's identifier.
//!
//! A worker that restarts under its identifier gets a new [`Life`], so that nothing
//! that is known of the earlier one is applied to the later one.

use std::{
    collections::{
        BTreeSet,
        VecDeque, //
    },
    time::Duration, //
};

use crate::{
    granted::MAX_ORDER_DELAY,
    health::Health,
    run_times::WorkerSpeed,
    JobId,
    TaskId, //
};

/// Bound on the rate by which a worker's clock may run slow, as a divisor: 50
/// stands for 2%.
const SLOW_CLOCK_DIVISOR: u32 = 50;

/// Additional time before a lease counts as lapsed, for the worker to end its runs.
const LAPSE_MARGIN: Duration = Duration::from_millis(150);

/// Maximum delay until the platform's list of instances shows a change.
pub(crate) const LIST_LAG: Duration = Duration::from_millis(1500);

/// A reading of the worker's clock, with the scheduler's times around it.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    worker_ms: u64,
    /// Time at which the request was sent whose response carried the reading.
    sent_at: Duration,
    /// Time at which the response arrived.
    read_at: Duration,
}

impl ClockReading {
    /// Returns the least time that the worker's clock may show now.
    fn min_worker_time(&self, now: Duration) -> Duration {
        let passed = now.saturating_sub(self.read_at);
        let min_passed = passed - passed / SLOW_CLOCK_DIVISOR;
        Duration::from_millis(self.worker_ms) + min_passed
    }
}

/// What decides whether a worker's lease has lapsed, for the logs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseReading {
    /// Lower bound of the worker's clock; `None` if it was never read.
    pub(crate) worker_ms: Option<u64>,
    /// End of the latest lease granted by this scheduler, on the worker's clock.
    pub(crate) granted_until_ms: u64,
    /// Latest end of a lease that another scheduler may have granted.
    pub(crate) foreign_until_ms: u64,
}

/// A reported end that is acknowledged once its effect on the job is stored.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingEnd {
    pub(crate) number: u64,
    pub(crate) job: JobId,
    /// Number of the job's progress change that must be stored first.
    pub(crate) change: u64,
    /// Task that is done, if it may have copies. The end is acknowledged once no start of
    /// another run can be carried out any more.
    pub(crate) copied: Option<TaskId>,
    /// Task and attempt of the run. The end is acknowledged once no later life can carry out
    /// its start any more.
    pub(crate) run: (TaskId, u64),
}

/// What the scheduler knows of one life.
#[derive(Debug)]
pub(crate) struct Life {
    /// Start time, in milliseconds since the Unix epoch; 0 if not known.
    pub(crate) started_unix_ms: u64,
    /// Time at which the scheduler learned of the life.
    pub(crate) since: Duration,
    /// Time at which the life was found to have ended.
    ended_at: Option<Duration>,
    /// Whether a status was read under this scheduler's fencing token.
    pub(crate) is_known: bool,
    /// Processed ends that may not be acknowledged yet, by their numbers.
    pub(crate) pending_ends: VecDeque<PendingEnd>,
    /// Highest number up to which all ends were processed.
    pub(crate) processed_end: u64,
    /// Processed ends above that number: those after an end that could not be read.
    processed_later: BTreeSet<u64>,
    /// Lowest number of an end in the last status that could not be read.
    unreadable_end: Option<u64>,
    /// Highest number of an end that may be acknowledged.
    pub(crate) acknowledged_end: u64,
    /// Highest number of an end whose acknowledgement was sent, for the logs.
    pub(crate) sent_acknowledgement: u64,
    pub(crate) health: Health,
    pub(crate) speed: WorkerSpeed,
    /// Whether the life leaves connections open after its answers.
    pub(crate) keeps_connections: bool,
    /// Number of consecutive instance lists that did not contain the worker.
    pub(crate) missed_lists: u32,
    clock: Option<ClockReading>,
    /// End of the latest lease granted by this scheduler, on the worker's clock.
    granted_until_ms: u64,
    /// Latest end of a lease that another scheduler may have granted. It is never
    /// sent to the worker, because an order must not extend it.
    foreign_until_ms: u64,
    /// Time until which a lease may last that an order meant for an earlier life has
    /// granted, as long as no status was read.
    unread_until: Duration,
    /// Time until which orders that were meant for an earlier life may be executed.
    late_orders_until: Duration,
}

impl Life {
    pub(crate) fn new(started_unix_ms: u64, since: Duration) -> Self {
        Self {
            started_unix_ms,
            since,
            ended_at: None,
            is_known: false,
            pending_ends: VecDeque::new(),
            processed_end: 0,
            processed_later: BTreeSet::new(),
            unreadable_end: None,
            acknowledged_end: 0,
            sent_acknowledgement: 0,
            health: Health::default(),
            speed: WorkerSpeed::default(),
            keeps_connections: true,
            missed_lists: 0,
            clock: None,
            granted_until_ms: 0,
            foreign_until_ms: 0,
            unread_until: Duration::ZERO,
            late_orders_until: Duration::ZERO,
        }
    }

    /// Creates a life that follows another one. Orders for the earlier one may reach
    /// it, and grant leases of at most `longest`.
    pub(crate) fn successor(started_unix_ms: u64, longest: Duration, now: Duration) -> Self {
        Self {
            unread_until: now + longest,
            late_orders_until: now + MAX_ORDER_DELAY,
            ..Self::new(started_unix_ms, now)
        }
    }

    /// Returns whether a list of instances tells about this life. One that was
    /// requested earlier may show what was so before the life began.
    pub(crate) fn is_shown_by_list(&self, requested_at: Duration, is_silent: bool) -> bool {
        // Restored jobs wait for a worker that was not read since a takeover. Its end is
        // believed sooner if it does not answer either.
        let lag = if is_silent && !self.is_known {
            Duration::ZERO
        } else {
            LIST_LAG
        };
        requested_at > self.since + lag
    }

    /// Records that the life, and with it every run, has ended.
    pub(crate) fn end(&mut self, now: Duration) {
        self.ended_at = Some(now);
    }

    /// Returns the time at which the life was found to have ended.
    pub(crate) fn ended_at(&self) -> Option<Duration> {
        self.ended_at
    }

    /// Returns the time at which the worker's clock was last read.
    pub(crate) fn clock_read_at(&self) -> Option<Duration> {
        self.clock.map(|clock| clock.read_at)
    }

    /// Returns what decides whether the lease has lapsed.
    pub(crate) fn lease_reading(&self, now: Duration) -> LeaseReading {
        LeaseReading {
            worker_ms: self
                .clock
                .map(|clock| clock.min_worker_time(now).as_millis() as u64),
            granted_until_ms: self.granted_until_ms,
            foreign_until_ms: self.foreign_until_ms,
        }
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.ended_at.is_some()
    }

    /// Leaves lists of instances that were requested until now out of account, as the
    /// life may just have begun.
    pub(crate) fn drop_earlier_evidence(&mut self, now: Duration) {
        self.since = now;
        self.missed_lists = 0;
    }

    /// Handles a status for which the worker was asked at `sent_at`. One that was asked
    /// for after the life was found to have ended proves that it goes on; an earlier one
    /// no longer counts. Returns whether the life goes on.
    pub(crate) fn on_status_answered(&mut self, sent_at: Duration, now: Duration) -> bool {
        if self.ended_at.is_some_and(|ended_at| sent_at > ended_at) {
            self.ended_at = None;
            self.drop_earlier_evidence(now);
        }
        !self.has_ended()
    }

    /// Returns whether an end with a number was processed.
    pub(crate) fn is_processed(&self, number: u64) -> bool {
        number <= self.processed_end || self.processed_later.contains(&number)
    }

    /// Records that an end is processed. Ends are listed in the order of their numbers.
    pub(crate) fn on_end_processed(&mut self, end: PendingEnd) {
        if self.unreadable_end.is_some_and(|first| end.number >= first) {
            self.processed_later.insert(end.number);
        } else {
            self.processed_end = end.number;
        }
        let position = self
            .pending_ends
            .partition_point(|pending| pending.number < end.number);
        self.pending_ends.insert(position, end);
    }

    /// Sets the lowest number of an end that could not be read in the status that is
    /// processed next.
    pub(crate) fn set_unreadable_end(&mut self, number: Option<u64>) {
        self.unreadable_end = number;
    }

    /// Handles that all ends of a status were processed.
    pub(crate) fn on_ends_processed(&mut self) {
        if self.unreadable_end.is_none() {
            let last = self.processed_later.pop_last();
            self.processed_later.clear();
            self.processed_end = self.processed_end.max(last.unwrap_or_default());
        }
    }

    /// Returns whether an end that is stored may be acknowledged. With it the worker
    /// discards all ends before, of which one could not be read.
    pub(crate) fn may_acknowledge(&self, number: u64) -> bool {
        self.unreadable_end.is_none_or(|first| number < first)
    }

    /// Returns whether a reading of the worker's clock is that of another life: the clock of
    /// one life does not go back, and each life starts it anew.
    pub(crate) fn is_clock_of_another(&self, worker_ms: u64, sent_at: Duration) -> bool {
        let is_back = |clock: ClockReading| sent_at >= clock.read_at && worker_ms < clock.worker_ms;
        self.clock.is_some_and(is_back)
    }

    /// Records the worker's clock as carried by a response.
    pub(crate) fn on_clock(&mut self, worker_ms: u64, sent_at: Duration, read_at: Duration) {
        let is_newer = |clock: ClockReading| sent_at >= clock.sent_at;
        if self.clock.is_none_or(is_newer) {
            self.clock = Some(ClockReading {
                worker_ms,
                sent_at,
                read_at,
            });
        }
    }

    /// Handles a status that was read. An order for an earlier life may have reached this
    /// one and granted it a lease by the clock of that life.
    pub(crate) fn on_status_read(&mut self, longest: Duration, read_at: Duration) {
        if !self.unread_until.is_zero() || read_at < self.late_orders_until {
            self.unread_until = Duration::ZERO;
            self.note_foreign_lease(longest);
        }
    }

    /// Grants a lease that starts now and returns its end on the worker's clock.
    pub(crate) fn grant(&mut self, lease: Duration, now: Duration) -> Option<u64> {
        let clock = self.clock?;
        let passed = now.saturating_sub(clock.read_at);
        // The worker's clock has advanced by at least this much, so the lease is
        // never longer than requested.
        let min_passed = passed - passed / SLOW_CLOCK_DIVISOR;
        let lasts_ms = (min_passed + lease).as_millis() as u64;
        let until_ms = clock.worker_ms.saturating_add(lasts_ms);
        self.granted_until_ms = self.granted_until_ms.max(until_ms);
        Some(self.granted_until_ms)
    }

    /// Accounts for a run under a lease that another scheduler granted, for at most
    /// `longest` from the last clock reading.
    pub(crate) fn note_foreign_lease(&mut self, longest: Duration) {
        if let Some(clock) = self.clock {
            let until_ms = clock.worker_ms.saturating_add(longest.as_millis() as u64);
            self.foreign_until_ms = self.foreign_until_ms.max(until_ms);
        }
    }

    /// Returns the end of the granted lease, on the worker's clock.
    pub(crate) fn granted(&self) -> Option<u64> {
        (self.granted_until_ms > 0).then_some(self.granted_until_ms)
    }

    /// Returns whether the lease, and with it every run, has certainly ended, given
    /// the time until which leases of earlier schedulers may last.
    pub(crate) fn has_lapsed(&self, unknown_until: Duration, now: Duration) -> bool {
        if self.has_ended() {
            return true;
        }
        let Some(clock) = self.clock else {
            return now >= unknown_until.max(self.unread_until);
        };
        let lower = clock.min_worker_time(now);
        let until_ms = self.granted_until_ms.max(self.foreign_until_ms);
        let is_over = lower > Duration::from_millis(until_ms) + LAPSE_MARGIN;
        is_over && now >= unknown_until
    }
}
