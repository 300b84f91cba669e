//! Figures of each service and team.

use std::{
    cmp::Ordering,
    time::Duration, //
};

use crate::{
    objective::PERIOD,
    series::Series,
    Alert,
    AlertState,
    Counts,
    Objective, //
};

/// Windows of a report, with their names.
pub const WINDOWS: [(Duration, &str); 4] = [
    (Duration::from_secs(300), "5 min"),
    (CURRENT, "1 h"),
    (Duration::from_secs(6 * 3600), "6 h"),
    (Duration::from_secs(3 * 24 * 3600), "3 days"),
];

/// Window whose burn rate is taken as the current one.
const CURRENT: Duration = Duration::from_secs(3600);

/// Time until the error budget is used up at the current burn rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Exhaustion {
    /// The budget is used up.
    Now,
    /// The budget is used up after this time.
    After(Duration),
    /// The budget lasts for longer than [`PERIOD`], in which all errors of
    /// today leave it again.
    BeyondPeriod,
    /// There were no requests from which to tell.
    Unknown,
}

/// Figures of one service and team.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Service.
    pub service: String,
    /// Team.
    pub team: String,
    /// Objective of the service.
    pub objective: Objective,
    /// Counts of each of [`WINDOWS`].
    pub windows: [Counts; WINDOWS.len()],
    /// Part of the error budget left, 1 when none is used and negative when
    /// more than all of it is used; `None` without requests.
    pub budget_left: Option<f64>,
    /// Time until the budget is used up.
    pub exhaustion: Exhaustion,
    /// Time that the figures cover, at most [`PERIOD`].
    pub history: Duration,
    /// State of each of [`Alert::ALL`].
    pub alerts: [AlertState; Alert::ALL.len()],
}

impl Row {
    /// Returns the figures of a series.
    pub(crate) fn new(
        (service, team): (&str, &str),
        objective: Objective,
        series: &Series,
        now_ms: u64,
    ) -> Self {
        let history = series.history(now_ms);
        let budget_left = budget_left(series.sum(now_ms, PERIOD), objective, history);
        let rate = series.sum(now_ms, CURRENT).burn_rate(objective);
        Self {
            service: service.to_owned(),
            team: team.to_owned(),
            objective,
            windows: WINDOWS.map(|(length, _)| series.sum(now_ms, length)),
            budget_left,
            exhaustion: exhaustion(budget_left, rate),
            history,
            alerts: Alert::ALL.map(|alert| series.alerts.state(alert)),
        }
    }

    /// Returns the burn rate over each of [`WINDOWS`].
    pub fn burn_rates(&self) -> [Option<f64>; WINDOWS.len()] {
        self.windows.map(|counts| counts.burn_rate(self.objective))
    }

    /// Returns the most urgent active alert.
    pub fn alert(&self) -> Option<Alert> {
        Alert::ALL
            .into_iter()
            .find(|alert| self.alerts[*alert as usize] == AlertState::Active)
    }
}

/// Orders rows from the worst to the best: by alert, budget left and name.
pub(crate) fn worst_first(one: &Row, other: &Row) -> Ordering {
    let urgency = |row: &Row| row.alert().map_or(Alert::ALL.len(), |alert| alert as usize);
    let left = |row: &Row| row.budget_left.unwrap_or(f64::INFINITY);
    urgency(one)
        .cmp(&urgency(other))
        .then_with(|| left(one).total_cmp(&left(other)))
        .then_with(|| one.service.cmp(&other.service))
        .then_with(|| one.team.cmp(&other.team))
}

/// Returns the part of the budget left.
///
/// The budget is that of a whole [`PERIOD`]. While the history is shorter, the
/// time before it counts as equal traffic without errors; a single error in
/// the first minute would otherwise use up the budget of 30 days.
fn budget_left(period: Counts, objective: Objective, history: Duration) -> Option<f64> {
    let rate = period.burn_rate(objective)?;
    Some(1.0 - rate * history.as_secs_f64() / PERIOD.as_secs_f64())
}

fn exhaustion(budget_left: Option<f64>, rate: Option<f64>) -> Exhaustion {
    let Some(left) = budget_left else {
        return Exhaustion::Unknown;
    };
    if left <= 0.0 {
        return Exhaustion::Now;
    }
    let Some(rate) = rate else {
        return Exhaustion::Unknown;
    };
    if rate <= left {
        return Exhaustion::BeyondPeriod;
    }
    Exhaustion::After(PERIOD.mul_f64(left / rate))
}
