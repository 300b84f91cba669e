//! Prints the results of one strategy over all teams.

use std::error::Error;

use hdrhistogram::Histogram;

use crate::team::Outcome;

/// Prints the results of the simulations without and with a failed instance.
pub(crate) fn print(
    name: &str,
    healthy: &[Outcome],
    failed: &[Outcome],
    length_s: f64,
) -> Result<(), Box<dyn Error>> {
    let offered = sum(healthy, |outcome| outcome.offered);
    let served = sum(healthy, |outcome| outcome.served);
    let waiting = mean(healthy, |outcome| outcome.stranded_waiting);
    println!("{name}");
    println!(
        "  served {:.1}%, stranded {:.1}% of the limit ({waiting:.1}% while a request waits)",
        100.0 * served / offered,
        mean(healthy, |outcome| outcome.stranded),
    );
    println!(
        "  store writes {:.0}/s ({} in the busiest second), of which refused {:.0}/s",
        sum(healthy, |outcome| outcome.writes) / length_s,
        max_writes_per_second(healthy),
        sum(healthy, |outcome| outcome.conflicts) / length_s,
    );
    print_ramps(healthy)?;
    println!(
        "  one instance fails: {:.1}% of the limit stranded, served afterwards {:.1}%",
        mean(failed, |outcome| outcome.lost_at_failure),
        100.0 * sum(failed, |outcome| outcome.served_after)
            / sum(failed, |outcome| outcome.offered_after),
    );
    Ok(())
}

/// Prints how long bursts take to use 95% of the limit.
fn print_ramps(healthy: &[Outcome]) -> Result<(), Box<dyn Error>> {
    let mut ramps = Histogram::<u64>::new(3)?;
    for ramp in healthy.iter().flat_map(|outcome| &outcome.ramps_ms) {
        ramps.record(*ramp)?;
    }
    let unreached = sum(healthy, |outcome| outcome.unreached);
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

/// Returns the mean of a fraction over the teams, in percent.
fn mean(outcomes: &[Outcome], value: fn(&Outcome) -> f64) -> f64 {
    100.0 * outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
}

/// Returns the highest number of writes of all teams in one second.
fn max_writes_per_second(outcomes: &[Outcome]) -> usize {
    let seconds = outcomes
        .iter()
        .map(|outcome| outcome.writes_by_second.len());
    let writes_in_second = |second: usize| {
        let writes = outcomes
            .iter()
            .map(|outcome| outcome.writes_by_second.get(second));
        writes.flatten().sum::<usize>()
    };
    (0..seconds.max().unwrap_or(0))
        .map(writes_in_second)
        .max()
        .unwrap_or(0)
}
