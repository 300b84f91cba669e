//! Computes the cost of the spare capacity.

use std::time::Duration;

use dotterelsill_fleet::*;
use rand::{
    rngs::SmallRng,
    RngExt,
    SeedableRng, //
};

const SERVICES: usize = 5;
const LENGTH_S: usize = 4 * 3600;
/// Demand between bursts, as a multiple of the mean demand.
const QUIET_FACTOR: f64 = 0.05;

pub(crate) fn report(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let traces: Vec<_> = (0..SERVICES)
        .map(|_| {
            let runners = f64::from(rng.random_range(8_u32..=12));
            // A burst of 5 times this mean exceeds the capacity of the runners.
            trace(&mut rng, 0.3 * runners)
        })
        .collect();
    for per_rack in [4, 1] {
        let layout = PoolLayout {
            data_centres: 3,
            per_rack,
        };
        report_layout(&traces, layout);
    }
}

fn report_layout(traces: &[Vec<f64>], layout: PoolLayout) {
    let plans: Vec<_> = traces.iter().map(|t| plan(t, layout, 0.3)).collect();
    let base: u32 = plans.iter().map(BufferPlan::base_instances).sum();
    let minimum: f64 = plans.iter().map(minimum_cost).sum();
    let fixed: Vec<_> = plans.iter().map(BufferPlan::baseline).collect();
    let fixed_cost: f64 = fixed.iter().map(|s| s.cost_per_day).sum();
    let fixed_met = fixed.iter().filter(|s| s.meets_max_wait).count();
    println!(
        "  spare, at most {} instances of a pool in a rack: minimum {minimum} instances over a base of {base}; \
         30% is {fixed_cost} and meets the maximum wait in {fixed_met} of {SERVICES} pools",
        layout.per_rack
    );
    let (percent, cost) = minimum_fixed_share(traces, layout);
    println!("    minimum fixed share that meets the maximum wait in all pools, in steps of 10: {percent}%, {cost} instances");
    report_evaluations(&plans[0]);
}

fn report_evaluations(plan: &BufferPlan<'_>) {
    let minimum = plan
        .minimum()
        .expect("three data centres meet the maximum wait")
        .spare;
    for spare in [minimum / 2, minimum - 1, minimum, minimum + 1] {
        let evaluation = plan.evaluate(spare);
        let wait = evaluation
            .worst_wait
            .map_or(f64::INFINITY, |w| w.as_secs_f64());
        let cost = evaluation.cost_per_day;
        println!(
            "    first pool with {spare} spare: cost {cost} per day, maximum wait {wait:.1} s"
        );
    }
}

fn plan(trace: &[f64], layout: PoolLayout, baseline_share: f64) -> BufferPlan<'_> {
    let demand = PoolDemand {
        arrived_instances: trace,
        interval: Duration::from_secs(1),
    };
    let policy = BufferPolicy {
        baseline_share,
        ..BufferPolicy::default()
    };
    BufferPlan::new(demand, layout, policy)
}

fn minimum_cost(plan: &BufferPlan<'_>) -> f64 {
    let minimum = plan.minimum();
    minimum
        .expect("three data centres meet the maximum wait")
        .cost_per_day
}

/// Returns the minimum fixed share that meets the maximum wait in every pool, in
/// percent and in steps of 10, and its cost.
fn minimum_fixed_share(traces: &[Vec<f64>], layout: PoolLayout) -> (u32, f64) {
    let evaluations = |percent: u32| -> Vec<BufferEvaluation> {
        let share = f64::from(percent) / 100.0;
        let plans = traces.iter().map(|t| plan(t, layout, share));
        plans.map(|p| p.baseline()).collect()
    };
    let percent = (10..)
        .step_by(10)
        .find(|percent| evaluations(*percent).iter().all(|s| s.meets_max_wait))
        .expect("a large share meets the maximum wait");
    (
        percent,
        evaluations(percent).iter().map(|s| s.cost_per_day).sum(),
    )
}

/// Returns the demand by second, with bursts of 4 to 10 s at 5 times the mean.
fn trace(rng: &mut SmallRng, mean: f64) -> Vec<f64> {
    let factor = BufferPolicy::default().burst_factor;
    let share = (1.0 - QUIET_FACTOR) / (factor - QUIET_FACTOR);
    let mut demand = Vec::with_capacity(LENGTH_S);
    while demand.len() < LENGTH_S {
        let burst_s = rng.random_range(4_usize..=10);
        let quiet_s = burst_s as f64 * (1.0 - share) / share;
        demand.extend(vec![factor * mean; burst_s]);
        demand.extend(vec![QUIET_FACTOR * mean; quiet_s.round() as usize]);
    }
    demand
}
