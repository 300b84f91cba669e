//! The platform's list of instances, and the orders that are given to them.
//!
//! Every order ends what runs on the instance. Two schedulers must not take turns
//! with one, so that a new one reads which the last one has ordered.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use crate::{
    granted::LATE_ORDER,
    Instance,
    InstanceAction,
    InstanceAnswer,
    InstanceOrder,
    InstanceState,
    Scheduler,
    WorkerKey, //
};

/// Time after which a new worker is in the list of instances.
const LIST_LAG: Duration = Duration::from_millis(1500);

/// Lists in a row that do not show a worker before it counts as ended.
const LISTS_WITHOUT: u32 = 2;

/// Longest time for which a call of an earlier scheduler may be under way.
const ORDER_FLIGHT: Duration = Duration::from_millis(1500);

/// Pause before an order that was refused is given again.
pub(crate) const BUSY_PAUSE: Duration = Duration::from_millis(700);

/// What is known of an instance beside its entry in the list.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) instance: Instance,
    /// Order whose answer is awaited.
    pub(crate) ordered: Option<InstanceOrder>,
    /// Time until which an earlier order may still be carried out.
    pub(crate) late_until: Duration,
    /// Time of the last order that was carried out.
    pub(crate) done_at: Option<Duration>,
    /// Pools that the platform refused for it.
    pub(crate) refused_pools: BTreeSet<String>,
    /// Worker that has ended unless the last order had been carried out before;
    /// a list that was asked for since tells.
    pub(crate) may_have_ended: Option<WorkerKey>,
}

impl Scheduler {
    /// Notes the platform's list of instances, which was asked for at a time.
    pub fn on_instances(&mut self, list: Vec<Instance>, asked_at: Duration, now: Duration) {
        // An entry that cannot be read tells neither that its worker has ended nor
        // anything else.
        let as_known = |entry: Instance| match entry.state {
            InstanceState::Unknown => Some(self.instances.get(&entry.name)?.instance.clone()),
            _ => Some(entry),
        };
        let list: Vec<Instance> = list.into_iter().filter_map(as_known).collect();
        self.settle_ended_workers(&list, asked_at, now);
        self.end_unlisted_workers(&list, asked_at, now);
        let names: BTreeSet<String> = list.iter().map(|entry| entry.name.clone()).collect();
        for instance in list {
            let known = self.instances.get_mut(&instance.name);
            if let Some(known) = known {
                // An older list does not show what was ordered since.
                if known.ordered.is_none() && known.done_at.is_none_or(|at| at < asked_at) {
                    known.instance = instance;
                }
                continue;
            }
            let held_until = self.held_until.get(&instance.name).copied();
            let known = Known {
                instance,
                ordered: None,
                late_until: held_until.unwrap_or_default(),
                done_at: None,
                refused_pools: BTreeSet::new(),
                may_have_ended: None,
            };
            self.instances.insert(known.instance.name.clone(), known);
        }
        self.instances
            .retain(|name, known| names.contains(name) || known.ordered.is_some());
        self.has_instances = true;
    }

    /// Ends workers of instances that are in maintenance, and lets those go on
    /// whose instance had its maintenance before.
    fn settle_ended_workers(&mut self, list: &[Instance], asked_at: Duration, now: Duration) {
        for entry in list {
            let Some(known) = self.instances.get_mut(&entry.name) else {
                continue;
            };
            let (Some(key), Some(done_at)) = (known.may_have_ended, known.done_at) else {
                continue;
            };
            let Some(worker) = self.workers.get_mut(&key) else {
                known.may_have_ended = None;
                continue;
            };
            if asked_at <= done_at {
                continue;
            }
            let goes_on = entry.state == InstanceState::Up && entry.worker == worker.report.id;
            if !goes_on {
                known.may_have_ended = None;
                self.on_worker_ended(key, now);
            } else if asked_at > done_at + LIST_LAG {
                log::info!(instance = entry.name, worker = worker.report.id; "worker_goes_on");
                known.may_have_ended = None;
                worker.may_be_used_again();
            }
        }
    }

    /// Ends workers whose instance runs another one or none. A worker that is only
    /// cut off stays listed with its instance.
    fn end_unlisted_workers(&mut self, list: &[Instance], asked_at: Duration, now: Duration) {
        let listed: BTreeSet<&str> = list.iter().map(|entry| entry.worker.as_str()).collect();
        let mut ended = Vec::new();
        for instance in list
            .iter()
            .filter(|entry| entry.state == InstanceState::Down)
        {
            let known = self.instances.get(&instance.name);
            if let Some(known) = known.filter(|known| !known.instance.worker.is_empty()) {
                ended.extend(self.by_id.get(&known.instance.worker).copied());
            }
        }
        for (&key, worker) in &mut self.workers {
            if listed.contains(worker.report.id.as_str()) {
                worker.lists_without = 0;
            } else if asked_at > worker.known_since + LIST_LAG {
                worker.lists_without += 1;
                if worker.lists_without >= LISTS_WITHOUT {
                    ended.push(key);
                }
            }
        }
        for key in ended {
            let worker = self.workers.get(&key).filter(|worker| !worker.has_ended);
            if let Some(worker) = worker {
                log::info!(
                    worker = worker.report.id, runs = worker.booked.len() as u64;
                    "worker_has_no_instance"
                );
                self.on_worker_ended(key, now);
            }
        }
    }

    /// Returns until when orders of an earlier scheduler may still count.
    pub(crate) fn earlier_orders_until(&self) -> Duration {
        if self.limits.alternation_window.is_zero() {
            return self.started_at;
        }
        self.started_at + self.limits.alternation_window + ORDER_FLIGHT
    }

