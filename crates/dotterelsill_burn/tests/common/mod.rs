//! Simulated traffic for the tests.
#![allow(dead_code)]

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_burn::{
    Limits,
    Objective,
    Sample,
    SampleError,
    Tracker, //
};

/// Interval between samples, in seconds.
pub(crate) const INTERVAL_S: u64 = 15;

/// A tracker of one service, with a simulated clock and the counters of instance 0.
pub(crate) struct Feed {
    pub(crate) tracker: Tracker,
    pub(crate) now: Instant,
    good: u64,
    total: u64,
}

impl Feed {
    /// Creates a tracker with an objective of 99.9% and a first sample with counters of 0.
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        let mut tracker = Tracker::new(now, Limits::default());
        tracker.set_objective("refund", Objective::new(999_000).expect("valid"));
        let mut feed = Self {
            tracker,
            now,
            good: 0,
            total: 0,
        };
        feed.sample(0, 0, 0).expect("first sample");
        feed
    }

    /// Passes a sample of an instance at the current time to the tracker.
    pub(crate) fn sample(
        &mut self,
        instance: u64,
        good: u64,
        total: u64,
    ) -> Result<(), SampleError> {
        self.tracker.observe(&Sample {
            at: self.now,
            instance,
            service: "refund",
            team: "Kiosks",
            good,
            total,
        })
    }

    /// Advances the time without samples.
    pub(crate) fn wait(&mut self, time_s: u64) {
        self.now += Duration::from_secs(time_s);
    }

    /// Simulates `time_s` seconds with 100,000 requests per interval, `errors` of which
    /// fail, and returns the alerts that started or ended.
    pub(crate) fn run(&mut self, time_s: u64, errors: u64) -> Vec<String> {
        let mut changes = Vec::new();
        for _ in 0..time_s / INTERVAL_S {
            self.wait(INTERVAL_S);
            self.total += 100_000;
            self.good += 100_000 - errors;
            self.sample(0, self.good, self.total).expect("later sample");
            changes.extend(self.evaluate());
        }
        changes
    }

    /// Evaluates the alerts and returns those that started or ended.
    pub(crate) fn evaluate(&mut self) -> Vec<String> {
        let changes = self.tracker.evaluate(self.now);
        let text = |change: &dotterelsill_burn::AlertChange| {
            format!("{} {:?}", change.alert.name(), change.state)
        };
        changes.iter().map(text).collect()
    }
}
