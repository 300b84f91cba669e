//! Memory usage of a full tracker.

#![cfg(target_os = "linux")]

use std::{
    fs,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_burn::{
    Limits,
    Objective,
    Sample,
    Tracker, //
};

const BYTES_MAX: u64 = 8_000_000;
const PAGE_BYTES: u64 = 4096;

fn resident_bytes() -> u64 {
    let pages = fs::read_to_string("/proc/self/statm").expect("procfs");
    let resident: u64 = pages
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .expect("pages");
    resident * PAGE_BYTES
}

fn observe(tracker: &mut Tracker, at: Instant, total: u64) {
    for series in 0..26 * 58 {
        for instance in 0..16 {
            let (service, team) = (format!("service-{:02}", series % 58), series / 58);
            let sample = Sample {
                at,
                instance,
                service: &service,
                team: &format!("team-{team:02}"),
                good: total,
                total,
            };
            tracker.observe(&sample).expect("within the limits");
        }
    }
}

/// Guards against a tracker of more than 8 MB for 26 teams on 58 services with
/// samples of 16 instances. This is the only test of its process, because the
/// allocations of other tests would be measured too.
#[test]
fn full_tracker_stays_under_8_mb() {
    let start = Instant::now();
    let before = resident_bytes();
    let mut tracker = Tracker::new(start, Limits::default());
    for service in 0..58 {
        let objective = Objective::new(999_000).unwrap();
        tracker.set_objective(&format!("service-{service:02}"), objective);
    }
    observe(&mut tracker, start, 0);
    observe(
        &mut tracker,
        start + Duration::from_secs(40 * 24 * 3600),
        1 << 40,
    );
    let used = resident_bytes() - before;
    println!("26 teams, 58 services, 16 instances: {used} bytes");
    assert!(used < BYTES_MAX, "{used} bytes");
    assert_eq!(tracker.report(start).len(), 26 * 58);
}
