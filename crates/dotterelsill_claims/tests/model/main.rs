//! Model check of the path of requests over several instances and one bucket.

mod search;
mod world;

use world::{
    Budget,
    Driver,
    World, //
};

/// Two attempts with one identifier, at any instance, asking any owner.
const TWO: Budget = Budget {
    attempts: [2, 0],
    store_late: 0,
    store_lost: 0,
    late: 0,
    doubled_claims: 0,
    doubled: 0,
    bad_runs: 0,
    lapses: 0,
    restarts: 0,
};

fn violated(world: &World) -> bool {
    world.violation.is_some()
}

/// Explores everything and asserts that no invariant is violated.
fn holds(name: &str, start: World, least_states: usize) {
    let explored = search::explore(start, violated);
    println!(
        "{name}: {} states, depth {}",
        explored.states, explored.depth
    );
    let violation = explored.found.and_then(|(_, world)| world.violation);
    assert_eq!(violation, None, "{name}");
    assert!(explored.states >= least_states, "{name}: too few states");
}

/// Asserts that the search finds the fault of a driver.
fn finds(driver: Driver, mut start: World, violation: &str) {
    start.set_driver(driver);
    let explored = search::explore(start, violated);
    let (path, world) = explored.found.expect("the fault is found");
    println!("{driver:?}: {violation} after {} states:", explored.states);
    for label in path {
        println!("  {label}");
    }
    assert_eq!(world.violation, Some(violation));
}

fn two(budget: Budget) -> World {
    World::new(2, Driver::Correct, budget)
}

/// Returns a state in which two epochs are not sealed, with one more attempt.
fn two_unsealed_epochs() -> World {
    let start = two(Budget { restarts: 1, ..TWO });
    let explored = search::explore(start, World::restarted_before_seal);
    let (path, world) = explored.found.expect("the state is reachable");
    println!("2 unsealed epochs:");
    path.iter().for_each(|label| println!("  {label}"));
    let mut world = (*world).clone();
    world.add_attempt();
    world
}

/// Returns a state in which the seal of the bucket's first owner, who does not
/// know that it was deposed, has expired.
fn expired_seal() -> World {
    let explored = search::explore(two(TWO), World::two_idle_owners);
    let (_, world) = explored.found.expect("the state is reachable");
    let mut world = (*world).clone();
    world.expire_entries();
    world
}

#[test]
fn restarts_and_late_messages_run_nothing_twice() {
    let budget = Budget {
        restarts: 1,
        late: 1,
        ..TWO
    };
    holds("restart, late", two(budget), 50_000);
}

#[test]
fn late_store_calls_run_nothing_twice() {
    let budget = Budget {
        store_late: 1,
        ..TWO
    };
    holds("store late", two(budget), 45_000);
}

#[test]
fn lost_store_answers_run_nothing_twice() {
    let lost = Budget {
        store_lost: 1,
        ..TWO
    };
    holds("store lost", two(lost), 12_000);
    let all = Budget {
        attempts: [1, 0],
        store_late: 1,
        store_lost: 1,
        restarts: 1,
        ..TWO
    };
    holds("store late, lost, restart", two(all), 2_500);
}

#[test]
fn repeated_claims_run_nothing_twice() {
    let budget = Budget {
        attempts: [1, 0],
        doubled_claims: 1,
        late: 1,
        restarts: 1,
        ..TWO
    };
    holds("claims doubled, late, restart", two(budget), 8_000);
}

#[test]
fn repeated_forwards_and_lapses_make_no_refusal_false() {
    let budget = Budget {
        doubled: 1,
        lapses: 1,
        ..TWO
    };
    holds("forwards doubled, lapse", two(budget), 30_000);
}

#[test]
fn failed_runs_and_timeouts_make_no_refusal_false() {
    let budget = Budget {
        late: 1,
        bad_runs: 1,
        ..TWO
    };
    holds("late, bad runs", two(budget), 10_000);
}

#[test]
fn three_believed_owners_run_nothing_twice() {
    holds("3 instances", World::new(3, Driver::Correct, TWO), 15_000);
}

#[test]
fn two_identifiers_do_not_disturb_each_other() {
    let budget = Budget {
        attempts: [1, 1],
        ..TWO
    };
    holds("2 identifiers", two(budget), 7_000);
}

#[test]
fn several_unsealed_epochs_are_all_sealed() {
    holds("2 unsealed epochs", two_unsealed_epochs(), 400);
    let driver = Driver::SealsOnlyLastEpoch;
    finds(driver, two_unsealed_epochs(), "dispatched twice");
}

#[test]
fn deposed_owner_grants_nothing_after_its_seal_expired() {
    holds("expired seal", expired_seal(), 700);
    finds(Driver::StaleClock, expired_seal(), "dispatched twice");
}

#[test]
fn finds_a_grant_before_the_append() {
    finds(Driver::GrantsBeforeAppend, two(TWO), "dispatched twice");
}

#[test]
fn finds_a_missing_seal() {
    finds(Driver::NeverSeals, two(TWO), "dispatched twice");
}

#[test]
fn finds_claims_bound_to_a_name() {
    let budget = Budget { restarts: 1, ..TWO };
    finds(Driver::ClaimsByName, two(budget), "dispatched twice");
}

#[test]
fn finds_not_run_after_dispatch() {
    let budget = Budget { bad_runs: 1, ..TWO };
    let driver = Driver::NotRunAfterDispatch;
    finds(driver, two(budget), "not_run after dispatch");
}

#[test]
fn finds_a_repeated_forward_with_a_new_origin() {
    let budget = Budget {
        doubled: 1,
        lapses: 1,
        ..TWO
    };
    let violation = "dispatched by an attempt that was told not_run";
    finds(Driver::NewOriginOnRepeat, two(budget), violation);
}
