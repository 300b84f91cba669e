//! Every step of the protocols under every fault, over real processes.
//!
//! Each column has two fleets with background load; the rows of each run one
//! after the other. The observer checks P3 to P8 over all runs and answers, P10
//! in the row of the graceful shutdown, and P11 on each entry all the time. P1,
//! P2 and P9 concern parts that do not run here: the planner, and upstreams
//! that announce that they leave.

mod fault;
mod load;
mod operators;
mod recovery;
mod stage;
mod step;

use fault::Fault;
use stage::Stage;
use step::Step;

/// Seed of all random choices.
const SEED: u64 = 20_261_204;

/// Runs a column as two fleets side by side, each with half of the rows.
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
        let mut stage = Stage::start(SEED, &tasks).await;
        let steps = std::iter::successors(first, |step| step.next());
        for step in steps.take_while(|step| Some(*step) != end) {
            stage.run_cell(step, fault).await;
        }
        stage.end(fault);
        tasks.stop();
    });
}

/// Guards every step against an entry that is killed.
#[test]
fn entry_killed() {
    column(Fault::EntryKilled);
}

/// Guards every step against a pause that the lease survives.
#[test]
fn entry_frozen() {
    column(Fault::EntryFrozen);
}

/// Guards every step against a pause past the lease.
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

/// Guards every step against an entry that is alone.
#[test]
fn both_cut() {
    column(Fault::BothCut);
}

/// Guards every step against a silent connection to the store.
#[test]
fn store_silent() {
    column(Fault::StoreSilent);
}

/// Guards every step against silent connections among entries.
#[test]
fn peers_silent() {
    column(Fault::PeersSilent);
}

/// Guards every step against silent connections to the store and to peers.
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

/// Guards every step against store answers that are lost after the write.
#[test]
fn store_answers_lost() {
    column(Fault::StoreAnswersLost);
}

/// Guards every step against open upstream connections that go silent.
#[test]
fn upstream_connections_silent() {
    column(Fault::UpstreamConnectionsSilent);
}

/// Guards every step against an upstream that is killed and replaced.
#[test]
fn upstream_killed() {
    column(Fault::UpstreamKilled);
}

/// Guards every step against two operators that race.
#[test]
fn operators_race() {
    column(Fault::OperatorsRace);
}

/// Guards every step against two faults at once.
#[test]
fn two_faults() {
    column(Fault::TwoFaults);
}