    /// Notes the instances that an earlier scheduler has given orders to lately.
    pub fn restore_ordered_instances(&mut self, instances: &[String]) {
        let until = self.earlier_orders_until();
        let held = instances.iter().map(|name| (name.clone(), until));
        self.held_until.extend(held);
    }

    /// Returns the instances whose orders a later scheduler has to know, so that
    /// the two do not take turns: those with an order that is open or may be
    /// carried out late, or that was given within a turn. The record must be stored before the orders are given.
    pub fn ordered_instances(&mut self, now: Duration) -> Vec<String> {
        let (instances, alternation_window) = (&self.instances, self.limits.alternation_window);
        self.ordered_at.retain(|name, at| {
            let known = instances.get(name);
            let is_open = |known: &Known| known.ordered.is_some() || now < known.late_until;
            known.is_some_and(is_open) || now < *at + alternation_window
        });
        // What an earlier scheduler ordered is held here, and by the next one too.
        let held = self.held_until.iter().filter(|(_, until)| now < **until);
        let held = held.map(|(name, _)| name.clone());
        let names: BTreeSet<String> = self.ordered_at.keys().cloned().chain(held).collect();
        names.into_iter().collect()
    }

    /// Returns the orders to instances that are due.
    pub fn plan_instances(&mut self, now: Duration, unix: Duration) -> Vec<InstanceOrder> {
        self.follow_waves(unix);
        if !self.has_instances {
            return Vec::new();
        }
        let mut orders = Vec::new();
        let numbers: Vec<u64> = self.waves.keys().copied().collect();
        for number in numbers {
            self.plan_wave(number, &mut orders, now, unix);
        }
        self.plan_moves(&mut orders, now);
        for order in &orders {
            self.ordered_at.insert(order.instance.clone(), now);
        }
        orders
    }

    pub(crate) fn worker_of(&self, name: &str) -> Option<WorkerKey> {
        let id = &self.instances.get(name)?.instance.worker;
        self.by_id.get(id).copied()
    }

    pub(crate) fn is_standby(&self, pool: &str) -> bool {
        self.configuration
            .pools
            .get(pool)
            .is_some_and(|pool| pool.is_standby)
    }

    /// Keeps new tasks away from an instance, or allows them again.
    pub(crate) fn reserve(&mut self, name: &str, is_reserved: bool) {
        let key = self.worker_of(name);
        if let Some(worker) = key.and_then(|key| self.workers.get_mut(&key)) {
            worker.reserved = is_reserved;
        }
    }

    pub(crate) fn note_ordered(&mut self, order: &InstanceOrder) {
        if let Some(known) = self.instances.get_mut(&order.instance) {
            known.ordered = Some(order.clone());
        }
        let key = self.worker_of(&order.instance);
        if let Some(worker) = key.and_then(|key| self.workers.get_mut(&key)) {
            worker.is_ending = true;
        }
        log::info!(instance = order.instance, action:? = order.action; "instance_ordered");
    }

    /// Notes the answer to an order; returns whether it is to be given again.
    pub fn on_instance_answer(
        &mut self,
        order: &InstanceOrder,
        answer: InstanceAnswer,
        now: Duration,
    ) -> bool {
        let name = &order.instance;
        log::info!(instance = name, action:? = order.action, answer:?; "instance_answered");
        self.ordered_at.insert(name.clone(), now);
        if answer == InstanceAnswer::None {
            if let Some(known) = self.instances.get_mut(name) {
                known.late_until = now + LATE_ORDER;
            }
            return true;
        }
        if answer == InstanceAnswer::Later {
            return true;
        }
        let key = self.worker_of(name);
        let alternation_window = self.limits.alternation_window;
        let late_until = self
            .instances
            .get(name)
            .map_or(now, |known| known.late_until);
        let was_unanswered = now < late_until;
        if let Some(known) = self.instances.get_mut(name) {
            known.ordered = None;
            if answer == InstanceAnswer::Done {
                known.done_at = Some(now);
                match &order.action {
                    InstanceAction::Move { pool } => {
                        known.instance.state = InstanceState::Moving;
                        known.instance.pool.clone_from(pool);
                    }
                    InstanceAction::Maintain { .. } => {
                        known.instance.state = InstanceState::Maintenance;
                        // An earlier scheduler may have had it done, in an
                        // earlier life of the worker.
                        known.may_have_ended = key;
                    }
                }
                known.instance.worker.clear();
            } else {
                // Not again at once, and never if it cannot be there.
                known.late_until = known
                    .late_until
                    .max(now + alternation_window.min(BUSY_PAUSE));
                if let (InstanceAnswer::Refused, InstanceAction::Move { pool }) =
                    (answer, &order.action)
                {
                    known.refused_pools.insert(pool.clone());
                }
            }
        }
        match (answer, &order.action) {
            (InstanceAnswer::Done, InstanceAction::Maintain { .. }) => {}
            (InstanceAnswer::Done, InstanceAction::Move { .. }) => {
                if let Some(key) = key {
                    self.on_worker_ended(key, now);
                }
            }
            _ => {
                if let Some(worker) = key.and_then(|key| self.workers.get_mut(&key)) {
                    worker.may_be_used_again();
                }
            }
        }
        if let InstanceAction::Maintain { wave } = order.action {
            let unanswered_until = was_unanswered.then_some(late_until);
            self.on_maintenance_answer(wave, name, answer, unanswered_until, now);
        }
        false
    }
}
