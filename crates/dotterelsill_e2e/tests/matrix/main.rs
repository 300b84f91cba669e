//! Tests every step of the protocols under every fault, with real processes.
//!
//! Each column is a fault and each row a step. A column runs on two fleets with
//! background load, each of which runs half of the rows one after the other. P3 to
//! P8 are checked over all runs and answers, P10 in the row of the graceful
//! shutdown, and P11 on each entry all the time. P1, P2 and P9 concern parts that do
//! not run here: the planner, and upstreams that announce that they leave.

mod fault;
mod harness;
mod load;
mod operators;
mod recovery;
mod step;

use fault::Fault;
use harness::Harness;
use step::Step;

/// Seed of all random choices.
const SEED: u64 = 20_261_204;

/// Runs a column on two concurrent fleets, each with half of the rows.
fn column(fault: Fault) {
    println!("seed {SEED}, column {fault:?}");
    std::thread::scope(|scope| {
        let upper = scope.spawn(|| rows(Step::FIRST, Step::FIRST_OF_LOWER_HALF, fault));
        rows(Step::FIRST_OF_LOWER_HALF, None, fault);
        if let Err(panic) = upper.join() {
            std::panic::resume_unwind(panic);
        }
    });
}

fn rows(first: Option<Step>, end: Option<Step>, fault: Fault) {
    dotterelsill_rpc::run(2, |tasks| async move {
        let mut harness = Harness::start(SEED, &tasks).await;
        let steps = std::iter::successors(first, |step| step.next());
        for step in steps.take_while(|step| Some(*step) != end) {
            harness.run_cell(step, fault).await;
        }
        harness.end(fault);
        tasks.stop();
    });
}

/// Guards every step against an entry that is killed.
#[test]
fn entry_killed() {
    column(Fault::EntryKilled);
}

/// Guards every step against a pause that is shorter than the lease.
#[test]
fn entry_frozen() {
    column(Fault::EntryFrozen);
}

/// Guards every step against a pause that is longer than the lease.
#[test]
fn entry_frozen_past_its_lease() {
    column(Fault::EntryFrozenPastItsLease);
}

/// Guards every step against an entry that cannot reach the store.
#[test]
fn store_cut() {
    column(Fault::StoreCut);
}

/// Guards every step against entries that cannot reach each other.
#[test]
fn peers_cut() {
    column(Fault::PeersCut);
}

/// Guards every step against an entry that can reach neither the store nor peers.
#[test]
fn both_cut() {
    column(Fault::BothCut);
}

/// Guards every step against a connection to the store that loses all bytes.
#[test]
fn store_silent() {
    column(Fault::StoreSilent);
}

/// Guards every step against connections among entries that lose all bytes.
#[test]
fn peers_silent() {
    column(Fault::PeersSilent);
}

/// Guards every step against connections to the store and to peers that lose all
/// bytes.
#[test]
fn both_silent() {
    column(Fault::BothSilent);
}

/// Guards every step against a slow store.
#[test]
fn store_slow() {
    column(Fault::StoreSlow);
}

/// Guards every step against a store that refuses all calls.
#[test]
fn store_down() {
    column(Fault::StoreDown);
}

/// Guards every step against store answers that are lost after the write took
/// effect.
#[test]
fn store_answers_lost() {
    column(Fault::StoreAnswersLost);
}

/// Guards every step against open upstream connections that lose all bytes.
#[test]
fn upstream_connections_silent() {
    column(Fault::UpstreamConnectionsSilent);
}

/// Guards every step against an upstream that is killed and replaced.
#[test]
fn upstream_killed() {
    column(Fault::UpstreamKilled);
}

/// Guards every step against concurrent changes by two operators.
#[test]
fn operators_race() {
    column(Fault::OperatorsRace);
}

/// Guards every step against two faults at once.
#[test]
fn two_faults() {
    column(Fault::TwoFaults);
}
