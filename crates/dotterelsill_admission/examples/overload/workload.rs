//! Teams, request sources and run times of the simulation.

use std::time::Duration;

use rand::{
    rngs::SmallRng,
    RngExt as _, //
};

/// Slots of the service: 12 upstreams with 8 slots each.
pub(crate) const UPSTREAMS: usize = 12;
pub(crate) const SLOTS_PER_UPSTREAM: u32 = 8;
pub(crate) const SLOTS: f64 = 96.0;

/// Demand as a multiple of the capacity.
const OVERLOAD: f64 = 5.0;

/// Shares of the teams, in percent.
pub(crate) const SHARES_PERCENT: [u32; 6] = [35, 25, 20, 10, 6, 4];

/// Part of the total demand that each team causes, in percent. The teams with
/// the smallest shares demand far more than their share.
const DEMAND_PERCENT: [f64; 6] = [12.0, 13.0, 15.0, 15.0, 20.0, 25.0];

/// Demand of urgent requests as a part of the team's share, and demand of
/// reports as a part of the team's demand.
const URGENT_OF_SHARE: f64 = 0.3;
const REPORTS_OF_DEMAND: f64 = 0.3;

/// Mean run times of the teams' ordinary requests, in seconds.
const ORDINARY_RUN_S: [f64; 6] = [0.2, 0.5, 0.1, 0.3, 0.02, 2.0];

/// Standard deviation of the logarithm of the run times.
const RUN_TIME_SIGMA: f64 = 1.2;

/// Source of requests of one team at one urgency.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source {
    pub(crate) team: usize,
    pub(crate) urgency: u32,
    pub(crate) timeout: Duration,
    mean_run_s: f64,
    arrivals_per_s: f64,
}

impl Source {
    /// Returns the time until the next request, exponentially distributed.
    pub(crate) fn interval(&self, random: &mut SmallRng) -> Duration {
        let uniform = 1.0 - random.random::<f64>();
        Duration::from_secs_f64(-uniform.ln() / self.arrivals_per_s)
    }

    /// Returns a log-normally distributed run time: a few are far above the
    /// mean.
    pub(crate) fn run_time(&self, random: &mut SmallRng) -> Duration {
        let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * random.random::<f64>()).cos();
        let factor = (RUN_TIME_SIGMA * normal - RUN_TIME_SIGMA * RUN_TIME_SIGMA / 2.0).exp();
        Duration::from_secs_f64((self.mean_run_s * factor).clamp(1e-4, 3600.0))
    }
}

/// Returns the sources of all teams.
pub(crate) fn sources() -> Vec<Source> {
    (0..SHARES_PERCENT.len())
        .flat_map(sources_of_team)
        .collect()
}

/// Returns the sources of urgent requests, ordinary requests and reports of one
/// team.
fn sources_of_team(team: usize) -> [Source; 3] {
    let demand = OVERLOAD * SLOTS * DEMAND_PERCENT[team] / 100.0;
    let share = SLOTS * f64::from(SHARES_PERCENT[team]) / 100.0;
    let urgent = share * URGENT_OF_SHARE;
    let reports = demand * REPORTS_OF_DEMAND;
    let source = |urgency, timeout_s, mean_run_s: f64, slots: f64| Source {
        team,
        urgency,
        timeout: Duration::from_secs(timeout_s),
        mean_run_s,
        arrivals_per_s: slots / mean_run_s,
    };
    [
        source(0, 5, 0.05, urgent),
        source(1, 30, ORDINARY_RUN_S[team], demand - urgent - reports),
        source(2, 600, 10.0, reports),
    ]
}
