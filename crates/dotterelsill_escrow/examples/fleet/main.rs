//! Compares the escrow of limits with the equal static split in a simulated fleet.
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
    Rule, //
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
        for (name, rule) in rules() {
            let live = run_teams(&demands, rule, instances, None)?;
            let death = length / 2;
            let dead = run_teams(&demands, rule, instances, Some(death))?;
            report::print(name, &live, &dead, settings.length_s)?;
        }
    }
    Ok(())
}

fn rules() -> Vec<(&'static str, Rule)> {
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
        ("one counter (attainable)", Rule::Pooled),
        ("equal static split", Rule::Static),
        ("escrow, basic", Rule::Escrow(basic)),
        ("escrow, take waiting", Rule::Escrow(take_covers_waiting)),
        ("escrow, take waiting, 200 ms", Rule::Escrow(contended)),
        ("escrow, default policy", Rule::Escrow(Policy::default())),
        (
            "default policy, runs cut after 1 s, credit at the cut",
            Rule::Cut(Duration::ZERO),
        ),
        (
            "default policy, runs cut after 1 s, credit when settled",
            Rule::Cut(ABORT_GRACE),
        ),
    ]
}

fn run_teams(
    demands: &[Demand],
    rule: Rule,
    instances: usize,
    death: Option<usize>,
) -> Result<Vec<Outcome>, LedgerError> {
    demands
        .iter()
        .map(|demand| run(demand, rule, instances, death))
        .collect()
}
