//! Measures the planning time and memory for several fleet sizes.
//!
//! The sizes are 0.25, 0.5, 1 and 2 times a fleet of 790 workers with 1,300
//! accelerators, in 58 pools and 8 data centres. Accelerators are maintained
//! together with their workers.

use std::time::{
    Duration,
    Instant,
    SystemTime, //
};

use dotterelsill_fleet::*;
use rand::{
    rngs::StdRng,
    RngExt,
    SeedableRng, //
};

const SEED: u64 = 7;
const WORKERS: u32 = 790;
const POOLS: u32 = 58;
const DATA_CENTRES: u32 = 8;
const PER_RACK: u32 = 4;
const RUNS: usize = 5;
const MAX_STEP_TIME: Duration = Duration::from_millis(100);

fn main() {
    println!("seed {SEED}, best of {RUNS} runs; memory is the process's peak so far");
    println!(
        "{:>8} {:>6} {:>12} {:>12} {:>10} {:>8} {:>8}",
        "workers", "pools", "maintain_ms", "buffer_ms", "budget_us", "visits", "peak_kb"
    );
    for quarters in [1, 2, 4, 8] {
        measure(WORKERS * quarters / 4, (POOLS * quarters).div_ceil(4));
    }
}

fn measure(workers: u32, pools: u32) {
    let mut rng = StdRng::seed_from_u64(SEED);
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(3600 * 500_000);
    let targets = targets(&mut rng, workers, pools, now);
    let loads: Vec<_> = (0..pools).map(|p| load(&mut rng, &targets, p)).collect();
    let policy = MaintenancePolicy::default();
    let (maintenance, (visits, schedules)) =
        fastest(|| plan_maintenance(now, &policy, &loads, &targets));
    let unplanned = schedules.iter().filter(|s| s.start.is_none()).count();
    assert_eq!(unplanned, 0, "{unplanned} instances are not planned");
    check_budgets(&visits, &loads, &targets);
    let arrived = demand(&mut rng, f64::from(workers) / f64::from(pools) / 10.0);
    let (buffer, _) = fastest(|| buffers(&arrived, pools));
    let (budget, _) = fastest(|| charge_all(&targets));
    for step in [maintenance, buffer, budget] {
        assert!(step <= MAX_STEP_TIME, "a step took {step:?}");
    }
    println!(
        "{workers:>8} {pools:>6} {:>12.2} {:>12.2} {:>10.1} {:>8} {:>8}",
        maintenance.as_secs_f64() * 1e3,
        buffer.as_secs_f64() * 1e3,
        budget.as_secs_f64() * 1e6,
        visits.len(),
        peak_kb()
    );
}

/// Checks that the outages of each hour are within the budgets. Visits last one
/// hour.
fn check_budgets(visits: &[Visit], loads: &[ServiceLoad], targets: &[MaintenanceTarget]) {
    for simultaneous in visits.chunk_by(|a, b| a.start == b.start) {
        let empty = |l: &ServiceLoad| BudgetRecord::new(Token(1), l.upstreams);
        let mut budgets: Vec<_> = loads.iter().map(empty).collect();
        for instance in simultaneous.iter().flat_map(|visit| &visit.instances) {
            let target = &targets[instance.0 as usize];
            let pool = target.service.0 as usize;
            let charged =
                budgets[pool].charge_voluntary(Token(1), &loads[pool].limits, target.upstream);
            budgets[pool] = charged.expect("the plan keeps the budgets");
        }
    }
}

fn fastest<T>(run: impl Fn() -> T) -> (Duration, T) {
    let mut results: Vec<_> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            let result = run();
            (start.elapsed(), result)
        })
        .collect();
    results.sort_by_key(|(time, _)| *time);
    results.swap_remove(0)
}

/// Returns workers whose racks are assigned to the pools in turn and whose last
/// maintenance was at random times within the last interval.
fn targets(rng: &mut StdRng, workers: u32, pools: u32, now: SystemTime) -> Vec<MaintenanceTarget> {
    let mut target = |i: u32| MaintenanceTarget {
        last_maintained: now - Duration::from_secs(3600 * rng.random_range(0..6 * 168)),
        service: Service(i / PER_RACK % pools),
        upstream: Upstream {
            data_centre: DataCentre(i / PER_RACK / pools % DATA_CENTRES),
            instance: Instance(i),
            rack: Rack(i / PER_RACK),
        },
    };
    (0..workers).map(&mut target).collect()
}

fn load(rng: &mut StdRng, targets: &[MaintenanceTarget], pool: u32) -> ServiceLoad {
    let upstreams = targets
        .iter()
        .filter(|t| t.service == Service(pool))
        .count();
    let peak = rng.random_range(0..24);
    let by_hour = |hour: u32| {
        let is_peak = ((hour + 24 - peak) % 24).min((peak + 24 - hour) % 24) < 4;
        upstreams as f64 * if is_peak { 0.9 } else { 0.3 }
    };
    ServiceLoad {
        demand_instances: (0..168).map(|h| by_hour(h % 24)).collect(),
        limits: BudgetLimits {
            floor_percent: 70,
            per_data_centre: 4,
            per_rack: 4,
        },
        service: Service(pool),
        upstreams: u32::try_from(upstreams).expect("a fleet has few instances"),
    }
}

/// Returns one hour of demand by second, with bursts.
fn demand(rng: &mut StdRng, mean: f64) -> Vec<f64> {
    let mut burst = || if rng.random_bool(0.02) { 5.0 } else { 0.05 };
    let bursts: Vec<f64> = (0..360).map(|_| burst()).collect();
    bursts.iter().flat_map(|level| [level * mean; 10]).collect()
}

fn buffers(arrived: &[f64], pools: u32) -> Vec<Option<BufferEvaluation>> {
    let demand = PoolDemand {
        arrived_instances: arrived,
        interval: Duration::from_secs(1),
    };
    let layout = PoolLayout {
        data_centres: DATA_CENTRES,
        per_rack: PER_RACK,
    };
    let plan = || BufferPlan::new(demand, layout, BufferPolicy::default()).minimum();
    (0..pools).map(|_| plan()).collect()
}

/// Charges the outage of a whole data centre to one budget, which is the longest
/// single step.
fn charge_all(targets: &[MaintenanceTarget]) -> BudgetRecord {
    let out: Vec<_> = targets
        .iter()
        .map(|t| t.upstream)
        .filter(|t| t.data_centre == DataCentre(0))
        .collect();
    let upstreams = u32::try_from(targets.len()).expect("a fleet has few instances");
    let record = BudgetRecord::new(Token(1), upstreams);
    record
        .set_ordered(Token(1), &out, true)
        .expect("the token equals that of the record")
}

/// Returns the peak memory of this process in kB, or 0 if it is unknown.
fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    let value = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    value.unwrap_or(0)
}
