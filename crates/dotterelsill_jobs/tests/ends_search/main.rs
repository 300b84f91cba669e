//! Randomized simulation of ends and acknowledgements: restarts of workers under their
//! identifiers, lost and late calls, responses that overtake each other, outages of the
//! store and takeovers, with the decision code of the real scheduler.
//!
//! A scheduler instance makes its calls as the daemon's loops do. Each seed determines
//! one simulation run; `SEARCH_SEEDS=N` sets the number of seeds, and
//! `SEARCH_TRACE=SEED` prints the run of one seed.

mod calls;
mod driver;
mod loops;
mod rules;
mod store;
#[path = "../search/trace.rs"]
mod trace;
mod worker;
mod world;

use rules::Counts;
use world::{
    Bugs,
    Environment,
    World, //
};

/// Number of seeds to simulate by default.
const SEEDS: u64 = 150;

/// Maximum number of seeds to simulate until an injected bug is detected.
const SEEDS_UNTIL_FOUND: u64 = 400;

/// Workers live throughout, and no other scheduler takes over.
const STEADY: Environment = Environment {
    restarts: false,
    lists: false,
    takeovers: false,
    dispatchers: true,
    cancels: true,
    moves: false,
    gangs_and_fillers: false,
    hand_overs: false,
    early_listening: false,
    closed_connections: false,
    slow_runs: false,
};

const TAKEOVERS: Environment = Environment {
    takeovers: true,
    ..STEADY
};

const RESTARTS: Environment = Environment {
    restarts: true,
    ..STEADY
};

const RESTARTS_AND_TAKEOVERS: Environment = Environment {
    restarts: true,
    takeovers: true,
    ..STEADY
};

const LISTS: Environment = Environment {
    restarts: true,
    lists: true,
    takeovers: true,
    ..STEADY
};

/// Workers accept connections before they serve.
const EARLY_LISTENING: Environment = Environment {
    early_listening: true,
    ..LISTS
};

/// Some workers also close each connection after their answer.
const CLOSED_CONNECTIONS: Environment = Environment {
    closed_connections: true,
    ..EARLY_LISTENING
};

/// Restarted workers have other addresses, also those of other workers.
const MOVES: Environment = Environment {
    moves: true,
    ..LISTS
};

const GANGS_AND_FILLERS: Environment = Environment {
    gangs_and_fillers: true,
    ..STEADY
};

const HAND_OVERS: Environment = Environment {
    hand_overs: true,
    ..RESTARTS_AND_TAKEOVERS
};

/// Some runs and workers are slow, and some steps may have two runs of a task.
const SLOW_RUNS: Environment = Environment {
    slow_runs: true,
    hand_overs: true,
    ..LISTS
};

const EVERYTHING: Environment = Environment {
    moves: true,
    gangs_and_fillers: true,
    hand_overs: true,
    ..LISTS
};

