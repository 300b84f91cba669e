//! Tests the limits of teams' concurrent requests.

use std::time::Duration;

use dotterelsill_e2e::{
    clock_us,
    peak_concurrency,
    Run, //
};
use dotterelsill_proto::peer::ChangeState;
use dotterelsill_rpc::timeout;

use crate::harness::{
    keyed,
    pause_ms,
    Harness, //
};

/// Guards against more runs than a lowered limit allows, once the lowering is
/// reported in force.
#[test]
fn lowered_limit_holds_once_in_force() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let harness = Harness::start(2, 5, &tasks).await;
        let text = harness.fleet.configuration(5);
        let lower = text.replace("limit_requests: 8", "limit_requests: 2");
        let work = keyed("blue", 200);
        let change = async {
            pause_ms(3000).await;
            let change = harness.fleet.apply(0, &lower).await;
            let at_us = clock_us();
            pause_ms(3000).await;
            (change, at_us)
        };
        let (change, at_us) = harness.load_until(16, &work, change).await;
        pause_ms(500).await;
        assert_eq!(change.state(), ChangeState::InForce, "{change:?}");
        let runs = harness.check();
        let sent = harness.observer.sent();
        let is_later = |run: &Run| run.end_us.is_none_or(|end_us| end_us > at_us);
        let (later, earlier): (Vec<Run>, Vec<Run>) = runs.into_iter().partition(is_later);
        assert!(
            peak_concurrency(&sent, &earlier, "blue") > 2,
            "the earlier load never exceeded the lowered limit"
        );
        let clipped: Vec<Run> = later
            .into_iter()
            .map(|run| Run {
                start_us: run.start_us.max(at_us),
                ..run
            })
            .collect();
        assert!(!clipped.is_empty(), "nothing ran after the change");
        let peak = peak_concurrency(&sent, &clipped, "blue");
        assert!(peak <= 2, "{peak} runs at once under a limit of 2");
        tasks.stop();
    });
}

/// Guards against credits that are granted twice or lost for good when an entry is
/// killed and replaced under load.
#[test]
fn limit_holds_while_an_entry_is_replaced() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let mut harness = Harness::start(2, 1, &tasks).await;
        let work = keyed("red", 150);
        harness.load_until(12, &work, pause_ms(3000)).await;
        harness.fleet.entries[1].process.kill();
        harness.load_until(12, &work, pause_ms(1000)).await;
        harness.fleet.entries[1] = harness.fleet.start_entry(1);
        harness.load_until(12, &work, pause_ms(16_000)).await;
        pause_ms(500).await;
        let runs = harness.check();
        let last_us = runs.iter().map(|run| run.start_us).max().unwrap_or(0);
        let last: Vec<Run> = runs
            .into_iter()
            .filter(|run| run.start_us + 2_000_000 > last_us)
            .collect();
        let peak = peak_concurrency(&harness.observer.sent(), &last, "red");
        assert_eq!(
            peak, 4,
            "the credits of the killed entry were not reclaimed"
        );
        tasks.stop();
    });
}

/// Guards against a credit that is freed while its work still runs because the caller
/// has gone away, and against credits that are never freed.
#[test]
fn caller_that_goes_away_frees_nothing_too_early() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let harness = Harness::start(1, 60, &tasks).await;
        let work = keyed("red", 700);
        for _ in 0..12 {
            let sent = harness.send(0, &work);
            assert!(timeout(Duration::from_millis(120), sent).await.is_err());
        }
        pause_ms(1500).await;
        for _ in 0..4 {
            let answer = harness.send(0, &keyed("red", 10)).await;
            assert_eq!(answer.outcome, "answered", "{answer:?}");
        }
        harness.check();
        tasks.stop();
    });
}

/// Guards against a credit that is freed while the run that was aborted at its
/// maximum run time still goes on.
#[test]
fn limit_holds_when_runs_are_cut() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let harness = Harness::start(2, 60, &tasks).await;
        // The maximum run time of the queue is 4 s.
        let work = keyed("red", 6000);
        harness.load_until(16, &work, pause_ms(14_000)).await;
        let runs = harness.check();
        assert!(runs.len() > 6, "too few runs: {}", runs.len());
        tasks.stop();
    });
}

/// Guards against work that starts on a credit of an old incarnation after a pause:
/// that incarnation was fenced during the pause, and the entry has registered as a
/// new one.
#[test]
fn limit_holds_after_a_pause_past_the_reclaim() {
    let pause = || {
        dotterelsill_rpc::run(2, |tasks| async move {
            let harness = Harness::start(2, 1, &tasks).await;
            let work = keyed("red", 150);
            // Only one caller uses the entry that pauses, so that it never waits for a
            // credit; a wait would replace the old credits at once.
            let entries = [0, 0, 0, 0, 0, 0, 0, 0, 1];
            harness.load_at(&entries, &work, pause_ms(2000)).await;
            for _ in 0..2 {
                // Lease, isolation limit and maximum run time add up to 10 s.
                harness.fleet.entries[1].process.freeze();
                harness.load_at(&entries, &work, pause_ms(13_000)).await;
                harness.fleet.entries[1].process.resume();
                harness.load_at(&entries, &work, pause_ms(4000)).await;
            }
            harness.check();
            tasks.stop();
        });
    };
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(pause);
        }
    });
}
