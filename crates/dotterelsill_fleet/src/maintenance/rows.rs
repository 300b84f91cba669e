//! Calendar of the planned outages by hour, with their limits.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use super::{
    MaintenancePolicy,
    MaintenanceTarget,
    ServiceLoad, //
};
use crate::{
    DataCentre,
    Limit,
    Rack,
    Service, //
};

/// Service or failure domain within a service whose outages are limited.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Domain {
    DataCentre(Service, DataCentre),
    Rack(Service, Rack),
    Service(Service),
}

/// Planned outages of one domain in each hour of the plan.
struct DomainCalendar {
    kind: Limit,
    /// Number of outages allowed, by hour since the Unix epoch; the values repeat.
    max_outages: Vec<u32>,
    /// Cost of one outage for the length of a visit, by hour since the Unix epoch
    /// in which the visit starts; the values repeat. Empty for data centres and
    /// racks, because the demand is known by service only.
    load_costs: Vec<f64>,
    planned: Vec<u32>,
    service: Service,
}

/// Number of instances of a group that belong to one domain.
#[derive(Clone, Copy)]
pub(super) struct OutageCount {
    pub(super) count: u32,
    calendar: usize,
}

/// Planned outages of all domains.
pub(super) struct OutageCalendar {
    duration_h: usize,
    index: HashMap<Domain, usize>,
    calendars: Vec<DomainCalendar>,
    /// Start of the plan, in hours since the Unix epoch.
    start_h: u64,
}

impl OutageCalendar {
    pub(super) fn new(
        loads: &[ServiceLoad],
        targets: &[MaintenanceTarget],
        policy: &MaintenancePolicy,
        start_h: u64,
    ) -> Self {
        let mut result = Self {
            duration_h: policy.duration_h.max(1) as usize,
            index: HashMap::new(),
            calendars: Vec::new(),
            start_h,
        };
        let hours = policy.interval_h as usize + result.duration_h;
        for load in loads {
            result.add_service(load, policy, hours);
        }
        let by_service: HashMap<_, _> = loads.iter().map(|l| (l.service, l)).collect();
        for target in targets {
            let Some(load) = by_service.get(&target.service) else {
                continue;
            };
            result.add_domains(load, target, hours);
        }
        result
    }

    /// Returns the outages of a group by domain, or `None` if the load of a service
    /// is unknown.
    pub(super) fn outage_counts<'a>(
        &self,
        targets: impl Iterator<Item = &'a MaintenanceTarget>,
    ) -> Option<Vec<OutageCount>> {
        let mut counts = BTreeMap::new();
        for target in targets {
            for domain in domains(target) {
                *counts.entry(*self.index.get(&domain)?).or_insert(0) += 1;
            }
        }
        let outage = |(calendar, count)| OutageCount { count, calendar };
        Some(counts.into_iter().map(outage).collect())
    }

    /// Returns the first limit that a visit at this hour would exceed.
    pub(super) fn exceeded_limit(
        &self,
        outages: &[OutageCount],
        hour: usize,
    ) -> Option<(Limit, Service)> {
        let exceeds = |outage: &&OutageCount| {
            let calendar = &self.calendars[outage.calendar];
            (hour..hour + self.duration_h).any(|h| {
                calendar.planned[h] + outage.count
                    > calendar.max_outages[self.period_index(h, calendar.max_outages.len())]
            })
        };
        let outage = outages.iter().find(exceeds)?;
        let calendar = &self.calendars[outage.calendar];
        Some((calendar.kind, calendar.service))
    }

    /// Returns the cost of the load that a visit at this hour displaces.
    pub(super) fn load_cost(&self, outages: &[OutageCount], hour: usize) -> f64 {
        let cost = |outage: &OutageCount| {
            let costs = &self.calendars[outage.calendar].load_costs;
            if costs.is_empty() {
                return 0.0;
            }
            f64::from(outage.count) * costs[self.period_index(hour, costs.len())]
        };
        outages.iter().map(cost).sum()
    }

    /// Adds the outages of a visit that starts at this hour.
    pub(super) fn book(&mut self, outages: &[OutageCount], hour: usize) {
        for outage in outages {
            let hours = hour..hour + self.duration_h;
            for planned in &mut self.calendars[outage.calendar].planned[hours] {
                *planned += outage.count;
            }
        }
    }

    fn period_index(&self, hour: usize, period_h: usize) -> usize {
        let hour = self.start_h + hour as u64;
        (hour % period_h as u64) as usize
    }

    fn add_service(&mut self, load: &ServiceLoad, policy: &MaintenancePolicy, hours: usize) {
        let mut demand = load.demand_instances.clone();
        if demand.is_empty() {
            demand.push(0.0);
        }
        let upstreams = load.upstreams;
        let budget = upstreams - load.limits.floor(upstreams);
        let allowed = |needed: &f64| upstreams.saturating_sub(needed.ceil() as u32).min(budget);
        let max_outages: Vec<u32> = demand.iter().map(allowed).collect();
        let hourly_cost = policy.load_cost / f64::from(upstreams.max(1));
        let cost = |i: usize| {
            let visit_demand = (i..i + self.duration_h).map(|h| demand[h % demand.len()]);
            hourly_cost * visit_demand.sum::<f64>()
        };
        let load_costs = (0..demand.len()).map(cost).collect();
        let calendar = DomainCalendar {
            kind: Limit::FloorOrDemand,
            max_outages,
            load_costs,
            planned: vec![0; hours],
            service: load.service,
        };
        self.add(Domain::Service(load.service), calendar);
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
            let calendar = DomainCalendar {
                kind,
                max_outages: vec![limit],
                load_costs: Vec::new(),
                planned: vec![0; hours],
                service: load.service,
            };
            self.add(domain, calendar);
        }
    }

    fn add(&mut self, domain: Domain, calendar: DomainCalendar) {
        self.index.insert(domain, self.calendars.len());
        self.calendars.push(calendar);
    }
}

fn domains(target: &MaintenanceTarget) -> [Domain; 3] {
    [
        Domain::Service(target.service),
        Domain::DataCentre(target.service, target.upstream.data_centre),
        Domain::Rack(target.service, target.upstream.rack),
    ]
}
