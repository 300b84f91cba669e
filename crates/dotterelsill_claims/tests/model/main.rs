//! Model check of attempts on several instances that share one bucket.
//!
//! The search explores every order of events that a [`Budget`] allows and
//! checks the invariants of at-most-once execution in each state. Drivers with
//! a fault show that the search finds violations.

mod search;
mod world;

use world::{
    Budget,
    Driver,
    World, //
};

/// Two attempts with one identifier, at any instance, claiming from any
/// instance. No faults.
const TWO_ATTEMPTS: Budget = Budget {
    attempts: [2, 0],
    late_store_calls: 0,
    lost_store_answers: 0,
    late_messages: 0,
    duplicated_claims: 0,
    duplicated_messages: 0,
    failed_runs: 0,
    authority_lapses: 0,
    restarts: 0,
};

fn has_violation(world: &World) -> bool {
    world.violation.is_some()
}

/// Explores all states and asserts that no invariant is violated and that there
/// are at least `min_states`.
fn assert_no_violation(name: &str, start: World, min_states: usize) {
    let explored = search::explore(start, has_violation);
    println!(
        "{name}: {} states, depth {}",
        explored.states, explored.depth
    );
    let violation = explored.found.and_then(|(_, world)| world.violation);
    assert_eq!(violation, None, "{name}");
    assert!(explored.states >= min_states, "{name}: too few states");
}

/// Asserts that the search finds the violation that a faulty driver causes.
fn assert_finds_violation(driver: Driver, mut start: World, violation: &str) {
    start.set_driver(driver);
    let explored = search::explore(start, has_violation);
    let (path, world) = explored.found.expect("the violation is found");
    println!("{driver:?}: {violation} after {} states:", explored.states);
    for label in path {
        println!("  {label}");
    }
    assert_eq!(world.violation, Some(violation));
}

fn two_instances(budget: Budget) -> World {
    World::new(2, Driver::Correct, budget)
}

/// Returns a state in which two epochs are unsealed and one more attempt may
/// arrive.
fn two_unsealed_epochs() -> World {
    let start = two_instances(Budget {
        restarts: 1,
        ..TWO_ATTEMPTS
    });
    let explored = search::explore(start, World::restarted_before_seal);
    let (path, world) = explored.found.expect("the state is reachable");
    println!("2 unsealed epochs:");
    path.iter().for_each(|label| println!("  {label}"));
    let mut world = (*world).clone();
    world.add_attempt();
    world
}

/// Returns a state in which the first owner of the bucket does not know that it
/// lost the ownership, and the seal of its epoch has expired.
fn expired_seal() -> World {
    let explored = search::explore(two_instances(TWO_ATTEMPTS), World::two_idle_owners);
    let (_, world) = explored.found.expect("the state is reachable");
    let mut world = (*world).clone();
    world.expire_entries();
    world
}

#[test]
fn restarts_and_late_messages_run_nothing_twice() {
    let budget = Budget {
        restarts: 1,
        late_messages: 1,
        ..TWO_ATTEMPTS
    };
    assert_no_violation("restart, late", two_instances(budget), 50_000);
}

#[test]
fn late_store_calls_run_nothing_twice() {
    let budget = Budget {
        late_store_calls: 1,
        ..TWO_ATTEMPTS
    };
    assert_no_violation("store late", two_instances(budget), 45_000);
}

#[test]
fn lost_store_answers_run_nothing_twice() {
    let lost = Budget {
        lost_store_answers: 1,
        ..TWO_ATTEMPTS
    };
    assert_no_violation("store lost", two_instances(lost), 12_000);
    let all = Budget {
        attempts: [1, 0],
        late_store_calls: 1,
        lost_store_answers: 1,
        restarts: 1,
        ..TWO_ATTEMPTS
    };
    assert_no_violation("store late, lost, restart", two_instances(all), 2_500);
}

#[test]
fn repeated_claims_run_nothing_twice() {
    let budget = Budget {
        attempts: [1, 0],
        duplicated_claims: 1,
        late_messages: 1,
        restarts: 1,
        ..TWO_ATTEMPTS
    };
    assert_no_violation(
        "claims duplicated, late, restart",
        two_instances(budget),
        8_000,
    );
}

#[test]
fn repeated_forwards_and_lapses_make_no_refusal_false() {
    let budget = Budget {
        duplicated_messages: 1,
        authority_lapses: 1,
        ..TWO_ATTEMPTS
    };
    assert_no_violation("forwards duplicated, lapse", two_instances(budget), 30_000);
}

#[test]
fn failed_runs_and_timeouts_make_no_refusal_false() {
    let budget = Budget {
        late_messages: 1,
        failed_runs: 1,
        ..TWO_ATTEMPTS
    };
    assert_no_violation("late, failed runs", two_instances(budget), 10_000);
}

#[test]
fn three_believed_owners_run_nothing_twice() {
    assert_no_violation(
        "3 instances",
        World::new(3, Driver::Correct, TWO_ATTEMPTS),
        15_000,
    );
}

#[test]
fn two_identifiers_do_not_disturb_each_other() {
    let budget = Budget {
        attempts: [1, 1],
        ..TWO_ATTEMPTS
    };
    assert_no_violation("2 identifiers", two_instances(budget), 7_000);
}

#[test]
fn several_unsealed_epochs_are_all_sealed() {
    assert_no_violation("2 unsealed epochs", two_unsealed_epochs(), 400);
    let driver = Driver::SealsOnlyLastEpoch;
    assert_finds_violation(driver, two_unsealed_epochs(), "dispatched twice");
}

#[test]
fn deposed_owner_grants_nothing_after_its_seal_expired() {
    assert_no_violation("expired seal", expired_seal(), 700);
    assert_finds_violation(Driver::StaleClock, expired_seal(), "dispatched twice");
}

#[test]
fn finds_a_grant_before_the_append() {
    assert_finds_violation(
        Driver::GrantsBeforeAppend,
        two_instances(TWO_ATTEMPTS),
        "dispatched twice",
    );
}

#[test]
fn finds_a_missing_seal() {
    assert_finds_violation(
        Driver::NeverSeals,
        two_instances(TWO_ATTEMPTS),
        "dispatched twice",
    );
}

#[test]
fn finds_claims_bound_to_a_name() {
    let budget = Budget {
        restarts: 1,
        ..TWO_ATTEMPTS
    };
    assert_finds_violation(
        Driver::ClaimsByName,
        two_instances(budget),
        "dispatched twice",
    );
}

#[test]
fn finds_not_run_after_dispatch() {
    let budget = Budget {
        failed_runs: 1,
        ..TWO_ATTEMPTS
    };
    let driver = Driver::NotRunAfterDispatch;
    assert_finds_violation(driver, two_instances(budget), "not_run after dispatch");
}

#[test]
fn finds_a_repeated_forward_with_a_new_origin() {
    let budget = Budget {
        duplicated_messages: 1,
        authority_lapses: 1,
        ..TWO_ATTEMPTS
    };
    let violation = "dispatched by an attempt that was told not_run";
    assert_finds_violation(Driver::NewIdOnRepeat, two_instances(budget), violation);
}
