//! Speed of a run, from the progress that its worker reports.

use std::{
    hash::{
        DefaultHasher,
        Hash as _,
        Hasher as _, //
    },
    time::Duration, //
};

/// Minimum time over which the speed of a run is measured. Progress comes in whole
/// percent, and a run may begin with a start-up without progress.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// Part of the expected run time over which the speed is measured at least, as a divisor.
const INTERVAL_DIVISOR: u32 = 4;

/// Longest minimum time of a measurement. Workers are slow for 5 to 7 s, most of which
/// must be left when this is found.
const LONGEST_MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a measurement ends although it shows neither a slow nor a usual run.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// Factor on the expected run time from which on a run is slow. Estimates that are off by
/// half stay below it; slow workers and stragglers take 5 to 7 times as long.
const SLOW_FACTOR: u32 = 3;

/// Factor on the expected run time below which a run has its usual speed.
const USUAL_FACTOR: u32 = 2;

/// Time for which a measurement counts: the longest wait of a status call, which is
/// 1.5 s, and the call itself.
pub(super) const MAX_STATUS_AGE: Duration = Duration::from_secs(2);

/// Part of the expected run time, in percent, after which a run is overdue.
const OVERDUE_PERCENT: u32 = 150;

/// Result of a measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// The run takes at least [`SLOW_FACTOR`] times as long as expected.
    Slow,
    /// The run takes less than [`USUAL_FACTOR`] times as long as expected.
    Usual,
}

/// Last measurement of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Measurement {
    at: Duration,
    verdict: Option<Verdict>,
    /// Work left, in percent.
    left_percent: u32,
    /// Time that the whole task takes at the measured speed.
    whole: Duration,
}

/// Progress of a run over time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct RunSpeed {
    /// Time since which the run is known to be active.
    begun_at: Option<Duration>,
    /// Whether the run began at `begun_at`, without a checkpoint.
    is_whole: bool,
    /// Whether the run resumes from a checkpoint, so that its first progress is unknown.
    resumes: bool,
    /// Time and progress at the begin of the present measurement.
    since: Duration,
    since_percent: u32,
    percent: u32,
    /// Hash of the latest checkpoint, and the progress that it holds at least, in percent.
    checkpoint: u64,
    saved_percent: u32,
    last: Option<Measurement>,
}

impl RunSpeed {
    /// Creates the state of a run that is started.
    pub(crate) fn of_start(has_checkpoint: bool) -> Self {
        Self {
            resumes: has_checkpoint,
            ..Self::default()
        }
    }

    /// Records that the worker has confirmed the start.
    pub(crate) fn on_begun(&mut self, now: Duration) {
        if self.begun_at.is_none() && !self.resumes {
            self.begun_at = Some(now);
            self.is_whole = true;
            self.since = now;
        }
    }

    /// Records the progress and the checkpoint as of `at`. `expected` is the expected time
    /// of a whole run.
    pub(crate) fn on_progress(
        &mut self,
        percent: u32,
        checkpoint: &str,
        at: Duration,
        expected: Duration,
    ) {
        let percent = percent.min(100);
        self.on_checkpoint(checkpoint);
        if self.begun_at.is_none() || percent < self.percent {
            self.begun_at.get_or_insert(at);
            (self.since, self.since_percent, self.percent) = (at, percent, percent);
            return;
        }
        self.percent = percent;
        let shortest = (expected / INTERVAL_DIVISOR).clamp(MIN_INTERVAL, LONGEST_MIN_INTERVAL);
        let interval = at.saturating_sub(self.since);
        if interval < shortest {
            return;
        }
        let done_percent = percent - self.since_percent;
        let verdict = judge(interval, done_percent, expected);
        self.last = Some(Measurement {
            at,
            verdict,
            left_percent: 100 - percent,
            whole: interval * 100 / done_percent.max(1),
        });
        if verdict.is_some() || interval >= MAX_INTERVAL {
            (self.since, self.since_percent) = (at, percent);
        }
    }

