//! Alerts on the burn rate over a long and a short window.

use std::time::Duration;

use crate::{
    series::Series,
    Counts,
    Objective, //
};

/// Part of the threshold under which an alert may end, in percent.
const END_PERCENT: u32 = 80;

/// Alert on the burn rate.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Alert {
    /// At least 14.4 over 1 h and over 5 min: 2% of the budget in 1 h.
    Fast,
    /// At least 6 over 6 h and over 30 min: 5% of the budget in 6 h.
    Slow,
}

impl Alert {
    /// All alerts, the most urgent first.
    pub const ALL: [Self; 2] = [Self::Fast, Self::Slow];

    /// Returns the name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fast => "fast",
            Self::Slow => "slow",
        }
    }

    /// Returns the burn rate at which the alert starts, in hundredths.
    pub fn threshold_hundredths(self) -> u32 {
        match self {
            Self::Fast => 1440,
            Self::Slow => 600,
        }
    }

    /// Returns the long and the short window.
    pub fn windows(self) -> (Duration, Duration) {
        match self {
            Self::Fast => (Duration::from_secs(3600), Duration::from_secs(300)),
            Self::Slow => (Duration::from_secs(6 * 3600), Duration::from_secs(1800)),
        }
    }

    /// Returns how long the rate has to stay low before the alert ends.
    pub fn hold(self) -> Duration {
        match self {
            Self::Fast => Duration::from_secs(120),
            Self::Slow => Duration::from_secs(900),
        }
    }
}

/// State of an alert.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AlertState {
    /// The alert is not active.
    #[default]
    Inactive,
    /// The alert is active.
    Active,
}

/// Start or end of an alert.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AlertChange {
    /// Service.
    pub service: String,
    /// Team.
    pub team: String,
    /// Alert.
    pub alert: Alert,
    /// New state.
    pub state: AlertState,
}

/// Alerts of one service and team.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Alerts([Hysteresis; Alert::ALL.len()]);

#[derive(Clone, Copy, Debug, Default)]
struct Hysteresis {
    state: AlertState,
    low_since_ms: Option<u64>,
}

impl Alerts {
    /// Returns the state of an alert.
    pub(crate) fn state(&self, alert: Alert) -> AlertState {
        self.0[alert as usize].state
    }

    fn update(&mut self, alert: Alert, level: Level, now_ms: u64) -> Option<AlertState> {
        self.0[alert as usize].update(level, now_ms, alert.hold())
    }
}

impl Hysteresis {
    /// Takes the level over and returns the new state when it changes.
    fn update(&mut self, level: Level, now_ms: u64, hold: Duration) -> Option<AlertState> {
        if self.state == AlertState::Inactive {
            return (level == Level::High).then(|| self.set(AlertState::Active));
        }
        if level != Level::Low {
            self.low_since_ms = None;
            return None;
        }
        let low_since_ms = *self.low_since_ms.get_or_insert(now_ms);
        let low = Duration::from_millis(now_ms.saturating_sub(low_since_ms));
        (low >= hold).then(|| self.set(AlertState::Inactive))
    }

    fn set(&mut self, state: AlertState) -> AlertState {
        *self = Self {
            state,
            low_since_ms: None,
        };
        state
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Level {
    High,
    Between,
    Low,
}

/// Updates the alerts of a series and returns those that changed.
pub(crate) fn update(
    series: &mut Series,
    objective: Objective,
    now_ms: u64,
) -> impl Iterator<Item = (Alert, AlertState)> + '_ {
    Alert::ALL.into_iter().filter_map(move |alert| {
        let (long, short) = alert.windows();
        let (long, short) = (series.sum(now_ms, long), series.sum(now_ms, short));
        let level = level(alert, objective, long, short);
        let state = series.alerts.update(alert, level, now_ms)?;
        Some((alert, state))
    })
}

/// Returns the level of both windows together.
///
/// Without requests in the short window, only the long one can show that the
/// rate is low: a service that gets no requests or no samples is not taken for
/// a healthy one.
fn level(alert: Alert, objective: Objective, long: Counts, short: Counts) -> Level {
    let start = alert.threshold_hundredths();
    let end = start * END_PERCENT / 100;
    let is_high = |counts: Counts| counts.burns_at_least(objective, start) == Some(true);
    if is_high(long) && is_high(short) {
        return Level::High;
    }
    let deciding = if short.total > 0 { short } else { long };
    if deciding.burns_at_least(objective, end) == Some(true) {
        return Level::Between;
    }
    Level::Low
}
