//! Burn-rate alerts over two windows, with hysteresis.

use dotterelsill_burn::Exhaustion;

mod common;
use common::Feed;

const HOUR_S: u64 = 3600;

/// Guards against rounding errors at the threshold: a rate of exactly 14.4 starts the
/// alert, the next lower rate does not.
#[test]
fn fast_alert_starts_at_its_exact_threshold() {
    let mut at = Feed::new();
    assert_eq!(at.run(HOUR_S, 1440), ["fast Active", "slow Active"]);
    let mut below = Feed::new();
    assert_eq!(below.run(HOUR_S, 1439), ["slow Active"]);
}

/// Guards against an alert by the short window alone: a spike of 1 min after a day
/// without errors is over before anyone can react.
#[test]
fn short_spike_does_not_alert() {
    let mut feed = Feed::new();
    assert!(feed.run(24 * HOUR_S, 0).is_empty());
    assert!(feed.run(60, 20_000).is_empty());
    assert!(feed.run(HOUR_S, 0).is_empty());
}

/// Guards against an alert by the long window alone, which would last for an hour
/// after the errors have stopped.
#[test]
fn fast_alert_ends_soon_after_the_errors() {
    let mut feed = Feed::new();
    feed.run(6 * HOUR_S, 0);
    assert_eq!(feed.run(HOUR_S, 4000), ["fast Active", "slow Active"]);
    assert!(feed.run(300, 0).is_empty());
    assert_eq!(feed.run(300, 0), ["fast Inactive"]);
}

/// Guards against an alert that starts and ends repeatedly while the rate varies
/// around the threshold.
#[test]
fn rate_around_the_threshold_alerts_once() {
    let mut feed = Feed::new();
    let mut changes = feed.run(HOUR_S, 1500);
    for _ in 0..20 {
        changes.extend(feed.run(600, 1250));
        changes.extend(feed.run(600, 1500));
    }
    assert_eq!(changes, ["fast Active", "slow Active"]);
    // Low for an instant, high again, and low for less than the hold time.
    let mut feed = Feed::new();
    feed.run(HOUR_S, 1500);
    assert!(feed.run(75, 0).is_empty());
    assert!(feed.run(75, 6000).is_empty());
    assert!(feed.run(17 * 15, 0).is_empty());
}

/// Guards against an alert that ends because requests or samples stop, as they do in
/// a full outage.
#[test]
fn silence_does_not_end_an_alert_at_once() {
    let mut feed = Feed::new();
    feed.run(HOUR_S, 50_000);
    for _ in 0..50 {
        feed.wait(60);
        assert!(feed.evaluate().is_empty());
    }
    feed.wait(7 * HOUR_S);
    assert!(feed.evaluate().is_empty());
    feed.wait(HOUR_S);
    assert_eq!(feed.evaluate(), ["fast Inactive", "slow Inactive"]);
}

/// Guards against a budget computed from a short history alone: 1 h at a burn rate of
/// 36 uses 5% of the budget of 30 days.
#[test]
fn budget_is_that_of_30_days() {
    let mut feed = Feed::new();
    feed.run(HOUR_S, 3600);
    let row = &feed.tracker.report(feed.now)[0];
    assert!((row.budget_left.unwrap() - 0.95).abs() < 1e-9);
    let Exhaustion::After(time) = row.exhaustion else {
        panic!("{:?}", row.exhaustion);
    };
    assert_eq!(time.as_secs() / 60, 19 * 60);
    feed.run(2 * HOUR_S, 90);
    let row = &feed.tracker.report(feed.now)[0];
    assert_eq!(row.exhaustion, Exhaustion::BeyondPeriod);
}

/// Guards against errors that count against the budget for more than 30 days, and
/// against a division by zero without requests.
#[test]
fn errors_leave_the_budget_after_30_days() {
    let mut feed = Feed::new();
    feed.run(HOUR_S, 100_000);
    assert_eq!(feed.tracker.report(feed.now)[0].exhaustion, Exhaustion::Now);
    feed.wait(31 * 24 * HOUR_S);
    let row = &feed.tracker.report(feed.now)[0];
    assert_eq!(row.budget_left, None);
    assert_eq!(row.exhaustion, Exhaustion::Unknown);
    assert_eq!(row.burn_rates(), [None; 4]);
}
