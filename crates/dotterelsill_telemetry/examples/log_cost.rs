//! Measures the cost of a log event that is disabled, suppressed or written.
//!
//! Run with `cargo run --release -p dotterelsill_telemetry --example log_cost`.

use std::{
    io,
    time::{
        Instant,
        SystemTime, //
    }, //
};

use dotterelsill_telemetry::logger;

const EVENTS: u32 = 1_000_000;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let (max_level, logger) = logger("info,other=debug", SystemTime::now, io::sink())?;
    log::set_boxed_logger(logger)?;
    log::set_max_level(max_level);
    measure(
        "above the most verbose level",
        || log::trace!(value = 1; "event"),
    );
    measure(
        "above the level of its module",
        || log::debug!(value = 1; "event"),
    );
    measure(
        "mostly suppressed by the rate limit",
        || log::info!(value = 1; "event"),
    );
    let mut name = 0;
    measure("names beyond the maximum number of names", || {
        name += 1;
        log::info!(value = 1; "event-{name}");
    });
    Ok(())
}

fn measure(case: &str, mut event: impl FnMut()) {
    let start = Instant::now();
    (0..EVENTS).for_each(|_| event());
    println!("{case}: {:?} per event", start.elapsed() / EVENTS);
}
