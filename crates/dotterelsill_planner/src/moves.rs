//! Starts movers and handles their outcomes.

use std::time::Instant;

use async_io::Timer;
use dotterelsill_fleet::{
    BudgetLimits,
    Charge,
    Goal,
    Instance,
    Mover,
    Outcome,
    Pool,
    Service,
    Step,
    Upstream, //
};
use dotterelsill_proto::platform::InstanceState;
use futures_lite::{
    FutureExt as _,
    StreamExt as _, //
};

use crate::{
    drive::run_mover,
    error::Error,
    fenced_access::unix_ms,
    lead::{
        ActiveMove,
        Leader, //
    }, //
};

/// Limits for instances whose service is no longer in the configuration. They
/// allow moves to be finished but none to be started.
const NO_OUTAGES: BudgetLimits = BudgetLimits {
    floor_percent: 100,
    per_data_centre: 0,
    per_rack: 0,
};

impl Leader<'_> {
    /// Reports to the maintenance which instances have failed or recovered.
    ///
    /// An instance counts as failed if its move takes longer than the limit, or if
    /// the platform lists it as failed while it is moved or during the watch time
    /// after its maintenance.
    pub(crate) fn update_failures(&mut self) {
        let now = Instant::now();
        let settings = &self.access.shared.settings;
        let watch_ms = settings.wave.watch.as_millis() as u64;
        let now_unix_ms = unix_ms();
        let (listed, topology) = (&self.listed_states, &self.topology);
        let exists = |i| listed.contains_key(&i) || topology.members.contains_key(&i);
        self.maintenance.retain_failed(exists, now);
        for (instance, state) in &self.listed_states {
            let last_maintained = self.last_maintained.get(instance).copied().unwrap_or(0);
            let is_watched = now_unix_ms.saturating_sub(last_maintained) <= watch_ms;
            let active_move = self.active_moves.get(instance);
            let is_late = active_move.is_some_and(|m| now >= m.since + settings.move_limit);
            let has_failed = *state == InstanceState::Failed;
            if is_late || has_failed && (active_move.is_some() || is_watched) {
                self.maintenance.on_failed(*instance, now);
            } else if active_move.is_none() && !has_failed {
                self.maintenance.on_recovered(*instance, now);
            }
        }
    }

    /// Starts moves of the settled instances that the configuration assigns to
    /// another service.
    pub(crate) fn start_moves(&mut self) {
        let members = self.topology.members.values();
        let is_misplaced = |instance: &Instance, service: Service| {
            let record = self.pools.get(instance).map(|pool| pool.value.record);
            record.is_some_and(|r| r.step == Step::Settled && r.pool.0 != service.0)
        };
        let misplaced: Vec<_> = members
            .map(|member| (member.upstream.instance, member.service))
            .filter(|(instance, service)| is_misplaced(instance, *service))
            .collect();
        for (instance, service) in misplaced {
            self.start(instance, Goal::Move(Pool(service.0)));
        }
    }

    /// Starts the maintenance of the instances that are due.
    pub(crate) fn start_maintenance(&mut self) {
        let now = Instant::now();
        let is_maintaining = self.active_moves.values().any(|m| m.goal == Goal::Maintain);
        if !is_maintaining {
            self.maintenance.end_refused_wave();
        }
        let is_resuming = self.active_moves.values().any(|m| m.goal == Goal::Resume);
        if !is_resuming {
            self.maintenance
                .advance(now, unix_ms(), &self.topology, &self.last_maintained);
        }
        while let Some(instance) = self.maintenance.next(now) {
            let is_named = self.topology.members.contains_key(&instance);
            if !is_named || !self.start(instance, Goal::Maintain) {
                // A later plan includes it again if it still exists.
                self.maintenance.on_settled(instance, now);
            }
        }
    }

    /// Starts a mover unless the instance has one or its budget cannot be
    /// determined. Returns whether it did.
    pub(crate) fn start(&mut self, instance: Instance, goal: Goal) -> bool {
        if self.active_moves.contains_key(&instance) {
            return false;
        }
        let Some((service, upstream)) = self.find_budget(instance) else {
            return false;
        };
        let limits = self.topology.services.get(&service);
        let limits = limits.map_or(NO_OUTAGES, |service| service.budget_limits);
        let access = self.access;
        let mover = Mover::new(access.token(), upstream, goal, limits);
        let since = Instant::now();
        self.active_moves
            .insert(instance, ActiveMove { goal, since });
        self.movers.push(Box::pin(async move {
            let result = run_mover(access, instance, service, mover).await;
            (instance, result)
        }));
        true
    }

    /// Returns the service whose budget already has a voluntary charge for the
    /// instance, or else the service whose pool it is in. Returns `None` without
    /// either, as for an instance that has no pool record yet.
    fn find_budget(&self, instance: Instance) -> Option<(Service, Upstream)> {
        for (service, (budget, _)) in &self.budgets {
            let mut charges = budget.value.charges().iter();
            let is_own = |c: &&_| is_voluntary_charge_of(c, instance);
            if let Some(charge) = charges.find(is_own) {
                return Some((*service, charge.upstream));
            }
        }
        let member = self.topology.members.get(&instance)?;
        let pool = self.pools.get(&instance)?.value.record.pool;
        Some((Service(pool.0), member.upstream))
    }

    /// Runs the movers and handles their outcomes until the next round is due.
    pub(crate) async fn collect_outcomes(&mut self) -> Result<(), Error> {
        let until = Instant::now() + self.access.shared.settings.tick;
        loop {
            let round_end = async {
                Timer::at(until).await;
                None
            };
            let outcome = async {
                match self.movers.next().await {
                    Some(outcome) => Some(outcome),
                    None => std::future::pending().await,
                }
            };
            let Some((instance, result)) = outcome.or(round_end).await else {
                return Ok(());
            };
            self.on_outcome(instance, result?)?;
        }
    }

    fn on_outcome(&mut self, instance: Instance, outcome: Outcome) -> Result<(), Error> {
        let active_move = self.active_moves.remove(&instance);
        let is_maintenance = active_move.is_some_and(|m| m.goal == Goal::Maintain);
        self.unsettled.remove(&instance);
        match outcome {
            Outcome::Fenced => return Err(Error::Fenced),
            Outcome::BudgetRefused(error) if is_maintenance => {
                if let Some((service, _)) = self.find_budget(instance) {
                    let now_unix_ms = unix_ms();
                    self.maintenance
                        .on_refused(instance, service, error, now_unix_ms);
                }
            }
            Outcome::Settled(_) | Outcome::Missing if is_maintenance => {
                self.maintenance.on_settled(instance, Instant::now());
            }
            Outcome::BudgetRefused(_) | Outcome::Settled(_) | Outcome::Missing => {}
        }
        if !matches!(outcome, Outcome::Settled(_)) {
            self.unsettled.insert(instance, outcome);
        }
        Ok(())
    }
}

fn is_voluntary_charge_of(charge: &Charge, instance: Instance) -> bool {
    charge.upstream.instance == instance && charge.voluntary.is_some()
}
