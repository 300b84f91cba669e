//! Seeded demand of one team.

use std::time::Duration;

use rand::{
    rngs::Xoshiro256PlusPlus,
    seq::SliceRandom as _,
    RngExt as _,
    SeedableRng as _, //
};

/// Length of one step of the simulation.
pub(crate) const STEP: Duration = Duration::from_millis(5);

/// Demand in a burst, as a multiple of the mean.
const BURST: f64 = 5.0;

/// Demand between bursts, as a multiple of the mean.
const BETWEEN: f64 = 0.05;

/// Share of time in bursts, so that the mean is 1.
const BURST_SHARE: f64 = (1.0 - BETWEEN) / (BURST - BETWEEN);

const BURST_LENGTH_S: std::ops::Range<f64> = 2.0..8.0;
const RUN_TIME_S: f64 = 0.25;
const LIMITS: [u32; 4] = [20, 40, 80, 160];

/// Request that arrives at one instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) instance: usize,
    pub(crate) run_steps: u32,
}

/// Demand of one team over the whole run.
pub(crate) struct Demand {
    pub(crate) arrivals: Vec<Vec<Arrival>>,
    /// First and last step of each burst.
    pub(crate) bursts: Vec<(usize, usize)>,
    pub(crate) limit: u32,
}

/// Returns the number of steps in a time.
pub(crate) fn steps(seconds: f64) -> usize {
    (seconds / STEP.as_secs_f64()) as usize
}

impl Demand {
    /// Draws the demand of a team; a burst asks for `load` times the limit.
    pub(crate) fn new(seed: u64, team: usize, instances: usize, length: usize, load: f64) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed << 16 | team as u64);
        let limit = LIMITS[team % LIMITS.len()];
        let mean = f64::from(limit) * load / BURST;
        let mut demand = Self {
            arrivals: Vec::with_capacity(length),
            bursts: Vec::new(),
            limit,
        };
        while demand.arrivals.len() < length {
            let burst = rng.random_range(BURST_LENGTH_S);
            let pause = rng.random_range(BURST_LENGTH_S) * (1.0 / BURST_SHARE - 1.0);
            let weights = weights(&mut rng, instances);
            demand.extend(&mut rng, pause, mean * BETWEEN, &weights);
            let first = demand.arrivals.len();
            demand.extend(&mut rng, burst, mean * BURST, &weights);
            demand.bursts.push((first, demand.arrivals.len()));
        }
        demand.arrivals.truncate(length);
        demand.bursts.retain(|(_, last)| *last <= length);
        demand
    }

    fn extend(&mut self, rng: &mut Xoshiro256PlusPlus, time: f64, running: f64, weights: &[f64]) {
        let per_step = running / RUN_TIME_S * STEP.as_secs_f64();
        for _ in 0..steps(time) {
            let count = poisson(rng, per_step);
            let arrivals = (0..count).map(|_| arrival(rng, weights));
            self.arrivals.push(arrivals.collect());
        }
    }
}

fn arrival(rng: &mut Xoshiro256PlusPlus, weights: &[f64]) -> Arrival {
    let mut point = rng.random_range(0.0..weights.iter().sum());
    let instance = weights.iter().position(|weight| {
        point -= weight;
        point < 0.0
    });
    let run = -rng.random_range(f64::EPSILON..1.0).ln() * RUN_TIME_S;
    Arrival {
        instance: instance.unwrap_or(0),
        run_steps: steps(run) as u32 + 1,
    }
}

/// Returns uneven parts of the instances: 1, 1/2, 1/3, ... in random order.
fn weights(rng: &mut Xoshiro256PlusPlus, instances: usize) -> Vec<f64> {
    let mut weights: Vec<f64> = (1..=instances).map(|rank| 1.0 / rank as f64).collect();
    weights.shuffle(rng);
    weights
}

fn poisson(rng: &mut Xoshiro256PlusPlus, mean: f64) -> usize {
    let bound = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > bound {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}
