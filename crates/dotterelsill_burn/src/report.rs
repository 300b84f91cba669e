//! Report rows, one for each service and team.

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

/// Windows of the burn rates in a report, with their names.
pub const WINDOWS: [(Duration, &str); 4] = [
    (Duration::from_secs(300), "5 min"),
    (CURRENT_WINDOW, "1 h"),
    (Duration::from_secs(6 * 3600), "6 h"),
    (Duration::from_secs(3 * 24 * 3600), "3 days"),
];

/// Window of the current burn rate, from which the exhaustion is estimated.
const CURRENT_WINDOW: Duration = Duration::from_secs(3600);

/// Time until the error budget is exhausted at the current burn rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Exhaustion {
    /// The budget is exhausted.
    Now,
    /// The budget is exhausted after this time.
    After(Duration),
    /// The budget lasts longer than [`PERIOD`], after which the errors counted so far
    /// no longer affect it.
    BeyondPeriod,
    /// There were no requests to estimate it from.
    Unknown,
}

/// Burn rates and error budget of one service and team.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Name of the service.
    pub service: String,
    /// Name of the team.
    pub team: String,
    /// Objective of the service.
    pub objective: Objective,
    /// Counts of each window of [`WINDOWS`].
    pub windows: [Counts; WINDOWS.len()],
    /// Remaining ratio of the error budget: 1 if none is used, negative if it is
    /// exceeded, `None` without requests.
    pub budget_left: Option<f64>,
    /// Time until the budget is exhausted.
    pub exhaustion: Exhaustion,
    /// Time since the first sample, at most [`PERIOD`].
    pub history: Duration,
    /// State of each alert of [`Alert::ALL`].
    pub alerts: [AlertState; Alert::ALL.len()],
}

impl Row {
    /// Creates the row of a series.
    pub(crate) fn new(
        (service, team): (&str, &str),
        objective: Objective,
        series: &Series,
        now_ms: u64,
    ) -> Self {
        let history = series.history(now_ms);
        let budget_left = budget_left(series.sum(now_ms, PERIOD), objective, history);
        let rate = series.sum(now_ms, CURRENT_WINDOW).burn_rate(objective);
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

    /// Returns the burn rate over each window of [`WINDOWS`].
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

/// Orders rows from worst to best: by alert, remaining budget and name.
pub(crate) fn worst_first(one: &Row, other: &Row) -> Ordering {
    let urgency = |row: &Row| row.alert().map_or(Alert::ALL.len(), |alert| alert as usize);
    let remaining = |row: &Row| row.budget_left.unwrap_or(f64::INFINITY);
    urgency(one)
        .cmp(&urgency(other))
        .then_with(|| remaining(one).total_cmp(&remaining(other)))
        .then_with(|| one.service.cmp(&other.service))
        .then_with(|| one.team.cmp(&other.team))
}

/// Returns the remaining ratio of the budget.
///
/// The budget is that of a whole [`PERIOD`]. While the history is shorter, the time
/// before it is assumed to have had the same traffic without errors; otherwise, a
/// single error in the first minute would exhaust the budget of 30 days.
fn budget_left(period: Counts, objective: Objective, history: Duration) -> Option<f64> {
    let rate = period.burn_rate(objective)?;
    Some(1.0 - rate * history.as_secs_f64() / PERIOD.as_secs_f64())
}

fn exhaustion(budget_left: Option<f64>, rate: Option<f64>) -> Exhaustion {
    let Some(remaining) = budget_left else {
        return Exhaustion::Unknown;
    };
    if remaining <= 0.0 {
        return Exhaustion::Now;
    }
    let Some(rate) = rate else {
        return Exhaustion::Unknown;
    };
    if rate <= remaining {
        return Exhaustion::BeyondPeriod;
    }
    Exhaustion::After(PERIOD.mul_f64(remaining / rate))
}
