//! Time that an event takes when it is off, not written, and written.
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
    report(
        "above the highest level",
        || log::trace!(value = 1; "event"),
    );
    report(
        "above the level of its module",
        || log::debug!(value = 1; "event"),
    );
    report(
        "mostly suppressed by the limit",
        || log::info!(value = 1; "event"),
    );
    let mut name = 0;
    report("names beyond the limit of names", || {
        name += 1;
        log::info!(value = 1; "event-{name}");
    });
    Ok(())
}

fn report(case: &str, mut event: impl FnMut()) {
    let start = Instant::now();
    (0..EVENTS).for_each(|_| event());
    println!("{case}: {:?} per event", start.elapsed() / EVENTS);
}
