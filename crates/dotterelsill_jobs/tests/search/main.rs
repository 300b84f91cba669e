//! Randomized simulation of takeovers, partitions, pauses, crashes, and lost and
//! delayed orders, using the real decision code on both sides of each takeover.
//!
//! The simulation follows the rules of the workers and the store, and checks
//! invariants after each event. Each seed determines one simulation run;
//! `SEARCH_SEEDS=N` sets the number of seeds, and `SEARCH_TRACE=SEED` prints the
//! run of one seed.

mod driver;
mod fleet;
mod trace;
mod world;

use world::{
    Faults,
    World, //
};

/// Number of seeds to simulate by default.
const SEEDS: u64 = 40;

/// Maximum number of seeds to simulate until an injected bug is detected.
const SEEDS_UNTIL_FOUND: u64 = 400;

fn seeds() -> u64 {
    std::env::var("SEARCH_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEEDS)
}

fn run(faults: Faults) -> Vec<(u64, String)> {
    let mut found = Vec::new();
    for seed in trace::seed().map_or(0..seeds(), |seed| seed..seed + 1) {
        let mut world = World::new(seed, faults);
        if let Err(violation) = world.run() {
            found.push((seed, violation));
        }
    }
    found
}

/// Returns whether an invariant is violated with the given bug injected.
fn detects_bug(faults: Faults) -> bool {
    (0..SEEDS_UNTIL_FOUND).any(|seed| World::new(seed, faults).run().is_err())
}

/// Guards against a task that runs twice at the same time or again after its end
/// was acknowledged, a worker that exceeds its resources, a workspace that exceeds
/// its limit, a step that starts before its dependencies, and more runs than a task
/// may fail.
#[test]
fn rules_hold_under_faults() {
    let found = run(Faults::ALL);
    assert!(found.is_empty(), "{found:#?}");
}

/// Guards against jobs that are forgotten or never end although all faults are
/// over.
#[test]
fn every_job_ends_when_faults_are_over() {
    for seed in 0..seeds() {
        let mut world = World::new(seed, Faults::ALL);
        world
            .run()
            .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        let open = world.open_jobs();
        assert!(open.is_empty(), "seed {seed}: {open:?} did not end");
    }
}

/// Guards against the same, and against a third run of a task, a copy that starts after
/// the end of its task was acknowledged, and a moved run that starts before its end was
/// listed, while some runs and workers are slow.
#[test]
fn rules_hold_while_runs_are_slow() {
    let (mut copies, mut moves) = (0, 0);
    for seed in trace::seed().map_or(0..seeds(), |seed| seed..seed + 1) {
        let mut world = World::with_slow_runs(seed);
        world
            .run()
            .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        let open = world.open_jobs();
        assert!(open.is_empty(), "seed {seed}: {open:?} did not end");
        copies += world.copies;
        moves += world.moves;
    }
    assert!(copies > 0, "runs are copied");
    assert!(moves > 0, "runs are moved");
    eprintln!("{copies} copies, {moves} moves");
}

/// Checks that the simulation detects a bug: a scheduler that relies on the end of
/// leases without authority runs tasks twice.
#[test]
fn search_finds_leases_judged_without_authority() {
    let faults = Faults {
        judges_without_authority: true,
        ..Faults::ALL
    };
    assert!(detects_bug(faults));
}

/// Checks that the simulation detects a bug: if workers that may run tasks are
/// missing from the stored record, tasks run twice after a takeover.
#[test]
fn search_finds_workers_that_leave_the_record_early() {
    let faults = Faults {
        forgets_workers: true,
        ..Faults::ALL
    };
    assert!(detects_bug(faults));
}

/// Checks that the simulation detects a bug: ends that are acknowledged before they
/// are stored are lost in a takeover.
#[test]
fn search_finds_ends_that_are_acknowledged_early() {
    let faults = Faults {
        acknowledges_early: true,
        ..Faults::ALL
    };
    assert!(detects_bug(faults));
}
