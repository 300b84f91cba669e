//! Counting of requests from samples of cumulative counters.

use std::time::Duration;

use dotterelsill_burn::{
    Counts,
    Limits,
    Objective,
    Sample,
    SampleError,
    Tracker, //
};

mod common;
use common::Feed;

/// Returns the errors and requests of the last hour.
fn last_hour(feed: &Feed) -> (u64, u64) {
    let Counts { errors, total } = feed.tracker.report(feed.now)[0].windows[1];
    (errors, total)
}

/// Guards against wrong counts after a restart resets the counters, also when only
/// one of the two counters decreases.
#[test]
fn reset_counts_from_zero() {
    let mut feed = Feed::new();
    feed.wait(15);
    feed.sample(0, 90, 100).unwrap();
    feed.wait(15);
    feed.sample(0, 5, 7).unwrap();
    assert_eq!(last_hour(&feed), (12, 107));
    feed.wait(15);
    feed.sample(0, 20, 21).unwrap();
    assert_eq!(last_hour(&feed), (13, 128));
    feed.wait(15);
    feed.sample(0, 10, 40).unwrap();
    assert_eq!(last_hour(&feed), (43, 168));
}

/// Guards against mixing up the counters of instances: a restart of one would then
/// count all requests of the other again.
#[test]
fn instances_are_counted_separately() {
    let mut feed = Feed::new();
    feed.sample(1, 1_000_000, 1_000_000).unwrap();
    feed.wait(15);
    feed.sample(0, 100, 100).unwrap();
    feed.sample(1, 1_000_050, 1_000_060).unwrap();
    feed.wait(15);
    feed.sample(0, 3, 3).unwrap();
    feed.sample(1, 1_000_050, 1_000_060).unwrap();
    assert_eq!(last_hour(&feed), (10, 163));
}

/// Guards against a sample that arrives out of order, is taken for a restart and
/// counted twice.
#[test]
fn late_sample_is_refused() {
    let mut feed = Feed::new();
    feed.wait(30);
    feed.sample(0, 200, 200).unwrap();
    let same = feed.sample(0, 300, 300);
    assert_eq!(same, Err(SampleError::Late { instance: 0 }));
    feed.now -= Duration::from_secs(15);
    let late = feed.sample(0, 100, 100);
    assert_eq!(late, Err(SampleError::Late { instance: 0 }));
    feed.wait(15);
    assert_eq!(last_hour(&feed), (0, 200));
}

/// Guards against the requests of an hour without samples being counted in the last
/// 5 min when the samples resume.
#[test]
fn gap_is_spread_over_its_time() {
    let mut feed = Feed::new();
    feed.wait(3600);
    feed.sample(0, 0, 3600).unwrap();
    let windows = feed.tracker.report(feed.now)[0].windows;
    assert_eq!(windows.map(|counts| counts.total), [300, 3600, 3600, 3600]);
}

/// Guards against unbounded state, and against instances that replace each other in
/// turn so that nothing is counted.
#[test]
fn state_is_bounded() {
    let limits = Limits {
        series_max: 1,
        instances_max: 1,
    };
    let mut feed = Feed::new();
    feed.tracker = Tracker::new(feed.now, limits);
    let objective = Objective::new(999_000).unwrap();
    feed.tracker.set_objective("refund", objective);
    feed.sample(0, 0, 0).unwrap();
    let instances_max = 1;
    feed.wait(600);
    let full = feed.sample(1, 0, 0);
    assert_eq!(full, Err(SampleError::TooManyInstances { instances_max }));
    feed.wait(1);
    feed.sample(1, 0, 0).unwrap();
    let mut other = Sample {
        at: feed.now,
        instance: 0,
        service: "refund",
        team: "Depots",
        good: 0,
        total: 0,
    };
    let series_max = 1;
    assert_eq!(
        feed.tracker.observe(&other),
        Err(SampleError::TooManySeries { series_max })
    );
    feed.tracker.remove_team("Kiosks");
    feed.tracker.observe(&other).unwrap();
    feed.tracker.remove_service("refund");
    assert!(feed.tracker.report(feed.now).is_empty());
    feed.tracker.set_objective("refund", objective);
    other.team = "Sorting";
    feed.tracker.observe(&other).unwrap();
}

/// Guards against accepting invalid input: a service without an objective, more good
/// requests than requests, and an objective without allowed errors.
#[test]
fn invalid_input_is_refused() {
    let mut feed = Feed::new();
    feed.wait(15);
    let (good, total) = (2, 1);
    let refused = feed.sample(0, good, total);
    assert_eq!(refused, Err(SampleError::GoodAboveTotal { good, total }));
    feed.tracker.remove_service("refund");
    let service = "refund".to_owned();
    assert_eq!(
        feed.sample(0, 1, 1),
        Err(SampleError::NoObjective { service })
    );
    assert!(Objective::new(0).is_err());
    assert!(Objective::new(1_000_000).is_err());
}
