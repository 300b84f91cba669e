//! Runs of work, read from the logs of the upstreams.

use std::{
    collections::HashMap,
    time::SystemTime, //
};

/// One run of an attempt on an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Number of the attempt that was run.
    pub attempt: u64,
    /// Index of the upstream.
    pub upstream: usize,
    /// Start, in microseconds since the epoch.
    pub start_us: u64,
    /// End, in microseconds since the epoch; `None` while it runs.
    pub end_us: Option<u64>,
}

/// Returns the time since the epoch, in microseconds.
///
/// All processes of a test run on one machine and read the same clock.
///
/// # Panics
///
/// Panics when the clock is before the epoch.
pub fn clock_us() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .expect("the clock is past the epoch");
    since_epoch.as_micros() as u64
}

/// Reads the runs in the log of an upstream; those without an end ended when
/// the upstream was killed, if it was.
pub fn read_runs(upstream: usize, log: &[String], killed_at_us: Option<u64>) -> Vec<Run> {
    let mut runs = Vec::new();
    let mut places = HashMap::new();
    for line in log {
        let pairs = Pairs(line);
        let (Some(time_us), Some(run)) = (pairs.time_us(), pairs.number("run")) else {
            continue;
        };
        match (pairs.value("event"), pairs.number("attempt")) {
            (Some("run_start"), Some(attempt)) => {
                places.insert(run, runs.len());
                runs.push(Run {
                    attempt,
                    upstream,
                    start_us: time_us,
                    end_us: killed_at_us,
                });
            }
            (Some("run_end"), _) => {
                if let Some(place) = places.get(&run) {
                    let run: &mut Run = &mut runs[*place];
                    run.end_us = Some(time_us);
                }
            }
            _ => {}
        }
    }
    runs
}

struct Pairs<'a>(&'a str);

impl<'a> Pairs<'a> {
    fn value(&self, key: &str) -> Option<&'a str> {
        self.0
            .split(' ')
            .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
    }

    fn number(&self, key: &str) -> Option<u64> {
        self.value(key)?.parse().ok()
    }

    fn time_us(&self) -> Option<u64> {
        let (s, us) = self.value("time")?.split_once('.')?;
        Some(s.parse::<u64>().ok()? * 1_000_000 + us.parse::<u64>().ok()?)
    }
}
