//! The platform's list of instances, and orders to instances.
//!
//! Every order ends what runs on the instance. Two schedulers must not give
//! alternating orders to the same instance, so a new scheduler reads which
//! instances the previous one has given orders to.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use crate::{
    given_up::{
        Evidence,
        GivenUpReason, //
    },
    granted::MAX_ORDER_DELAY,
    life::LIST_LAG,
    Instance,
    InstanceAction,
    InstanceAnswer,
    InstanceOrder,
    InstanceState,
    Scheduler,
    WorkerKey, //
};

/// Number of consecutive lists without a worker after which it counts as ended.
const MAX_MISSED_LISTS: u32 = 2;

/// Maximum time for which a call of an earlier scheduler may be in flight.
const MAX_CALL_TIME: Duration = Duration::from_millis(1500);

/// Interval between lists while one more could show that a worker has ended on which an
/// earlier scheduler may have started tasks.
const SHORT_LIST_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between lists otherwise; each listing costs a call.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time from the arrival of a stop at a worker to the end of the run.
pub(crate) const MAX_STOP_TIME: Duration = Duration::from_millis(1000);

/// Delay before an order that was refused is given again.
pub(crate) const REFUSED_ORDER_DELAY: Duration = Duration::from_millis(700);

/// An instance, with what the scheduler knows beyond its entry in the list.
#[derive(Debug)]
pub(crate) struct KnownInstance {
    pub(crate) instance: Instance,
    /// Order whose response is outstanding.
    pub(crate) ordered: Option<InstanceOrder>,
    /// Time until which an earlier order may still be executed.
    pub(crate) late_until: Duration,
    /// Time at which the last order was reported as executed.
    pub(crate) done_at: Option<Duration>,
    /// Pools that the platform refused for the instance.
    pub(crate) refused_pools: BTreeSet<String>,
    /// Worker that has ended unless the last order had already been executed
    /// before. The next list that is requested after the order shows which is the
    /// case.
    pub(crate) may_have_ended: Option<WorkerKey>,
}

impl Scheduler {
    /// Handles the platform's list of instances. `requested_at` is the time at
    /// which the list was requested; the list may not show anything later.
    pub fn on_instances(&mut self, list: Vec<Instance>, requested_at: Duration, now: Duration) {
        // An entry that could not be parsed carries no information, so the last
        // known state is kept.
        let as_known = |entry: Instance| match entry.state {
            InstanceState::Unknown => Some(self.instances.get(&entry.name)?.instance.clone()),
            _ => Some(entry),
        };
        let list: Vec<Instance> = list.into_iter().filter_map(as_known).collect();
        self.settle_ended_workers(&list, requested_at, now);
        self.end_unlisted_workers(&list, requested_at, now);
        let names: BTreeSet<String> = list.iter().map(|entry| entry.name.clone()).collect();
        for instance in list {
            let known = self.instances.get_mut(&instance.name);
            if let Some(known) = known {
                // A list requested before the last order does not show its effect.
                if known.ordered.is_none() && known.done_at.is_none_or(|at| at < requested_at) {
                    known.instance = instance;
                }
                continue;
            }
            let held_until = self.held_until.get(&instance.name).copied();
            let known = KnownInstance {
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

    /// Ends workers whose instances are in maintenance. Workers whose instances had
    /// been maintained before the order return to service.
    fn settle_ended_workers(&mut self, list: &[Instance], requested_at: Duration, now: Duration) {
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
            if requested_at <= done_at {
                continue;
            }
            let goes_on = entry.state == InstanceState::Up && entry.worker == worker.report.id;
            if !goes_on && !worker.is_shown_by_list(requested_at) {
                log::info!(instance = entry.name, worker = worker.report.id; "outdated_list_ignored");
            } else if !goes_on {
                known.may_have_ended = None;
                let evidence = Evidence {
                    reason: GivenUpReason::EndedByList,
                    at: requested_at,
                };
                self.on_worker_ended(key, evidence, now);
            } else if requested_at > done_at + LIST_LAG {
                log::info!(instance = entry.name, worker = worker.report.id; "worker_goes_on");
                known.may_have_ended = None;
                worker.return_to_service();
            }
        }
    }

    /// Ends workers whose instances run no worker or another one. A worker that is
    /// only unreachable stays in the list with its instance.
    fn end_unlisted_workers(&mut self, list: &[Instance], requested_at: Duration, now: Duration) {
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
                worker.life.missed_lists = 0;
            } else if requested_at > worker.life.since + LIST_LAG {
                worker.life.missed_lists += 1;
                if worker.life.missed_lists >= MAX_MISSED_LISTS {
                    ended.push(key);
                }
            }
        }
        for key in ended {
            let worker = self
                .workers
                .get(&key)
                .filter(|worker| !worker.life.has_ended());
            if let Some(worker) = worker {
                if !worker.is_shown_by_list(requested_at) {
                    log::info!(worker = worker.report.id; "outdated_list_ignored");
                    continue;
                }
                log::info!(
                    worker = worker.report.id, runs = worker.booked.len() as u64;
                    "worker_has_no_instance"
                );
                let evidence = Evidence {
                    reason: GivenUpReason::EndedByList,
                    at: requested_at,
                };
                self.on_worker_ended(key, evidence, now);
            }
        }
    }

