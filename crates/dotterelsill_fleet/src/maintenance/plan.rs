//! Plan of who is maintained when.

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
    rows::Rows,
    MaintenancePolicy,
    MaintenanceTarget, //
    ServiceLoad,
};
use crate::{
    Instance,
    Reason, //
};

/// Maintenance of one or more instances of a rack together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Visit {
    /// Instances that are out during the visit.
    pub instances: Vec<Instance>,
    /// Start of the visit, at a full hour.
    pub start: SystemTime,
}

/// Place of one instance in the plan, with the reason.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceSchedule {
    /// Instance that is planned or waits.
    pub instance: Instance,
    /// Why it is planned at its hour, or why it waits.
    pub reason: Reason,
    /// Start of its visit, unless it waits.
    pub start: Option<SystemTime>,
}

struct Planner<'a> {
    now: SystemTime,
    schedules: Vec<InstanceSchedule>,
    rows: Rows,
    policy: &'a MaintenancePolicy,
    start: SystemTime,
    visits: Vec<Visit>,
}

/// Plans the maintenance of all targets for one interval, in the order in which
/// their racks are due.
///
/// Returns the visits in the order of their starts and the schedule of each
/// target. The plan keeps the budgets under the assumption that all upstreams are
/// in service now; each visit still takes its outages from the budget when it
/// starts, and the planner plans anew when one waits.
pub fn plan_maintenance(
    now: SystemTime,
    policy: &MaintenancePolicy,
    loads: &[ServiceLoad],
    targets: &[MaintenanceTarget],
) -> (Vec<Visit>, Vec<InstanceSchedule>) {
    // The hour in progress is too short for a visit.
    let start_h = since_epoch(now).as_secs() / 3600 + 1;
    let mut planner = Planner {
        now,
        schedules: Vec::with_capacity(targets.len()),
        rows: Rows::new(loads, targets, policy, start_h),
        policy,
        start: SystemTime::UNIX_EPOCH + Duration::from_secs(start_h * 3600),
        visits: Vec::new(),
    };
    for rack in planner.racks(targets) {
        planner.place(&rack);
    }
    planner.visits.sort_by_key(|visit| visit.start);
    planner.schedules.sort_by_key(|s| s.instance);
    (planner.visits, planner.schedules)
}

impl Planner<'_> {
    /// Returns the targets of each rack with the hours at which they are due.
    fn racks<'u>(
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

    /// Places a group in one visit if that is no dearer than its halves can be.
    fn place(&mut self, targets: &[(i64, &MaintenanceTarget)]) {
        let Some(group) = Group::new(&self.rows, targets) else {
            self.wait(targets, |target| Reason::UnknownService(target.service));
            return;
        };
        let together = group.best(&self.rows, self.policy);
        match together {
            Some(slot) if slot.cost <= self.single_cost(targets) => self.book(&group, slot),
            None if targets.len() == 1 => self.refuse(&group, targets),
            _ => {
                let (left, right) = targets.split_at(targets.len() / 2);
                self.place(left);
                self.place(right);
            }
        }
    }

    /// Returns the least that separate visits would cost.
    fn single_cost(&self, targets: &[(i64, &MaintenanceTarget)]) -> f64 {
        if targets.len() == 1 {
            return f64::INFINITY;
        }
        let cost = |target| {
            let group = Group::new(&self.rows, &[target])?;
            Some(group.best(&self.rows, self.policy)?.cost)
        };
        let costs = targets.iter().map(|target| cost(*target));
        costs.map(|c| c.unwrap_or(f64::INFINITY)).sum()
    }

    fn book(&mut self, group: &Group<'_>, slot: Slot) {
        group.book(&mut self.rows, slot);
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

    fn refuse(&mut self, group: &Group<'_>, targets: &[(i64, &MaintenanceTarget)]) {
        let blocking = group.blocking(&self.rows, self.policy);
        self.wait(targets, |target| match blocking {
            Some((limit, service)) => Reason::NoFreeHour { limit, service },
            None => Reason::UnknownService(target.service),
        });
    }

    fn wait(
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
