//! Tests that answers and refusals are true under faults.

use std::time::Duration;

use dotterelsill_e2e::{
    Mode,
    Work, //
};
use dotterelsill_proto::peer::ChangeState;
use futures_lite::future::zip;

use crate::harness::{
    keyed,
    once,
    pause_ms,
    Harness, //
};

/// Guards against an answer that arrives after its caller's deadline and is sent to
/// the next caller on the same connection.
#[test]
fn late_answer_reaches_no_other_caller() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let harness = Harness::start(1, 60, &tasks).await;
        for _ in 0..12 {
            let late = Work {
                deadline: Some(Duration::from_millis(150)),
                ..keyed("blue", 250)
            };
            let quick = keyed("blue", 20);
            let next = async {
                for _ in 0..6 {
                    pause_ms(30).await;
                    let answer = harness.send(0, &quick).await;
                    assert_eq!(answer.outcome, "answered", "{answer:?}");
                }
            };
            let (late, ()) = zip(harness.send(0, &late), next).await;
            assert_eq!((late.status, late.outcome.as_str()), (504, "unknown"));
        }
        harness.check();
        tasks.stop();
    });
}

/// Guards against forwarding a truncated answer as if it were complete.
#[test]
fn short_answer_is_unknown() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let harness = Harness::start(1, 60, &tasks).await;
        harness.fleet.upstream_links[0].set(Mode::Truncate);
        let answer = harness.send(0, &once("short", 10)).await;
        assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"));
        for body_bytes in [10, 200_000] {
            let work = Work {
                body_bytes,
                ..keyed("blue", 10)
            };
            let answer = harness.send(0, &work).await;
            assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"));
        }
        harness.check();
        tasks.stop();
    });
}

/// Guards against a refusal as not run although an earlier attempt of the same
/// request may have run: the connection breaks and the retry finds no upstream.
#[test]
fn request_whose_connection_broke_is_never_refused_as_not_run() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let harness = Harness::start(1, 60, &tasks).await;
        // The retry budget is a share of the requests, so some must come first.
        for _ in 0..40 {
            harness.send(0, &keyed("blue", 5)).await;
        }
        let work = keyed("blue", 2500);
        let out = async {
            pause_ms(300).await;
            let out = harness.fleet.set_data_centre(0, "a", true).await;
            assert_eq!(out.state(), ChangeState::InForce, "{out:?}");
            harness.fleet.upstream_links[0].set(Mode::Cut);
        };
        let (answer, ()) = zip(harness.send(0, &work), out).await;
        // The first attempt and at most one hedge, as the work is repeatable.
        let runs = harness.fleet.run_count("attempt-40").await;
        assert!((1..=2).contains(&runs), "{runs}");
        assert_eq!(answer.outcome, "unknown", "the work ran: {answer:?}");
        tasks.stop();
    });
}

/// Guards against a refusal as not run although the first attempt may have run: its
/// connection breaks after the hedge, which was sent meanwhile, was refused.
#[test]
fn request_whose_hedge_was_refused_is_never_refused_as_not_run() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let harness = Harness::start(2, 60, &tasks).await;
        for _ in 0..40 {
            harness.send(0, &keyed("blue", 5)).await;
        }
        // No hedge can connect to the other upstream.
        harness.fleet.upstream_links[1].set(Mode::Cut);
        for _ in 0..3 {
            let cut = async {
                pause_ms(1500).await;
                harness.fleet.upstream_links[0].set(Mode::Cut);
                pause_ms(3000).await;
                harness.fleet.upstream_links[0].set(Mode::Pass);
            };
            zip(harness.send(0, &keyed("blue", 2500)), cut).await;
        }
        harness.check();
        tasks.stop();
    });
}
