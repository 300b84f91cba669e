//! Lateness of the executor, from the times at which a sleeping task is due and wakes.

use std::time::Duration;

use dotterelsill_rpc::{
    Lateness,
    LatenessSummary, //
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_period_tells_the_worst_and_the_mean() {
    let lateness = Lateness::default();
    for (due, woke) in [(1100, 1100), (1200, 1230), (1330, 1420)] {
        lateness.set_due(ms(due));
        lateness.on_wake(ms(woke));
    }
    let period = lateness.take_period();
    assert_eq!(
        period,
        LatenessSummary {
            wakes: 3,
            mean: ms(40),
            worst: ms(90),
        }
    );
    assert_eq!(lateness.take_period(), LatenessSummary::default());
}

/// Guards against a timeout that is blamed on the peer because the sampling task has
/// not run yet either, so that its lateness is missing.
#[test]
fn a_task_that_is_overdue_counts_before_it_runs() {
    let lateness = Lateness::default();
    lateness.set_due(ms(1100));
    assert_eq!(lateness.recent(ms(1050)), ms(0));
    assert_eq!(lateness.recent(ms(1700)), ms(600));
}

#[test]
fn recent_lateness_covers_the_period_before() {
    let lateness = Lateness::default();
    lateness.set_due(ms(1100));
    lateness.on_wake(ms(1400));
    lateness.set_due(ms(1500));
    lateness.take_period();
    assert_eq!(lateness.recent(ms(1450)), ms(300));
    lateness.on_wake(ms(1500));
    lateness.take_period();
    assert_eq!(lateness.recent(ms(1500)), ms(0));
}

#[test]
fn nothing_is_late_before_the_first_sleep() {
    let lateness = Lateness::default();
    assert_eq!(lateness.recent(ms(500_000)), ms(0));
}
