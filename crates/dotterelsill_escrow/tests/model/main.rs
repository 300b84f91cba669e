//! Model checking of escrow: an exhaustive search over the states of two to three
//! incarnations, with lost answers, duplicate writes, conflicts, pauses, crashes,
//! restarts, reclaiming and limit changes.

mod canonical;
mod world;

use std::{
    collections::HashSet,
    rc::Rc,
    time::Instant, //
};

use dotterelsill_escrow::{
    Ledger,
    OperationKind, //
};
use world::{
    Event,
    Fault,
    Node,
    Setup,
    World, //
};

/// Property that must hold in every reachable state.
type Invariant = fn(&World, &Setup) -> bool;

const ALL: [(&str, Invariant); 4] = [
    ("the limit in force is respected", limit_is_respected),
    ("credits are conserved", credits_are_conserved),
    ("a holding matches its holder", holding_matches_holder),
    ("no credit is lost", dead_holding_is_reclaimable),
];

/// Checks that no more requests run in total than the limit in force allows.
fn limit_is_respected(world: &World, _: &Setup) -> bool {
    let running = |node: &Node| node.holder.counts.running;
    world.nodes.iter().map(running).sum::<u32>() <= world.ledger.limit_in_force()
}

/// Checks that the record satisfies the ledger invariant.
fn credits_are_conserved(world: &World, _: &Setup) -> bool {
    Ledger::try_from(world.ledger.to_record()).is_ok()
}

/// Checks that a holding covers the credits that its holder may use, and contains
/// no credit that the holder neither knows of nor asked for.
fn holding_matches_holder(world: &World, _: &Setup) -> bool {
    (0..world.nodes.len()).all(|node| {
        let state = &world.nodes[node].holder;
        let asked = match state.in_flight.map(|in_flight| in_flight.operation.kind) {
            Some(OperationKind::Take { credits }) => credits,
            _ => 0,
        };
        let used = state.counts.allowance.max(state.counts.running);
        let held = world.held(node);
        let is_authorised = !world.nodes[node].stopped;
        !is_authorised || held >= used && held <= state.held + asked
    })
}

/// Checks that the credits of a dead incarnation can be reclaimed, also if a
/// delayed write takes effect after an earlier reclaim.
fn dead_holding_is_reclaimable(world: &World, setup: &Setup) -> bool {
    let dead = |node: &usize| world.nodes[*node].reclaim_wait_over && world.held(*node) > 0;
    (0..world.nodes.len()).filter(dead).all(|node| {
        let mut next = world.clone();
        next.step(setup, Event::Reclaim(node));
        next.held(node) == 0
    })
}

