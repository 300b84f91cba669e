//! Exhaustive model check of pool moves together with availability budgets.
//!
//! Guards against an instance in two pools, a service below its floor and a move
//! that no planner can finish. The model contains paused planners, crashes between
//! any two steps (a planner that never acts again), and lost, delayed and
//! duplicated messages.

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
    ModelState,
    LIMITS, //
};
use dotterelsill_fleet::*;

fn in_at_most_one_pool(state: &ModelState) -> bool {
    state.nodes.iter().all(|n| n.attached.count_ones() <= 1)
}

fn not_maintained_in_use(state: &ModelState) -> bool {
    state.nodes.iter().all(|n| !n.maintained_in_use)
}

fn voluntary_outages(state: &ModelState) -> impl Iterator<Item = usize> + '_ {
    let out = |i: &usize| !state.nodes[*i].accepting || state.nodes[*i].attached == 0;
    (0..state.nodes.len()).filter(out)
}

fn keeps_floor(state: &ModelState) -> bool {
    let out = u32::try_from(voluntary_outages(state).count()).expect("a model has few instances");
    state.upstreams() - out >= LIMITS.floor(state.upstreams())
}

fn outages_charged(state: &ModelState) -> bool {
    let budget = &state.budget.value;
    !state.budget_exceeded
        && voluntary_outages(state)
            .all(|i| budget.has_voluntary_charge(common::upstream(i).instance))
}

/// Returns whether a new planner settles every instance if no more faults happen.
fn can_be_finished(state: &ModelState) -> bool {
    let mut state = state.clone();
    state.delayed = None;
    state.nodes.iter_mut().for_each(|n| {
        n.busy = false;
        n.up = true;
    });
    state.start_planner();
    let token = state
        .planners
        .last()
        .expect("the model has a planner")
        .token;
    state.planners = vec![planner(token, state.nodes.len(), |_| Goal::Resume)];
    for i in 0..state.nodes.len() {
        state.run_without_faults(0, i);
    }
    let budget = &state.budget.value;
    let is_settled = |i: usize| {
        let record = state.pools[i].value;
        let stopped =
            state.planners[0].movers[i].pending() == &Action::Stop(Outcome::Settled(record.pool));
        stopped && state.nodes[i].accepting && state.nodes[i].attached == 1 << record.pool.0
    };
    let no_charge = budget.charges().iter().all(|c| c.voluntary.is_none());
    no_charge && (0..state.nodes.len()).all(is_settled)
}

fn check_invariants(start: ModelState) -> Search {
    let finish_cache = RefCell::new(HashMap::new());
    search(start, |state| {
        let key = (
            state.pools.clone(),
            state.budget.clone(),
            state.nodes.clone(),
        );
        let finishes = || {
            *finish_cache
                .borrow_mut()
                .entry(key)
                .or_insert_with(|| can_be_finished(state))
        };
        in_at_most_one_pool(state)
            && not_maintained_in_use(state)
            && keeps_floor(state)
            && outages_charged(state)
            && finishes()
    })
}

fn assert_holds(name: &str, start: ModelState, min_states: usize) {
    let result = check_invariants(start);
    println!("{name}: {} states, depth {}", result.states, result.depth);
    assert_eq!(result.violation, None);
    assert!(
        result.states >= min_states,
        "the search explored too few states"
    );
}

fn assert_violation(name: &str, start: ModelState, holds: impl Fn(&ModelState) -> bool) {
    let result = search(start, holds);
    println!(
        "{name}: found after {} states, depth {}",
        result.states, result.depth
    );
    let steps = result.violation.expect("the search must find a violation");
    steps.iter().for_each(|step| println!("  {step}"));
}

const STAY: Goal = Goal::Resume;
const TO_0: Goal = Goal::Move(Pool(0));
const TO_1: Goal = Goal::Move(Pool(1));

#[test]
fn late_and_doubled_messages_of_a_paused_planner() {
    let mut start = ModelState::new(Driver::Correct, &[TO_1, STAY]);
    start.faults_left = 1;
    start.takeovers_left = 1;
    assert_holds("faulty messages", start, 90_000);
}

#[test]
fn two_moves_race_for_one_outage() {
    let mut start = ModelState::new(Driver::Correct, &[TO_1, TO_0]);
    start.nodes[0].busy = true;
    start.takeovers_left = 1;
    assert_holds("race", start, 50_000);
}

#[test]
fn outages_during_moves() {
    let mut start = ModelState::new(Driver::Correct, &[TO_1, STAY]);
    start.outages_left = 1;
    start.takeovers_left = 1;
    assert_holds("outages", start, 18_000);
}

#[test]
fn three_instances_with_a_paused_planner() {
    let mut start = ModelState::new(Driver::Correct, &[TO_1, STAY, STAY]);
    start.takeovers_left = 1;
    assert_holds("three instances", start, 9_000);
}

#[test]
fn maintenance_interrupted_by_a_successor() {
    let mut start = ModelState::new(Driver::Correct, &[Goal::Maintain, STAY]);
    start.nodes[0].busy = true;
    start.faults_left = 1;
    start.takeovers_left = 1;
    assert_holds("maintenance", start, 60_000);
}

#[test]
fn two_successors() {
    let mut start = ModelState::new(Driver::Correct, &[TO_1, STAY]);
    start.takeovers_left = 2;
    assert_holds("two successors", start, 120_000);
}

#[test]
#[ignore = "explores more than a million states; run it in a release build"]
fn races_and_faulty_messages_together() {
    let mut start = ModelState::new(Driver::Correct, &[TO_1, TO_0]);
    start.nodes[0].busy = true;
    start.faults_left = 1;
    start.takeovers_left = 1;
    assert_holds("all together", start, 1_000_000);
}

#[test]
fn finds_an_attach_before_the_detach() {
    let start = ModelState::new(Driver::AttachBeforeDetach, &[TO_1, TO_0]);
    assert_violation("attach before detach", start, in_at_most_one_pool);
}

#[test]
fn finds_a_missing_fencing_token() {
    let mut start = ModelState::new(Driver::NoFencing, &[TO_1, STAY]);
    start.faults_left = 1;
    start.takeovers_left = 1;
    assert_violation("no fencing token", start, in_at_most_one_pool);
}

#[test]
fn finds_a_budget_returned_with_the_lease() {
    let mut start = ModelState::new(Driver::BudgetReturnedWithLease, &[TO_1, STAY]);
    start.takeovers_left = 1;
    assert_violation("budget returned with the lease", start, keeps_floor);
}

#[test]
fn finds_a_clearance_without_a_stamped_pool_record() {
    let mut start = ModelState::new(Driver::UnstampedClearance, &[TO_1, STAY]);
    start.takeovers_left = 2;
    assert_violation("clearance without a stamp", start, keeps_floor);
}
