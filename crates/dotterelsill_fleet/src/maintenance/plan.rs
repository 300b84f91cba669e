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
    ServiceLoad,
    Unit, //
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
pub struct Placement {
    /// Instance that is planned or waits.
    pub instance: Instance,
    /// Why it is planned at its hour, or why it waits.
    pub reason: Reason,
    /// Start of its visit, unless it waits.
    pub start: Option<SystemTime>,
}

struct Planner<'a> {
    now: SystemTime,
    placements: Vec<Placement>,
    rows: Rows,
    policy: &'a MaintenancePolicy,
    start: SystemTime,
    visits: Vec<Visit>,
}

/// Plans the maintenance of all units for one interval, in the order in which
/// their racks are due.
///
/// Returns the visits in the order of their starts and the placement of each
/// unit. The plan keeps the budgets under the assumption that all upstreams are
/// in service now; each visit still takes its outages from the budget when it
/// starts, and the planner plans anew when one waits.
pub fn plan_maintenance(
    now: SystemTime,
    policy: &MaintenancePolicy,
    loads: &[ServiceLoad],
    units: &[Unit],
) -> (Vec<Visit>, Vec<Placement>) {
    // The hour in progress is too short for a visit.
    let start_h = since_epoch(now).as_secs() / 3600 + 1;
    let mut planner = Planner {
        now,
        placements: Vec::with_capacity(units.len()),
        rows: Rows::new(loads, units, policy, start_h),
        policy,
        start: SystemTime::UNIX_EPOCH + Duration::from_secs(start_h * 3600),
        visits: Vec::new(),
    };
    for rack in planner.racks(units) {
        planner.place(&rack);
    }
    planner.visits.sort_by_key(|visit| visit.start);
    planner.placements.sort_by_key(|p| p.instance);
    (planner.visits, planner.placements)
}

impl Planner<'_> {
    /// Returns the units of each rack with the hours at which they are due.
    fn racks<'u>(&self, units: &'u [Unit]) -> Vec<Vec<(i64, &'u Unit)>> {
        let mut racks = BTreeMap::<_, Vec<_>>::new();
        for unit in units {
            let due = self.due_h(unit);
            racks
                .entry(unit.upstream.rack)
                .or_default()
                .push((due, unit));
        }
        let mut racks: Vec<_> = racks.into_values().collect();
        for rack in &mut racks {
            rack.sort_by_key(|(due, unit)| (*due, unit.upstream.instance));
        }
        racks.sort_by_key(|rack| rack[0].0);
        racks
    }

    fn due_h(&self, unit: &Unit) -> i64 {
        let age = since_epoch(self.start).saturating_sub(since_epoch(unit.maintained));
        let age_h = i64::try_from(age.as_secs().div_ceil(3600)).unwrap_or(i64::MAX);
        i64::from(self.policy.interval_h) - age_h
    }

    /// Places a group in one visit if that is no dearer than its halves can be.
    fn place(&mut self, units: &[(i64, &Unit)]) {
        let Some(group) = Group::new(&self.rows, units) else {
            self.wait(units, |unit| Reason::UnknownService(unit.service));
            return;
        };
        let together = group.best(&self.rows, self.policy);
        match together {
            Some(slot) if slot.cost <= self.single_cost(units) => self.book(&group, slot),
            None if units.len() == 1 => self.refuse(&group, units),
            _ => {
                let (left, right) = units.split_at(units.len() / 2);
                self.place(left);
                self.place(right);
            }
        }
    }

    /// Returns the least that separate visits would cost.
    fn single_cost(&self, units: &[(i64, &Unit)]) -> f64 {
        if units.len() == 1 {
            return f64::INFINITY;
        }
        let cost = |unit| {
            let group = Group::new(&self.rows, &[unit])?;
            Some(group.best(&self.rows, self.policy)?.cost)
        };
        let costs = units.iter().map(|unit| cost(*unit));
        costs.map(|c| c.unwrap_or(f64::INFINITY)).sum()
    }

    fn book(&mut self, group: &Group<'_>, slot: Slot) {
        group.book(&mut self.rows, slot);
        let start = self.start + Duration::from_secs(slot.hour as u64 * 3600);
        let together = group.units.len();
        let instances: Vec<_> = group.units.iter().map(|u| u.upstream.instance).collect();
        let interval = Duration::from_secs(u64::from(self.policy.interval_h) * 3600);
        for unit in &group.units {
            self.placements.push(Placement {
                instance: unit.upstream.instance,
                reason: Reason::Planned {
                    load_cost: slot.load_cost / together as f64,
                    overdue: unit.maintained + interval <= self.now,
                    together,
                },
                start: Some(start),
            });
        }
        self.visits.push(Visit { instances, start });
    }

    fn refuse(&mut self, group: &Group<'_>, units: &[(i64, &Unit)]) {
        let blocking = group.blocking(&self.rows, self.policy);
        self.wait(units, |unit| match blocking {
            Some((limit, service)) => Reason::NoHourFree { limit, service },
            None => Reason::UnknownService(unit.service),
        });
    }

    fn wait(&mut self, units: &[(i64, &Unit)], reason: impl Fn(&Unit) -> Reason) {
        for (_, unit) in units {
            self.placements.push(Placement {
                instance: unit.upstream.instance,
                reason: reason(unit),
                start: None,
            });
        }
    }
}

fn since_epoch(time: SystemTime) -> Duration {
    time.duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
}
