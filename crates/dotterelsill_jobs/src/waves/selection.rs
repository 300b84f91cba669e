//! Choice of the instances that a wave drains next.

use std::{
    cmp::Reverse,
    collections::BTreeSet,
    time::Duration, //
};

use super::{
    Stage,
    WaveState, //
};
use crate::{
    instance_orders::KnownInstance,
    unread_places::UnreadPlaces,
    InstanceState,
    Scheduler, //
};

/// Part of a wave's duration, in percent, within which the maintenance is planned;
/// the rest is a reserve for faults.
const WAVE_TIME_PERCENT: u32 = 60;

/// Time from the start of draining one instance to its return to service.
const MAINTENANCE_CYCLE: Duration = Duration::from_millis(5500);

/// Maximum time for which an instance waits for its short tasks to end. After that
/// the maintenance stops them.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(3000);

/// Maximum part of a pool's instances, in percent, that may be unavailable because
/// of a wave, unless time is running out.
const MAX_UNAVAILABLE_PERCENT: usize = 34;

impl Scheduler {
    /// Starts draining instances: those with long-running tasks as early as the budgets of
    /// their steps allow, and as many others as are needed to finish the wave on time.
    pub(super) fn drain_more(&mut self, state: &mut WaveState, now: Duration, unix: Duration) {
        let is_waiting =
            |stage: &Stage| matches!(stage, Stage::Waiting { not_before } if *not_before <= now);
        let mut waiting: Vec<String> = state
            .stages
            .iter()
            .filter(|(name, stage)| is_waiting(stage) && self.instances.contains_key(*name))
            .map(|(name, _)| name.clone())
            .collect();
        state.deferred = 0;
        if waiting.is_empty() {
            return;
        }
        let planned = state.wave.duration * WAVE_TIME_PERCENT / 100;
        let left = (state.started_unix + planned).saturating_sub(unix);
        let rounds = (left.as_millis() / MAINTENANCE_CYCLE.as_millis()).max(1) as usize;
        let is_busy = |stage: &&Stage| !matches!(stage, Stage::Waiting { .. } | Stage::Done);
        let mut busy = state.stages.values().filter(is_busy).count();
        let wanted = (waiting.len() + busy).div_ceil(rounds);
        let most = wanted.min(state.wave.cap as usize).max(1);
        let short = self.short_pools(now);
        let may_defer = left > self.time_needed(state, &short);
        waiting.retain(|name| self.is_drainable(name, now));
        let is_budgeted = |name: &String| !self.budgeted_on(name).is_empty();
        let (mut budgeted, mut others): (Vec<String>, Vec<String>) =
            waiting.into_iter().partition(is_budgeted);
        // The largest first, as the smaller ones fit into what is left of the budgets.
        budgeted.sort_by_cached_key(|name| Reverse(self.eviction_cost(name)));
        let is_urgent = left <= self.budgeted_time(state);
        for name in budgeted {
            let pool = &self.instances[&name].instance.pool;
            let may_drain = is_urgent
                || busy < most && !short.contains(pool) && self.pool_can_spare(pool, state);
            if may_drain && self.has_budget_beside_draining(&name, state) {
                self.drain(&name, state, now);
                busy += 1;
            }
        }
        // Instances of pools that lack capacity last, else the cheapest first: those that
        // are switched off, then idle ones.
        let is_short = |name: &String| short.contains(&self.instances[name].instance.pool);
        others.sort_by_cached_key(|name| (is_short(name), self.eviction_cost(name)));
        if may_defer {
            let undeferred = others.partition_point(|name| !is_short(name));
            state.deferred = others.len() - undeferred;
            others.truncate(undeferred);
        }
        for name in others {
            let pool = &self.instances[&name].instance.pool;
            if busy >= most {
                return;
            }
            if left.is_zero() || self.pool_can_spare(pool, state) {
                self.drain(&name, state, now);
                busy += 1;
            }
        }
    }

    /// Returns the pools whose waiting tasks need more than the free capacity of their
    /// workers.
    fn short_pools(&self, now: Duration) -> BTreeSet<String> {
        let is_short = |pool: &&String| {
            let candidates = self.candidates_of(pool, now);
            let free = candidates.list().iter().map(|worker| worker.free.cpu_milli);
            !self.is_standby(pool) && self.waiting_milli(pool) > free.sum()
        };
        let pools = self.configuration.pools.keys();
        pools.filter(is_short).cloned().collect()
    }

