//! Moves of instances between pools.
//!
//! Load pattern: queues have bursts at different times. During a burst, which lasts
//! for some seconds, a queue needs several times its mean and more than its pool
//! holds; between bursts it needs almost nothing. Idle instances are moved to where
//! the demand is. Instances that no pool needs are switched off in the standby
//! pool, because each second of an instance in any other pool costs money.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    InstanceAction,
    InstanceOrder,
    InstanceState,
    Scheduler, //
};

/// Instances that a pool keeps while it is idle, in percent of an equal share of
/// all instances. They serve the start of the next burst until others arrive.
const RESERVE_PERCENT: usize = 25;

/// Time for which an instance must be idle before it is switched off. The two moves
/// cost as much as about 2.3 s in a pool.
const IDLE_BEFORE_SWITCH_OFF: Duration = Duration::from_millis(2500);

/// Time for which an instance must be idle before it is moved to another active
/// pool.
const IDLE_BEFORE_REASSIGNMENT: Duration = Duration::from_millis(400);

/// Maximum time for which an instance counts as arriving after its move was
/// executed.
const MAX_ARRIVAL_TIME: Duration = Duration::from_secs(5);

/// Supply and demand of a pool.
#[derive(Debug, Default)]
struct PoolBalance {
    /// Number of instances that are up.
    up: usize,
    /// Processor time of arriving instances, in millicores.
    arriving_milli: u64,
    /// Processor time of the instances that are up, in millicores.
    capacity_milli: u64,
    /// Processor time that waiting tasks request, in millicores.
    waiting_milli: u64,
    /// Processor time of long-running tasks, in millicores.
    lasting_milli: u64,
    /// Processor time that arriving jobs need at their current rate, in millicores.
    arrivals_milli: u64,
    /// Idle instances and since when they are idle, longest idle first.
    idle: Vec<(Duration, String)>,
    /// Idle instances in excluded data centres.
    idle_excluded: Vec<(Duration, String)>,
}

impl Scheduler {
    /// Plans moves of idle instances.
    pub(crate) fn plan_moves(&mut self, orders: &mut Vec<InstanceOrder>, now: Duration) {
        self.update_idle_since(now);
        let mut balances = self.balances(now);
        let standby: Vec<String> = balances
            .keys()
            .filter(|pool| self.is_standby(pool))
            .cloned()
            .collect();
        let mut shortfalls: Vec<(u64, String)> = balances
            .iter()
            .filter(|(pool, _)| !self.is_standby(pool))
            .map(|(pool, balance)| (shortfall_milli(balance), pool.clone()))
            .filter(|(wanted, _)| *wanted > 0)
            .collect();
        shortfalls.sort_unstable_by(|a, b| b.cmp(a));
        for (mut wanted, pool) in shortfalls {
            while wanted > 0 {
                let Some((name, cpu_milli)) = self.take_idle(&mut balances, &pool, now) else {
                    break;
                };
                wanted = wanted.saturating_sub(cpu_milli);
                self.order_move(&name, &pool, orders);
            }
        }
        let Some(standby_pool) = standby.first() else {
            return;
        };
        self.switch_off(&mut balances, standby_pool, orders, now);
    }

    /// Switches off instances that have been idle long enough, except for each
    /// pool's reserve.
    fn switch_off(
        &mut self,
        balances: &mut BTreeMap<String, PoolBalance>,
        standby_pool: &str,
        orders: &mut Vec<InstanceOrder>,
        now: Duration,
    ) {
        for (pool, balance) in balances {
            if self.is_standby(pool) {
                continue;
            }
            for (since, name) in std::mem::take(&mut balance.idle_excluded) {
                if now >= since + IDLE_BEFORE_SWITCH_OFF {
                    self.order_move(&name, standby_pool, orders);
                }
            }
            if balance.waiting_milli > 0 {
                continue;
            }
            let mut spare = balance.up.saturating_sub(self.reserve_size());
            for (since, name) in std::mem::take(&mut balance.idle) {
                if spare == 0 || now < since + IDLE_BEFORE_SWITCH_OFF {
                    break;
                }
                spare -= 1;
                self.order_move(&name, standby_pool, orders);
            }
        }
    }

