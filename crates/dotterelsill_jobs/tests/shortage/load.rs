//! Load patterns of the replays.

use std::time::Duration;

use dotterelsill_proto::jobs::{
    self,
    JobRecord, //
};
use rand::{
    rngs::StdRng,
    RngExt as _,
    SeedableRng as _, //
};

use crate::{
    common,
    world::{
        CPU_MILLI,
        WORKERS, //
    },
};

/// Time for which jobs arrive.
const LOAD_MS: u64 = 22_000;

/// Bursts of the queue, as begin and end.
pub(crate) const BURSTS_MS: [(u64, u64); 2] = [(2000, 9000), (17_000, 21_000)];

/// Demand in a burst and between bursts, as parts of the capacity.
const BURST_DEMAND: f64 = 2.0;
const REST_DEMAND: f64 = 0.1;

/// Time at which the workspace `w0` sends a multiple of its load.
const SURGE_MS: (u64, u64) = (6000, 13_000);
const SURGE_FACTOR: f64 = 5.0;

/// Demand over all the time.
const MEAN_DEMAND: f64 = 0.4;

pub(crate) const WORKSPACES: usize = 6;

/// Events next to the bursts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pattern {
    pub(crate) name: &'static str,
    pub(crate) has_surge: bool,
    /// Time at which a rack loses power, and at which it is back.
    pub(crate) dark_ms: Option<(u64, u64)>,
    pub(crate) takeover_ms: Option<u64>,
}

pub(crate) const PATTERNS: [Pattern; 4] = [
    Pattern {
        name: "1 burst",
        has_surge: false,
        dark_ms: None,
        takeover_ms: None,
    },
    Pattern {
        name: "2 surge",
        has_surge: true,
        dark_ms: None,
        takeover_ms: None,
    },
    Pattern {
        name: "3 rack",
        has_surge: false,
        dark_ms: Some((4000, 10_000)),
        takeover_ms: None,
    },
    Pattern {
        name: "4 all",
        has_surge: true,
        dark_ms: Some((4000, 10_000)),
        takeover_ms: Some(7000),
    },
];

/// A job of a replay.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at_ms: u64,
    pub(crate) workspace: usize,
    pub(crate) record: JobRecord,
    pub(crate) size: f64,
    pub(crate) objective: Duration,
}

/// Returns the jobs of a pattern, in the order of their arrival.
pub(crate) fn arrivals(pattern: &Pattern, seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let sample: Vec<Arrival> = (0..2000).map(|_| arrival(&mut random, 0, 0)).collect();
    let mean = sample.iter().map(|job| job.size).sum::<f64>() / sample.len() as f64;
    let jobs_per_ms = WORKERS as f64 * CPU_MILLI as f64 / mean;
    let mut jobs = Vec::new();
    for at_ms in 0..LOAD_MS {
        let is_in = |(begin, end): &(u64, u64)| (*begin..*end).contains(&at_ms);
        let is_burst = BURSTS_MS.iter().any(is_in);
        let demand = if is_burst { BURST_DEMAND } else { REST_DEMAND };
        for workspace in 0..WORKSPACES {
            let surges = pattern.has_surge && workspace == 0 && is_in(&SURGE_MS);
            let demand = match (surges, is_burst) {
                (false, _) => demand,
                (true, true) => demand * SURGE_FACTOR,
                (true, false) => MEAN_DEMAND * SURGE_FACTOR,
            };
            let expected = jobs_per_ms * demand / WORKSPACES as f64;
            if random.random_bool(expected.min(1.0)) {
                jobs.push(arrival(&mut random, at_ms, workspace));
            }
        }
    }
    jobs
}

/// Returns a job; a tenth of them have most of the work.
fn arrival(random: &mut StdRng, at_ms: u64, workspace: usize) -> Arrival {
    let step = |count: u32, cpu_milli: u64, estimated_ms: u32| jobs::Step {
        estimated_ms,
        ..common::step(count, cpu_milli)
    };
    let steps = match random.random_range(0..10) {
        0..7 => vec![step(
            random.random_range(1..4),
            500,
            random.random_range(150..500),
        )],
        7..9 => vec![
            step(
                random.random_range(4..10),
                500,
                random.random_range(200..600),
            ),
            jobs::Step {
                after: vec![0],
                ..step(1, 500, 200)
            },
        ],
        _ => vec![
            step(
                random.random_range(20..50),
                500,
                random.random_range(300..800),
            ),
            jobs::Step {
                after: vec![0],
                ..step(4, 500, 300)
            },
        ],
    };
    let size = |step: &jobs::Step| {
        let cpu_milli = step.room.as_ref().map_or(0, |room| room.cpu_milli);
        f64::from(step.count) * cpu_milli as f64 * f64::from(step.estimated_ms)
    };
    let path_ms: u32 = steps.iter().map(|step| step.estimated_ms).sum();
    Arrival {
        at_ms,
        workspace,
        size: steps.iter().map(size).sum(),
        objective: common::ms(path_ms.into()).mul_f64(1.6) + common::ms(600),
        record: JobRecord {
            workspace: format!("w{workspace}"),
            ..common::record("urgent", 1, steps)
        },
    }
}
