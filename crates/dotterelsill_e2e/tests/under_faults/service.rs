//! Tests availability while upstreams or the store fail.

use std::{
    collections::HashSet,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_e2e::{
    Caller,
    Work, //
};
use dotterelsill_proto::{
    peer::ChangeState,
    store::SetFaultsRequest, //
};
use futures_lite::future::zip;

use crate::harness::{
    keyed,
    once,
    pause_ms,
    Harness, //
};

/// Guards against an upstream that fails every request and still gets most of them.
#[test]
fn failing_upstream_is_ejected() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let harness = Harness::start(3, 60, &tasks).await;
        let control = Caller {
            address: harness.fleet.upstreams[1].address(""),
            key: None,
            tasks: tasks.clone(),
        };
        assert_eq!(control.send("/_status", "500").await.status, 200);
        for number in 0..300 {
            harness.send(number % 3, &keyed("blue", 5)).await;
        }
        harness.check();
        let answered = harness.outcome_count("answered");
        assert!(answered >= 270, "only {answered} of 300 were answered");
        tasks.stop();
    });
}

/// Guards against requests that wait on idle connections that have stopped answering.
#[test]
fn silent_idle_connections_harm_no_request() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let harness = Harness::start(1, 60, &tasks).await;
        let work = keyed("blue", 30);
        harness.load_until(6, &work, pause_ms(2000)).await;
        harness.fleet.upstream_links[0].silence_open_connections();
        // Non-repeatable work uses no connection that has been idle for 1 s.
        pause_ms(1200).await;
        let answer = harness.send(0, &once("silent", 10)).await;
        assert_eq!(answer.outcome, "answered", "{answer:?}");
        harness.fleet.upstream_links[0].silence_open_connections();
        let begin = Instant::now();
        for _ in 0..20 {
            let answer = harness.send(0, &work).await;
            assert_eq!(answer.outcome, "answered", "{answer:?}");
        }
        // A request that waited would take 4 s, the timeout of the queue.
        assert!(begin.elapsed() < Duration::from_secs(8));
        harness.check();
        tasks.stop();
    });
}

/// Guards against an outage of the store that stops repeatable work, and against a
/// change that is reported in force during the outage.
#[test]
fn store_outage_stops_no_repeatable_work() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let harness = Harness::start(2, 60, &tasks).await;
        let outage = |outage| SetFaultsRequest {
            outage,
            ..SetFaultsRequest::default()
        };
        // Gives each entry time to get the credits that its load needs.
        let work = keyed("blue", 20);
        harness.load_until(4, &work, pause_ms(3000)).await;
        harness.fleet.set_store_faults(outage(true)).await;
        let before: HashSet<usize> = (0..harness.observer.sent().len()).collect();
        let outage_and_change = async {
            let change = async {
                pause_ms(6000).await;
                let refused = harness.send(0, &once("outage", 10)).await;
                assert_eq!(refused.outcome, "not_run", "{refused:?}");
                harness.fleet.withdraw_key(1, "key-of-red").await
            };
            zip(pause_ms(20_000), change).await.1
        };
        let open = Work {
            queue: "open",
            ..Work::default()
        };
        let loads = harness.load_until(4, &work, outage_and_change);
        let change = harness.load_until(4, &open, loads).await;
        harness.fleet.set_store_faults(outage(false)).await;
        assert_ne!(change.state(), ChangeState::InForce, "{change:?}");
        let sent = harness.observer.sent();
        let during: Vec<_> = sent
            .iter()
            .enumerate()
            .filter(|(attempt, sent)| {
                !before.contains(attempt) && sent.work.queue != "once" && !sent.outcome.is_empty()
            })
            .collect();
        let unserved = during.iter().filter(|(_, sent)| sent.outcome != "answered");
        let unserved = unserved.count();
        assert!(
            during.len() > 500,
            "the load was too small: {}",
            during.len()
        );
        assert!(
            unserved * 100 <= during.len(),
            "{unserved} of {} requests were not answered",
            during.len()
        );
        harness.check();
        tasks.stop();
    });
}
