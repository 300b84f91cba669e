//! Simulates the number of moves between pools over a week.

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_fleet::*;
use rand::{
    rngs::SmallRng,
    RngExt,
    SeedableRng, //
};

const HOURS: usize = 7 * 24;
const SERVICES: usize = 5;
/// Fixed share that meets the maximum wait in most hours, for a comparison at a
/// similar guarantee.
const LARGE_SHARE: f64 = 4.0;
const LAYOUT: PoolLayout = PoolLayout {
    data_centres: 3,
    per_rack: 1,
};

pub(crate) fn report(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let means: Vec<_> = (0..SERVICES).map(|_| week(&mut rng)).collect();
    let minimum = |mean: f64| {
        with_plan(mean, 0.3, |p| {
            p.base_instances() + p.minimum().map_or(0, |s| s.spare)
        })
    };
    let fixed = |mean: f64| with_plan(mean, 0.3, |p| p.base_instances() + p.baseline().spare);
    let large_fixed = |mean: f64| {
        with_plan(mean, LARGE_SHARE, |p| {
            p.base_instances() + p.baseline().spare
        })
    };
    let rows = [
        (
            "minimum spare, shrinking after 24 h",
            simulate(&means, minimum, 24),
        ),
        (
            "minimum spare, shrinking after 6 h",
            simulate(&means, minimum, 6),
        ),
        (
            "minimum spare, shrinking immediately",
            simulate(&means, minimum, 0),
        ),
        (
            "fixed 30%, shrinking immediately",
            simulate(&means, fixed, 0),
        ),
        (
            "fixed 400%, shrinking immediately",
            simulate(&means, large_fixed, 0),
        ),
    ];
    for (name, week) in rows {
        println!(
            "  one week, {name}: {} moves, {} instance hours, maximum wait met in {} of {} pool hours",
            week.moves,
            week.instance_hours,
            week.hours_met,
            HOURS * SERVICES
        );
    }
}

#[derive(Default)]
struct WeekTotals {
    hours_met: u64,
    instance_hours: u64,
    moves: u64,
}

/// Returns the mean demand by hour: a daily cycle with 10% noise.
fn week(rng: &mut SmallRng) -> Vec<f64> {
    let peak = rng.random_range(2.4..3.6);
    let by_hour = |hour: usize| {
        let angle = (hour % 24) as f64 / 24.0 * std::f64::consts::TAU;
        peak * (0.6 - 0.4 * angle.cos()) * rng.random_range(0.9..1.1)
    };
    (0..HOURS).map(by_hour).collect()
}

fn with_plan<T>(mean: f64, baseline_share: f64, result: impl Fn(&BufferPlan<'_>) -> T) -> T {
    let arrived = [mean];
    let demand = PoolDemand {
        arrived_instances: &arrived,
        interval: Duration::from_secs(3600),
    };
    let policy = BufferPolicy {
        baseline_share,
        ..BufferPolicy::default()
    };
    result(&BufferPlan::new(demand, LAYOUT, policy))
}

/// Simulates all pools. Each instance moved into or out of a pool counts as one
/// move.
fn simulate(
    means: &[Vec<f64>],
    needed_size: impl Fn(f64) -> u32,
    shrink_delay_h: u64,
) -> WeekTotals {
    let start = Instant::now();
    let mut week = WeekTotals::default();
    for pool in means {
        let mut sizer = PoolSizer::new(
            needed_size(pool[0]),
            Duration::from_secs(shrink_delay_h * 3600),
        );
        for (hour, mean) in (0..).zip(pool) {
            let now = start + Duration::from_secs(hour * 3600);
            week.moves += sizer.update(needed_size(*mean), now).unsigned_abs();
            week.instance_hours += u64::from(sizer.size());
            let meets_max_wait =
                |p: &BufferPlan<'_>| p.evaluate(sizer.size() - p.base_instances()).meets_max_wait;
            week.hours_met += u64::from(with_plan(*mean, 0.0, meets_max_wait));
        }
    }
    week
}
