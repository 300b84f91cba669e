//! Multi-window burn-rate alerts with hysteresis.

use std::time::Duration;

use crate::{
    series::Series,
    Counts,
    Objective, //
};

/// Burn rate below which an alert may end, in percent of its threshold.
const END_PERCENT: u32 = 80;

/// A burn-rate alert, which starts when the rate reaches its threshold over both a
/// long and a short window.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Alert {
    /// Burn rate of at least 14.4 over 1 h and over 5 min, which uses 2% of the budget
    /// in 1 h.
    Fast,
    /// Burn rate of at least 6 over 6 h and over 30 min, which uses 5% of the budget in
    /// 6 h.
    Slow,
}

impl Alert {
    /// All alerts, the most urgent first.
    pub const ALL: [Self; 2] = [Self::Fast, Self::Slow];

    /// Returns the name, as used in reports.
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

    /// Returns the lengths of the long and the short window.
    pub fn windows(self) -> (Duration, Duration) {
        match self {
            Self::Fast => (Duration::from_secs(3600), Duration::from_secs(300)),
            Self::Slow => (Duration::from_secs(6 * 3600), Duration::from_secs(1800)),
        }
    }

    /// Returns how long the burn rate must stay low before the alert ends.
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

/// The start or the end of an alert for one service and team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AlertChange {
    /// Name of the service.
    pub service: String,
    /// Name of the team.
    pub team: String,
    /// Alert that starts or ends.
    pub alert: Alert,
    /// New state.
    pub state: AlertState,
}

/// Alert states of one service and team.
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
    /// Updates the state for a level and returns the new state if it changed.
    fn update(&mut self, level: Level, now_ms: u64, hold: Duration) -> Option<AlertState> {
        if self.state == AlertState::Inactive {
            return (level == Level::High).then(|| self.set(AlertState::Active));
        }
        if level != Level::Low {
            self.low_since_ms = None;
            return None;
        }
        let low_since_ms = *self.low_since_ms.get_or_insert(now_ms);
        let low_time = Duration::from_millis(now_ms.saturating_sub(low_since_ms));
        (low_time >= hold).then(|| self.set(AlertState::Inactive))
    }

    fn set(&mut self, state: AlertState) -> AlertState {
        *self = Self {
            state,
            low_since_ms: None,
        };
        state
    }
}

/// Burn rate compared with the threshold of an alert.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Level {
    /// At the threshold or above in both windows: the alert starts.
    High,
    /// Neither high nor low: the state stays as it is.
    Between,
    /// Below [`END_PERCENT`] of the threshold, or without requests in both windows: the
    /// alert ends after the hold time.
    Low,
}

/// Updates the alerts of a series and returns those whose state changed.
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

/// Returns the combined level of both windows.
///
/// If the short window has no requests, only the long window can show that the
/// rate is low, so that a service without requests or samples is not considered
/// healthy.
fn level(alert: Alert, objective: Objective, long: Counts, short: Counts) -> Level {
    let start_rate = alert.threshold_hundredths();
    let end_rate = start_rate * END_PERCENT / 100;
    let is_high = |counts: Counts| counts.burns_at_least(objective, start_rate) == Some(true);
    if is_high(long) && is_high(short) {
        return Level::High;
    }
    let relevant = if short.total > 0 { short } else { long };
    if relevant.burns_at_least(objective, end_rate) == Some(true) {
        return Level::Between;
    }
    Level::Low
}
