//! Checks the properties P3 to P8 over all runs and answers of a test.

use std::{
    collections::HashMap,
    time::Duration, //
};

use crate::{
    Observer,
    Run,
    SentRequest, //
};

/// Time after a change is reported in force during which work that an entry
/// started under the older revision may still arrive at an upstream.
const IN_TRANSIT_LIMIT: Duration = Duration::from_secs(3);

/// Returns one line for each violation of the properties P3 to P8; `limits` holds
/// the names of teams and the maximum numbers of runs at once.
pub fn violations(observer: &Observer, runs: &[Run], limits: &[(&str, usize)]) -> Vec<String> {
    let sent = observer.sent();
    let mut found = Vec::new();
    for (key, at_us) in observer.withdrawn() {
        found.extend(starts_after_withdrawal(&sent, runs, &key, at_us));
    }
    for (team, limit) in limits {
        let peak = peak_runs(&sent, runs, team);
        if peak.len() > *limit {
            let running = peak.len();
            let entry = |run: &&Run| (sent[run.attempt as usize].address.port(), (*run).clone());
            let at: Vec<(u16, Run)> = peak.iter().map(entry).collect();
            found.push(format!(
                "P4: {team} ran {running} at once, its limit is {limit}; \
                 entry ports and runs: {at:?}"
            ));
        }
    }
    for exclusion in observer.exclusions() {
        found.extend(starts_while_excluded(runs, exclusion));
    }
    found.extend(wrong_answers(&sent, runs));
    found.extend(repeated_runs(&sent, runs));
    found
}

/// Returns the maximum number of concurrent runs of a team.
pub fn peak_concurrency(sent: &[SentRequest], runs: &[Run], team: &str) -> usize {
    peak_runs(sent, runs, team).len()
}

/// Returns the concurrent runs of a team at the first instant at which their
/// number is at its maximum.
fn peak_runs<'a>(sent: &[SentRequest], runs: &'a [Run], team: &str) -> Vec<&'a Run> {
    let mut runs: Vec<&Run> = runs
        .iter()
        .filter(|run| sent[run.attempt as usize].work.team == team)
        .collect();
    runs.sort_unstable_by_key(|run| run.start_us);
    let mut running: Vec<&Run> = Vec::new();
    let mut peak = Vec::new();
    for run in runs {
        // A run that ends in the microsecond in which another starts does not
        // overlap it.
        running.retain(|other| other.end_us.is_none_or(|end_us| end_us > run.start_us));
        running.push(run);
        if running.len() > peak.len() {
            peak.clone_from(&running);
        }
    }
    peak
}

/// P3: finds runs that start with a key after its withdrawal is in force.
fn starts_after_withdrawal(
    sent: &[SentRequest],
    runs: &[Run],
    key: &str,
    at_us: u64,
) -> Vec<String> {
    let is_late = |run: &&Run| {
        let work = &sent[run.attempt as usize].work;
        work.key == key && run.start_us > at_us + IN_TRANSIT_LIMIT.as_micros() as u64
    };
    let line = |run: &Run| {
        let late_ms = (run.start_us - at_us) / 1000;
        format!("P3: {key} was withdrawn {late_ms} ms before {run:?}")
    };
    runs.iter().filter(is_late).map(line).collect()
}

/// P5: finds runs that start in a data centre while it is excluded.
fn starts_while_excluded(
    runs: &[Run],
    (index, from_us, until_us): (usize, u64, u64),
) -> Vec<String> {
    let from_us = from_us + IN_TRANSIT_LIMIT.as_micros() as u64;
    runs.iter()
        .filter(|run| run.upstream == index && run.start_us > from_us && run.start_us < until_us)
        .map(|run| format!("P5: data centre {index} is excluded and starts {run:?}"))
        .collect()
}

/// P6 and P7: finds answers that belong to another request, and refusals as not
/// run of work that ran.
fn wrong_answers(sent: &[SentRequest], runs: &[Run]) -> Vec<String> {
    let mut found = Vec::new();
    for (attempt, sent) in sent.iter().enumerate() {
        if sent.outcome == "answered" && !sent.is_own_answer {
            found.push(format!(
                "P6: attempt {attempt} got the answer of another request: {sent:?}"
            ));
        }
        let ran = runs.iter().find(|run| run.attempt == attempt as u64);
        if let ("not_run", Some(run)) = (sent.outcome.as_str(), ran) {
            found.push(format!("P7: {sent:?} was refused as not run: {run:?}"));
        }
    }
    found
}

/// P8: finds identifiers of non-repeatable work that ran more than once.
fn repeated_runs(sent: &[SentRequest], runs: &[Run]) -> Vec<String> {
    let mut by_identifier: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        let identifier = &sent[run.attempt as usize].work.identifier;
        if !identifier.is_empty() {
            by_identifier.entry(identifier).or_default().push(run);
        }
    }
    by_identifier
        .into_iter()
        .filter(|(_, runs)| runs.len() > 1)
        .map(|(identifier, runs)| {
            let attempts: Vec<(usize, &SentRequest)> = sent
                .iter()
                .enumerate()
                .filter(|(_, sent)| sent.work.identifier == identifier)
                .collect();
            format!("P8: {identifier} ran more than once: {runs:?}; attempts: {attempts:?}")
        })
        .collect()
}
