//! Random search over takeovers, partitions, pauses, crashes, lost and late
//! orders, with the real decision code on both sides of each takeover.
//!
//! The world keeps the rules that workers and the store keep, and checks after
//! each event what must always hold. A seed names one history;
//! `SEARCH_SEEDS=N` plays more of them than the default, and `SEARCH_TRACE=SEED`
//! prints one.

mod driver;
mod fleet;
mod trace;
mod world;

use world::{
    Faults,
    World, //
};

/// Histories that are played by default.
const SEEDS: u64 = 40;

/// Histories that are played until one shows a fault that was put in.
const SEEDS_UNTIL_FOUND: u64 = 400;

fn seeds() -> u64 {
    std::env::var("SEARCH_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEEDS)
}

fn play(faults: Faults) -> Vec<(u64, String)> {
    let mut found = Vec::new();
    for seed in trace::seed().map_or(0..seeds(), |seed| seed..seed + 1) {
        let mut world = World::new(seed, faults);
        if let Err(violation) = world.play() {
            found.push((seed, violation));
        }
    }
    found
}

/// Returns whether a history breaks a rule when a decision is left out.
fn finds(faults: Faults) -> bool {
    (0..SEEDS_UNTIL_FOUND).any(|seed| World::new(seed, faults).play().is_err())
}

/// Guards against a task that runs twice at once or again after its end was
/// acknowledged, a worker over its room, a workspace over its cap, a step before
/// those it waits for, and more runs than a task may fail.
#[test]
fn rules_hold_under_faults() {
    let found = play(Faults::ALL);
    assert!(found.is_empty(), "{found:#?}");
}

/// Guards against jobs that are forgotten or never end although all faults are
/// over.
#[test]
fn every_job_ends_when_faults_are_over() {
    for seed in 0..seeds() {
        let mut world = World::new(seed, Faults::ALL);
        world
            .play()
            .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        let open = world.open_jobs();
        assert!(open.is_empty(), "seed {seed}: {open:?} did not end");
    }
}

/// Guards against a search that would not see a fault: a scheduler that judges
/// leases without authority runs tasks twice.
#[test]
fn search_finds_leases_judged_without_authority() {
    let faults = Faults {
        judges_without_authority: true,
        ..Faults::ALL
    };
    assert!(finds(faults));
}

/// Guards against a search that would not see a fault: workers that may run tasks
/// and are not in the stored record run tasks twice after a takeover.
#[test]
fn search_finds_workers_that_leave_the_record_early() {
    let faults = Faults {
        forgets_workers: true,
        ..Faults::ALL
    };
    assert!(finds(faults));
}

/// Guards against a search that would not see a fault: ends that are
/// acknowledged before they are stored are forgotten at a takeover.
#[test]
fn search_finds_ends_that_are_acknowledged_early() {
    let faults = Faults {
        acknowledges_early: true,
        ..Faults::ALL
    };
    assert!(finds(faults));
}
