//! Progress of waves for the log and the metrics.

use std::time::Duration;

use super::{
    Stage,
    WaveState, //
};
use crate::Scheduler;

/// Minimum time between two log lines on the progress of a wave.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Progress of a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaveProgress {
    /// Number of the wave.
    pub number: u64,
    /// Number of instances whose maintenance is not known to have started.
    pub instances_left: usize,
    /// Time until the wave must be over; zero once it has passed.
    pub time_left: Duration,
}

impl WaveState {
    fn progress(&self, unix: Duration) -> WaveProgress {
        let has_begun = |stage: &Stage| matches!(stage, Stage::Done | Stage::InMaintenance { .. });
        let left = self.stages.values().filter(|stage| !has_begun(stage));
        WaveProgress {
            number: self.wave.number,
            instances_left: left.count(),
            time_left: (self.started_unix + self.wave.duration).saturating_sub(unix),
        }
    }
}

impl Scheduler {
    /// Returns the progress of all requested waves.
    pub fn wave_progress(&self, unix: Duration) -> Vec<WaveProgress> {
        let waves = self.waves.values();
        waves.map(|state| state.progress(unix)).collect()
    }

    /// Logs the progress of a wave that is not completed, at most once a second.
    pub(super) fn log_progress(&self, state: &mut WaveState, now: Duration, unix: Duration) {
        let is_early = state.logged_at.is_some_and(|at| now < at + LOG_INTERVAL);
        if state.is_completed || is_early {
            return;
        }
        state.logged_at = Some(now);
        let progress = state.progress(unix);
        let count = |is_it: fn(&Stage) -> bool| {
            let stages = state.stages.values();
            stages.filter(|stage| is_it(stage)).count() as u64
        };
        let budgeted_ms = self.budgeted_time(state).as_millis() as u64;
        log::info!(
            wave = state.wave.number, left = progress.instances_left as u64,
            left_ms = progress.time_left.as_millis() as u64,
            draining = count(|stage| matches!(stage, Stage::Draining { .. })),
            ordered = count(|stage| matches!(stage, Stage::Ordered)),
            uncertain = count(|stage| matches!(stage, Stage::MayBeDown { .. })),
            in_maintenance = count(|stage| matches!(stage, Stage::InMaintenance { .. })),
            deferred = state.deferred as u64, budgeted_ms;
            "wave_progress"
        );
    }
}
