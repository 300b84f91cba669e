//! Guards answers and refusals.

use std::time::Duration;

use dotterelsill_e2e::{
    Mode,
    Work, //
};
use dotterelsill_proto::peer::ChangeState;
use futures_lite::future::zip;

use crate::scene::{
    keyed,
    once,
    pause_ms,
    Scene, //
};

/// Guards against an answer that arrives after its caller's deadline and goes to
/// the next caller on the connection.
#[test]
fn late_answer_reaches_no_other_caller() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let scene = Scene::start(1, 60, &tasks).await;
        for _ in 0..12 {
            let late = Work {
                deadline: Some(Duration::from_millis(150)),
                ..keyed("blue", 250)
            };
            let quick = keyed("blue", 20);
            let next = async {
                for _ in 0..6 {
                    pause_ms(30).await;
                    let answer = scene.send(0, &quick).await;
                    assert_eq!(answer.outcome, "answered", "{answer:?}");
                }
            };
            let (late, ()) = zip(scene.send(0, &late), next).await;
            assert_eq!((late.status, late.outcome.as_str()), (504, "unknown"));
        }
        scene.check();
        tasks.stop();
    });
}

/// Guards against an answer that is passed on although its end is missing.
#[test]
fn short_answer_is_unknown() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let scene = Scene::start(1, 60, &tasks).await;
        scene.fleet.upstream_links[0].set(Mode::Truncate);
        let answer = scene.send(0, &once("short", 10)).await;
        assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"));
        for body_bytes in [10, 200_000] {
            let work = Work {
                body_bytes,
                ..keyed("blue", 10)
            };
            let answer = scene.send(0, &work).await;
            assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"));
        }
        scene.check();
        tasks.stop();
    });
}

/// Guards against a refusal as not run after an earlier attempt of the same
/// request may have run: the connection breaks, the retry finds no upstream.
#[test]
fn request_whose_connection_broke_is_never_refused_as_not_run() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let scene = Scene::start(1, 60, &tasks).await;
        // Retries are a part of the requests.
        for _ in 0..40 {
            scene.send(0, &keyed("blue", 5)).await;
        }
        let work = keyed("blue", 2500);
        let out = async {
            pause_ms(300).await;
            let out = scene.fleet.set_data_centre(0, "a", true).await;
            assert_eq!(out.state(), ChangeState::InForce, "{out:?}");
            scene.fleet.upstream_links[0].set(Mode::Cut);
        };
        let (answer, ()) = zip(scene.send(0, &work), out).await;
        // The attempt, and at most one hedge of work that may run twice.
        let runs = scene.fleet.run_count("attempt-40").await;
        assert!((1..=2).contains(&runs), "{runs}");
        assert_eq!(answer.outcome, "unknown", "it ran: {answer:?}");
        tasks.stop();
    });
}

/// Guards against a refusal as not run when the first attempt broke and the
/// hedge, which was sent meanwhile, was refused.
#[test]
fn request_whose_hedge_was_refused_is_never_refused_as_not_run() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let scene = Scene::start(2, 60, &tasks).await;
        for _ in 0..40 {
            scene.send(0, &keyed("blue", 5)).await;
        }
        // Every hedge to the other upstream finds no connection.
        scene.fleet.upstream_links[1].set(Mode::Cut);
        for _ in 0..3 {
            let cut = async {
                pause_ms(1500).await;
                scene.fleet.upstream_links[0].set(Mode::Cut);
                pause_ms(3000).await;
                scene.fleet.upstream_links[0].set(Mode::Pass);
            };
            zip(scene.send(0, &keyed("blue", 2500)), cut).await;
        }
        scene.check();
        tasks.stop();
    });
}
