//! Generates the requests of one team from a seed.

use std::time::Duration;

use rand::{
    rngs::Xoshiro256PlusPlus,
    seq::SliceRandom as _,
    RngExt as _,
    SeedableRng as _, //
};

/// Duration of one simulation step.
pub(crate) const STEP: Duration = Duration::from_millis(5);

/// Demand during a burst, as a multiple of the mean demand.
const BURST_FACTOR: f64 = 5.0;

/// Demand between bursts, as a multiple of the mean demand.
const PAUSE_FACTOR: f64 = 0.05;

/// Fraction of the time spent in bursts, for which the mean of the factors is 1.
const BURST_FRACTION: f64 = (1.0 - PAUSE_FACTOR) / (BURST_FACTOR - PAUSE_FACTOR);

const BURST_LENGTH_S: std::ops::Range<f64> = 2.0..8.0;
const MEAN_RUN_TIME_S: f64 = 0.25;
const LIMITS: [u32; 4] = [20, 40, 80, 160];

/// Request that arrives at an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) instance: usize,
    pub(crate) run_steps: u32,
}

/// Demand of one team over the whole simulation.
pub(crate) struct Demand {
    /// Requests that arrive in each step.
    pub(crate) arrivals: Vec<Vec<Arrival>>,
    /// Range of steps of each burst, without the end.
    pub(crate) bursts: Vec<(usize, usize)>,
    pub(crate) limit: u32,
}

/// Returns the number of whole steps in a duration.
pub(crate) fn steps(seconds: f64) -> usize {
    (seconds / STEP.as_secs_f64()) as usize
}

impl Demand {
    /// Generates the demand of a team. During a burst, `load` times the limit would
    /// run at once if nothing were refused.
    pub(crate) fn new(seed: u64, team: usize, instances: usize, length: usize, load: f64) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed << 16 | team as u64);
        let limit = LIMITS[team % LIMITS.len()];
        let mean = f64::from(limit) * load / BURST_FACTOR;
        let mut demand = Self {
            arrivals: Vec::with_capacity(length),
            bursts: Vec::new(),
            limit,
        };
        while demand.arrivals.len() < length {
            let burst = rng.random_range(BURST_LENGTH_S);
            let pause = rng.random_range(BURST_LENGTH_S) * (1.0 / BURST_FRACTION - 1.0);
            let weights = weights(&mut rng, instances);
            demand.extend(&mut rng, pause, mean * PAUSE_FACTOR, &weights);
            let first = demand.arrivals.len();
            demand.extend(&mut rng, burst, mean * BURST_FACTOR, &weights);
            demand.bursts.push((first, demand.arrivals.len()));
        }
        demand.arrivals.truncate(length);
        demand.bursts.retain(|(_, end)| *end <= length);
        demand
    }

    /// Appends arrivals for a time in seconds, so that `running` requests would run
    /// at once on average if nothing were refused.
    fn extend(&mut self, rng: &mut Xoshiro256PlusPlus, time: f64, running: f64, weights: &[f64]) {
        let per_step = running / MEAN_RUN_TIME_S * STEP.as_secs_f64();
        for _ in 0..steps(time) {
            let count = poisson(rng, per_step);
            let arrivals = (0..count).map(|_| arrival(rng, weights));
            self.arrivals.push(arrivals.collect());
        }
    }
}

/// Draws the instance and the exponentially distributed run time of a request.
fn arrival(rng: &mut Xoshiro256PlusPlus, weights: &[f64]) -> Arrival {
    let mut point = rng.random_range(0.0..weights.iter().sum());
    let instance = weights.iter().position(|weight| {
        point -= weight;
        point < 0.0
    });
    let run_time = -rng.random_range(f64::EPSILON..1.0).ln() * MEAN_RUN_TIME_S;
    Arrival {
        instance: instance.unwrap_or(0),
        run_steps: steps(run_time) as u32 + 1,
    }
}

/// Returns uneven weights of the instances: 1, 1/2, 1/3, and so on in random order.
fn weights(rng: &mut Xoshiro256PlusPlus, instances: usize) -> Vec<f64> {
    let mut weights: Vec<f64> = (1..=instances).map(|rank| 1.0 / rank as f64).collect();
    weights.shuffle(rng);
    weights
}

/// Draws a Poisson-distributed number (Knuth's algorithm).
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
