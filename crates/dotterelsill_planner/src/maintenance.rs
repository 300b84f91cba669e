//! Maintenance plan and the wave in progress.

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

/// End of each instance's last maintenance, in milliseconds since the epoch.
pub(crate) type LastMaintained = BTreeMap<Instance, u64>;

/// Plans the maintenance of all instances and runs it in waves.
pub(crate) struct Maintenance {
    /// Whether a budget refused an instance of the current wave.
    is_wave_refused: bool,
    /// Schedule of each instance in the newest plan.
    pub(crate) schedules: BTreeMap<Instance, InstanceSchedule>,
    /// Hour of the plan and revision of the configuration for which the newest
    /// plan was made.
    plan_basis: Option<(u64, u64)>,
    /// Services whose budget refused an outage, with the hour of the plan until
    /// which plans leave them out.
    refused_until_h: BTreeMap<Service, u64>,
    settings: Settings,
    /// Instances that failed during or soon after their maintenance.
    failed_instances: BTreeSet<Instance>,
    /// When the last failed instance recovered, while the soak time runs.
    all_recovered_at: Option<Instant>,
    /// Planned visits that have not been started.
    pub(crate) visits: Vec<Visit>,
    /// Wave in progress.
    wave: Option<Wave>,
}

impl Maintenance {
    /// Creates the maintenance without a plan or a wave.
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

    /// Starts a wave with the visits that are due. Without due visits, makes a new
    /// plan for each hour of the plan and each revision of the configuration.
    ///
    /// Does neither while a wave is in progress or failed instances have not
    /// recovered. A new plan starts with the next full hour, so due visits are
    /// taken from the old plan before it is replaced.
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

    /// Returns the next instance of the wave if one may be taken out now.
    pub(crate) fn next(&mut self, now: Instant) -> Option<Instance> {
        self.wave.as_mut()?.next(now)
    }

    /// Reports that the budget of a service refused an outage of the instance.
    /// Plans leave the service out for [`REFUSED_PAUSE_H`].
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

    /// Ends a wave that is waiting only for a budget, so that a service whose
    /// budget is exhausted does not delay all others. The remaining instances are
    /// planned again, those of that service after a pause.
    pub(crate) fn end_refused_wave(&mut self) {
        let widening = |wave: &Wave| wave.phase() == WavePhase::Widening;
        if self.is_wave_refused && self.wave.as_ref().is_some_and(widening) {
            self.wave = None;
        }
    }

    /// Returns whether plans leave a service out because its budget refused an
    /// outage.
    pub(crate) fn is_refused(&self, service: Service) -> bool {
        self.refused_until_h.contains_key(&service)
    }

    /// Reports that an instance is settled in its pool.
    pub(crate) fn on_settled(&mut self, instance: Instance, now: Instant) {
        if let Some(wave) = &mut self.wave {
            wave.on_result(instance, true, now);
        }
    }

    /// Reports that an instance failed during its maintenance or soon after.
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

    /// Reports that an instance is in service. Starts the soak time if it was the
    /// last one that had failed.
    pub(crate) fn on_recovered(&mut self, instance: Instance, now: Instant) {
        if self.failed_instances.remove(&instance) && self.failed_instances.is_empty() {
            self.all_recovered_at = Some(now);
        }
    }

    /// Treats failed instances that no longer exist as recovered, so that they
    /// do not halt the maintenance forever.
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

    /// Returns whether failed instances halt the wave or keep one from starting.
    pub(crate) fn is_halted(&self) -> bool {
        match &self.wave {
            Some(wave) => wave.phase() == WavePhase::Halted,
            None => !self.failed_instances.is_empty(),
        }
    }

    /// Returns the instances that failed and have not recovered.
    pub(crate) fn failed_instances(&self) -> &BTreeSet<Instance> {
        &self.failed_instances
    }

    /// Returns why an instance of the wave waits, or else the reason for its
    /// schedule in the plan.
    pub(crate) fn reason(&self, instance: Instance) -> Option<Reason> {
        let in_wave = self.wave.as_ref().and_then(|wave| wave.reason(instance));
        let schedule = self.schedules.get(&instance);
        in_wave.or_else(|| schedule.map(|schedule| schedule.reason.clone()))
    }

    /// Returns the clock that converts between real time and plan time.
    pub(crate) fn clock(&self) -> PlanClock {
        PlanClock::new(self.settings.plan_hour_ms)
    }

    /// Resumes a halted wave with a new canary once the soak time has passed since
    /// the last failed instance recovered.
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

    /// Removes the visits that are due from the plan and returns their instances.
    fn take_due(&mut self, plan_now: SystemTime) -> Vec<Instance> {
        let (due, later) = std::mem::take(&mut self.visits)
            .into_iter()
            .partition(|visit: &Visit| visit.start <= plan_now);
        self.visits = later;
        let due: Vec<Visit> = due;
        due.into_iter().flat_map(|visit| visit.instances).collect()
    }

    /// Makes a new plan unless the newest one is for this hour and revision.
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

    /// Returns the instances to plan: those whose last maintenance ended at least
    /// half the interval ago, except those of services that are left out.
    ///
    /// Without this minimum, the plan would include an instance again right after
    /// its maintenance to save a visit, together with overdue instances of its
    /// rack.
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

    /// Returns when an instance is next due for maintenance, in milliseconds since
    /// the epoch.
    pub(crate) fn due_unix_ms(&self, maintained_unix_ms: u64) -> u64 {
        let interval_h = u64::from(self.settings.maintenance.interval_h);
        maintained_unix_ms + interval_h * u64::from(self.settings.plan_hour_ms)
    }
}
