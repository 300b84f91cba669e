//! Compares escrow with an equal static split of the limits in a simulated fleet.
//!
//! Run it with `cargo run --release -p dotterelsill_escrow --example fleet`.

mod demand;
mod instance;
mod report;
mod store;
mod team;

use std::{
    error::Error,
    time::Duration, //
};

use argh::FromArgs;
use demand::{
    steps,
    Demand, //
};
use dotterelsill_escrow::{
    LedgerError,
    Policy,
    ABORT_GRACE, //
};
use team::{
    run,
    Outcome,
    Strategy, //
};

const TEAMS: usize = 26;

/// Simulates the division of team limits among instances.
#[derive(FromArgs)]
struct Settings {
    /// seed of the demand
    #[argh(option, default = "1")]
    seed: u64,
    /// simulated time in seconds
    #[argh(option, default = "300.0")]
    length_s: f64,
    /// demand in a burst, as a multiple of the limit
    #[argh(option, default = "1.25")]
    load: f64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let settings: Settings = argh::from_env();
    println!(
        "seed={} length_s={} load={} teams={TEAMS}",
        settings.seed, settings.length_s, settings.load
    );
    for instances in [7, 20] {
        println!("\n{instances} instances");
        let length = steps(settings.length_s);
        let demands: Vec<Demand> = (0..TEAMS)
            .map(|team| Demand::new(settings.seed, team, instances, length, settings.load))
            .collect();
        for (name, strategy) in strategies() {
            let healthy = run_teams(&demands, strategy, instances, None)?;
            let failure_step = length / 2;
            let failed = run_teams(&demands, strategy, instances, Some(failure_step))?;
            report::print(name, &healthy, &failed, settings.length_s)?;
        }
    }
    Ok(())
}

/// Returns the strategies to compare, with their names in the report.
fn strategies() -> Vec<(&'static str, Strategy)> {
    let basic = Policy::BASIC;
    let take_covers_waiting = Policy {
        take_covers_waiting: true,
        ..basic
    };
    let contended = Policy {
        idle_after_contended: Duration::from_millis(200),
        ..take_covers_waiting
    };
    vec![
        ("one shared counter (upper bound)", Strategy::Pooled),
        ("equal static split", Strategy::Static),
        ("escrow, basic", Strategy::Escrow(basic)),
        (
            "escrow, take waiting",
            Strategy::Escrow(take_covers_waiting),
        ),
        ("escrow, take waiting, 200 ms", Strategy::Escrow(contended)),
        (
            "escrow, default policy",
            Strategy::Escrow(Policy::default()),
        ),
        (
            "default policy, runs aborted after 1 s, credit released at once",
            Strategy::EscrowWithAborts(Duration::ZERO),
        ),
        (
            "default policy, runs aborted after 1 s, credit released after the grace period",
            Strategy::EscrowWithAborts(ABORT_GRACE),
        ),
    ]
}

/// Simulates all teams; an instance of each fails at `failure_step`.
fn run_teams(
    demands: &[Demand],
    strategy: Strategy,
    instances: usize,
    failure_step: Option<usize>,
) -> Result<Vec<Outcome>, LedgerError> {
    demands
        .iter()
        .map(|demand| run(demand, strategy, instances, failure_step))
        .collect()
}
