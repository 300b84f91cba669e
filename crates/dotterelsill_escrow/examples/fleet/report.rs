//! Figures of one rule over all teams.

use std::error::Error;

use hdrhistogram::Histogram;

use crate::team::Outcome;

/// Prints the figures of the runs without and with a death.
pub(crate) fn print(
    name: &str,
    live: &[Outcome],
    dead: &[Outcome],
    length_s: f64,
) -> Result<(), Box<dyn Error>> {
    let offered = sum(live, |outcome| outcome.offered);
    let served = sum(live, |outcome| outcome.served);
    let waiting = mean(live, |outcome| outcome.stranded_waiting);
    println!("{name}");
    println!(
        "  served {:.1}%, stranded {:.1}% of the limit ({waiting:.1}% while a request waits)",
        100.0 * served / offered,
        mean(live, |outcome| outcome.stranded),
    );
    println!(
        "  store writes {:.0}/s, most in one second {}, of which refused {:.0}/s",
        sum(live, |outcome| outcome.writes) / length_s,
        most_writes(live),
        sum(live, |outcome| outcome.conflicts) / length_s,
    );
    print_ramps(live)?;
    println!(
        "  one instance dies: {:.1}% of the limit stranded, served afterwards {:.1}%",
        mean(dead, |outcome| outcome.lost_at_death),
        100.0 * sum(dead, |outcome| outcome.served_after)
            / sum(dead, |outcome| outcome.offered_after),
    );
    Ok(())
}

fn print_ramps(live: &[Outcome]) -> Result<(), Box<dyn Error>> {
    let mut ramps = Histogram::<u64>::new(3)?;
    for ramp in live.iter().flat_map(|outcome| &outcome.ramps_ms) {
        ramps.record(*ramp)?;
    }
    let unreached = sum(live, |outcome| outcome.unreached);
    let bursts = unreached + ramps.len() as f64;
    if ramps.is_empty() {
        println!("  95% of the limit never in use in {bursts} bursts");
        return Ok(());
    }
    println!(
        "  95% of the limit in use after {} ms (median), {} ms (95th percentile), \
         never in {:.1}% of {bursts} bursts",
        ramps.value_at_quantile(0.5),
        ramps.value_at_quantile(0.95),
        100.0 * unreached / bursts,
    );
    Ok(())
}

fn sum(outcomes: &[Outcome], value: fn(&Outcome) -> usize) -> f64 {
    outcomes.iter().map(value).sum::<usize>() as f64
}

/// Returns the mean over the teams, in percent.
fn mean(outcomes: &[Outcome], value: fn(&Outcome) -> f64) -> f64 {
    100.0 * outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
}

/// Returns the most writes of all teams in one second.
fn most_writes(outcomes: &[Outcome]) -> usize {
    let seconds = outcomes
        .iter()
        .map(|outcome| outcome.writes_by_second.len());
    let of_second = |second: usize| {
        let writes = outcomes
            .iter()
            .map(|outcome| outcome.writes_by_second.get(second));
        writes.flatten().sum::<usize>()
    };
    (0..seconds.max().unwrap_or(0))
        .map(of_second)
        .max()
        .unwrap_or(0)
}