    /// Returns how long to wait before the next list of instances, after one that was
    /// requested at `requested_at`.
    ///
    /// Load pattern: the scheduler is replaced during a burst, shortly after instances
    /// were moved or lost. Restored jobs are held back while an earlier scheduler may
    /// have started their tasks on workers that are gone, which only lists can show.
    pub fn list_pause(&self, requested_at: Duration, now: Duration) -> Duration {
        let gone = self
            .workers
            .values()
            .filter(|worker| !worker.is_listed && self.may_run_unseen(worker, now));
        let next = gone.filter_map(|worker| {
            let shows_end_from = worker.life.since + LIST_LAG;
            if requested_at <= shows_end_from {
                // Only a list that is requested later than that is evidence.
                Some(shows_end_from + Duration::from_millis(1))
            } else {
                (worker.life.missed_lists > 0).then_some(requested_at + SHORT_LIST_INTERVAL)
            }
        });
        let pause = next.min().map(|at| at.saturating_sub(now));
        pause.unwrap_or(LIST_INTERVAL).min(LIST_INTERVAL)
    }

    /// Returns the time until which orders of an earlier scheduler may still take
    /// effect.
    pub(crate) fn earlier_orders_until(&self) -> Duration {
        if self.limits.alternation_window.is_zero() {
            return self.started_at;
        }
        self.started_at + self.limits.alternation_window + MAX_CALL_TIME
    }

    /// Returns the time until which runs that are listed as active may be ending because
    /// of stops of an earlier scheduler.
    pub(crate) fn earlier_stops_until(&self) -> Duration {
        let until = self.started_at + MAX_CALL_TIME + MAX_STOP_TIME;
        until.min(self.earlier_orders_until())
    }

    /// Restores the instances that an earlier scheduler has recently given orders
    /// to.
    pub fn restore_ordered_instances(&mut self, instances: &[String]) {
        let until = self.earlier_orders_until();
        let held = instances.iter().map(|name| (name.clone(), until));
        self.held_until.extend(held);
    }

    /// Returns the instances that a later scheduler must not give orders to, so
    /// that orders do not alternate: those with an outstanding order, with one that
    /// may still be executed, or with one given within the alternation window. The
    /// record must be stored before the orders are sent.
    pub fn ordered_instances(&mut self, now: Duration) -> Vec<String> {
        let (instances, alternation_window) = (&self.instances, self.limits.alternation_window);
        self.ordered_at.retain(|name, at| {
            let known = instances.get(name);
            let is_open = |known: &KnownInstance| known.ordered.is_some() || now < known.late_until;
            known.is_some_and(is_open) || now < *at + alternation_window
        });
        // Instances held because of an earlier scheduler's orders are held by the
        // next scheduler too.
        let held = self.held_until.iter().filter(|(_, until)| now < **until);
        let held = held.map(|(name, _)| name.clone());
        let names: BTreeSet<String> = self.ordered_at.keys().cloned().chain(held).collect();
        names.into_iter().collect()
    }

    /// Returns the new orders to instances.
    pub fn plan_instances(&mut self, now: Duration, unix: Duration) -> Vec<InstanceOrder> {
        self.update_waves(unix);
        if !self.has_instances {
            return Vec::new();
        }
        let mut orders = Vec::new();
        self.plan_waves(&mut orders, now, unix);
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
    pub(crate) fn set_cordoned(&mut self, name: &str, is_cordoned: bool) {
        let key = self.worker_of(name);
        if let Some(worker) = key.and_then(|key| self.workers.get_mut(&key)) {
            worker.is_cordoned = is_cordoned;
        }
    }

    pub(crate) fn note_ordered(&mut self, order: &InstanceOrder) {
        if let Some(known) = self.instances.get_mut(&order.instance) {
            known.ordered = Some(order.clone());
        }
        let key = self.worker_of(&order.instance);
        if let Some(worker) = key.and_then(|key| self.workers.get_mut(&key)) {
            worker.is_terminating = true;
        }
        log::info!(instance = order.instance, action:? = order.action; "instance_ordered");
    }

    /// Handles the response to an order; returns whether the order must be sent
    /// again.
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
                known.late_until = now + MAX_ORDER_DELAY;
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
                        // The maintenance may have been executed for an earlier
                        // scheduler, which ended an earlier worker.
                        known.may_have_ended = key;
                    }
                }
                known.instance.worker.clear();
            } else {
                // The order is not repeated immediately, and a pool that the
                // platform refused is not tried again.
                known.late_until = known
                    .late_until
                    .max(now + alternation_window.min(REFUSED_ORDER_DELAY));
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
                    let evidence = Evidence {
                        reason: GivenUpReason::InstanceMoved,
                        at: now,
                    };
                    self.on_worker_ended(key, evidence, now);
                }
            }
            _ => {
                if let Some(worker) = key.and_then(|key| self.workers.get_mut(&key)) {
                    worker.return_to_service();
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
