//! Exhaustive search over two to three incarnations, with lost and doubled
//! answers, conflicts, pauses, crashes, restarts, reclaiming and limit changes.

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

/// Property that must hold in every state.
type Invariant = fn(&World, &Setup) -> bool;

const ALL: [(&str, Invariant); 4] = [
    ("the limit in force is kept", limit_is_kept),
    ("credits are conserved", credits_are_conserved),
    ("a share matches its holder", share_matches_holder),
    ("no credit is lost", dead_share_is_reclaimable),
];

fn limit_is_kept(world: &World, _: &Setup) -> bool {
    let running = |node: &Node| node.holder.counts.running;
    world.nodes.iter().map(running).sum::<u32>() <= world.ledger.limit_in_force()
}

fn credits_are_conserved(world: &World, _: &Setup) -> bool {
    Ledger::try_from(world.ledger.to_record()).is_ok()
}

/// Checks that a share covers what its holder may use, and has no credit that
/// its holder neither knows of nor asked for.
fn share_matches_holder(world: &World, _: &Setup) -> bool {
    (0..world.nodes.len()).all(|node| {
        let state = &world.nodes[node].holder;
        let asked = match state.in_flight.map(|in_flight| in_flight.operation.kind) {
            Some(OperationKind::Take { credits }) => credits,
            _ => 0,
        };
        let used = state.counts.allowance.max(state.counts.running);
        let held = world.held(node);
        let authorised = !world.nodes[node].stopped;
        !authorised || held >= used && held <= state.held + asked
    })
}

/// Checks that the credits of a dead incarnation can be reclaimed, also when a
/// write that was still in the network takes effect after an earlier reclaim.
fn dead_share_is_reclaimable(world: &World, setup: &Setup) -> bool {
    let dead = |node: &usize| world.nodes[*node].over && world.held(*node) > 0;
    (0..world.nodes.len()).filter(dead).all(|node| {
        let mut next = world.clone();
        next.step(setup, Event::Reclaim(node));
        next.held(node) == 0
    })
}

struct Outcome {
    states: usize,
    depth: usize,
    violation: Option<(&'static str, Vec<Event>)>,
}

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
        let broken = invariants.iter().find(|(_, holds)| !holds(&world, setup));
        if let Some((name, _)) = broken {
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

/// State that was reached, and the first event that led to it.
#[derive(Clone)]
struct Visit {
    world: Rc<World>,
    from: usize,
    event: Event,
    depth: usize,
}

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

fn assert_correct(setup: &Setup, least_states: usize) {
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
    assert!(states >= least_states, "only {states} states");
}

/// Asserts that the search finds the fault by one invariant.
fn assert_found(fault: Fault, invariant: usize) {
    let setup = setup(fault, 2, &[2]);
    let outcome = search(&setup, &ALL[invariant..=invariant]);
    let (name, events) = outcome.violation.expect("the fault is found");
    println!(
        "{fault:?} breaks \"{name}\" after {} states:",
        outcome.states
    );
    events.iter().for_each(|event| println!("  {event:?}"));
}

/// Guards against overrun or loss of credits while a limit is lowered and raised.
#[test]
fn limit_changes_are_safe() {
    assert_correct(&setup(Fault::None, 2, &[3, 1, 2, 3]), 15_000);
}

/// Guards against overrun or loss of credits when a dead incarnation is
/// replaced while the others go on.
#[test]
fn a_restart_is_safe() {
    assert_correct(&setup(Fault::None, 3, &[2, 1, 2]), 30_000);
}

/// Guards against overrun or loss of credits that idle incarnations keep.
#[test]
fn reserves_are_safe() {
    let reserve = 1;
    let two = setup(Fault::None, 2, &[3, 1, 2, 3]);
    assert_correct(&Setup { reserve, ..two }, 10_000);
    let three = setup(Fault::None, 3, &[2, 1, 2]);
    assert_correct(&Setup { reserve, ..three }, 20_000);
}

/// Guards against a search that cannot see a start on credits given back.
#[test]
fn a_give_back_before_the_allowance_is_lowered_is_found() {
    assert_found(Fault::GiveBackBeforeLowering, 0);
}

/// Guards against a search that cannot see a start on credits never taken.
#[test]
fn an_allowance_raised_before_the_take_is_found() {
    assert_found(Fault::RaiseBeforeTake, 0);
}

/// Guards against a search that cannot see work outlasting the reclaim.
#[test]
fn a_reclaim_before_the_work_has_ended_is_found() {
    assert_found(Fault::EarlyReclaim, 0);
}

/// Guards against a search that cannot see one request taking credits twice.
#[test]
fn a_retry_without_its_number_is_found() {
    assert_found(Fault::RetryWithoutNumber, 2);
}

/// Guards against a search that cannot see a take that takes effect after the
/// only reclaim.
#[test]
fn a_single_reclaim_is_found() {
    assert_found(Fault::ReclaimOnce, 3);
}
