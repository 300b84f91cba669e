//! Model check of freshness, authority and the confirmation of changes.
//!
//! The model has a store and three instances. An observer makes one change, a
//! peer in its data centre reads the store, and a subject in the other data
//! centre reads the store, asks the peer, renews its lease, crashes and registers
//! again. The invariants are checked on the subject.
//!
//! Each message of the subject can be lost, duplicated, delayed or reordered
//! independently, which covers every network partition from the store or the
//! peer. A renewal through the peer is modelled as a renewal that reaches the
//! store late. A paused process is modelled by ticks without a step of the
//! process. The calls of the observer take no time, so a change is reported as in
//! force at the earliest possible instant. The last read of the peer may have
//! been at any earlier tick.

mod change;
mod effects;
mod search;
mod state;
mod steps;

use state::{
    head,
    initial_state,
    Config,
    Driver,
    ModelState, //
};
use steps::{
    successors,
    STARTED_AFTER_FRESHNESS_LIMIT,
    STARTED_AFTER_IN_FORCE, //
};

fn check_model(name: &str, config: Config, min_states: usize, expected: Option<&str>) {
    let result = search::search(
        initial_state(config),
        |state| successors(config, state),
        |state| state.violation,
    );
    search::assert_result(name, &result, min_states, expected);
}

/// Isolation limit 0, no restart, one message in flight at a time.
const BASELINE: Config = Config {
    driver: Driver::Correct,
    isolation: 0,
    horizon: 4,
    restarts: 0,
    max_in_flight: 1,
    has_peer: true,
};

/// Isolation limit of one tick.
const ISOLATED: Config = Config {
    isolation: 1,
    ..BASELINE
};

/// One crash or one registration as a new incarnation.
const RESTARTED: Config = Config {
    restarts: 1,
    horizon: 2,
    ..ISOLATED
};

/// One restart without a peer, with enough ticks for the whole lease after it.
const RESTARTED_WITHOUT_PEER: Config = Config {
    restarts: 1,
    horizon: 3,
    has_peer: false,
    ..BASELINE
};

/// Two messages in flight, so that responses can arrive out of order.
const REORDERED: Config = Config {
    horizon: 3,
    max_in_flight: 2,
    has_peer: false,
    ..BASELINE
};

/// Guards against work started under an older revision with an isolation limit of
/// 0.
#[test]
fn holds_without_isolation() {
    check_model("isolation 0", BASELINE, 10_000, None);
}

/// Guards against work started under an older revision by an isolated instance
/// after the change was in force, and after the freshness limit on queues that
/// refuse work while isolated.
#[test]
fn holds_with_isolation() {
    check_model("isolation 1", ISOLATED, 10_000, None);
}

/// Guards against a new incarnation that starts work under an older revision.
#[test]
fn holds_with_restart() {
    check_model("restart", RESTARTED, 10_000, None);
}

/// Guards against a new incarnation whose authority outlasts its lease.
#[test]
fn holds_with_restart_and_lease() {
    check_model("restart without peer", RESTARTED_WITHOUT_PEER, 10_000, None);
}

/// Guards against a wrong state after responses that arrive out of order.
#[test]
fn holds_with_reordering() {
    check_model("reordering", REORDERED, 10_000, None);
}

/// Guards against a change that is never confirmed, whether or not the subject
/// responds.
#[test]
fn change_comes_into_force() {
    for confirmed in [true, false] {
        let reached = |state: &ModelState| {
            let instance = state.subject.instance.as_ref();
            let in_force = instance.and_then(|instance| instance.tracker().in_force());
            let matches = (in_force == Some(&head(2))) == confirmed;
            (state.reported_in_force && matches).then_some("reached")
        };
        let result = search::search(
            initial_state(ISOLATED),
            |state| successors(ISOLATED, state),
            reached,
        );
        search::assert_result("in force", &result, 100, Some("reached"));
    }
}

/// Guards against a model that does not detect bugs of the driver.
#[test]
fn broken_drivers_are_caught() {
    let with_driver = |driver, config| Config { driver, ..config };
    let cases = [
        (
            "freshness from arrival",
            with_driver(Driver::FreshnessFromArrival, BASELINE),
            STARTED_AFTER_FRESHNESS_LIMIT,
        ),
        (
            "relay ignores age",
            with_driver(Driver::RelayIgnoresAge, BASELINE),
            STARTED_AFTER_FRESHNESS_LIMIT,
        ),
        (
            "confirmation ignores isolation",
            with_driver(Driver::ConfirmationIgnoresIsolation, ISOLATED),
            STARTED_AFTER_IN_FORCE,
        ),
        (
            "fresh overrides lapsed",
            with_driver(Driver::FreshOverridesLapsed, BASELINE),
            STARTED_AFTER_IN_FORCE,
        ),
        (
            "counts proofs before registration",
            with_driver(Driver::CountsProofsBeforeRegistration, RESTARTED),
            STARTED_AFTER_IN_FORCE,
        ),
    ];
    for (name, config, expected) in cases {
        check_model(name, config, 100, Some(expected));
    }
}
