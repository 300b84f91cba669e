//! Guards service while upstreams or the store fail.

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

use crate::scene::{
    keyed,
    once,
    pause_ms,
    Scene, //
};

/// Guards against an upstream that fails everything and takes most requests.
#[test]
fn failing_upstream_is_ejected() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let scene = Scene::start(3, 60, &tasks).await;
        let control = Caller {
            address: scene.fleet.upstreams[1].address(""),
            key: None,
            tasks: tasks.clone(),
        };
        assert_eq!(control.send("/_status", "500").await.status, 200);
        for number in 0..300 {
            scene.send(number % 3, &keyed("blue", 5)).await;
        }
        scene.check();
        let answered = scene.outcomes("answered");
        assert!(answered >= 270, "only {answered} of 300 were answered");
        tasks.stop();
    });
}

/// Guards against requests that wait on idle connections that went silent.
#[test]
fn silent_idle_connections_harm_no_request() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let scene = Scene::start(1, 60, &tasks).await;
        let work = keyed("blue", 30);
        scene.load_until(6, &work, pause_ms(2000)).await;
        scene.fleet.upstream_links[0].silence_open_connections();
        // Work that may not be repeated takes no connection idle for 1 s.
        pause_ms(1200).await;
        let answer = scene.send(0, &once("silent", 10)).await;
        assert_eq!(answer.outcome, "answered", "{answer:?}");
        scene.fleet.upstream_links[0].silence_open_connections();
        let begin = Instant::now();
        for _ in 0..20 {
            let answer = scene.send(0, &work).await;
            assert_eq!(answer.outcome, "answered", "{answer:?}");
        }
        // Each would take 4 s, the time of the queue, if it waited.
        assert!(begin.elapsed() < Duration::from_secs(8));
        scene.check();
        tasks.stop();
    });
}

/// Guards against work that stops, and against a change that is reported in
/// force, during an outage of the store.
#[test]
fn store_outage_stops_no_repeatable_work() {
    dotterelsill_rpc::run(2, |tasks| async move {
        let scene = Scene::start(2, 60, &tasks).await;
        let outage = |outage| SetFaultsRequest {
            outage,
            ..SetFaultsRequest::default()
        };
        // Each entry gets the credits that its load uses.
        let work = keyed("blue", 20);
        scene.load_until(4, &work, pause_ms(3000)).await;
        scene.fleet.set_store_faults(outage(true)).await;
        let before: HashSet<usize> = (0..scene.observer.sent().len()).collect();
        let outage_and_change = async {
            let change = async {
                pause_ms(6000).await;
                let refused = scene.send(0, &once("outage", 10)).await;
                assert_eq!(refused.outcome, "not_run", "{refused:?}");
                scene.fleet.withdraw_key(1, "key-of-red").await
            };
            zip(pause_ms(20_000), change).await.1
        };
        let open = Work {
            queue: "open",
            ..Work::default()
        };
        let loads = scene.load_until(4, &work, outage_and_change);
        let change = scene.load_until(4, &open, loads).await;
        scene.fleet.set_store_faults(outage(false)).await;
        assert_ne!(change.state(), ChangeState::InForce, "{change:?}");
        let sent = scene.observer.sent();
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
            "{unserved} of {}",
            during.len()
        );
        scene.check();
        tasks.stop();
    });
}
