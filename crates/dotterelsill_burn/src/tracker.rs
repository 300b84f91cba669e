//! State of all services and teams.

use std::{
    collections::BTreeMap,
    time::Instant, //
};

use snafu::{
    ensure,
    OptionExt,
    Snafu, //
};

use crate::{
    alert,
    counter::Step,
    report::{
        worst_first,
        Row, //
    },
    series::Series,
    AlertChange,
    Counts,
    Objective, //
};

/// A sample was not counted.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum SampleError {
    /// The service has no objective.
    #[snafu(display("service {service:?} has no objective; set one before its samples"))]
    NoObjective {
        /// Service.
        service: String,
    },
    /// More requests are good than were made.
    #[snafu(display("sample has {good} good of {total} requests; good must be at most total"))]
    GoodAboveTotal {
        /// Good requests.
        good: u64,
        /// All requests.
        total: u64,
    },
    /// The sample is not newer than the last one of the same instance.
    #[snafu(display("sample is not newer than the last one of instance {instance}; drop it"))]
    Late {
        /// Instance.
        instance: u64,
    },
    /// As many instances as allowed were seen in the last 10 min.
    #[snafu(display("{instances_max} instances send samples; raise instances_max"))]
    TooManyInstances {
        /// Limit.
        instances_max: usize,
    },
    /// There are as many services and teams as allowed.
    #[snafu(display("{series_max} pairs of service and team are tracked; raise series_max"))]
    TooManySeries {
        /// Limit.
        series_max: usize,
    },
}

/// Bounds of the state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Pairs of service and team, each of about 4 KB.
    pub series_max: usize,
    /// Instances whose counters are kept for each pair, each of 32 bytes.
    pub instances_max: usize,
}

impl Default for Limits {
    /// Returns bounds for 26 teams on 58 services and 16 entry instances.
    fn default() -> Self {
        Self {
            series_max: 26 * 58,
            instances_max: 16,
        }
    }
}

/// Cumulative counters of one instance at one instant.
///
/// An instance sends its first sample of each pair with counters of 0, before
/// the pair's first request: requests before the first sample are not counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample<'a> {
    /// Instant at which the counters were read, on the driver's clock.
    pub at: Instant,
    /// Number of the counting instance, the same after its restarts.
    pub instance: u64,
    /// Service.
    pub service: &'a str,
    /// Team.
    pub team: &'a str,
    /// Good requests since the instance started.
    pub good: u64,
    /// All requests since the instance started.
    pub total: u64,
}

/// Burn rates and alerts of all services and teams.
#[derive(Debug)]
pub struct Tracker {
    origin: Instant,
    limits: Limits,
    series_len: usize,
    services: BTreeMap<Box<str>, Service>,
}

#[derive(Debug)]
struct Service {
    objective: Objective,
    teams: BTreeMap<Box<str>, Series>,
}

impl Tracker {
    /// Creates an empty tracker that counts time from `origin`.
    pub fn new(origin: Instant, limits: Limits) -> Self {
        Self {
            origin,
            limits,
            series_len: 0,
            services: BTreeMap::new(),
        }
    }

    /// Sets the objective of a service. Its counts are kept, and are judged by
    /// the new objective from now on.
    pub fn set_objective(&mut self, service: &str, objective: Objective) {
        if let Some(service) = self.services.get_mut(service) {
            service.objective = objective;
            return;
        }
        let new = Service {
            objective,
            teams: BTreeMap::new(),
        };
        self.services.insert(service.into(), new);
    }

    /// Removes a service and all its counts.
    pub fn remove_service(&mut self, service: &str) {
        if let Some(removed) = self.services.remove(service) {
            self.series_len -= removed.teams.len();
        }
    }

    /// Removes a team and all its counts.
    pub fn remove_team(&mut self, team: &str) {
        for service in self.services.values_mut() {
            self.series_len -= usize::from(service.teams.remove(team).is_some());
        }
    }

    /// Counts a sample.
    ///
    /// The first sample of an instance is the base for its next one and counts
    /// no requests.
    ///
    /// # Errors
    ///
    /// Returns an error when the sample cannot be counted. All counts are then
    /// unchanged.
    pub fn observe(&mut self, sample: &Sample<'_>) -> Result<(), SampleError> {
        let (good, total) = (sample.good, sample.total);
        ensure!(good <= total, GoodAboveTotalSnafu { good, total });
        let counts = Counts {
            errors: total - good,
            total,
        };
        let at_ms = self.ms(sample.at);
        let instances_max = self.limits.instances_max;
        let series = self.series(sample.service, sample.team, at_ms)?;
        let instance = sample.instance;
        match series.counters.step(instance, at_ms, counts, instances_max) {
            Step::First => Ok(()),
            Step::Increase(increase) => {
                series.add(increase);
                Ok(())
            }
            Step::Late => LateSnafu { instance }.fail(),
            Step::Full => TooManyInstancesSnafu { instances_max }.fail(),
        }
    }

    /// Updates all alerts and returns those that start or end.
    pub fn evaluate(&mut self, now: Instant) -> Vec<AlertChange> {
        let now_ms = self.ms(now);
        let mut changes = Vec::new();
        for (service, state) in &mut self.services {
            for (team, series) in &mut state.teams {
                let changed = alert::update(series, state.objective, now_ms);
                changes.extend(changed.map(|(alert, state)| AlertChange {
                    service: service.to_string(),
                    team: team.to_string(),
                    alert,
                    state,
                }));
            }
        }
        changes
    }

    /// Returns the figures of every service and team, the worst first.
    ///
    /// Alerts are in the state in which [`Tracker::evaluate`] left them.
    pub fn report(&self, now: Instant) -> Vec<Row> {
        let now_ms = self.ms(now);
        let mut rows = Vec::with_capacity(self.series_len);
        for (service, state) in &self.services {
            for (team, series) in &state.teams {
                rows.push(Row::new((service, team), state.objective, series, now_ms));
            }
        }
        rows.sort_by(worst_first);
        rows
    }

    fn series(
        &mut self,
        service: &str,
        team: &str,
        at_ms: u64,
    ) -> Result<&mut Series, SampleError> {
        let series_max = self.limits.series_max;
        let state = self.services.get_mut(service);
        let teams = &mut state.context(NoObjectiveSnafu { service })?.teams;
        if !teams.contains_key(team) {
            ensure!(
                self.series_len < series_max,
                TooManySeriesSnafu { series_max }
            );
            self.series_len += 1;
        }
        Ok(teams
            .entry(team.into())
            .or_insert_with(|| Series::new(at_ms)))
    }

    fn ms(&self, at: Instant) -> u64 {
        let since_origin = at.saturating_duration_since(self.origin);
        u64::try_from(since_origin.as_millis()).unwrap_or(u64::MAX)
    }
}
