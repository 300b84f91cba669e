//! Reads runs of work from the logs of the upstreams.

use std::{
    collections::HashMap,
    time::SystemTime, //
};

/// One run of an attempt on an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Number of the attempt, as in [`Observer::sent`](crate::Observer::sent).
    pub attempt: u64,
    /// Index of the upstream that ran the attempt.
    pub upstream: usize,
    /// Start of the run, in microseconds since the epoch.
    pub start_us: u64,
    /// End of the run, in microseconds since the epoch; `None` while it runs.
    pub end_us: Option<u64>,
}

/// Returns the time since the epoch, in microseconds.
///
/// All processes of a test run on one machine and read the same clock, so their
/// times can be compared.
///
/// # Panics
///
/// Panics if the clock is before the epoch.
pub fn clock_us() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .expect("the clock is past the epoch");
    since_epoch.as_micros() as u64
}

/// Reads the runs from the log of an upstream.
///
/// A run without a logged end ended when the upstream was killed, or still goes on
/// if the upstream was not killed.
pub fn read_runs(upstream: usize, log: &[String], killed_at_us: Option<u64>) -> Vec<Run> {
    let mut runs = Vec::new();
    let mut positions = HashMap::new();
    for line in log {
        let fields = LogLine(line);
        let (Some(time_us), Some(run)) = (fields.time_us(), fields.number("run")) else {
            continue;
        };
        match (fields.value("event"), fields.number("attempt")) {
            (Some("run_start"), Some(attempt)) => {
                positions.insert(run, runs.len());
                runs.push(Run {
                    attempt,
                    upstream,
                    start_us: time_us,
                    end_us: killed_at_us,
                });
            }
            (Some("run_end"), _) => {
                if let Some(position) = positions.get(&run) {
                    let run: &mut Run = &mut runs[*position];
                    run.end_us = Some(time_us);
                }
            }
            _ => {}
        }
    }
    runs
}

/// A log line of `key=value` fields.
struct LogLine<'a>(&'a str);

impl<'a> LogLine<'a> {
    fn value(&self, key: &str) -> Option<&'a str> {
        self.0
            .split(' ')
            .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
    }

    fn number(&self, key: &str) -> Option<u64> {
        self.value(key)?.parse().ok()
    }

    fn time_us(&self) -> Option<u64> {
        let (seconds, micros) = self.value("time")?.split_once('.')?;
        Some(seconds.parse::<u64>().ok()? * 1_000_000 + micros.parse::<u64>().ok()?)
    }
}
