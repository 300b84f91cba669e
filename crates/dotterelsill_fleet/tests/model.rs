//! Exhaustive check of pool moves and availability budgets together.
//!
//! Guards against an instance in two pools, a service taken below its floor
//! and a move that no planner can finish, under paused planners, crashes
//! between any two steps (a planner that never acts again), and lost, late and
//! doubled messages.

mod common;

use std::cell::RefCell;
use std::collections::HashMap;

use common::{
    planner,
    search::{
        search,
        Search, //
    },
    Driver,
    World,
    RULE, //
};
use dotterelsill_fleet::*;

fn in_one_pool(world: &World) -> bool {
    world.nodes.iter().all(|n| n.attached.count_ones() <= 1)
}

fn unharmed(world: &World) -> bool {
    world.nodes.iter().all(|n| !n.harmed)
}

fn voluntarily_out(world: &World) -> impl Iterator<Item = usize> + '_ {
    let out = |i: &usize| !world.nodes[*i].accepting || world.nodes[*i].attached == 0;
    (0..world.nodes.len()).filter(out)
}

fn keeps_floor(world: &World) -> bool {
    let out = u32::try_from(voluntarily_out(world).count()).expect("a model has few instances");
    world.upstreams() - out >= RULE.floor(world.upstreams())
}

fn charged(world: &World) -> bool {
    let budget = &world.budget.value;
    !world.overdrawn
        && voluntarily_out(world).all(|i| budget.has_voluntary_charge(common::upstream(i).instance))
}

/// Returns whether a new planner without faults brings every instance to rest.
fn resumable(world: &World) -> bool {
    let mut world = world.clone();
    world.late = None;
    world.nodes.iter_mut().for_each(|n| {
        n.busy = false;
        n.up = true;
    });
    world.take_over();
    let token = world.planners.last().expect("there is a planner").token;
    world.planners = vec![planner(token, world.nodes.len(), |_| Goal::Resume)];
    for i in 0..world.nodes.len() {
        world.run(0, i);
    }
    let budget = &world.budget.value;
    let at_rest = |i: usize| {
        let record = world.pools[i].value;
        let stopped =
            world.planners[0].movers[i].pending() == &Action::Stop(Outcome::Settled(record.pool));
        stopped && world.nodes[i].accepting && world.nodes[i].attached == 1 << record.pool.0
    };
    let no_charge = budget.charges().iter().all(|c| c.voluntary.is_none());
    no_charge && (0..world.nodes.len()).all(at_rest)
}

fn check_all(start: World) -> Search {
    let rest = RefCell::new(HashMap::new());
    search(start, |world| {
        let key = (
            world.pools.clone(),
            world.budget.clone(),
            world.nodes.clone(),
        );
        let finishes = || {
            *rest
                .borrow_mut()
                .entry(key)
                .or_insert_with(|| resumable(world))
        };
        in_one_pool(world) && unharmed(world) && keeps_floor(world) && charged(world) && finishes()
    })
}

fn assert_holds(name: &str, start: World, at_least: usize) {
    let found = check_all(start);
    println!("{name}: {} states, depth {}", found.states, found.depth);
    assert_eq!(found.violation, None);
    assert!(found.states >= at_least, "the check explored too little");
}

fn assert_found(name: &str, start: World, holds: impl Fn(&World) -> bool) {
    let found = search(start, holds);
    println!(
        "{name}: found after {} states, depth {}",
        found.states, found.depth
    );
    let steps = found.violation.expect("the broken driver must be found");
    steps.iter().for_each(|step| println!("  {step}"));
}

const HERE: Goal = Goal::Resume;
const TO_0: Goal = Goal::Move(Pool(0));
const TO_1: Goal = Goal::Move(Pool(1));

#[test]
fn late_and_doubled_messages_of_a_paused_planner() {
    let mut start = World::new(Driver::Correct, &[TO_1, HERE]);
    start.faults_left = 1;
    start.takeovers_left = 1;
    assert_holds("faulty messages", start, 90_000);
}

#[test]
fn two_moves_race_for_one_outage() {
    let mut start = World::new(Driver::Correct, &[TO_1, TO_0]);
    start.nodes[0].busy = true;
    start.takeovers_left = 1;
    assert_holds("race", start, 50_000);
}

#[test]
fn outages_during_moves() {
    let mut start = World::new(Driver::Correct, &[TO_1, HERE]);
    start.events_left = 1;
    start.takeovers_left = 1;
    assert_holds("outages", start, 18_000);
}

#[test]
fn three_instances_with_a_paused_planner() {
    let mut start = World::new(Driver::Correct, &[TO_1, HERE, HERE]);
    start.takeovers_left = 1;
    assert_holds("three instances", start, 9_000);
}

#[test]
fn maintenance_interrupted_by_a_successor() {
    let mut start = World::new(Driver::Correct, &[Goal::Maintain, HERE]);
    start.nodes[0].busy = true;
    start.faults_left = 1;
    start.takeovers_left = 1;
    assert_holds("maintenance", start, 60_000);
}

#[test]
fn two_successors() {
    let mut start = World::new(Driver::Correct, &[TO_1, HERE]);
    start.takeovers_left = 2;
    assert_holds("two successors", start, 120_000);
}

#[test]
#[ignore = "explores more than a million states; run it in a release build"]
fn races_and_faulty_messages_together() {
    let mut start = World::new(Driver::Correct, &[TO_1, TO_0]);
    start.nodes[0].busy = true;
    start.faults_left = 1;
    start.takeovers_left = 1;
    assert_holds("all together", start, 1_000_000);
}

#[test]
fn finds_an_attach_before_the_detach() {
    let start = World::new(Driver::AttachBeforeDetach, &[TO_1, TO_0]);
    assert_found("attach before detach", start, in_one_pool);
}

#[test]
fn finds_a_missing_fencing_token() {
    let mut start = World::new(Driver::NoFencing, &[TO_1, HERE]);
    start.faults_left = 1;
    start.takeovers_left = 1;
    assert_found("no fencing token", start, in_one_pool);
}

#[test]
fn finds_a_budget_returned_with_the_lease() {
    let mut start = World::new(Driver::BudgetReturnedWithLease, &[TO_1, HERE]);
    start.takeovers_left = 1;
    assert_found("budget returned with the lease", start, keeps_floor);
}

#[test]
fn finds_a_clearance_without_a_stamped_pool_record() {
    let mut start = World::new(Driver::UnstampedClearance, &[TO_1, HERE]);
    start.takeovers_left = 2;
    assert_found("clearance without a stamp", start, keeps_floor);
}