fn seeds() -> u64 {
    std::env::var("SEARCH_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEEDS)
}

/// Checks that no seed violates a rule.
fn check(environment: Environment) {
    let mut found = Vec::new();
    for seed in trace::seed().map_or(0..seeds(), |seed| seed..seed + 1) {
        if let Err(violation) = World::new(seed, environment, Bugs::default()).run() {
            found.push((seed, violation));
        }
    }
    assert!(found.is_empty(), "{} seeds: {found:#?}", found.len());
}

/// Checks that some seed violates a rule with a bug, and does not without it.
fn check_detected(environment: Environment, bugs: Bugs) {
    let detects = |seed: &u64| {
        World::new(*seed, environment, bugs).run().is_err()
            && World::new(*seed, environment, Bugs::default())
                .run()
                .is_ok()
    };
    let found = (0..SEEDS_UNTIL_FOUND).find(detects);
    println!("{bugs:?}: found by seed {found:?}");
    assert!(found.is_some(), "{bugs:?} is not found");
}

/// Guards against a simulation in which too little happens to show anything.
#[test]
fn runs_end_and_are_noted() {
    for environment in [STEADY, TAKEOVERS, RESTARTS, RESTARTS_AND_TAKEOVERS, LISTS] {
        let mut totals = Counts::default();
        for seed in 0..10 {
            let mut world = World::new(seed, environment, Bugs::default());
            // A violation ends the run; it is reported by the tests below.
            let _ = world.run();
            let counts = world.rules.counts();
            totals.starts += counts.starts;
            totals.noted += counts.noted;
            totals.restarted_tasks += counts.restarted_tasks;
        }
        assert!(totals.noted > 200, "{environment:?}: {totals:?}");
        assert!(totals.restarted_tasks > 20, "{environment:?}: {totals:?}");
    }
}

/// Guards against a simulation in which workers do not move, gangs do not get together,
/// fillers are not paced, or schedulers do not hand over in order.
#[test]
fn moves_gangs_paces_and_hand_overs_happen() {
    let mut totals = world::WorldCounts::default();
    for seed in 0..10 {
        let mut world = World::new(seed, EVERYTHING, Bugs::default());
        let _ = world.run();
        totals.gangs += world.counts.gangs;
        totals.paces += world.counts.paces;
        totals.other_workers += world.counts.other_workers;
        totals.hand_overs += world.counts.hand_overs;
    }
    println!("{totals:?}");
    assert!(totals.gangs > 20, "{totals:?}");
    assert!(totals.paces > 20, "{totals:?}");
    assert!(totals.other_workers > 5, "{totals:?}");
    assert!(totals.hand_overs > 10, "{totals:?}");
}

/// Guards against a task that starts again after its noted end, or that runs twice at a
/// time, when calls and answers are lost, late or overtake each other.
#[test]
fn ends_are_kept_while_workers_live() {
    check(STEADY);
}

/// Guards against the same when schedulers lose the store, freeze, crash and are taken
/// over.
#[test]
fn ends_are_kept_over_takeovers() {
    check(TAKEOVERS);
}

/// Guards against the same when workers restart under their identifiers.
#[test]
fn ends_are_kept_over_restarts() {
    check(RESTARTS);
}

/// Guards against the same when workers restart while schedulers are taken over.
#[test]
fn ends_are_kept_over_restarts_and_takeovers() {
    check(RESTARTS_AND_TAKEOVERS);
}

/// Guards against the same when schedulers also read lists of instances, which are late.
#[test]
fn ends_are_kept_with_lists_of_instances() {
    check(LISTS);
}

/// Guards against the same when restarted workers accept connections before they serve, and
/// carry out what was sent until then.
#[test]
fn ends_are_kept_while_workers_listen_before_they_serve() {
    check(EARLY_LISTENING);
}

/// Guards against the same for workers to which no connection is known to lead, as they
/// close each one.
#[test]
fn ends_are_kept_on_workers_that_close_connections() {
    check(CLOSED_CONNECTIONS);
}

/// Guards against the same when workers restart at other addresses, some of which belonged
/// to other workers, which answer that a call is not meant for them.
#[test]
fn ends_are_kept_while_workers_change_their_addresses() {
    check(MOVES);
}

/// Guards against the same for gangs, whose members end together, and while fillers are
/// paced beside tasks with a tail latency.
#[test]
fn ends_of_gangs_are_kept() {
    check(GANGS_AND_FILLERS);
}

/// Guards against the same when schedulers store their changes and hand over in order.
#[test]
fn ends_are_kept_over_hand_overs() {
    check(HAND_OVERS);
}

/// Guards against the same while slow runs are stopped and started elsewhere, against a
/// copy that starts after the end of its task was noted, and a third run of a task.
#[test]
fn ends_are_kept_while_runs_are_slow() {
    check(SLOW_RUNS);
}

/// Guards against a simulation in which slow runs are neither copied nor moved.
#[test]
fn slow_runs_are_copied_and_moved() {
    let mut totals = world::WorldCounts::default();
    for seed in 0..20 {
        let mut world = World::new(seed, SLOW_RUNS, Bugs::default());
        let _ = world.run();
        totals.copies += world.counts.copies;
        totals.moved_runs += world.counts.moved_runs;
    }
    println!("{totals:?}");
    assert!(totals.copies > 10, "{totals:?}");
    assert!(totals.moved_runs > 3, "{totals:?}");
}

/// Guards against the same when all of this happens.
#[test]
fn ends_are_kept_through_everything() {
    check(EVERYTHING);
}

/// Checks that the simulation detects ends that are acknowledged before they are stored.
#[test]
fn search_finds_ends_acknowledged_early() {
    let bugs = Bugs {
        acknowledges_early: true,
        ..Bugs::default()
    };
    check_detected(TAKEOVERS, bugs);
}

/// Checks that the simulation detects a status request that acknowledges ends of one life
/// to another.
#[test]
fn search_finds_ends_acknowledged_to_another_life() {
    let bugs = Bugs {
        acknowledges_to_another_life: true,
        ..Bugs::default()
    };
    check_detected(RESTARTS, bugs);
}

/// Checks that the simulation detects runs that are given up because their worker does
/// not answer.
#[test]
fn search_finds_runs_given_up_without_proof() {
    let bugs = Bugs {
        gives_up_without_proof: true,
        ..Bugs::default()
    };
    check_detected(STEADY, bugs);
}

/// Checks that the simulation detects a scheduler that relies on the end of leases
/// without authority.
#[test]
fn search_finds_leases_judged_without_authority() {
    let bugs = Bugs {
        judges_without_authority: true,
        ..Bugs::default()
    };
    check_detected(TAKEOVERS, bugs);
}

/// Checks that the simulation detects a start that is carried out by the life after the one
/// that it was decided for.
#[test]
fn search_finds_starts_that_reach_another_life() {
    let bugs = Bugs {
        starts_on_any_connection: true,
        ..Bugs::default()
    };
    check_detected(EARLY_LISTENING, bugs);
}
