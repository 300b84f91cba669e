//! Model check of freshness, authority and acceptance.
//!
//! Three instances and a store: an observer makes one change, a peer in its data
//! centre reads the store, and a subject in the other data centre reads the
//! store, asks the peer, renews its lease, crashes and registers again.
//!
//! The subject's messages are lost, doubled, late and reordered, each on its
//! own, which covers every partition from the store or from the peer. A renewal
//! through the peer is a renewal that reaches the store late. A process is
//! paused when ticks pass without a step of it. The observer's calls take no
//! time: a change is then reported as early as it ever can be. The peer's last
//! read was at any earlier tick.

mod change;
mod effects;
mod search;
mod steps;
mod world;

use steps::{
    successors,
    AFTER_IN_FORCE,
    AFTER_LIMIT, //
};
use world::{
    head,
    start,
    Config,
    Driver,
    World, //
};

fn run(name: &str, config: Config, min_states: usize, expected: Option<&str>) {
    let found = search::search(
        start(config),
        |world| successors(config, world),
        |world| world.violation,
    );
    search::check(name, &found, min_states, expected);
}

/// Isolation limit 0, no restart, one message at a time.
const PLAIN: Config = Config {
    driver: Driver::Correct,
    isolation: 0,
    horizon: 4,
    restarts: 0,
    in_flight: 1,
    has_peer: true,
};

const ISOLATED: Config = Config {
    isolation: 1,
    ..PLAIN
};

/// One crash or registration under another incarnation.
const RESTARTED: Config = Config {
    restarts: 1,
    horizon: 2,
    ..ISOLATED
};

/// A restart and the whole lease after it.
const RESTARTED_ALONE: Config = Config {
    restarts: 1,
    horizon: 3,
    has_peer: false,
    ..PLAIN
};

/// Two messages at a time, so that answers overtake each other.
const REORDERED: Config = Config {
    horizon: 3,
    in_flight: 2,
    has_peer: false,
    ..PLAIN
};

/// Guards against starts under an older revision with an isolation limit of 0.
#[test]
fn holds_without_isolation() {
    run("isolation 0", PLAIN, 10_000, None);
}

/// Guards against starts under an older revision by an isolated instance after
/// the change was in force, and on queues that refuse after the freshness limit.
#[test]
fn holds_with_isolation() {
    run("isolation 1", ISOLATED, 10_000, None);
}

/// Guards against a new incarnation that starts under an older revision.
#[test]
fn holds_with_restart() {
    run("restart", RESTARTED, 10_000, None);
}

/// Guards against a new incarnation whose authority outlives its lease.
#[test]
fn holds_with_restart_and_lease() {
    run("restart without peer", RESTARTED_ALONE, 10_000, None);
}

/// Guards against answers that overtake each other.
#[test]
fn holds_with_reordering() {
    run("reordering", REORDERED, 10_000, None);
}

/// Guards against an acceptance that never ends, with or without an answer of
/// the subject.
#[test]
fn change_comes_into_force() {
    for confirmed in [true, false] {
        let reached = |world: &World| {
            let instance = world.subject.instance.as_ref();
            let in_force = instance.and_then(|one| one.tracker().in_force());
            let matches = (in_force == Some(&head(2))) == confirmed;
            (world.reported && matches).then_some("reached")
        };
        let found = search::search(
            start(ISOLATED),
            |world| successors(ISOLATED, world),
            reached,
        );
        search::check("in force", &found, 100, Some("reached"));
    }
}

/// Guards against a model that misses the mistakes a driver can make.
#[test]
fn broken_drivers_are_caught() {
    let broken = |driver, config| Config { driver, ..config };
    let cases = [
        (
            "freshness from arrival",
            broken(Driver::FreshnessFromArrival, PLAIN),
            AFTER_LIMIT,
        ),
        (
            "relay ignores age",
            broken(Driver::RelayIgnoresAge, PLAIN),
            AFTER_LIMIT,
        ),
        (
            "acceptance ignores isolation",
            broken(Driver::AcceptanceIgnoresIsolation, ISOLATED),
            AFTER_IN_FORCE,
        ),
        (
            "fresh overrides lapsed",
            broken(Driver::FreshOverridesLapsed, PLAIN),
            AFTER_IN_FORCE,
        ),
        (
            "counts proofs before registration",
            broken(Driver::CountsProofsBeforeRegistration, RESTARTED),
            AFTER_IN_FORCE,
        ),
    ];
    for (name, config, expected) in cases {
        run(name, config, 100, Some(expected));
    }
}
