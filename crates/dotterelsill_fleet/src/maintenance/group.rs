//! Choice of the hour for a group of instances in one rack.

use std::collections::HashMap;

use super::{
    rows::{
        Need,
        Rows, //
    },
    MaintenancePolicy,
    MaintenanceTarget, //
};
use crate::{
    Limit,
    Service, //
};

/// Instances of one rack that may be maintained in one visit.
pub(super) struct Group<'a> {
    /// Hours after the start of the plan at which the targets are due.
    due_h: Vec<i64>,
    needs: Vec<Need>,
    pub(super) targets: Vec<&'a MaintenanceTarget>,
}

/// Hour of a visit and what it costs.
#[derive(Clone, Copy)]
pub(super) struct Slot {
    pub(super) cost: f64,
    pub(super) hour: usize,
    pub(super) load_cost: f64,
}

impl<'a> Group<'a> {
    /// Returns a group, or `None` if a service has no load.
    pub(super) fn new(rows: &Rows, targets: &[(i64, &'a MaintenanceTarget)]) -> Option<Self> {
        Some(Self {
            due_h: targets.iter().map(|(due, _)| *due).collect(),
            needs: rows.needs(targets.iter().map(|(_, target)| *target))?,
            targets: targets.iter().map(|(_, target)| *target).collect(),
        })
    }

    /// Returns the cheapest hour that breaks no limit.
    pub(super) fn best(&self, rows: &Rows, policy: &MaintenancePolicy) -> Option<Slot> {
        let hours = self.window(policy);
        hours
            .filter(|hour| rows.blocked(&self.needs, *hour).is_none())
            .map(|hour| self.slot(rows, policy, hour))
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns the limit that blocks the most hours.
    pub(super) fn blocking(
        &self,
        rows: &Rows,
        policy: &MaintenancePolicy,
    ) -> Option<(Limit, Service)> {
        let mut counts = HashMap::new();
        for limit in self
            .window(policy)
            .filter_map(|hour| rows.blocked(&self.needs, hour))
        {
            *counts.entry(limit).or_insert(0_u32) += 1;
        }
        let most = counts
            .into_iter()
            .max_by_key(|(limit, count)| (*count, *limit));
        most.map(|(limit, _)| limit)
    }

    /// Books the visit.
    pub(super) fn book(&self, rows: &mut Rows, slot: Slot) {
        rows.book(&self.needs, slot.hour);
    }

    /// Returns the hours in which the visit may start. An instance that is due
    /// already may be taken at any hour, and the earliest costs least.
    fn window(&self, policy: &MaintenancePolicy) -> std::ops::Range<usize> {
        let due = self.due_h.iter().copied().min().unwrap_or(0);
        let last = i64::from(policy.interval_h);
        let margin = i64::from(policy.margin_h);
        let end = match due {
            due if due <= 0 => last,
            due if due <= margin => due,
            due => due - margin,
        };
        let end = end.clamp(1, last.max(1));
        0..usize::try_from(end).unwrap_or(1)
    }

    fn slot(&self, rows: &Rows, policy: &MaintenancePolicy, hour: usize) -> Slot {
        let load_cost = rows.load_cost(&self.needs, hour);
        let interval = f64::from(policy.interval_h.max(1));
        let off = |due: &i64| (*due - hour as i64).unsigned_abs() as f64 / interval;
        let off_cost = policy.instance_cost * self.due_h.iter().map(off).sum::<f64>();
        Slot {
            cost: policy.visit_cost + load_cost + off_cost,
            hour,
            load_cost,
        }
    }
}
