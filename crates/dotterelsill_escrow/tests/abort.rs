//! Exhaustive search over the times at which aborted runs may end.

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
    credit_release_time,
    ABORT_GRACE, //
};

/// Time step of the search.
const TICK: Duration = Duration::from_millis(250);

/// Longest run time of the queue, in ticks.
const MAX_RUN_TICKS: u8 = 2;

/// End of the search, in ticks.
const END_TICK: u8 = 24;

/// State of one credit and of the runs started with it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    tick: u8,
    /// Tick at which the entry aborts the run it is waiting for.
    abort_at_tick: Option<u8>,
    /// Tick from which the credit of an aborted run may be used again.
    release_at_tick: Option<u8>,
    /// Runs still in progress at their upstreams; each value tells whether the
    /// run was aborted.
    running: Vec<bool>,
    /// Ticks since the abort of a run that is still in progress.
    ticks_since_abort: u8,
}

/// Returns the states reachable from `world` in one tick.
fn successors(world: &World, grace_ticks: u8) -> Vec<World> {
    let mut next = Vec::new();
    let mut advanced = world.clone();
    advanced.tick += 1;
    if advanced.abort_at_tick == Some(advanced.tick) {
        advanced.abort_at_tick = None;
        advanced.release_at_tick = Some(advanced.tick + grace_ticks);
        if let Some(run) = advanced.running.last_mut() {
            *run = true;
        }
        advanced.ticks_since_abort = 0;
    } else if advanced.running.first() == Some(&true) {
        advanced.ticks_since_abort += 1;
    }
    let bound_ticks = (ABORT_GRACE.as_millis() / TICK.as_millis()) as u8;
    // The upstream contract lets an aborted run end at any tick up to the bound.
    let is_aborted = advanced.running.first() == Some(&true);
    if is_aborted {
        let mut ended = advanced.clone();
        ended.running.remove(0);
        ended.ticks_since_abort = 0;
        next.push(ended);
    }
    if !is_aborted || advanced.ticks_since_abort < bound_ticks {
        next.push(advanced);
    }
    let mut started: Vec<World> = next
        .iter()
        .filter(|world| {
            world.abort_at_tick.is_none()
                && world
                    .release_at_tick
                    .is_none_or(|release| world.tick >= release)
        })
        .map(|world| {
            let mut started = world.clone();
            started.running.push(false);
            started.abort_at_tick = Some(world.tick + MAX_RUN_TICKS);
            started.release_at_tick = None;
            started
        })
        .collect();
    next.append(&mut started);
    next
}

/// Returns the highest number of concurrent runs on one credit over all
/// reachable states, and the number of states visited.
fn max_concurrent_runs(grace_ticks: u8) -> (usize, usize) {
    let start = World {
        tick: 0,
        abort_at_tick: None,
        release_at_tick: None,
        running: Vec::new(),
        ticks_since_abort: 0,
    };
    let mut seen = HashSet::from([start.clone()]);
    let mut queue = VecDeque::from([start]);
    let mut max_running = 0;
    while let Some(world) = queue.pop_front() {
        max_running = max_running.max(world.running.len());
        if world.tick == END_TICK || world.running.len() > 1 {
            continue;
        }
        for next in successors(&world, grace_ticks) {
            if seen.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    (max_running, seen.len())
}

/// Returns the number of ticks for which [`credit_release_time`] holds back the credit.
fn actual_grace_ticks() -> u8 {
    let aborted_at = Instant::now();
    let grace = credit_release_time(aborted_at) - aborted_at;
    grace.as_millis().div_ceil(TICK.as_millis()) as u8
}

/// Guards against reusing a credit while the aborted run that held it is still
/// in progress at its upstream.
#[test]
fn credit_of_an_aborted_run_starts_nothing_before_the_run_has_ended() {
    let (max_running, states) = max_concurrent_runs(actual_grace_ticks());
    assert_eq!(max_running, 1);
    assert!(states > 100, "the search visited only {states} states");
}

/// Guards against a search that cannot detect the fault: without a grace period,
/// two runs share one credit.
#[test]
fn search_finds_a_credit_that_is_released_at_the_abort() {
    assert_eq!(max_concurrent_runs(0).0, 2);
}