    /// Returns the number of instances that each pool keeps. The reserve is not
    /// based on the pools' current sizes, because these follow the bursts.
    fn reserve_size(&self) -> usize {
        let is_used = |pool: &&String| !self.is_standby(pool);
        let pools = self.configuration.pools.keys().filter(is_used).count();
        let share = self.instances.len() / pools.max(1);
        (share * RESERVE_PERCENT / 100).max(1)
    }

    /// Takes an idle instance for a pool: from the active pool with the most spare
    /// instances, or from a standby pool if no active pool has one. Pools give up
    /// their reserves only for waiting tasks, not for expected ones.
    fn take_idle(
        &self,
        balances: &mut BTreeMap<String, PoolBalance>,
        destination: &str,
        now: Duration,
    ) -> Option<(String, u64)> {
        let has_backlog = balances.get(destination)?.waiting_milli > 0;
        let reserve = if has_backlog { 1 } else { self.reserve_size() };
        let mut best: Option<(bool, usize, String)> = None;
        for (pool, balance) in balances.iter() {
            if pool == destination {
                continue;
            }
            let is_standby = self.is_standby(pool);
            let spare = if is_standby {
                balance.idle.len()
            } else {
                // Tasks that wait although instances are idle must be waiting for
                // something other than resources. Enough instances for them are
                // kept.
                let per_instance_milli = (balance.capacity_milli / balance.up.max(1) as u64).max(1);
                let kept = balance.waiting_milli.div_ceil(per_instance_milli) as usize;
                let unneeded = balance.idle.len().saturating_sub(kept);
                unneeded.min(balance.up.saturating_sub(reserve))
            };
            let is_ready = balance.idle.iter().any(|(since, name)| {
                (is_standby || now >= *since + IDLE_BEFORE_REASSIGNMENT)
                    && !self.instances[name].refused_pools.contains(destination)
            });
            let key = (!is_standby, spare, pool.clone());
            if spare > 0 && is_ready && best.as_ref().is_none_or(|best| key > *best) {
                best = Some(key);
            }
        }
        let (_, _, pool) = best?;
        let balance = balances.get_mut(&pool)?;
        let position = balance
            .idle
            .iter()
            .position(|(_, name)| !self.instances[name].refused_pools.contains(destination))?;
        let (_, name) = balance.idle.remove(position);
        balance.up = balance.up.saturating_sub(1);
        let cpu_milli = self.instances[&name].instance.capacity.cpu_milli.max(1);
        Some((name, cpu_milli))
    }

    fn order_move(&mut self, name: &str, pool: &str, orders: &mut Vec<InstanceOrder>) {
        let order = InstanceOrder {
            instance: name.to_owned(),
            action: InstanceAction::Move {
                pool: pool.to_owned(),
            },
        };
        self.set_cordoned(name, true);
        self.note_ordered(&order);
        orders.push(order);
    }

    /// Updates the time since which each instance is idle.
    fn update_idle_since(&mut self, now: Duration) {
        for (name, known) in &self.instances {
            let worker = self
                .by_id
                .get(&known.instance.worker)
                .and_then(|key| self.workers.get(key));
            let is_idle = match worker {
                Some(worker) => {
                    worker.booked.is_empty() && worker.life.is_known && !worker.is_cordoned
                }
                None => false,
            };
            if is_idle {
                self.idle_since.entry(name.clone()).or_insert(now);
            } else {
                self.idle_since.remove(name);
            }
        }
        let instances = &self.instances;
        self.idle_since
            .retain(|name, _| instances.contains_key(name));
    }