    /// Returns the time until the last maintenance begins if each of the pools is drained
    /// with as many instances at once as it can spare, and the wave with as many as its
    /// cap allows.
    fn time_needed(&self, state: &WaveState, pools: &BTreeSet<String>) -> Duration {
        let is_waiting = |(name, stage): &(&String, &Stage)| {
            matches!(stage, Stage::Waiting { .. } | Stage::Draining { .. })
                && self.instances.contains_key(*name)
        };
        let waiting: Vec<&String> = state
            .stages
            .iter()
            .filter(is_waiting)
            .map(|(name, _)| name)
            .collect();
        let cycles = |count: usize, at_once: usize| count as f64 / at_once.max(1) as f64;
        let of_pool = |pool: &String| {
            let waiting = waiting
                .iter()
                .filter(|name| self.instances[**name].instance.pool == *pool);
            cycles(waiting.count(), self.spare_count(pool))
        };
        let of_all = cycles(waiting.len(), state.wave.cap as usize);
        let cycles = pools.iter().map(of_pool).fold(of_all, f64::max);
        MAINTENANCE_CYCLE.mul_f64((cycles - 1.0).max(0.0)) + MAX_DRAIN_TIME
    }

    fn is_drainable(&self, name: &str, now: Duration) -> bool {
        let known = &self.instances[name];
        known.ordered.is_none()
            && now >= known.late_until
            && known.instance.state == InstanceState::Up
            && self.may_drain(name, now)
    }

    fn drain(&mut self, name: &str, state: &mut WaveState, now: Duration) {
        self.set_cordoned(name, true);
        log::info!(instance = name, wave = state.wave.number; "instance_draining");
        let stage = Stage::Draining {
            since: now,
            wait_until: now + MAX_DRAIN_TIME,
        };
        state.stages.insert(name.to_owned(), stage);
    }

    /// Returns whether a pool can spare another instance for a wave.
    fn pool_can_spare(&self, pool: &str, state: &WaveState) -> bool {
        if self.is_standby(pool) {
            return true;
        }
        let is_unavailable = |(name, stage): &(&String, &Stage)| {
            let is_busy = !matches!(stage, Stage::Waiting { .. } | Stage::Done);
            let known = self.instances.get(*name);
            is_busy && known.is_some_and(|known| known.instance.pool == pool)
        };
        let unavailable = state.stages.iter().filter(is_unavailable).count();
        unavailable < self.spare_count(pool)
    }

    /// Returns the number of instances that a pool can spare for a wave at once.
    fn spare_count(&self, pool: &str) -> usize {
        let of_pool = |known: &&KnownInstance| known.instance.pool == pool;
        let all = self.instances.values().filter(of_pool).count();
        (all * MAX_UNAVAILABLE_PERCENT / 100).max(1)
    }

    /// Returns the cost of ending the runs of an instance. It is the highest if an earlier
    /// scheduler may have started any that were not seen.
    pub(super) fn eviction_cost(&self, name: &str) -> (bool, usize, u64) {
        let Some(key) = self.worker_of(name) else {
            return (false, 0, 0);
        };
        let worker = &self.workers[&key];
        if worker.may_have_unseen_runs() {
            return (true, usize::MAX, u64::MAX);
        }
        let lasting = worker.booked.values().filter(|run| run.is_lasting).count();
        (true, lasting, worker.used.cpu_milli)
    }

    /// Returns whether an instance may be drained. While stops of an earlier scheduler
    /// may still end long-running tasks that appear to be available, no other
    /// long-running tasks are ended; the instance must be known to run none. Tasks that
    /// its orders to instances may end do not count as available. An instance whose
    /// status was not read may run long-running tasks that have a disruption budget.
    pub(super) fn may_drain(&self, name: &str, now: Duration) -> bool {
        if self.may_run_budgeted_unseen(name, now) {
            return false;
        }
        if now >= self.earlier_stops_until() {
            return true;
        }
        let has_worker = |known: &KnownInstance| !known.instance.worker.is_empty();
        if !self.instances.get(name).is_some_and(has_worker) {
            return true;
        }
        self.worker_of(name)
            .is_some_and(|key| self.workers[&key].life.is_known && self.lasting_on(key).is_empty())
    }

    /// Returns whether an earlier scheduler may have started long-running tasks with a
    /// disruption budget on an instance, and no status has shown them.
    fn may_run_budgeted_unseen(&self, name: &str, now: Duration) -> bool {
        let worker = self.worker_of(name).map(|key| &self.workers[&key]);
        let Some(worker) = worker.filter(|worker| self.may_run_unseen(worker, now)) else {
            return false;
        };
        let place = UnreadPlaces::of(worker);
        self.jobs.values().any(|job| {
            job.is_open() && job.is_restored && job.may_run_at(&place) && job.has_waiting_budgeted()
        })
    }
}
