//! Replays of load beyond a pool's capacity on the real scheduler, for several orders of
//! the waiting steps.
//!
//! `cargo test -p dotterelsill_jobs --test shortage -- --nocapture table` prints the
//! table of docs/design/order-under-shortage.md; `SHORTAGE_SEEDS=N` sets the number of
//! seeds.

#[path = "../common/mod.rs"]
mod common;
mod load;
mod order;
mod properties;
mod table;
mod world;

use load::PATTERNS;
use table::Row;
use world::StepOrder;

/// Number of seeds to replay by default.
const SEEDS: u64 = 1;

fn seeds() -> u64 {
    std::env::var("SHORTAGE_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEEDS)
}

/// Guards against an order that serves fewer callers, or leaves more of them unserved,
/// than the order by latest start time.
#[test]
fn table() {
    println!("{}", Row::HEADER);
    for pattern in PATTERNS {
        let row = |order| Row::of(&pattern, order, 0..seeds());
        let latest_start = row(StepOrder::LatestStart);
        let acceptance = row(StepOrder::Acceptance);
        let divided = row(StepOrder::Divided);
        println!("{latest_start}\n{acceptance}\n{divided}");
        assert!(divided.on_time > latest_start.on_time * 1.5);
        assert!(divided.on_time + divided.late > latest_start.on_time + latest_start.late);
        assert_eq!(divided.never, 0.0, "jobs starve");
    }
}