    fn balances(&mut self, now: Duration) -> BTreeMap<String, PoolBalance> {
        let mut balances: BTreeMap<String, PoolBalance> = BTreeMap::new();
        for pool in self.configuration.pools.keys() {
            let arrivals = self.arrivals.get_mut(pool);
            let balance = PoolBalance {
                arrivals_milli: arrivals.map_or(0, |arrivals| arrivals.rate_milli(now)),
                ..PoolBalance::default()
            };
            balances.insert(pool.clone(), balance);
        }
        for (name, known) in &self.instances {
            let instance = &known.instance;
            let Some(balance) = balances.get_mut(&instance.pool) else {
                continue;
            };
            let cpu_milli = instance.capacity.cpu_milli;
            if self
                .operator_requests
                .excluded_data_centres
                .contains(&instance.data_centre)
            {
                // An instance in an excluded data centre gets no tasks, so it is of
                // no use to any pool.
                if let Some(since) = self.idle_since.get(name) {
                    if known.ordered.is_none() && now >= known.late_until {
                        balance.idle_excluded.push((*since, name.clone()));
                    }
                }
                continue;
            }
            if let Some(order) = &known.ordered {
                // A move in flight counts towards the destination pool.
                if let InstanceAction::Move { pool } = &order.action {
                    if let Some(target) = balances.get_mut(pool) {
                        target.arriving_milli += cpu_milli;
                    }
                }
                continue;
            }
            let worker = self.worker_of(name).map(|key| &self.workers[&key]);
            let has_worker = worker.is_some_and(|worker| worker.life.is_known);
            let is_recent = known.done_at.is_some_and(|at| now < at + MAX_ARRIVAL_TIME);
            let is_standby = self.is_standby(&instance.pool);
            if is_standby {
                if instance.state == InstanceState::Up && now >= known.late_until {
                    balance.idle.push((Duration::ZERO, name.clone()));
                }
            } else if has_worker {
                balance.up += 1;
                balance.capacity_milli += cpu_milli;
                let booked = worker.into_iter().flat_map(|worker| worker.booked.values());
                let lasting = booked.filter(|booked| booked.is_lasting);
                balance.lasting_milli += lasting
                    .map(|booked| booked.resources.cpu_milli)
                    .sum::<u64>();
                if let Some(since) = self.idle_since.get(name) {
                    if now >= known.late_until && instance.state == InstanceState::Up {
                        balance.idle.push((*since, name.clone()));
                    }
                }
            } else if is_recent {
                balance.arriving_milli += cpu_milli;
            }
        }
        for balance in balances.values_mut() {
            balance.idle.sort_unstable();
        }
        for (pool, balance) in &mut balances {
            balance.waiting_milli = self.waiting_milli(pool);
        }
        balances
    }

    /// Returns the processor time that the waiting tasks of a pool request, in
    /// millicores, without those that the caps of their workspaces hold back.
    pub(crate) fn waiting_milli(&self, pool: &str) -> u64 {
        let mut waiting_milli = 0;
        for id in self.ready.get(pool).into_iter().flatten() {
            let Some(job) = self.jobs.get(&id.job).filter(|job| job.is_open()) else {
                continue;
            };
            let step = &job.spec.steps[id.step as usize];
            if !self.is_within_cap(job.spec.workspace.as_deref(), &step.counted_resources()) {
                continue;
            }
            let Some(occurrence) = job.occurrences.get(&id.occurrence) else {
                continue;
            };
            let tasks = &occurrence.steps[id.step as usize].tasks;
            waiting_milli += tasks.waiting() as u64 * step.resources.cpu_milli;
        }
        waiting_milli
    }
}

/// Returns the processor time that a pool needs, for waiting tasks or for expected
/// arrivals, beyond what it has or is about to get.
fn shortfall_milli(balance: &PoolBalance) -> u64 {
    let needed = balance.lasting_milli + balance.arrivals_milli;
    let expected = needed.saturating_sub(balance.capacity_milli);
    let wanted = balance.waiting_milli.max(expected);
    wanted.saturating_sub(balance.arriving_milli)
}
