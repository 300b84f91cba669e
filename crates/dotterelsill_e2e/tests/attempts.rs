//! Tests that the outcome is true after several attempts at one request.

use std::time::Duration;

use async_io::Timer;
use dotterelsill_e2e::Fleet;
use futures_lite::future::zip;

/// Guards against "not run" for work whose first attempt ran and whose retry may not
/// start: the upstream is killed during the run, after its data centre was excluded.
#[test]
fn refused_retry_of_a_broken_attempt_is_unknown() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let mut fleet = Fleet::start(1, 400, &tasks);
        let text = fleet.configuration(60);
        fleet.apply(0, &text).await;
        fleet.await_revision(1).await;
        // The retry budget is a share of the requests of the last 10 s.
        let caller = fleet.caller(0, None);
        for wave in 0..10 {
            let mut earlier = Vec::new();
            for number in 0..8 {
                let caller = caller.clone();
                let (sender, receiver) = async_channel::bounded(1);
                tasks.spawn(async move {
                    let answer = caller
                        .send("/q/open/x", &format!("warm-{wave}-{number}"))
                        .await;
                    let _ = sender.send(answer).await;
                });
                earlier.push(receiver);
            }
            for receiver in earlier {
                let answer = receiver.recv().await.expect("the task sends");
                assert_eq!(answer.outcome, "answered", "{answer:?}");
            }
        }
        let (answer, ()) = zip(caller.send("/q/open/x", "broken"), async {
            Timer::after(Duration::from_millis(50)).await;
            fleet.set_data_centre(0, "a", true).await;
            Timer::after(Duration::from_millis(100)).await;
            fleet.upstreams[0].kill();
        })
        .await;
        assert_eq!(answer.outcome, "unknown", "{answer:?}");
        tasks.stop();
    });
}

/// Guards against "unknown" for work that could not be sent to any upstream; for
/// non-repeatable work such as a refund, it would make the identifier unusable.
#[test]
fn unreachable_upstreams_give_not_run() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = Fleet::start(1, 1, &tasks);
        let address = fleet.upstream_links[0].address().to_string();
        // Nothing listens on port 1, so connections are refused.
        let text = fleet.configuration(60).replace(&address, "127.0.0.1:1");
        fleet.apply(0, &text).await;
        fleet.await_revision(1).await;
        let answer = fleet.caller(0, None).send("/q/open/x", "scan").await;
        assert_eq!((answer.status, answer.outcome.as_str()), (503, "not_run"));
        tasks.stop();
    });
}
