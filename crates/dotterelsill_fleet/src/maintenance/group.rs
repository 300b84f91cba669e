//! Choice of the hour for a group of instances of one rack.

use std::collections::HashMap;

use super::{
    rows::{
        OutageCalendar,
        OutageCount, //
    },
    MaintenancePolicy,
    MaintenanceTarget, //
};
use crate::{
    Limit,
    Service, //
};

/// Instances of one rack that are candidates for a joint visit.
pub(super) struct Group<'a> {
    /// Hours from the start of the plan until each target is due, negative if it
    /// is overdue.
    due_h: Vec<i64>,
    outages: Vec<OutageCount>,
    pub(super) targets: Vec<&'a MaintenanceTarget>,
}

/// Start of a visit, in hours after the start of the plan, and its costs.
#[derive(Clone, Copy)]
pub(super) struct Slot {
    pub(super) cost: f64,
    pub(super) hour: usize,
    pub(super) load_cost: f64,
}

impl<'a> Group<'a> {
    /// Creates a group, or returns `None` if the load of a service is unknown.
    pub(super) fn new(
        calendar: &OutageCalendar,
        targets: &[(i64, &'a MaintenanceTarget)],
    ) -> Option<Self> {
        Some(Self {
            due_h: targets.iter().map(|(due, _)| *due).collect(),
            outages: calendar.outage_counts(targets.iter().map(|(_, target)| *target))?,
            targets: targets.iter().map(|(_, target)| *target).collect(),
        })
    }

    /// Returns the cheapest slot that exceeds no limit.
    pub(super) fn cheapest_slot(
        &self,
        calendar: &OutageCalendar,
        policy: &MaintenancePolicy,
    ) -> Option<Slot> {
        let hours = self.start_hours(policy);
        hours
            .filter(|hour| calendar.exceeded_limit(&self.outages, *hour).is_none())
            .map(|hour| self.slot(calendar, policy, hour))
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns the limit that is exceeded in the most hours.
    pub(super) fn most_frequent_limit(
        &self,
        calendar: &OutageCalendar,
        policy: &MaintenancePolicy,
    ) -> Option<(Limit, Service)> {
        let mut counts = HashMap::new();
        for limit in self
            .start_hours(policy)
            .filter_map(|hour| calendar.exceeded_limit(&self.outages, hour))
        {
            *counts.entry(limit).or_insert(0_u32) += 1;
        }
        let most_frequent = counts
            .into_iter()
            .max_by_key(|(limit, count)| (*count, *limit));
        most_frequent.map(|(limit, _)| limit)
    }

    /// Adds the outages of the visit to the calendar.
    pub(super) fn book(&self, calendar: &mut OutageCalendar, slot: Slot) {
        calendar.book(&self.outages, slot.hour);
    }

    /// Returns the hours in which the visit may start. An overdue instance may be
    /// maintained at any hour; the earliest costs least.
    fn start_hours(&self, policy: &MaintenancePolicy) -> std::ops::Range<usize> {
        let due = self.due_h.iter().copied().min().unwrap_or(0);
        let interval_h = i64::from(policy.interval_h);
        let margin = i64::from(policy.margin_h);
        let end = match due {
            due if due <= 0 => interval_h,
            due if due <= margin => due,
            due => due - margin,
        };
        let end = end.clamp(1, interval_h.max(1));
        0..usize::try_from(end).unwrap_or(1)
    }

    fn slot(&self, calendar: &OutageCalendar, policy: &MaintenancePolicy, hour: usize) -> Slot {
        let load_cost = calendar.load_cost(&self.outages, hour);
        let interval = f64::from(policy.interval_h.max(1));
        let deviation = |due: &i64| (*due - hour as i64).unsigned_abs() as f64 / interval;
        let deviation_cost = policy.instance_cost * self.due_h.iter().map(deviation).sum::<f64>();
        Slot {
            cost: policy.visit_cost + load_cost + deviation_cost,
            hour,
            load_cost,
        }
    }
}