    /// Returns the verdict on the last part of a run that has ended `done`.
    pub(crate) fn verdict_at_end(&self, now: Duration, expected: Duration) -> Option<Verdict> {
        self.begun_at?;
        let interval = now.saturating_sub(self.since);
        let verdict = judge(interval, 100 - self.since_percent, expected);
        verdict.filter(|verdict| *verdict == Verdict::Usual || interval >= MIN_INTERVAL)
    }

    /// Returns the verdict of the last measurement, unless it is too old.
    pub(crate) fn verdict(&self, now: Duration) -> Option<Verdict> {
        self.last_measurement(now)?.verdict
    }

    /// Returns the time that a run without a checkpoint has taken.
    pub(crate) fn whole_time(&self, now: Duration) -> Option<Duration> {
        let begun_at = self.begun_at.filter(|_| self.is_whole)?;
        Some(now.saturating_sub(begun_at))
    }

    /// Returns the time that a slow run needs from now on; `None` if it was not slow when
    /// it was last measured. On a slow worker, `slow_left` is the time for which the worker
    /// is expected to stay slow.
    pub(crate) fn time_left(
        &self,
        expected: Duration,
        slow_left: Option<Duration>,
        now: Duration,
    ) -> Option<Duration> {
        let last = self.last_measurement(now)?;
        if last.verdict != Some(Verdict::Slow) {
            return None;
        }
        let passed = now.saturating_sub(last.at);
        let left = last.whole * last.left_percent / 100;
        let Some(slow_left) = slow_left.map(|slow_left| slow_left + passed) else {
            return Some(left.saturating_sub(passed));
        };
        if left <= slow_left {
            return Some(left.saturating_sub(passed));
        }
        // The rest is done at the usual speed.
        let part = slow_left.as_secs_f64() / last.whole.as_secs_f64();
        let rest = f64::from(last.left_percent) / 100.0 - part;
        let left = slow_left + expected.mul_f64(rest.max(0.0));
        Some(left.saturating_sub(passed))
    }

    /// Returns the time that a new run takes which resumes from the latest checkpoint.
    pub(crate) fn time_without_saved(&self, expected: Duration) -> Duration {
        expected * (100 - self.saved_percent) / 100
    }

    /// Records a checkpoint. It was taken after the progress that was reported before.
    fn on_checkpoint(&mut self, checkpoint: &str) {
        if checkpoint.is_empty() {
            return;
        }
        let mut hasher = DefaultHasher::new();
        checkpoint.hash(&mut hasher);
        let hash = hasher.finish();
        if hash != self.checkpoint {
            self.checkpoint = hash;
            self.saved_percent = self.percent;
        }
    }

    /// Returns the time for which the run is known to be active.
    pub(super) fn age(&self, now: Duration) -> Duration {
        self.begun_at
            .map_or(Duration::ZERO, |begun_at| now.saturating_sub(begun_at))
    }

    /// Returns the time until a run is overdue, so that its speed is of interest; `None` if
    /// it was measured since, or did not begin.
    pub(super) fn time_until_overdue(&self, expected: Duration, now: Duration) -> Option<Duration> {
        let overdue_at = self.begun_at? + expected * OVERDUE_PERCENT / 100;
        let is_measured = self.last.is_some_and(|last| last.at >= overdue_at);
        (!is_measured).then(|| overdue_at.saturating_sub(now))
    }

    /// Returns how the run is expected to go on, for operators.
    pub(super) fn describe(&self, expected: Duration, now: Duration) -> String {
        let mut text = format!("expected to take {} ms", expected.as_millis());
        if let Some(left) = self.time_left(expected, None, now) {
            text += &format!(", slow, {} ms left at its present speed", left.as_millis());
        }
        text
    }

    fn last_measurement(&self, now: Duration) -> Option<Measurement> {
        self.last
            .filter(|last| now.saturating_sub(last.at) <= MAX_STATUS_AGE)
    }
}

/// Judges the progress over an interval. Progress is rounded down to whole percent, so that
/// a slow run may have made up to one more.
fn judge(interval: Duration, done_percent: u32, expected: Duration) -> Option<Verdict> {
    if interval * 100 >= expected * SLOW_FACTOR * (done_percent + 1) {
        Some(Verdict::Slow)
    } else if interval * 100 < expected * USUAL_FACTOR * done_percent {
        Some(Verdict::Usual)
    } else {
        None
    }
}
