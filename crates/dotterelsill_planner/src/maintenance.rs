//! The plan of the maintenance and the wave that is running.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::{
        Duration,
        Instant as Clock,
        SystemTime, //
    }, //
};

use dotterelsill_fleet::{
    plan_maintenance,
    BudgetError,
    Instance,
    Placement,
    Reason,
    ServiceLoad,
    Unit,
    Visit,
    Wave,
    WavePhase, //
};

use crate::{
    settings::Settings,
    topology::Topology, //
};

/// Milliseconds of an hour.
const HOUR_MS: u128 = 3_600_000;

/// Ends of the last maintenance, in milliseconds since the epoch.
pub(crate) type Maintained = BTreeMap<Instance, u64>;

/// Maintenance of all instances by the planner in charge.
pub(crate) struct Maintenance {
    pub(crate) placements: BTreeMap<Instance, Placement>,
    /// Hour of the plan and revision of the text that it was made from.
    planned_for: Option<(u64, u64)>,
    settings: Settings,
    /// Instances that failed during or soon after their maintenance.
    suspects: BTreeSet<Instance>,
    suspects_gone_at: Option<Clock>,
    pub(crate) visits: Vec<Visit>,
    wave: Option<Wave>,
}

impl Maintenance {
    /// Returns a maintenance without a plan.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            placements: BTreeMap::new(),
            planned_for: None,
            settings: settings.clone(),
            suspects: BTreeSet::new(),
            suspects_gone_at: None,
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
        now: Clock,
        now_unix_ms: u64,
        topology: &Topology,
        maintained: &Maintained,
    ) {
        self.resume_after_recovery(now);
        if self
            .wave
            .as_ref()
            .is_some_and(|wave| wave.phase() == WavePhase::Done)
        {
            self.wave = None;
        }
        if self.wave.is_some() || !self.suspects.is_empty() {
            return;
        }
        let plan_now = self.plan_time(now_unix_ms);
        let due = self.take_due(plan_now);
        if due.is_empty() {
            self.plan(plan_now, topology, maintained);
        } else {
            log::info!(instances = due.len(); "wave_started");
            self.wave = Some(Wave::new(due, self.settings.wave, now));
        }
    }

    /// Returns the next instance to maintain, if one may be taken now.
    pub(crate) fn next(&mut self, now: Clock) -> Option<Instance> {
        self.wave.as_mut()?.next(now)
    }

    /// Reports that the budget refused the instance.
    pub(crate) fn on_refused(&mut self, instance: Instance, error: BudgetError) {
        if let Some(wave) = &mut self.wave {
            wave.on_refused(instance, error);
        }
    }

    /// Reports that an instance is settled in its pool.
    pub(crate) fn on_settled(&mut self, instance: Instance, now: Clock) {
        if let Some(wave) = &mut self.wave {
            wave.on_result(instance, true, now);
        }
    }

    /// Reports that an instance failed while it was maintained or soon after.
    pub(crate) fn on_failed(&mut self, instance: Instance, now: Clock) {
        if !self.suspects.insert(instance) {
            return;
        }
        self.suspects_gone_at = None;
        if let Some(wave) = &mut self.wave {
            wave.on_result(instance, false, now);
            if wave.phase() == WavePhase::Halted {
                log::warn!("wave_halted");
            }
        }
    }

    /// Reports that an instance that failed is in service again.
    pub(crate) fn on_recovered(&mut self, instance: Instance, now: Clock) {
        if self.suspects.remove(&instance) && self.suspects.is_empty() {
            self.suspects_gone_at = Some(now);
        }
    }

    /// Returns whether the wave is halted, or no wave may start.
    pub(crate) fn is_halted(&self) -> bool {
        let halted = |wave: &Wave| wave.phase() == WavePhase::Halted;
        !self.suspects.is_empty() || self.wave.as_ref().is_some_and(halted)
    }

    /// Returns the instances that failed and have not returned.
    pub(crate) fn suspects(&self) -> &BTreeSet<Instance> {
        &self.suspects
    }

    /// Returns why an instance of the wave waits, or else its place in the plan.
    pub(crate) fn reason(&self, instance: Instance) -> Option<Reason> {
        let in_wave = self.wave.as_ref().and_then(|wave| wave.reason(instance));
        let placement = self.placements.get(&instance);
        in_wave.or_else(|| placement.map(|placement| placement.reason.clone()))
    }

    /// Returns the real time at which a visit starts, in milliseconds since the
    /// epoch.
    pub(crate) fn unix_ms(&self, plan_time: SystemTime) -> u64 {
        let since = plan_time.duration_since(SystemTime::UNIX_EPOCH);
        let plan_ms = since.map_or(0, |since| since.as_millis());
        let real_ms = plan_ms * u128::from(self.settings.plan_hour_ms) / HOUR_MS;
        u64::try_from(real_ms).unwrap_or(u64::MAX)
    }

    /// Continues a halted wave with a new canary once all failed instances have
    /// been in service for the soak time.
    fn resume_after_recovery(&mut self, now: Clock) {
        let Some(gone_at) = self.suspects_gone_at else {
            return;
        };
        if now < gone_at + self.settings.wave.soak {
            return;
        }
        self.suspects_gone_at = None;
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

    fn plan(&mut self, plan_now: SystemTime, topology: &Topology, maintained: &Maintained) {
        let since = plan_now.duration_since(SystemTime::UNIX_EPOCH);
        let hour = since.map_or(0, |since| since.as_secs() / 3600);
        let made_from = Some((hour, topology.revision));
        if self.planned_for == made_from {
            return;
        }
        self.planned_for = made_from;
        let units = self.units(plan_now, topology, maintained);
        let rule = &self.settings.maintenance;
        let (visits, placements) = plan_maintenance(plan_now, rule, &loads(topology), &units);
        self.visits = visits;
        let placements = placements.into_iter();
        self.placements = placements.map(|p| (p.instance, p)).collect();
    }

    /// Returns the instances to plan: those whose last maintenance is older than
    /// half the interval.
    ///
    /// The plan would otherwise take an instance again right after its
    /// maintenance, together with others of its rack that are overdue, because
    /// that saves a visit.
    fn units(
        &self,
        plan_now: SystemTime,
        topology: &Topology,
        maintained: &Maintained,
    ) -> Vec<Unit> {
        let members = topology.members.values();
        let units = members.map(|member| {
            let ended = maintained.get(&member.upstream.instance);
            Unit {
                maintained: self.plan_time(ended.copied().unwrap_or(0)),
                service: member.service,
                upstream: member.upstream,
            }
        });
        let interval_h = self.settings.maintenance.interval_h;
        let rest = Duration::from_secs(u64::from(interval_h) * 3600 / 2);
        units.filter(|u| u.maintained + rest <= plan_now).collect()
    }

    /// Returns the time at which an instance is due, in milliseconds since the
    /// epoch.
    pub(crate) fn due_unix_ms(&self, maintained_unix_ms: u64) -> u64 {
        let interval_h = u64::from(self.settings.maintenance.interval_h);
        maintained_unix_ms + interval_h * u64::from(self.settings.plan_hour_ms)
    }

    /// Returns the time of the plan at a real time.
    fn plan_time(&self, unix_ms: u64) -> SystemTime {
        let hour_ms = u128::from(self.settings.plan_hour_ms);
        let plan_s = u128::from(unix_ms) * HOUR_MS / hour_ms / 1000;
        let since = Duration::from_secs(u64::try_from(plan_s).unwrap_or(u64::MAX));
        SystemTime::UNIX_EPOCH
            .checked_add(since)
            .unwrap_or(SystemTime::UNIX_EPOCH)
    }
}

/// Returns the limits of the services. The store holds no demand by hour, so
/// every hour counts as equally loaded.
fn loads(topology: &Topology) -> Vec<ServiceLoad> {
    let services = topology.services.iter();
    let load = |(service, limits): (&_, &crate::topology::ServiceRule)| ServiceLoad {
        demand_instances: vec![0.0],
        rule: limits.rule,
        service: *service,
        upstreams: limits.upstreams,
    };
    services.map(load).collect()
}
