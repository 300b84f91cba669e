//! Outages by hour, with the limits that they must keep.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use super::{
    MaintenancePolicy,
    MaintenanceTarget, //
    ServiceLoad,
};
use crate::{
    DataCentre,
    Limit,
    Rack,
    Service, //
};

/// Domain whose outages are limited.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Domain {
    DataCentre(Service, DataCentre),
    Rack(Service, Rack),
    Service(Service),
}

/// Outages of one domain in each hour of the plan.
struct Row {
    kind: Limit,
    /// Outages allowed, by hour; the values repeat.
    limits: Vec<u32>,
    /// Cost of one outage for the length of a visit, by hour; repeats.
    load_costs: Vec<f64>,
    out: Vec<u32>,
    service: Service,
}

/// Number of instances that a group takes from a row.
#[derive(Clone, Copy)]
pub(super) struct Need {
    pub(super) amount: u32,
    row: usize,
}

/// Outages of all domains.
pub(super) struct Rows {
    duration_h: usize,
    index: HashMap<Domain, usize>,
    rows: Vec<Row>,
    /// Hour since the Unix epoch in which the plan starts.
    start_h: u64,
}

impl Rows {
    pub(super) fn new(
        loads: &[ServiceLoad],
        targets: &[MaintenanceTarget],
        policy: &MaintenancePolicy,
        start_h: u64,
    ) -> Self {
        let mut rows = Self {
            duration_h: policy.duration_h.max(1) as usize,
            index: HashMap::new(),
            rows: Vec::new(),
            start_h,
        };
        let hours = policy.interval_h as usize + rows.duration_h;
        for load in loads {
            rows.add_service(load, policy, hours);
        }
        let by_service: HashMap<_, _> = loads.iter().map(|l| (l.service, l)).collect();
        for target in targets {
            let Some(load) = by_service.get(&target.service) else {
                continue;
            };
            rows.add_domains(load, target, hours);
        }
        rows
    }

    /// Returns what a group takes, or `None` if a service has no load.
    pub(super) fn needs<'a>(
        &self,
        targets: impl Iterator<Item = &'a MaintenanceTarget>,
    ) -> Option<Vec<Need>> {
        let mut amounts = BTreeMap::new();
        for target in targets {
            for domain in domains(target) {
                *amounts.entry(*self.index.get(&domain)?).or_insert(0) += 1;
            }
        }
        let need = |(row, amount)| Need { amount, row };
        Some(amounts.into_iter().map(need).collect())
    }

    /// Returns the first limit that a visit at this hour would break.
    pub(super) fn blocked(&self, needs: &[Need], hour: usize) -> Option<(Limit, Service)> {
        let breaks = |need: &&Need| {
            let row = &self.rows[need.row];
            (hour..hour + self.duration_h)
                .any(|h| row.out[h] + need.amount > row.limits[self.phase(h, row.limits.len())])
        };
        let need = needs.iter().find(breaks)?;
        let row = &self.rows[need.row];
        Some((row.kind, row.service))
    }

    /// Returns the cost of the load that a visit at this hour displaces.
    pub(super) fn load_cost(&self, needs: &[Need], hour: usize) -> f64 {
        let cost = |need: &Need| {
            let costs = &self.rows[need.row].load_costs;
            if costs.is_empty() {
                return 0.0;
            }
            f64::from(need.amount) * costs[self.phase(hour, costs.len())]
        };
        needs.iter().map(cost).sum()
    }

    /// Books a visit.
    pub(super) fn book(&mut self, needs: &[Need], hour: usize) {
        for need in needs {
            let hours = hour..hour + self.duration_h;
            for out in &mut self.rows[need.row].out[hours] {
                *out += need.amount;
            }
        }
    }

    fn phase(&self, hour: usize, period: usize) -> usize {
        let hour = self.start_h + hour as u64;
        (hour % period as u64) as usize
    }

    fn add_service(&mut self, load: &ServiceLoad, policy: &MaintenancePolicy, hours: usize) {
        let mut demand = load.demand_instances.clone();
        if demand.is_empty() {
            demand.push(0.0);
        }
        let upstreams = load.upstreams;
        let budget = upstreams - load.limits.floor(upstreams);
        let spare = |need: &f64| upstreams.saturating_sub(need.ceil() as u32).min(budget);
        let limits: Vec<u32> = demand.iter().map(spare).collect();
        let hourly = policy.load_cost / f64::from(upstreams.max(1));
        let cost = |i: usize| {
            let next = (i..i + self.duration_h).map(|h| demand[h % demand.len()]);
            hourly * next.sum::<f64>()
        };
        let load_costs = (0..demand.len()).map(cost).collect();
        let row = Row {
            kind: Limit::FloorOrDemand,
            limits,
            load_costs,
            out: vec![0; hours],
            service: load.service,
        };
        self.add(Domain::Service(load.service), row);
    }

    fn add_domains(&mut self, load: &ServiceLoad, target: &MaintenanceTarget, hours: usize) {
        let limited = [
            (Limit::DataCentre, load.limits.per_data_centre),
            (Limit::Rack, load.limits.per_rack),
        ];
        let [_, data_centre, rack] = domains(target);
        for (domain, (kind, limit)) in [data_centre, rack].into_iter().zip(limited) {
            if self.index.contains_key(&domain) {
                continue;
            }
            let row = Row {
                kind,
                limits: vec![limit],
                load_costs: Vec::new(),
                out: vec![0; hours],
                service: load.service,
            };
            self.add(domain, row);
        }
    }

    fn add(&mut self, domain: Domain, row: Row) {
        self.index.insert(domain, self.rows.len());
        self.rows.push(row);
    }
}

fn domains(target: &MaintenanceTarget) -> [Domain; 3] {
    [
        Domain::Service(target.service),
        Domain::DataCentre(target.service, target.upstream.data_centre),
        Domain::Rack(target.service, target.upstream.rack),
    ]
}
