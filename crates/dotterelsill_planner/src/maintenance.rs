//! The plan of the maintenance and the wave that is running.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::{
        Duration,
        Instant,
        SystemTime, //
    }, //
};

use dotterelsill_fleet::{
    plan_maintenance,
    BudgetError,
    Instance,
    InstanceSchedule,
    MaintenanceTarget,
    Reason,
    Service,
    Visit,
    Wave,
    WavePhase, //
};

use crate::{
    clock::{
        hour,
        PlanClock, //
    },
    settings::Settings,
    topology::Topology, //
};

/// Hours of the plan for which a service is left out after its budget refused an
/// outage.
const REFUSED_PAUSE_H: u64 = 6;

/// Ends of the last maintenance, in milliseconds since the epoch.
pub(crate) type LastMaintained = BTreeMap<Instance, u64>;

/// Maintenance of all instances by the planner in charge.
pub(crate) struct Maintenance {
    /// Whether the budget refused an instance of the wave.
    is_wave_refused: bool,
    pub(crate) schedules: BTreeMap<Instance, InstanceSchedule>,
    /// Hour of the plan and revision of the text that it was made from.
    plan_basis: Option<(u64, u64)>,
    /// Services whose budget refused an outage, with the hour of the plan until
    /// which they are left out.
    refused_until_h: BTreeMap<Service, u64>,
    settings: Settings,
    /// Instances that failed during or soon after their maintenance.
    failed_instances: BTreeSet<Instance>,
    all_recovered_at: Option<Instant>,
    pub(crate) visits: Vec<Visit>,
    wave: Option<Wave>,
}

