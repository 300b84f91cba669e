//! Tests of the spare capacity and the size of pools.

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_fleet::*;

const LAYOUT: PoolLayout = PoolLayout {
    data_centres: 3,
    per_rack: 4,
};

fn demand(arrived_instances: &[f64]) -> PoolDemand<'_> {
    PoolDemand {
        arrived_instances,
        interval: Duration::from_secs(1),
    }
}

/// Guards against a loss that is computed too small, and against a lost rack that
/// is counted in the data centre that is already out.
#[test]
fn survivors_lose_the_largest_data_centre_and_a_rack_elsewhere() {
    assert_eq!(LAYOUT.survivors(31), 16);
    assert_eq!(LAYOUT.survivors(4), 1);
    let single = PoolLayout {
        data_centres: 1,
        ..LAYOUT
    };
    assert_eq!(single.survivors(31), 0);
}

/// Guards against a spare that is larger than needed or does not meet the maximum
/// wait.
#[test]
fn the_least_spare_holds_and_one_less_does_not() {
    let plan = BufferPlan::new(demand(&[6.0; 60]), LAYOUT, BufferPolicy::default());
    let minimum = plan.minimum().unwrap();
    // A burst of 30 for 10 s, waiting up to 5.4 s, needs 300 / 15.4 = 19.5.
    assert_eq!(LAYOUT.survivors(plan.base_instances() + minimum.spare), 20);
    assert!(minimum.meets_max_wait && !plan.evaluate(minimum.spare - 1).meets_max_wait);
    assert!(!plan.baseline().meets_max_wait);
}

/// Guards against a plan that considers only the burst of the policy and ignores
/// longer bursts in the observed demand.
#[test]
fn longer_observed_bursts_need_more() {
    let mut arrived = [1.0; 600];
    arrived[100..200].fill(30.0);
    let plan = BufferPlan::new(demand(&arrived), LAYOUT, BufferPolicy::default());
    let survivors = LAYOUT.survivors(plan.base_instances() + plan.minimum().unwrap().spare);
    // 30 for 100 s, waiting up to 5.4 s, needs 3000 / 105.4 = 28.5.
    assert_eq!(survivors, 29);
}

/// Guards against a search that never ends if no number of instances is enough.
#[test]
fn a_single_data_centre_holds_nothing() {
    let layout = PoolLayout {
        data_centres: 1,
        ..LAYOUT
    };
    let plan = BufferPlan::new(demand(&[6.0; 60]), layout, BufferPolicy::default());
    assert_eq!(plan.minimum(), None);
}

/// Guards against repeated moves into and out of a pool, and against a pool that
/// grows too late.
#[test]
fn a_pool_grows_at_once_and_shrinks_late() {
    let hour = Duration::from_secs(3600);
    let start = Instant::now();
    let mut sizer = PoolSizer::new(10, hour * 3);
    assert_eq!(sizer.update(12, start), 2);
    assert_eq!(sizer.update(8, start + hour), 0);
    assert_eq!(sizer.update(9, start + hour * 2), 0);
    assert_eq!(sizer.update(7, start + hour * 4), -3);
    assert_eq!(sizer.size(), 9);
}
