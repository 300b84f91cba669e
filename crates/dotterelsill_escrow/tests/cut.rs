//! Exhaustive search over the ends of runs that were cut.

use std::{
    collections::{
        HashSet,
        VecDeque, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_escrow::{
    free_after_cut,
    CUT_SETTLE, //
};

/// Length of one step of the search.
const TICK: Duration = Duration::from_millis(250);

/// Longest run time of the queue, in ticks.
const MAX_RUN_TICKS: u8 = 2;

/// End of the search, in ticks.
const END_TICK: u8 = 24;

/// A credit and the runs that were started on it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    tick: u8,
    /// Tick at which the entry cuts the run that it waits for.
    cut_at_tick: Option<u8>,
    /// Tick at which the credit of a cut run is free.
    free_at_tick: Option<u8>,
    /// Runs that have not ended at their upstreams, with whether each was cut.
    running: Vec<bool>,
    /// Ticks since the cut of a run that still goes on.
    since_cut_ticks: u8,
}

/// Returns the states that may follow within one tick.
fn successors(world: &World, settle_ticks: u8) -> Vec<World> {
    let mut next = Vec::new();
    let mut advanced = world.clone();
    advanced.tick += 1;
    if advanced.cut_at_tick == Some(advanced.tick) {
        advanced.cut_at_tick = None;
        advanced.free_at_tick = Some(advanced.tick + settle_ticks);
        if let Some(run) = advanced.running.last_mut() {
            *run = true;
        }
        advanced.since_cut_ticks = 0;
    } else if advanced.running.first() == Some(&true) {
        advanced.since_cut_ticks += 1;
    }
    let bound_ticks = (CUT_SETTLE.as_millis() / TICK.as_millis()) as u8;
    // The upstream may end a cut run at any tick up to the bound of its contract.
    let is_cut = advanced.running.first() == Some(&true);
    if is_cut {
        let mut ended = advanced.clone();
        ended.running.remove(0);
        ended.since_cut_ticks = 0;
        next.push(ended);
    }
    if !is_cut || advanced.since_cut_ticks < bound_ticks {
        next.push(advanced);
    }
    let mut started: Vec<World> = next
        .iter()
        .filter(|world| {
            world.cut_at_tick.is_none() && world.free_at_tick.is_none_or(|free| world.tick >= free)
        })
        .map(|world| {
            let mut started = world.clone();
            started.running.push(false);
            started.cut_at_tick = Some(world.tick + MAX_RUN_TICKS);
            started.free_at_tick = None;
            started
        })
        .collect();
    next.append(&mut started);
    next
}

/// Returns the most runs at once on one credit over all reachable states.
fn most_at_once(settle_ticks: u8) -> (usize, usize) {
    let start = World {
        tick: 0,
        cut_at_tick: None,
        free_at_tick: None,
        running: Vec::new(),
        since_cut_ticks: 0,
    };
    let mut seen = HashSet::from([start.clone()]);
    let mut open = VecDeque::from([start]);
    let mut most = 0;
    while let Some(world) = open.pop_front() {
        most = most.max(world.running.len());
        if world.tick == END_TICK || world.running.len() > 1 {
            continue;
        }
        for next in successors(&world, settle_ticks) {
            if seen.insert(next.clone()) {
                open.push_back(next);
            }
        }
    }
    (most, seen.len())
}

fn decided_settle_ticks() -> u8 {
    let cut = Instant::now();
    let settle = free_after_cut(cut) - cut;
    settle.as_millis().div_ceil(TICK.as_millis()) as u8
}

/// Guards against a credit that starts other work while the run that was cut on
/// it still goes on at its upstream.
#[test]
fn credit_of_a_cut_run_starts_nothing_before_the_run_has_ended() {
    let (most, states) = most_at_once(decided_settle_ticks());
    assert_eq!(most, 1);
    assert!(states > 100, "the search saw {states} states");
}

/// Guards against a search that would not see the fault: a credit that comes
/// back at the cut runs two at once.
#[test]
fn search_finds_a_credit_that_comes_back_at_the_cut() {
    assert_eq!(most_at_once(0).0, 2);
}