/// Result of a search.
struct Outcome {
    states: usize,
    depth: usize,
    violation: Option<(&'static str, Vec<Event>)>,
}

/// Searches all reachable states breadth-first until an invariant is violated.
fn search(setup: &Setup, invariants: &[(&'static str, Invariant)]) -> Outcome {
    let first = Rc::new(World::new(setup).canonical(setup));
    let mut seen = HashSet::from([first.clone()]);
    let mut list = vec![Visit {
        world: first,
        from: 0,
        event: Event::Restart,
        depth: 0,
    }];
    let mut next = 0;
    while next < list.len() {
        let Visit { world, depth, .. } = list[next].clone();
        let violated = invariants.iter().find(|(_, holds)| !holds(&world, setup));
        if let Some((name, _)) = violated {
            return Outcome {
                states: list.len(),
                depth,
                violation: Some((name, path(&list, next))),
            };
        }
        for event in world.events() {
            let mut changed = World::clone(&world);
            changed.step(setup, event);
            if changed == *world {
                continue;
            }
            let changed = Rc::new(changed.canonical(setup));
            if seen.insert(changed.clone()) {
                list.push(Visit {
                    world: changed,
                    from: next,
                    event,
                    depth: depth + 1,
                });
            }
        }
        next += 1;
    }
    Outcome {
        states: list.len(),
        depth: list[next - 1].depth,
        violation: None,
    }
}

/// Reached state, with the event and the index of the state that first led to it.
#[derive(Clone)]
struct Visit {
    world: Rc<World>,
    from: usize,
    event: Event,
    depth: usize,
}

/// Returns the events that lead from the initial state to a visited one.
fn path(list: &[Visit], mut index: usize) -> Vec<Event> {
    let mut events = Vec::new();
    while index > 0 {
        events.push(list[index].event);
        index = list[index].from;
    }
    events.reverse();
    events
}

fn setup(fault: Fault, incarnations: usize, limits: &'static [u32]) -> Setup {
    Setup {
        base: Instant::now(),
        fault,
        incarnations,
        limits,
        reserve: 0,
    }
}

/// Asserts that a search over at least `min_states` states finds no violation.
fn assert_correct(setup: &Setup, min_states: usize) {
    let outcome = search(setup, &ALL);
    let (states, depth) = (outcome.states, outcome.depth);
    let Setup {
        incarnations,
        limits,
        reserve,
        ..
    } = setup;
    println!(
        "{incarnations} incarnations, limits {limits:?}, reserve {reserve}: \
         {states} states, depth {depth}"
    );
    assert!(outcome.violation.is_none(), "{:#?}", outcome.violation);
    assert!(
        states >= min_states,
        "the search visited only {states} states"
    );
}

/// Asserts that the search detects a fault through the invariant with this index.
fn assert_found(fault: Fault, invariant: usize) {
    let setup = setup(fault, 2, &[2]);
    let outcome = search(&setup, &ALL[invariant..=invariant]);
    let (name, events) = outcome.violation.expect("the fault is found");
    println!(
        "{fault:?} violates \"{name}\" after {} states:",
        outcome.states
    );
    events.iter().for_each(|event| println!("  {event:?}"));
}

/// Guards against exceeding the limit or losing credits while the limit is lowered
/// and raised.
#[test]
fn limit_changes_are_safe() {
    assert_correct(&setup(Fault::None, 2, &[3, 1, 2, 3]), 15_000);
}

/// Guards against exceeding the limit or losing credits when a dead incarnation is
/// replaced while the others keep running.
#[test]
fn a_restart_is_safe() {
    assert_correct(&setup(Fault::None, 3, &[2, 1, 2]), 30_000);
}

/// Guards against exceeding the limit or losing credits when idle incarnations
/// keep a reserve.
#[test]
fn reserves_are_safe() {
    let reserve = 1;
    let two = setup(Fault::None, 2, &[3, 1, 2, 3]);
    assert_correct(&Setup { reserve, ..two }, 10_000);
    let three = setup(Fault::None, 3, &[2, 1, 2]);
    assert_correct(&Setup { reserve, ..three }, 20_000);
}

/// Guards against a search that cannot detect requests started on credits that
/// were given back.
#[test]
fn a_give_back_before_the_allowance_is_lowered_is_found() {
    assert_found(Fault::GiveBackBeforeLowering, 0);
}

/// Guards against a search that cannot detect requests started on credits that
/// were never taken.
#[test]
fn an_allowance_raised_before_the_take_is_found() {
    assert_found(Fault::RaiseBeforeTake, 0);
}

/// Guards against a search that cannot detect requests that are still running when
/// their credits are reclaimed.
#[test]
fn a_reclaim_before_the_work_has_ended_is_found() {
    assert_found(Fault::EarlyReclaim, 0);
}

/// Guards against a search that cannot detect a retried operation that takes
/// credits twice.
#[test]
fn a_retry_without_its_number_is_found() {
    assert_found(Fault::RetryWithNewNumber, 2);
}

/// Guards against a search that cannot detect a take that takes effect after the
/// only reclaim.
#[test]
fn a_single_reclaim_is_found() {
    assert_found(Fault::ReclaimOnce, 3);
}
