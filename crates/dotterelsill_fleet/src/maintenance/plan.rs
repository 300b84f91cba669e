//! Plan of the maintenance visits.

use std::collections::BTreeMap;
use std::time::{
    Duration,
    SystemTime, //
};

use super::{
    group::{
        Group,
        Slot, //
    },
    rows::OutageCalendar,
    MaintenancePolicy,
    MaintenanceTarget,
    ServiceLoad, //
};
use crate::{
    Instance,
    Reason, //
};

/// Joint maintenance of one or more instances of a rack.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Visit {
    /// Instances that are out during the visit.
    pub instances: Vec<Instance>,
    /// Start of the visit, on the hour.
    pub start: SystemTime,
}

/// Planned maintenance of one instance, or the reason why it could not be
/// planned.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceSchedule {
    /// Instance to maintain.
    pub instance: Instance,
    /// Why it is planned for its hour, or why it is not planned.
    pub reason: Reason,
    /// Start of its visit, or `None` if it is not planned.
    pub start: Option<SystemTime>,
}

struct PlanBuilder<'a> {
    now: SystemTime,
    schedules: Vec<InstanceSchedule>,
    calendar: OutageCalendar,
    policy: &'a MaintenancePolicy,
    start: SystemTime,
    visits: Vec<Visit>,
}

/// Plans the maintenance of all targets for one interval.
///
/// The planner is greedy: it schedules the racks in the order in which their
/// first targets are due.
///
/// Returns the visits, sorted by start, and the schedule of each target. The plan
/// keeps the budgets if all upstreams are in service now. The outages of each
/// visit must still be charged to the budget when it starts, and the planner
/// creates a new plan if the budget refuses one.
pub fn plan_maintenance(
    now: SystemTime,
    policy: &MaintenancePolicy,
    loads: &[ServiceLoad],
    targets: &[MaintenanceTarget],
) -> (Vec<Visit>, Vec<InstanceSchedule>) {
    // The rest of the current hour is too short for a visit.
    let start_h = since_epoch(now).as_secs() / 3600 + 1;
    let mut builder = PlanBuilder {
        now,
        schedules: Vec::with_capacity(targets.len()),
        calendar: OutageCalendar::new(loads, targets, policy, start_h),
        policy,
        start: SystemTime::UNIX_EPOCH + Duration::from_secs(start_h * 3600),
        visits: Vec::new(),
    };
    for rack in builder.group_by_rack(targets) {
        builder.schedule_group(&rack);
    }
    builder.visits.sort_by_key(|visit| visit.start);
    builder.schedules.sort_by_key(|s| s.instance);
    (builder.visits, builder.schedules)
}

impl PlanBuilder<'_> {
    /// Returns the targets of each rack, each with the hour at which it is due.
    /// Both the racks and the targets of a rack are sorted by that hour.
    fn group_by_rack<'u>(
        &self,
        targets: &'u [MaintenanceTarget],
    ) -> Vec<Vec<(i64, &'u MaintenanceTarget)>> {
        let mut racks = BTreeMap::<_, Vec<_>>::new();
        for target in targets {
            let due = self.due_h(target);
            racks
                .entry(target.upstream.rack)
                .or_default()
                .push((due, target));
        }
        let mut racks: Vec<_> = racks.into_values().collect();
        for rack in &mut racks {
            rack.sort_by_key(|(due, target)| (*due, target.upstream.instance));
        }
        racks.sort_by_key(|rack| rack[0].0);
        racks
    }

    fn due_h(&self, target: &MaintenanceTarget) -> i64 {
        let age = since_epoch(self.start).saturating_sub(since_epoch(target.last_maintained));
        let age_h = i64::try_from(age.as_secs().div_ceil(3600)).unwrap_or(i64::MAX);
        i64::from(self.policy.interval_h) - age_h
    }

    /// Schedules a group in one visit if that costs no more than a separate visit
    /// for each target. Otherwise splits the group in half and schedules each half.
    fn schedule_group(&mut self, targets: &[(i64, &MaintenanceTarget)]) {
        let Some(group) = Group::new(&self.calendar, targets) else {
            self.add_unscheduled(targets, |target| Reason::UnknownService(target.service));
            return;
        };
        let joint_slot = group.cheapest_slot(&self.calendar, self.policy);
        match joint_slot {
            Some(slot) if slot.cost <= self.separate_cost(targets) => self.book(&group, slot),
            None if targets.len() == 1 => self.add_blocked(&group, targets),
            _ => {
                let (left, right) = targets.split_at(targets.len() / 2);
                self.schedule_group(left);
                self.schedule_group(right);
            }
        }
    }

    /// Returns the cost of a separate visit for each target, each at its cheapest
    /// hour, or infinity if that is impossible or there is only one target.
    fn separate_cost(&self, targets: &[(i64, &MaintenanceTarget)]) -> f64 {
        if targets.len() == 1 {
            return f64::INFINITY;
        }
        let cost = |target| {
            let group = Group::new(&self.calendar, &[target])?;
            Some(group.cheapest_slot(&self.calendar, self.policy)?.cost)
        };
        let costs = targets.iter().map(|target| cost(*target));
        costs.map(|c| c.unwrap_or(f64::INFINITY)).sum()
    }

    fn book(&mut self, group: &Group<'_>, slot: Slot) {
        group.book(&mut self.calendar, slot);
        let start = self.start + Duration::from_secs(slot.hour as u64 * 3600);
        let together = group.targets.len();
        let instances: Vec<_> = group.targets.iter().map(|t| t.upstream.instance).collect();
        let interval = Duration::from_secs(u64::from(self.policy.interval_h) * 3600);
        for target in &group.targets {
            self.schedules.push(InstanceSchedule {
                instance: target.upstream.instance,
                reason: Reason::Planned {
                    load_cost: slot.load_cost / together as f64,
                    overdue: target.last_maintained + interval <= self.now,
                    together,
                },
                start: Some(start),
            });
        }
        self.visits.push(Visit { instances, start });
    }

    fn add_blocked(&mut self, group: &Group<'_>, targets: &[(i64, &MaintenanceTarget)]) {
        let most_frequent_limit = group.most_frequent_limit(&self.calendar, self.policy);
        self.add_unscheduled(targets, |target| match most_frequent_limit {
            Some((limit, service)) => Reason::NoFreeHour { limit, service },
            None => Reason::UnknownService(target.service),
        });
    }

    fn add_unscheduled(
        &mut self,
        targets: &[(i64, &MaintenanceTarget)],
        reason: impl Fn(&MaintenanceTarget) -> Reason,
    ) {
        for (_, target) in targets {
            self.schedules.push(InstanceSchedule {
                instance: target.upstream.instance,
                reason: reason(target),
                start: None,
            });
        }
    }
}

fn since_epoch(time: SystemTime) -> Duration {
    time.duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
}