impl Maintenance {
    /// Returns a maintenance without a plan.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            is_wave_refused: false,
            schedules: BTreeMap::new(),
            plan_basis: None,
            refused_until_h: BTreeMap::new(),
            settings: settings.clone(),
            failed_instances: BTreeSet::new(),
            all_recovered_at: None,
            visits: Vec::new(),
            wave: None,
        }
    }

    /// Starts a wave of the visits that are due, and plans anew once an hour
    /// when no wave is running.
    ///
    /// A plan starts with the next full hour, so the visits that are due are
    /// taken before it is replaced.
    pub(crate) fn advance(
        &mut self,
        now: Instant,
        now_unix_ms: u64,
        topology: &Topology,
        last_maintained: &LastMaintained,
    ) {
        self.resume_after_recovery(now);
        if self
            .wave
            .as_ref()
            .is_some_and(|wave| wave.phase() == WavePhase::Done)
        {
            self.wave = None;
        }
        if self.wave.is_some() || !self.failed_instances.is_empty() {
            return;
        }
        let plan_now = self.clock().plan_time(now_unix_ms);
        let due = self.take_due(plan_now);
        if due.is_empty() {
            self.plan(plan_now, topology, last_maintained);
        } else {
            log::info!(instances = due.len(); "wave_started");
            self.is_wave_refused = false;
            self.wave = Some(Wave::new(due, self.settings.wave, now));
        }
    }

    /// Returns the next instance to maintain, if one may be taken now.
    pub(crate) fn next(&mut self, now: Instant) -> Option<Instance> {
        self.wave.as_mut()?.next(now)
    }

    /// Reports that the budget refused the instance.
    pub(crate) fn on_refused(
        &mut self,
        instance: Instance,
        service: Service,
        error: BudgetError,
        now_unix_ms: u64,
    ) {
        let until_h = hour(self.clock().plan_time(now_unix_ms)) + REFUSED_PAUSE_H;
        self.refused_until_h.insert(service, until_h);
        self.is_wave_refused = true;
        if let Some(wave) = &mut self.wave {
            wave.on_refused(instance, error);
        }
    }

    /// Ends a wave that waits for the budget only, so that one service without
    /// budget does not delay all others. Its instances are planned anew, those
    /// of the service later.
    pub(crate) fn end_refused_wave(&mut self) {
        let widening = |wave: &Wave| wave.phase() == WavePhase::Widening;
        if self.is_wave_refused && self.wave.as_ref().is_some_and(widening) {
            self.wave = None;
        }
    }

    /// Returns whether the plan leaves a service out because its budget refused
    /// an outage.
    pub(crate) fn is_refused(&self, service: Service) -> bool {
        self.refused_until_h.contains_key(&service)
    }

    /// Reports that an instance is settled in its pool.
    pub(crate) fn on_settled(&mut self, instance: Instance, now: Instant) {
        if let Some(wave) = &mut self.wave {
            wave.on_result(instance, true, now);
        }
    }

    /// Reports that an instance failed while it was maintained or soon after.
    pub(crate) fn on_failed(&mut self, instance: Instance, now: Instant) {
        if !self.failed_instances.insert(instance) {
            return;
        }
        self.all_recovered_at = None;
        if let Some(wave) = &mut self.wave {
            wave.on_result(instance, false, now);
            if wave.phase() == WavePhase::Halted {
                log::warn!("wave_halted");
            }
        }
    }

    /// Reports that an instance that failed is in service again.
    pub(crate) fn on_recovered(&mut self, instance: Instance, now: Instant) {
        if self.failed_instances.remove(&instance) && self.failed_instances.is_empty() {
            self.all_recovered_at = Some(now);
        }
    }

    /// Forgets the failures of instances that no longer exist.
    pub(crate) fn retain_failed(&mut self, exists: impl Fn(Instance) -> bool, now: Instant) {
        let gone: Vec<_> = self
            .failed_instances
            .iter()
            .copied()
            .filter(|i| !exists(*i))
            .collect();
        for instance in gone {
            self.on_recovered(instance, now);
        }
    }

    /// Returns whether the wave is halted, or no wave may start.
    pub(crate) fn is_halted(&self) -> bool {
        match &self.wave {
            Some(wave) => wave.phase() == WavePhase::Halted,
            None => !self.failed_instances.is_empty(),
        }
    }

    /// Returns the instances that failed and have not returned.
    pub(crate) fn failed_instances(&self) -> &BTreeSet<Instance> {
        &self.failed_instances
    }

    /// Returns why an instance of the wave waits, or else its place in the plan.
    pub(crate) fn reason(&self, instance: Instance) -> Option<Reason> {
        let in_wave = self.wave.as_ref().and_then(|wave| wave.reason(instance));
        let schedule = self.schedules.get(&instance);
        in_wave.or_else(|| schedule.map(|schedule| schedule.reason.clone()))
    }

    /// Returns the clock of the plan.
    pub(crate) fn clock(&self) -> PlanClock {
        PlanClock::new(self.settings.plan_hour_ms)
    }

    /// Continues a halted wave with a new canary once all failed instances have
    /// been in service for the soak time.
    fn resume_after_recovery(&mut self, now: Instant) {
        let Some(gone_at) = self.all_recovered_at else {
            return;
        };
        if now < gone_at + self.settings.wave.soak {
            return;
        }
        self.all_recovered_at = None;
        if let Some(wave) = &mut self.wave {
            wave.resume(now);
            log::info!("wave_resumed");
        }
    }

    fn take_due(&mut self, plan_now: SystemTime) -> Vec<Instance> {
        let (due, later) = std::mem::take(&mut self.visits)
            .into_iter()
            .partition(|visit: &Visit| visit.start <= plan_now);
        self.visits = later;
        let due: Vec<Visit> = due;
        due.into_iter().flat_map(|visit| visit.instances).collect()
    }

    fn plan(
        &mut self,
        plan_now: SystemTime,
        topology: &Topology,
        last_maintained: &LastMaintained,
    ) {
        let hour = hour(plan_now);
        let basis = Some((hour, topology.revision));
        if self.plan_basis == basis {
            return;
        }
        self.plan_basis = basis;
        self.refused_until_h.retain(|_, until_h| *until_h > hour);
        let targets = self.targets(plan_now, topology, last_maintained);
        let policy = &self.settings.maintenance;
        let (visits, schedules) = plan_maintenance(plan_now, policy, &topology.loads(), &targets);
        self.visits = visits;
        let schedules = schedules.into_iter();
        self.schedules = schedules.map(|p| (p.instance, p)).collect();
    }

    /// Returns the instances to plan: those whose last maintenance is older than
    /// half the interval.
    ///
    /// The plan would otherwise take an instance again right after its
    /// maintenance, together with others of its rack that are overdue, because
    /// that saves a visit.
    fn targets(
        &self,
        plan_now: SystemTime,
        topology: &Topology,
        last_maintained: &LastMaintained,
    ) -> Vec<MaintenanceTarget> {
        let members = topology.members.values();
        let members = members.filter(|m| !self.is_refused(m.service));
        let targets = members.map(|member| {
            let ended = last_maintained.get(&member.upstream.instance);
            MaintenanceTarget {
                last_maintained: self.clock().plan_time(ended.copied().unwrap_or(0)),
                service: member.service,
                upstream: member.upstream,
            }
        });
        let interval_h = self.settings.maintenance.interval_h;
        let min_age = Duration::from_secs(u64::from(interval_h) * 3600 / 2);
        targets
            .filter(|u| u.last_maintained + min_age <= plan_now)
            .collect()
    }

    /// Returns the time at which an instance is due, in milliseconds since the
    /// epoch.
    pub(crate) fn due_unix_ms(&self, maintained_unix_ms: u64) -> u64 {
        let interval_h = u64::from(self.settings.maintenance.interval_h);
        maintained_unix_ms + interval_h * u64::from(self.settings.plan_hour_ms)
    }
}
