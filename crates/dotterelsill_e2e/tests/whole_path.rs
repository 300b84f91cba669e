//! Tests the whole path of a request from the caller through an entry to an upstream
//! and back.

use dotterelsill_e2e::Fleet;

/// Guards against a fleet that starts but serves no requests, and against work that is
/// accepted without a key.
#[test]
fn request_is_answered_from_end_to_end() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let fleet = Fleet::start(2, 1, &tasks);
        let text = fleet.configuration(60);
        fleet.apply(0, &text).await;
        fleet.give_key(1, "red", "key-of-red").await;
        fleet.await_revision(2).await;

        let answer = fleet.caller(0, None).send("/q/open/x", "scan 17").await;
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "answered"));
        assert_eq!(answer.body, "scan 17");

        let refused = fleet.caller(0, None).send("/q/keyed/x", "report").await;
        assert_eq!((refused.status, refused.outcome.as_str()), (401, "not_run"));
        let red = fleet.caller(1, Some("key-of-red"));
        let answer = red.send("/q/keyed/x", "report").await;
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "answered"));
        tasks.stop();
    });
}

/// Guards against a shutdown that aborts requests in flight.
#[test]
fn shutdown_finishes_requests_in_flight() {
    dotterelsill_rpc::run(1, |tasks| async move {
        let mut fleet = Fleet::start(1, 1500, &tasks);
        let text = fleet.configuration(60);
        fleet.apply(0, &text).await;
        fleet.await_revision(1).await;

        let caller = fleet.caller(0, None);
        let (answer, ()) = futures_lite::future::zip(caller.send("/q/open/x", "scan 17"), async {
            async_io::Timer::after(std::time::Duration::from_millis(500)).await;
            fleet.entries[0].process.terminate();
        })
        .await;
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "answered"));
        assert!(fleet.entries[0].process.wait().success());
        tasks.stop();
    });
}
