//! Tracker of the burn rates of all services and teams.

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
    counter::SampleResult,
    report::{
        worst_first,
        Row, //
    },
    series::Series,
    AlertChange,
    Counts,
    Objective, //
};

/// Reason why a sample was not counted.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum SampleError {
    /// The service has no objective.
    #[snafu(display("service {service:?} has no objective; set one before its samples"))]
    NoObjective {
        /// Name of the service.
        service: String,
    },
    /// The number of good requests exceeds the number of all requests.
    #[snafu(display("sample has {good} good of {total} requests; good must be at most total"))]
    GoodAboveTotal {
        /// Number of good requests.
        good: u64,
        /// Number of all requests.
        total: u64,
    },
    /// The sample is not newer than the previous one of the same instance.
    #[snafu(display("sample is not newer than the previous one of instance {instance}; drop it"))]
    Late {
        /// Identifier of the instance.
        instance: u64,
    },
    /// The maximum number of instances sent samples in the last 10 min.
    #[snafu(display("{instances_max} instances send samples; raise instances_max"))]
    TooManyInstances {
        /// Maximum number of instances.
        instances_max: usize,
    },
    /// The maximum number of pairs of service and team is tracked.
    #[snafu(display("{series_max} pairs of service and team are tracked; raise series_max"))]
    TooManySeries {
        /// Maximum number of pairs.
        series_max: usize,
    },
}

/// Limits on the size of a [`Tracker`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of pairs of service and team, each of which takes about 4 KB.
    pub series_max: usize,
    /// Maximum number of instances per pair, each of which takes 32 bytes.
    pub instances_max: usize,
}

impl Default for Limits {
    /// Returns limits for 26 teams on 58 services and 16 entry instances.
    fn default() -> Self {
        Self {
            series_max: 26 * 58,
            instances_max: 16,
        }
    }
}

/// Cumulative counters of one instance for one service and team.
///
/// Requests before the first sample are not counted, so an instance must send its
/// first sample with counters of 0, before the first request of the pair.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample<'a> {
    /// Time at which the counters were read, on the clock of the caller.
    pub at: Instant,
    /// Identifier of the instance, which stays the same after a restart.
    pub instance: u64,
    /// Name of the service.
    pub service: &'a str,
    /// Name of the team.
    pub team: &'a str,
    /// Number of good requests since the instance started.
    pub good: u64,
    /// Number of all requests since the instance started.
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
    /// Creates an empty tracker that measures time from `origin`.
    pub fn new(origin: Instant, limits: Limits) -> Self {
        Self {
            origin,
            limits,
            series_len: 0,
            services: BTreeMap::new(),
        }
    }

    /// Sets the objective of a service. Its counts are kept, and evaluated against the
    /// new objective from now on.
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

    /// Removes a service with all its counts.
    pub fn remove_service(&mut self, service: &str) {
        if let Some(removed) = self.services.remove(service) {
            self.series_len -= removed.teams.len();
        }
    }

    /// Removes a team with all its counts.
    pub fn remove_team(&mut self, team: &str) {
        for service in self.services.values_mut() {
            self.series_len -= usize::from(service.teams.remove(team).is_some());
        }
    }

    /// Counts a sample.
    ///
    /// The first sample of an instance counts no requests; it is the baseline of the
    /// next one.
    ///
    /// # Errors
    ///
    /// Returns an error if the sample cannot be counted. The counts are then unchanged.
    pub fn observe(&mut self, sample: &Sample<'_>) -> Result<(), SampleError> {
        let (good, total) = (sample.good, sample.total);
        ensure!(good <= total, GoodAboveTotalSnafu { good, total });
        let counts = Counts {
            errors: total - good,
            total,
        };
        let at_ms = self.ms_since_origin(sample.at);
        let instances_max = self.limits.instances_max;
        let series = self.series(sample.service, sample.team, at_ms)?;
        let instance = sample.instance;
        match series
            .counters
            .record(instance, at_ms, counts, instances_max)
        {
            SampleResult::Baseline => Ok(()),
            SampleResult::Increase(increase) => {
                series.add(increase);
                Ok(())
            }
            SampleResult::Late => LateSnafu { instance }.fail(),
            SampleResult::Full => TooManyInstancesSnafu { instances_max }.fail(),
        }
    }

    /// Updates all alerts and returns those that started or ended.
    pub fn evaluate(&mut self, now: Instant) -> Vec<AlertChange> {
        let now_ms = self.ms_since_origin(now);
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

    /// Returns a row for each service and team, the worst first.
    ///
    /// The states of the alerts are those of the last [`Tracker::evaluate`].
    pub fn report(&self, now: Instant) -> Vec<Row> {
        let now_ms = self.ms_since_origin(now);
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

    fn ms_since_origin(&self, at: Instant) -> u64 {
        let since_origin = at.saturating_duration_since(self.origin);
        u64::try_from(since_origin.as_millis()).unwrap_or(u64::MAX)
    }
}
